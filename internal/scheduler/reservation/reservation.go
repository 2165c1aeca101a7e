// Package reservation decides, for a task that no target can start at once, between an order to
// one target with a predicted wait and reservations at several targets, of which the first that
// has free capacity gets the order. It also decides in which order a target serves the
// reservations and orders that wait for it.
//
// The load it addresses: several entries place tasks on targets that are nearly full, by load
// reports that are up to 15 ms old. At a mean load of 0.55, one order in five was returned because
// its predicted wait was wrong by the time it arrived, and each return cost two hops. A
// reservation needs no prediction: the target says when it has capacity. The cost is capacity
// that is idle for a round trip while an offer is answered.
package reservation

import (
	"cmp"
	"time"

	"github.com/camphorrack/camphorrack/internal/scheduler/earliest"
)

// Mode selects what becomes of a task that has to wait for capacity.
type Mode uint8

// Modes.
const (
	ByDefault   Mode = iota // DefaultMode
	Predicted               // an order to one target, with a predicted wait
	LateBinding             // reservations at several targets
	WhileShort              // LateBinding while the fleet is short of capacity, else Predicted
)

// DefaultMode is the mode of an entry whose options name none. With Predicted no reservation is
// sent, and agents serve their queues by latest start alone.
const DefaultMode = WhileShort

const (
	// MaxTargets is the number of targets at which a task is reserved. Each further one costs two
	// frames and shortens the wait by less.
	MaxTargets = 3
	// HoldTime is how long an agent holds capacity for an offer. An answer takes one round trip
	// of up to 6 ms, and an entry short of processor time some milliseconds more.
	HoldTime = 25 * time.Millisecond
	// BoundShare is the share of a task that one of its reservations counts for in predictions of
	// waits, because one of two or three becomes an order. A smaller share admits more than can be in
	// time, a larger one refuses jobs for which there is capacity.
	BoundShare = 0.42
	// maxEndFactor limits the expected end at a further target, relative to the first one. The
	// first offer is taken, so that a target on which the task ends much later must not make it.
	maxEndFactor = 1.12
	// runMargin is the share by which a run may take longer than expected and still be in time.
	runMargin = 0.15
)

// Resolve returns the mode that applies.
func (m Mode) Resolve() Mode {
	if m == ByDefault {
		return DefaultMode
	}
	return m
}

// Applied returns the mode that applies in a fleet, of which short states whether it is short of
// capacity: Predicted or LateBinding.
func (m Mode) Applied(short bool) Mode {
	m = m.Resolve()
	switch {
	case m != WhileShort:
		return m
	case short:
		return LateBinding
	}
	return Predicted
}

// FleetLoad is the load of a fleet by the fresh reports of its agents.
type FleetLoad struct {
	Known    bool    // the reports are enough to decide by
	Load     float64 // processor in use and queued, as a share of the capacity
	Pressure float64 // share of the tasks of the last second that could not start in time
}

const (
	// From shortFromLoad and shortFromPressure on, both, a fleet is short of capacity. Lower
	// thresholds are passed by bursts at 0.9 of the capacity, where late binding makes jobs late.
	shortFromLoad, shortFromPressure = 1.35, 0.02
	// It stays so until the load is under shortUntilLoad. The pressure does not end it, because
	// late binding lowers it.
	shortUntilLoad = 1.2
)

// Short decides whether a fleet is short of capacity; was is the last decision. Late binding costs
// a round trip for each task, which is worth it only where tasks wait for longer: from about 1.1
// times the capacity on. Reports are averages of about a second, so that the thresholds need a
// distance for the decision not to follow each burst.
func Short(was bool, l FleetLoad) bool {
	switch {
	case !l.Known:
		return false
	case was:
		return l.Load >= shortUntilLoad
	}
	return l.Load >= shortFromLoad && l.Pressure >= shortFromPressure
}

// Targets are the targets at which a task is to be reserved, the best one first.
type Targets struct {
	choices [MaxTargets]earliest.Choice
	n       int
}

// List returns the targets.
func (t *Targets) List() []earliest.Choice { return t.choices[:t.n] }

// Plan decides, in the mode that applies, whether a task is reserved, and at which targets. If the
// result is empty, it is to be ordered at the target chosen. supported reports whether a candidate
// can take reservations.
//
// A task is ordered if it fits now, if the chosen target takes no reservations, or if the
// predicted wait is shorter than the round trip that an offer would cost. It is also ordered if
// fewer than two targets could be in time, since a reservation at one target gains nothing. A task
// whose order was returned because its target was full is reserved even if it seems to fit: the
// loads that say so may be as old as the one before.
func Plan(m Mode, t earliest.Task, returned bool, chosen earliest.Choice, candidates []earliest.Candidate, supported func(i int) bool) (targets Targets) {
	if m != LateBinding || chosen.Index == earliest.None || !supported(chosen.Index) {
		return targets
	}
	if !returned && (chosen.FitsNow || chosen.WaitMs() < candidates[chosen.Index].RoundTripMs) {
		return targets
	}
	eligible := t.Fits
	t.Fits = func(i int) bool { return supported(i) && (eligible == nil || eligible(i)) }
	for _, choice := range earliest.ChooseSeveral(t, candidates, !returned, targets.choices[:0]) {
		inTime := choice.EndMs+runMargin*(choice.EndMs-choice.StartMs) <= t.RemainingMs
		if !inTime || choice.EndMs > maxEndFactor*chosen.EndMs {
			continue
		}
		targets.choices[targets.n] = choice
		targets.n++
	}
	if targets.n < 2 {
		targets.n = 0
	}
	return targets
}

// Waiting describes a reservation or an order in the queue of a target.
type Waiting struct {
	LatestStart time.Time // for its job to be in time
	Priority    int       // 0 is the most urgent
	Width       int       // tasks of its job; 0: unknown
}

// Compare orders the queue of a target: by latest start, because a queue that can be served in
// time is served in time in this order. Ties go to the higher priority and then to the wider job,
// which completes only with its last task. Without late binding, latest start alone decides.
func Compare(m Mode, a, b Waiting) int {
	if byStart := a.LatestStart.Compare(b.LatestStart); byStart != 0 || m.Resolve() == Predicted {
		return byStart
	}
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(b.Width, a.Width))
}
