package attempt

import (
	"github.com/camphorrack/camphorrack/internal/wire"
)

// Status is a snapshot of the table for the agent's status endpoint and metrics.
type Status struct {
	Target         TargetStatus  `json:"target"`
	Draining       bool          `json:"draining"`
	Running        int           `json:"running"`
	Waiting        int           `json:"waiting"`
	UnspentCredits int           `json:"unspent_credits"`
	GrantedCredits uint64        `json:"granted_credits"`
	FinishedCalls  uint64        `json:"finished_calls"`
	Owners         []OwnerStatus `json:"owners"`
}

// TargetStatus is the target's state as announced to owners.
type TargetStatus struct {
	Name    string   `json:"name"`
	Classes []string `json:"classes,omitempty"`
	Slots   int      `json:"slots"`
	Speed   float64  `json:"speed"`
	Leaving bool     `json:"leaving"`
	Down    bool     `json:"down"`
}

// OwnerStatus is the part of Status that concerns one owner.
type OwnerStatus struct {
	Incarnation           string `json:"incarnation"`
	Connected             bool   `json:"connected"`
	RememberedAttempts    int    `json:"remembered_attempts"`
	UnacknowledgedReports int    `json:"unacknowledged_reports"`
	UnspentCredits        int    `json:"unspent_credits"`
	WaitingAtOwner        int    `json:"waiting_at_owner"`
}

// Status returns a snapshot of the table.
func (t *Table) Status() Status {
	b := t.state
	s := Status{
		Target: targetStatus(b.announcedTarget()), Draining: b.draining, Running: b.runningCount, Waiting: len(b.startQueue),
		UnspentCredits: b.allocator.Outstanding(), GrantedCredits: b.grantedCredits, FinishedCalls: b.finishedCalls, Owners: []OwnerStatus{},
	}
	for _, o := range b.owners {
		s.Owners = append(s.Owners, ownerStatus(o))
	}
	return s
}

func targetStatus(t wire.Target) TargetStatus {
	return TargetStatus{Name: t.Name, Classes: t.Classes, Slots: t.Slots, Speed: t.Speed, Leaving: t.Leaving, Down: t.Down}
}

func ownerStatus(o *owner) OwnerStatus {
	s := OwnerStatus{
		Incarnation: o.incarnation.String(), Connected: o.conn != 0,
		RememberedAttempts: len(o.attempts), UnacknowledgedReports: o.unackedReports, WaitingAtOwner: o.waitingTasks,
	}
	if s.Connected {
		s.UnspentCredits = o.credits.unspent()
	}
	return s
}

// Target returns the target's state as announced to owners.
func (t *Table) Target() wire.Target { return t.state.announcedTarget() }

// Idle reports whether a drained agent may exit: no attempt runs or waits, no owner
// can still send a start, and every final report has been acknowledged. An owner that
// has been disconnected for longer than drainReconnectTimeout is not waited for.
func (t *Table) Idle() bool {
	if t.state.runningCount > 0 || len(t.state.startQueue) > 0 {
		return false
	}
	if t.state.policy == Push && t.state.now.Sub(t.state.leavingSince) <= leavingGrace {
		return false // without credits, starts in transit can't be counted
	}
	for _, o := range t.state.owners {
		if t.retention.blocksDrain(o) {
			return false
		}
	}
	return true
}
