package runs

import "time"

// retireAfter is how long a session is kept at least once its entry was told that no work
// is taken over it, and after each outcome: an order that was on its way then still comes
// back as not run, and an outcome still goes out over a busy link, in place of being lost
// with the session.
const retireAfter = 300 * time.Millisecond

// Retire lets a session run out. Its entry sends nothing more, what it has here is finished,
// and then the session is closed.
func (t *Table) Retire(now time.Time, conn ConnID) {
	t.now = now
	o := t.owners[conn]
	if o == nil || o.retiring {
		return
	}
	o.retiring, o.load = true, true
	o.linger(now)
}

// linger puts the end of a session that runs out off.
func (o *owner) linger(now time.Time) { o.retireAt = now.Add(retireAfter) }

// closeRetired closes the sessions that have run out.
func (t *Table) closeRetired() {
	for conn, o := range t.owners {
		if o.retiring && len(o.runs) == 0 && !t.now.Before(o.retireAt) {
			t.o.Outbox.Close(conn)
		}
	}
}
