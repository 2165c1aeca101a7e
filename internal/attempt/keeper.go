package attempt

import (
	"time"

	"github.com/camphorrack/camphorrack/internal/wire"
)

const (
	// keepGone is how long final reports wait for an owner that went away. A cut
	// that outlives it outlives nearly every sub-second task's deadline too, and
	// then nobody waits for the result.
	keepGone = 30 * time.Second
	// maxKeptBytes caps the results kept for owners that went away, against a cut
	// that takes many owners with large results at once.
	maxKeptBytes = 8 << 20
	// drainReconnect is how long a drained agent stays for an owner that lost its
	// connection while it held credits or had reports due: enough for the session
	// to be found silent and dialled anew twice.
	drainReconnect = 5 * time.Second
)

// keeper holds and drops what owners that went away left behind.
type keeper struct{ *board }

// expire forgets the reports of owners that are gone for too long.
func (k keeper) expire() {
	for _, o := range k.owners {
		if o.conn == 0 && k.now.Sub(o.goneAt) > keepGone {
			k.forget(o)
		}
	}
}

// trim forgets the longest gone owners' reports until the rest fits its bound.
func (k keeper) trim() {
	for {
		total := 0
		var oldest *owner
		for _, o := range k.owners {
			if o.conn != 0 || o.bytes == 0 {
				continue
			}
			total += o.bytes
			if oldest == nil || o.goneAt.Before(oldest.goneAt) {
				oldest = o
			}
		}
		if total <= maxKeptBytes {
			return
		}
		k.forget(oldest)
	}
}

// forget drops an owner's finished attempts. From then on the agent can't tell an
// attempt that ran from one that never came, and answers "unknown" for both: an
// untrue "not run" would make the owner start the task a second time.
func (k keeper) forget(o *owner) {
	o.forgotten = max(o.forgotten, o.highest)
	for seq, a := range o.attempts {
		if a.state != wire.Running {
			delete(o.attempts, seq)
		}
	}
	o.unacked, o.bytes = 0, 0
	if len(o.attempts) == 0 {
		delete(k.owners, o.incarnation)
		k.past[o.incarnation] = o.highest
	}
}

// mayHaveForgotten reports whether an attempt without a record may have run.
func (o *owner) mayHaveForgotten(seq uint64) bool {
	return seq < o.settled || seq <= o.forgotten
}

// due reports whether a draining agent should wait for the owner.
func (k keeper) due(o *owner) bool {
	if o.unacked == 0 && o.credits.unspent() == 0 {
		return false
	}
	return o.conn != 0 || k.now.Sub(o.goneAt) <= drainReconnect
}
