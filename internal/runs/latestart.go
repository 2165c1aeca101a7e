package runs

import (
	"slices"
	"time"

	"github.com/elliotchance/orderedmap/v3"
)

// A start that was not answered may be carried out seconds later, when its run is settled. The
// incarnation that ran or stopped the run rejects it, but the next one under the same name would not: it
// is told to stop such runs as soon as it is known.

// maxStartDelay is how long after its call a start may be carried out.
const maxStartDelay = 10 * time.Second

// lateStart is a settled run with a start call that may still be carried out.
type lateStart struct {
	startCalledAt time.Time
	unfenced      bool      // the present incarnation has not confirmed a stop of the run
	stopCalledAt  time.Time // in the present incarnation
}

type lateStarts = orderedmap.OrderedMap[RunID, *lateStart]

func newLateStarts() *lateStarts { return orderedmap.NewOrderedMap[RunID, *lateStart]() }

// noteLateStart records that a start of a run may be carried out although the run is settled.
func (t *Table) noteLateStart(r *run) {
	if r.startsOpen > 0 {
		t.lateStarts.Set(r.id, &lateStart{startCalledAt: r.startCalledAt})
	}
}

// fenceLateStarts stops the settled runs whose starts may reach a new incarnation.
func (t *Table) fenceLateStarts() {
	for l := range t.lateStarts.Values() {
		l.unfenced, l.stopCalledAt = true, time.Time{}
	}
	t.retryLateStarts()
}

// retryLateStarts repeats the stops that are not confirmed.
func (t *Table) retryLateStarts() {
	for _, id := range slices.Collect(t.lateStarts.Keys()) {
		l, _ := t.lateStarts.Get(id)
		switch {
		case t.now.Sub(l.startCalledAt) > maxStartDelay:
			t.lateStarts.Delete(id)
		case l.unfenced && t.reachable && t.now.Sub(l.stopCalledAt) > stopRetryInterval:
			l.stopCalledAt = t.now
			t.options.Target.Stop(StopCall{Incarnation: t.target.Incarnation, Token: t.token, Run: id, Timeout: t.callTimeout()})
		}
	}
}

// lateStartStopped handles the answer to the stop of a settled run.
func (t *Table) lateStartStopped(id RunID, answer Answer) {
	l, known := t.lateStarts.Get(id)
	switch {
	case !known:
	case answer == Accepted:
		l.unfenced = false
	case answer == StaleToken:
		l.stopCalledAt = time.Time{} // retry at once with the new token
	}
}
