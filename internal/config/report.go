package config

// ReportPath is the HTTP path at which daemons report the configuration in force.
const ReportPath = "/v1/config"

// Report is the answer of GET /v1/config.
type Report struct {
	Version uint64 `json:"version"`
	AgeMs   int64  `json:"age_ms"` // time since it was last confirmed to be current
	Source  string `json:"source"` // log, peer or built-in
	State   *State `json:"state"`
}

// Report returns the configuration in force, its source and its age.
func (r *Replica) Report() Report {
	a := r.Get()
	return Report{a.State.Version, r.Age().Milliseconds(), a.Source, a.State}
}
