package attempt

import (
	"time"

	"github.com/camphorrack/camphorrack/internal/wire"
)

const (
	// reportRetention is how long final reports are kept for a disconnected owner. A
	// longer outage also exceeds the deadline of nearly every sub-second task, whose
	// result is then no longer needed.
	reportRetention = 30 * time.Second
	// maxRetainedBytes caps the results kept for all disconnected owners, in case an
	// outage disconnects many owners with large results at once.
	maxRetainedBytes = 8 << 20
	// drainReconnectTimeout is how long a drained agent waits for an owner that
	// disconnected with unspent credits or unacknowledged reports. It is long enough for
	// the session to time out and be redialled twice.
	drainReconnectTimeout = 5 * time.Second
)

// retention limits how long and how much the agent keeps for disconnected owners.
type retention struct{ *tableState }

// expire drops the records of owners disconnected for longer than reportRetention.
func (r retention) expire() {
	for _, o := range r.owners {
		if o.conn == 0 && r.now.Sub(o.disconnectedAt) > reportRetention {
			r.forget(o)
		}
	}
}

// enforceRetainedBytes drops the records of the longest disconnected owners until the
// rest fits within maxRetainedBytes.
func (r retention) enforceRetainedBytes() {
	for {
		total := 0
		var oldest *owner
		for _, o := range r.owners {
			if o.conn != 0 || o.unackedBytes == 0 {
				continue
			}
			total += o.unackedBytes
			if oldest == nil || o.disconnectedAt.Before(oldest.disconnectedAt) {
				oldest = o
			}
		}
		if total <= maxRetainedBytes {
			return
		}
		r.forget(oldest)
	}
}

// forget drops an owner's finished attempts. From then on the agent can't distinguish
// an attempt that ran from one that never arrived and reports both as unknown: a false
// "not run" would make the owner start the task a second time.
func (r retention) forget(o *owner) {
	o.forgottenThrough = max(o.forgottenThrough, o.highestSeq)
	for seq, a := range o.attempts {
		if a.state != wire.Running {
			delete(o.attempts, seq)
		}
	}
	o.unackedReports, o.unackedBytes = 0, 0
	if len(o.attempts) == 0 {
		delete(r.owners, o.incarnation)
		r.departedHighestSeq[o.incarnation] = o.highestSeq
	}
}

// mayHaveForgotten reports whether an attempt without a record may have run before its
// record was dropped.
func (o *owner) mayHaveForgotten(seq uint64) bool {
	return seq < o.settledBelow || seq <= o.forgottenThrough
}

// blocksDrain reports whether a draining agent must still wait for the owner.
func (r retention) blocksDrain(o *owner) bool {
	if o.unackedReports == 0 && o.credits.unspent() == 0 {
		return false
	}
	return o.conn != 0 || r.now.Sub(o.disconnectedAt) <= drainReconnectTimeout
}
