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
	before := t.out()
	if lifted {
		delete(t.evacuated, dataCentre)
	} else {
		t.evacuated[dataCentre] = struct{}{}
	}
	if t.out() != before {
		t.urgent()
	}
	t.giveBackEvacuated()
}

// Out reports whether the target's data centre is evacuated.
func (t *Table) Out() bool { return t.out() }

func (t *Table) out() bool {
	_, out := t.evacuated[t.place()]
	return out
}

// place returns the data centre of the target.
func (t *Table) place() string { return cmp.Or(t.target.DataCentre, t.o.DataCentre) }

// giveBackEvacuated gives what waits for an evacuated target back at once: its callers want
// answers within a fraction of a second.
func (t *Table) giveBackEvacuated() {
	if !t.out() || len(t.queue) == 0 {
		return
	}
	event.Log(t.log, event.OrdersReturned, "target", t.target.Life.Name, "orders", len(t.queue), "reason", "evacuated", "data_centre", t.place())
	t.returnQueue(wire.NotRunEvacuated)
}
