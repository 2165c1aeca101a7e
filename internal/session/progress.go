package session

import (
	"sync"
	"time"
)

// progress follows how far the peer has heard the frames sent on a connection.
type progress struct {
	mu       sync.Mutex
	lastSent uint64
	acked    uint64
	// waitingSince is when the peer last made progress, or when the first frame it
	// has not acknowledged was sent, whichever is later.
	waitingSince time.Time
}

// next numbers a frame that is about to be written.
func (p *progress) next(now time.Time) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.acked == p.lastSent {
		p.waitingSince = now
	}
	p.lastSent++
	return p.lastSent
}

// acknowledge notes that the peer has heard every frame up to heard. A number
// that goes back, or that was never sent, is a *SequenceError.
func (p *progress) acknowledge(heard uint64, now time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if heard < p.acked {
		return &SequenceError{Want: p.acked, Got: heard}
	}
	if heard > p.lastSent {
		return &SequenceError{Want: p.lastSent, Got: heard}
	}
	if heard > p.acked {
		p.acked = heard
		p.waitingSince = now
	}
	return nil
}

// stalled reports whether frames have been waiting for the peer's acknowledgement
// for longer than limit.
func (p *progress) stalled(now time.Time, limit time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastSent > p.acked && now.Sub(p.waitingSince) > limit
}

func (p *progress) sent() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastSent
}
