package attempt

import (
	"github.com/camphorrack/camphorrack/internal/wire"
)

// Status is what operators see of the table.
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

// TargetStatus is the target's state as owners see it.
type TargetStatus struct {
	Name    string   `json:"name"`
	Classes []string `json:"classes,omitempty"`
	Slots   int      `json:"slots"`
	Speed   float64  `json:"speed"`
	Leaving bool     `json:"leaving"`
	Down    bool     `json:"down"`
}

// OwnerStatus is the part of one owner.
type OwnerStatus struct {
	Incarnation           string `json:"incarnation"`
	Connected             bool   `json:"connected"`
	RememberedAttempts    int    `json:"remembered_attempts"`
	UnacknowledgedReports int    `json:"unacknowledged_reports"`
	UnspentCredits        int    `json:"unspent_credits"`
	WaitingAtOwner        int    `json:"waiting_at_owner"`
}

// Status returns the table's state in numbers.
func (t *Table) Status() Status {
	b := t.b
	s := Status{
		Target: targetStatus(b.announced()), Draining: b.draining, Running: b.running, Waiting: len(b.queue),
		UnspentCredits: b.sharer.Outstanding(), GrantedCredits: b.granted, FinishedCalls: b.finished, Owners: []OwnerStatus{},
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
		RememberedAttempts: len(o.attempts), UnacknowledgedReports: o.unacked, WaitingAtOwner: o.waiting,
	}
	if s.Connected {
		s.UnspentCredits = o.credits.unspent()
	}
	return s
}

// Target returns the target's state as owners should see it.
func (t *Table) Target() wire.Target { return t.b.announced() }

// Idle reports whether a drained agent may end: nothing runs or waits, no owner
// can still send a start, and every report has arrived.
func (t *Table) Idle() bool {
	if t.b.running > 0 || len(t.b.queue) > 0 {
		return false
	}
	if t.b.policy == Push && t.b.now.Sub(t.b.leavingSince) <= leavingGrace {
		return false // nothing counts the starts that are on their way
	}
	for _, o := range t.b.owners {
		if t.keeper.due(o) {
			return false
		}
	}
	return true
}
