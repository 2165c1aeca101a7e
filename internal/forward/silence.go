package forward

import (
	"sync"
	"time"
)

// quanta is in how many parts a peer's silence is counted.
const quanta = 8

// silence counts for how long nothing was heard of a peer. Time in which this process
// did not run is not the peer's: a reply may wait in a socket that nobody could read.
// So silence is counted in quanta of which each counts once however long it took, and
// a peer is given up only after one that was on time.
type silence struct {
	limit   time.Duration
	counted time.Duration
	last    time.Time // of the last look, or when the peer was heard
}

func newSilence(now time.Time, limit time.Duration) silence { return silence{limit: limit, last: now} }

// quantum is the time between two looks.
func (s *silence) quantum() time.Duration { return s.limit / quanta }

// heard notes a sign of life.
func (s *silence) heard(now time.Time) { s.counted, s.last = 0, now }

// look counts the time since the last look and reports whether the peer is silent.
func (s *silence) look(now time.Time) bool {
	gap := now.Sub(s.last)
	s.last = now
	s.counted += min(gap, s.quantum())
	return s.counted >= s.limit && gap < 2*s.quantum()
}

// watch cancels a call on whose connection nothing moved for too long.
type watch struct {
	giveUp func()

	mu      sync.Mutex
	silence silence
	timer   *time.Timer
	stopped bool
}

func newWatch(limit time.Duration, giveUp func()) *watch {
	w := &watch{giveUp: giveUp, silence: newSilence(time.Now(), limit)}
	w.mu.Lock() // look may run before the timer is assigned
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.silence.quantum(), w.look)
	return w
}

func (w *watch) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	if w.silence.look(time.Now()) {
		w.giveUp()
		return
	}
	w.timer.Reset(w.silence.quantum())
}

// moved notes that bytes moved.
func (w *watch) moved() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silence.heard(time.Now())
}

func (w *watch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}
