package owner

import (
	"cmp"
	"slices"

	"github.com/camphorrack/camphorrack/internal/job"
)

// Counts are numbers of events since the start of the process.
type Counts struct {
	Accepted       uint64 `json:"accepted"`
	Attached       uint64 `json:"attached"`
	Refused        uint64 `json:"refused"`
	Complete       uint64 `json:"complete"`
	Failed         uint64 `json:"failed"`
	Starts         uint64 `json:"starts"`  // tasks sent to agents
	NotRun         uint64 `json:"not_run"` // attempts reported as not run, except cancelled ones
	Cancels        uint64 `json:"cancels"` // attempts cancelled after sending
	UnusedOutcomes uint64 `json:"unused"`  // outcomes of cancelled attempts that may have run
}

// Status is a summary of an entry for operators.
type Status struct {
	Incarnation  string `json:"incarnation"`
	Addr         string `json:"addr"`
	Draining     bool   `json:"draining"`
	PendingJobs  int    `json:"pending"`  // jobs without a final answer
	WaitingTasks int    `json:"waiting"`  // tasks that wait to be sent
	OpenAttempts int    `json:"attempts"` // attempts that are not settled
	KnownIDs     int    `json:"known"`    // ids held
	Agents       int    `json:"agents"`   // number of connected agents
	Counts       Counts `json:"counts"`
}

// TargetStatus is the state of one target as an entry knows it, for operators.
type TargetStatus struct {
	Target       string     `json:"target"`
	Worker       string     `json:"worker"`
	DataCentre   string     `json:"data_centre,omitempty"`
	Rack         string     `json:"rack,omitempty"`
	Incarnation  string     `json:"incarnation"`
	Connected    bool       `json:"connected"`
	Leaving      bool       `json:"leaving"`
	Down         bool       `json:"down"`
	Slots        int        `json:"slots"`
	Speed        float64    `json:"speed"`
	Credits      int        `json:"credits"`
	OpenAttempts int        `json:"attempts"`
	Capacity     job.Demand `json:"capacity"`
}

// Status returns a summary of the state.
func (c *Core) Status() Status {
	s := Status{
		Incarnation: c.options.Owner.Incarnation.String(),
		Addr:        c.options.Owner.Addr.String(),
		Draining:    c.draining,
		PendingJobs: c.pending,
		KnownIDs:    len(c.jobs),
		Agents:      len(c.byConn),
		Counts:      c.counts,
	}
	for _, n := range c.waitingTasks {
		s.WaitingTasks += n
	}
	for _, a := range c.agents {
		s.OpenAttempts += len(a.attempts)
	}
	return s
}

// Targets returns the known targets, ordered by worker.
func (c *Core) Targets() []TargetStatus {
	all := make([]TargetStatus, 0, len(c.agents))
	for _, a := range c.agents {
		all = append(all, TargetStatus{
			Target: a.target.Name, Worker: a.worker, DataCentre: a.dataCentre, Rack: a.rack,
			Incarnation: a.incarnation.String(), Connected: a.conn != 0,
			Leaving: a.leaving(), Down: a.target.Down, Slots: a.target.Slots, Speed: a.target.Speed,
			Credits: a.credits(), OpenAttempts: len(a.attempts), Capacity: a.target.Capacity,
		})
	}
	slices.SortFunc(all, func(x, y TargetStatus) int { return cmp.Compare(x.Worker, y.Worker) })
	return all
}
