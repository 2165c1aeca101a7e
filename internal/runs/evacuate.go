package runs

import (
	"cmp"
	"time"

	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// Evacuate lets no more work start in a data centre, or, where that is lifted, lets it start
// there again. What runs there ends in its own time.
func (t *Table) Evacuate(now time.Time, dataCentre string, lifted bool) {
	t.now = now
	before := t.Evacuated()
	if lifted {
		delete(t.evacuated, dataCentre)
	} else {
		t.evacuated[dataCentre] = struct{}{}
	}
	if t.Evacuated() != before {
		t.urgent()
	}
	t.giveBackEvacuated()
}

// Evacuated reports whether the target's data centre is evacuated.
func (t *Table) Evacuated() bool {
	_, out := t.evacuated[t.dataCentre()]
	return out
}

// dataCentre returns that of the target.
func (t *Table) dataCentre() string { return cmp.Or(t.target.DataCentre, t.o.DataCentre) }

// giveBackEvacuated gives what waits for an evacuated target back at once: its callers want
// answers within a fraction of a second.
func (t *Table) giveBackEvacuated() {
	if !t.Evacuated() || len(t.queue) == 0 {
		return
	}
	event.Log(t.log, event.OrdersReturned, "target", t.target.Incarnation.Name, "orders", len(t.queue), "reason", "evacuated", "data_centre", t.dataCentre())
	t.returnQueue(wire.NotRunEvacuated)
}
