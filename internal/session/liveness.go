package session

import (
	"slices"
	"sync"
	"time"
)

// liveness tracks the frames and acknowledgements of a connection, and decides when a
// heartbeat is due and when the connection counts as silent. It is safe for concurrent use.
//
// A connection is active for Options.ActiveWindow after a frame with content in either
// direction. Both ends see the same frames, so they agree on it. An active connection has
// work in flight and uses short intervals. An idle one uses long intervals: at the design
// size an entry holds hundreds of connections, and short intervals on all of them would
// exceed its budget for control traffic. This does not delay the detection of lost work,
// because the first frame with content makes the connection active, and its loss is
// detected like any other, within SilenceTimeout and two heartbeat intervals.
type liveness struct {
	options Options

	mu            sync.Mutex
	lastSentSeq   uint64      // number of the last frame sent
	ackedSeq      uint64      // highest number that the peer has acknowledged
	ackedSentAt   time.Time   // when the frame with that number was sent
	unackedSentAt []time.Time // when the frames above ackedSeq were sent, in order
	sentMarks     []sentMark  // of frames above confirmedSeq, in order
	confirmedSeq  uint64      // highest number that the peer has confirmed
	confirmedSent time.Time   // when the frame of the newest mark up to it was sent
	lastWriteAt   time.Time
	lastReceiveAt time.Time
	lastContentAt time.Time // time of the last frame with content, sent or received
	activeSince   time.Time // start of the current, or else the latest, active period
	// unackedSince is the time of the last new acknowledgement, or of sending the first
	// unacknowledged frame, whichever is later.
	unackedSince time.Time

	lastContentSeq uint64 // number of the last frame with content sent
	// contentUnackedSince is the equivalent of unackedSince for frames with content. Only
	// acknowledgements of contentAckFrom or above restart it: one of an older frame, still
	// in transit from before a loss of connectivity, must not extend the timeout of a
	// frame that was lost.
	contentAckFrom      uint64
	contentUnackedSince time.Time
}

// sentMark is the time at which a frame was sent.
type sentMark struct {
	seq    uint64
	sentAt time.Time
}

const (
	// markInterval is the shortest time between two marks. A confirmed frame without a mark counts
	// as sent at the mark before.
	markInterval = 5 * time.Millisecond
	// maxMarks limits the marks that are kept for a peer that confirms nothing. The oldest are
	// dropped, half of them at a time.
	maxMarks = 400
)

func newLiveness(o Options, now time.Time) *liveness {
	return &liveness{options: o, lastReceiveAt: now, lastContentAt: now, activeSince: now}
}

// recordSend records a frame that is about to be written and returns its number.
func (l *liveness) recordSend(now time.Time, content bool) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordContent(now, content)
	if l.ackedSeq == l.lastSentSeq {
		l.unackedSince = now
	}
	l.lastWriteAt = now
	l.lastSentSeq++
	l.mark(now)
	l.unackedSentAt = append(l.unackedSentAt, now)
	if content {
		if l.ackedSeq >= l.lastContentSeq {
			l.contentAckFrom, l.contentUnackedSince = l.lastSentSeq, now
		}
		l.lastContentSeq = l.lastSentSeq
	}
	return l.lastSentSeq
}

// recordReceive records a received frame that acknowledges sent frames up to ack, and
// reports whether it made an idle connection active. An ack below an earlier one, or above
// the last frame sent, is a *SequenceError.
func (l *liveness) recordReceive(now time.Time, ack uint64, content bool) (activated bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ack < l.ackedSeq {
		return false, &SequenceError{Want: l.ackedSeq, Got: ack}
	}
	if ack > l.lastSentSeq {
		return false, &SequenceError{Want: l.lastSentSeq, Got: ack}
	}
	if ack > l.ackedSeq {
		l.ackedSentAt = l.unackedSentAt[ack-l.ackedSeq-1]
		l.unackedSentAt = slices.Delete(l.unackedSentAt, 0, int(ack-l.ackedSeq))
		l.ackedSeq = ack
		l.unackedSince = now
		if ack >= l.contentAckFrom {
			l.contentAckFrom, l.contentUnackedSince = ack+1, now
		}
	}
	l.lastReceiveAt = now
	return l.recordContent(now, content), nil
}

// acknowledgedAt returns when the newest acknowledged frame was sent; zero: there is none.
func (l *liveness) acknowledgedAt() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ackedSentAt
}

// mark keeps the send time of the newest frame. The caller holds the lock.
func (l *liveness) mark(now time.Time) {
	n := len(l.sentMarks)
	if n > 0 && now.Sub(l.sentMarks[n-1].sentAt) < markInterval {
		return
	}
	if n >= maxMarks {
		l.sentMarks = slices.Delete(l.sentMarks, 0, maxMarks/2)
	}
	l.sentMarks = append(l.sentMarks, sentMark{l.lastSentSeq, now})
}

// recordConfirmation records the confirmation of sent frames up to a number; 0: none. A number below an
// earlier one, or above the last frame sent, is a *SequenceError.
func (l *liveness) recordConfirmation(confirmed uint64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case confirmed < l.confirmedSeq:
		return &SequenceError{Want: l.confirmedSeq, Got: confirmed}
	case confirmed > l.lastSentSeq:
		return &SequenceError{Want: l.lastSentSeq, Got: confirmed}
	}
	l.confirmedSeq = confirmed
	n := 0
	for n < len(l.sentMarks) && l.sentMarks[n].seq <= confirmed {
		n++
	}
	if n > 0 {
		l.confirmedSent = l.sentMarks[n-1].sentAt
		l.sentMarks = slices.Delete(l.sentMarks, 0, n)
	}
	return nil
}

// confirmedAt returns when the newest confirmed frame was sent; zero: there is none.
func (l *liveness) confirmedAt() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.confirmedSent
}

// recordContent records a frame sent or received, and reports whether it made an idle
// connection active.
func (l *liveness) recordContent(now time.Time, content bool) (activated bool) {
	if !content {
		return false
	}
	if !l.isActive(now) {
		l.activeSince = now
		activated = true
	}
	l.lastContentAt = now
	return activated
}

// isActive reports whether a frame with content was sent or received within ActiveWindow.
func (l *liveness) isActive(now time.Time) bool {
	return now.Sub(l.lastContentAt) < l.options.ActiveWindow
}

// heartbeatDue reports whether a frame without content should be sent. None is sent before
// the first frame, which opens the session.
func (l *liveness) heartbeatDue(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastSentSeq > 0 && !now.Before(l.lastWriteAt.Add(l.heartbeatInterval(now)))
}

// heartbeatInterval returns the longest pause between two sent frames. It stays short for
// IdleHeartbeatInterval after the active period, because that of the peer may end slightly
// later.
func (l *liveness) heartbeatInterval(now time.Time) time.Duration {
	if now.Sub(l.lastContentAt) < l.options.ActiveWindow+l.options.IdleHeartbeatInterval {
		return l.options.HeartbeatInterval
	}
	return l.options.IdleHeartbeatInterval
}

// timeoutReason returns the reason to close the connection as silent, or "".
func (l *liveness) timeoutReason(now time.Time) Reason {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.silenceTimeout(now)
	if now.Sub(later(l.lastReceiveAt, l.activeSince)) > limit {
		return ReasonSilent
	}
	// Connectivity may be lost in one direction only. The peer's heartbeats still arrive,
	// but it receives no frames, so starts and answers would be lost for as long as the
	// connection stays open.
	if l.lastSentSeq > l.ackedSeq && now.Sub(later(l.unackedSince, l.activeSince)) > limit {
		return ReasonUnacknowledged
	}
	if l.lastContentSeq > l.ackedSeq && now.Sub(l.contentUnackedSince) > l.options.SilenceTimeout {
		return ReasonUnacknowledged // also on an idle connection
	}
	return ""
}

// silenceTimeout returns the timeout that applies to the active or idle connection.
func (l *liveness) silenceTimeout(now time.Time) time.Duration {
	if l.isActive(now) {
		return l.options.SilenceTimeout
	}
	return l.options.IdleSilenceTimeout
}

// nextCheckIn returns the time after which the writer must check the connection again.
func (l *liveness) nextCheckIn(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	untilHeartbeat := l.lastWriteAt.Add(l.heartbeatInterval(now)).Sub(now)
	if l.lastSentSeq == 0 {
		untilHeartbeat = l.options.HeartbeatInterval
	}
	// Silence is checked at least once per heartbeat interval, so it is detected at most
	// one interval late.
	return max(untilHeartbeat, time.Millisecond)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
