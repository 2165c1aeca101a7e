package dispatcher

import (
	"time"

	"github.com/camphorrack/camphorrack/internal/dispatch"
	"github.com/camphorrack/camphorrack/internal/wire"
)

const (
	// verifyInterval is how often the callers of jobs without an answer are verified.
	verifyInterval = 100 * time.Millisecond
	// maxReceipts covers the age of the oldest confirmation that a peer may have given for the callers
	// of its jobs, and two intervals more.
	maxReceipts = 8
)

// receipt states that the frames of a session up to seq had been received at a time.
type receipt struct {
	at  time.Time
	seq uint64
}

// receipts are the newest receipts of a session, in order.
type receipts struct {
	list [maxReceipts]receipt
	n    int
}

// add adds a receipt, and drops the oldest if there are too many. It replaces the newest one if that
// came soon after the one before, so that the receipts cover some intervals however often it is called.
func (r *receipts) add(at time.Time, seq uint64) {
	if r.n >= 2 && r.list[r.n-1].at.Sub(r.list[r.n-2].at) < verifyInterval/2 {
		r.list[r.n-1] = receipt{at, seq}
		return
	}
	if r.n == maxReceipts {
		copy(r.list[:], r.list[1:])
		r.n--
	}
	r.list[r.n] = receipt{at, seq}
	r.n++
}

// newest returns the number of the newest frame that had been received by a time; 0: none is known.
func (r *receipts) newest(by time.Time) (seq uint64) {
	for _, rc := range r.list[:r.n] {
		if !rc.at.After(by) {
			seq = rc.seq
		}
	}
	return seq
}

// verifyWanted verifies that callers wait, recalls what nobody wants any more, and confirms to each
// runner the frames received by the time as of which all its orders are wanted. It runs on the control
// goroutine, so that nothing is confirmed while that is late. Recalls are queued before confirmations.
func (d *Dispatcher) verifyWanted(s *state) {
	for _, r := range d.sessions.runners {
		seq := r.conn.ReceivedSeq()
		r.receipts.add(d.clock.Now(), seq) // the time is read after the number
	}
	now := d.clock.Now()
	known := now
	if at := d.handover.CallersKnownAt(); !at.IsZero() {
		known = now.Add(-time.Since(at))
	}
	s.verifyAt = now.Add(verifyInterval)
	s.core.VerifyCallers(now)
	s.core.Flush()
	for id, r := range d.sessions.runners {
		wantedAt := s.core.WantedAt(dispatch.ConnID(id))
		if known.Before(wantedAt) {
			wantedAt = known
		}
		r.conn.Confirm(r.receipts.newest(wantedAt))
		if !r.confirmed {
			r.confirmed = true
			r.conn.Send(&wire.ToAgent{}) // carries the confirmation, without which the runner starts nothing
		}
	}
}

// flush sends the frames that have accumulated. Sessions that were opened meanwhile get their first
// confirmation, once for all that one batch of commands has opened.
func (d *Dispatcher) flush(s *state) {
	if s.verifySoon {
		s.verifySoon = false
		d.verifyWanted(s)
		return
	}
	s.core.Flush()
}
