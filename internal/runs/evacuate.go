package runs

import (
	"cmp"
	"time"

	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// Evacuate stops new tasks from starting in a data centre, or allows them again if lifted is set.
// Runs in progress finish.
func (t *Table) Evacuate(now time.Time, dataCentre string, lifted bool) {
	t.now = now
	wasEvacuated := t.Evacuated()
	if lifted {
		delete(t.evacuated, dataCentre)
	} else {
		t.evacuated[dataCentre] = struct{}{}
	}
	if t.Evacuated() != wasEvacuated {
		t.reportLoadNow()
	}
	t.rejectQueuedIfEvacuated()
}

// Evacuated reports whether the target's data centre is evacuated.
func (t *Table) Evacuated() bool {
	_, evacuated := t.evacuated[t.dataCentre()]
	return evacuated
}

// dataCentre returns the target's data centre, by default the agent's.
func (t *Table) dataCentre() string { return cmp.Or(t.target.DataCentre, t.options.DataCentre) }

// rejectQueuedIfEvacuated returns all queued orders at once if the target's data centre is
// evacuated: their callers want answers within a fraction of a second.
func (t *Table) rejectQueuedIfEvacuated() {
	if !t.Evacuated() || len(t.queue)+len(t.reservations.offers) == 0 {
		return
	}
	event.Log(t.log, event.OrdersReturned, "target", t.target.Incarnation.Name, "orders", t.Waiting(), "reservations", t.Reservations(), "reason", "evacuated", "data_centre", t.dataCentre())
	t.rejectQueued(wire.NotRunEvacuated)
}
