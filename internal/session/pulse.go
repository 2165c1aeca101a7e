package session

import (
	"sync"
	"time"
)

// pulse follows the signs of life of a connection, and decides when a heartbeat is
// due and when the connection counts as silent.
//
// A connection is active while frames with content have moved lately, in either
// direction; both ends see the same frames, so both agree. An active connection
// has work in flight and is watched closely. An idle one is watched loosely: at
// the design size an entry holds hundreds of connections, and a close watch over
// all of them would take more than its budget for control traffic. Nothing is lost
// by it, because the first frame with content makes the connection active, and its
// loss is noticed as fast as any: within Silent and two heartbeats.
type pulse struct {
	o Options

	mu          sync.Mutex
	lastSent    uint64 // number of our last frame
	acked       uint64 // highest number that the peer has heard
	wroteAt     time.Time
	heardAt     time.Time
	activeAt    time.Time // when a frame with content moved last
	activeSince time.Time // when the present, or last, active time began
	// waitingSince is when the peer last made progress, or when the first frame it
	// has not acknowledged was sent, whichever is later.
	waitingSince time.Time

	contentSent uint64 // number of our last frame with content
	// contentSince is the same as waitingSince for frames with content. An
	// acknowledgement of older frames, still on its way from before a cut, must not
	// start the time of a frame anew that was lost in it.
	contentFrom  uint64 // first frame with content that contentSince is about
	contentSince time.Time
}

func newPulse(o Options, now time.Time) *pulse {
	return &pulse{o: o, heardAt: now, activeAt: now, activeSince: now}
}

// sending numbers a frame that is about to be written.
func (p *pulse) sending(now time.Time, content bool) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noteContent(now, content)
	if p.acked == p.lastSent {
		p.waitingSince = now
	}
	p.wroteAt = now
	p.lastSent++
	if content {
		if p.acked >= p.contentSent {
			p.contentFrom, p.contentSince = p.lastSent, now
		}
		p.contentSent = p.lastSent
	}
	return p.lastSent
}

// heard takes a frame of the peer that acknowledges ours up to ack, and reports
// whether the connection was idle and is active now. A number that goes back, or
// that was never sent, is a *SequenceError.
func (p *pulse) heard(now time.Time, ack uint64, content bool) (woken bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ack < p.acked {
		return false, &SequenceError{Want: p.acked, Got: ack}
	}
	if ack > p.lastSent {
		return false, &SequenceError{Want: p.lastSent, Got: ack}
	}
	if ack > p.acked {
		p.acked = ack
		p.waitingSince = now
		if ack >= p.contentFrom {
			p.contentFrom, p.contentSince = ack+1, now
		}
	}
	p.heardAt = now
	return p.noteContent(now, content), nil
}

func (p *pulse) noteContent(now time.Time, content bool) (woken bool) {
	if !content {
		return false
	}
	if !p.active(now) {
		p.activeSince = now
		woken = true
	}
	p.activeAt = now
	return woken
}

func (p *pulse) active(now time.Time) bool { return now.Sub(p.activeAt) < p.o.ActiveWindow }

// heartbeatDue reports whether an empty frame should go out. None does before the
// first frame, which opens the session.
func (p *pulse) heartbeatDue(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastSent > 0 && !now.Before(p.wroteAt.Add(p.heartbeat(now)))
}

// heartbeat is the longest pause between our frames. It stays short for a while
// after the active time, since the peer's may end a little later.
func (p *pulse) heartbeat(now time.Time) time.Duration {
	if now.Sub(p.activeAt) < p.o.ActiveWindow+p.o.IdleHeartbeatInterval {
		return p.o.HeartbeatInterval
	}
	return p.o.IdleHeartbeatInterval
}

// silence returns why the connection must be given up, or "".
func (p *pulse) silence(now time.Time) Reason {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := p.limit(now)
	if now.Sub(later(p.heardAt, p.activeSince)) > limit {
		return ReasonSilent
	}
	// The one-directional cut: the peer's heartbeats still come in, so silence never
	// shows here, but nothing of ours gets there, and starts and answers would be
	// lost for as long as the connection is kept.
	if p.lastSent > p.acked && now.Sub(later(p.waitingSince, p.activeSince)) > limit {
		return ReasonUnacknowledged
	}
	if p.contentSent > p.acked && now.Sub(p.contentSince) > p.o.SilenceTimeout {
		return ReasonUnacknowledged // whether or not the connection is active
	}
	return ""
}

func (p *pulse) limit(now time.Time) time.Duration {
	if p.active(now) {
		return p.o.SilenceTimeout
	}
	return p.o.IdleSilenceTimeout
}

// nextLook is how long the writer may sleep before it looks again.
func (p *pulse) nextLook(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	untilHeartbeat := p.wroteAt.Add(p.heartbeat(now)).Sub(now)
	if p.lastSent == 0 {
		untilHeartbeat = p.o.HeartbeatInterval
	}
	// Silence is looked for at each heartbeat at least, so it is found at most one
	// heartbeat late.
	return max(untilHeartbeat, time.Millisecond)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
