package runs

import (
	"time"

	"github.com/camphorrack/camphorrack/internal/wire"
)

// retireDelay is how long a session stays open at least after its entry was asked to send no more
// work over it, and after each outcome: an order in transit at that time is still returned as not
// run, and an outcome is still sent over a busy link instead of being lost with the session.
const retireDelay = 300 * time.Millisecond

// Retire drains a session, such as when the agent changes to another entry: the entry sends no
// more orders, its runs finish, and then the session is closed.
func (t *Table) Retire(now time.Time, conn ConnID) {
	t.now = now
	if s := t.session(conn); s != nil {
		t.retire(s)
	}
}

func (t *Table) retire(s *session) {
	if s.retiring {
		return
	}
	s.retiring, s.sendLoad = true, true
	t.rejectSessionReservations(s, wire.NotRunLeaving)
	s.delayClose(t.now)
}

// delayClose postpones the close of a session that is retiring.
func (s *session) delayClose(now time.Time) { s.closeAfter = now.Add(retireDelay) }

// finished reports whether no run of a session can still end.
func (t *Table) finished(s *session) bool {
	for _, r := range s.runs {
		end := t.on(r.on)
		awaits := t.awaitsNextIncarnation(r)
		end()
		if !awaits {
			return false
		}
	}
	return true
}

// closeRetired closes the retiring sessions whose runs have ended.
func (t *Table) closeRetired() {
	for conn, s := range t.sessions.AllFromFront() {
		if s.retiring && t.finished(s) && !t.now.Before(s.closeAfter) {
			t.options.Outbox.Close(conn)
		}
	}
}
