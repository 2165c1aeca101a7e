package config

// ReportPath is where daemons tell operators what is in force.
const ReportPath = "/v1/config"

// Report is the answer of GET /v1/config.
type Report struct {
	Version uint64 `json:"version"`
	AgeMs   int64  `json:"age_ms"` // since it was last found to be current
	Source  string `json:"source"` // log, peer or built-in
	State   *State `json:"state"`
}

// Report tells what is in force and how old it is.
func (h *Replica) Report() Report {
	a := h.Get()
	return Report{a.State.Version, h.Age().Milliseconds(), a.Source, a.State}
}
