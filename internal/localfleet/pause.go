package localfleet

import (
	"sync"
	"syscall"
	"time"
)

// leastLook is the shortest time between two looks at how long something ran.
const leastLook = 10 * time.Millisecond

// pauses adds up the time in which something was paused. Pauses may overlap.
type pauses struct {
	mu    sync.Mutex
	open  int
	since time.Time // of the first that is open
	total time.Duration
}

// begin opens a pause and reports whether it is the only one.
func (p *pauses) begin() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open++
	if p.open > 1 {
		return false
	}
	p.since = time.Now()
	return true
}

// end closes a pause and reports whether it was the last.
func (p *pauses) end() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	if p.open > 0 {
		return false
	}
	p.total += time.Since(p.since)
	return true
}

func (p *pauses) sum() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open == 0 {
		return p.total
	}
	return p.total + time.Since(p.since)
}

// afterRunning calls f once so much time has passed without the pauses.
func (p *pauses) afterRunning(limit time.Duration, f func()) (stop func()) {
	begun, before := time.Now(), p.sum()
	var mu sync.Mutex // look may run before the timer is assigned
	var timer *time.Timer
	look := func() {
		left := limit - (time.Since(begun) - (p.sum() - before))
		if left <= 0 {
			f()
			return
		}
		mu.Lock()
		defer mu.Unlock()
		timer.Reset(max(left, leastLook))
	}
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(limit, look)
	return func() { timer.Stop() }
}

// Pause stops the process until Resume was called as often. Pauses may overlap; one that
// has ended is left alone.
func (p *Process) Pause() {
	if p.pauses.begin() {
		_ = p.cmd.Process.Signal(syscall.SIGSTOP) // fails only where it has ended
	}
}

// Resume ends one pause.
func (p *Process) Resume() {
	if p.pauses.end() {
		_ = p.cmd.Process.Signal(syscall.SIGCONT) // fails only where it has ended
	}
}

// PauseAll pauses every process that runs, as a machine under all of them that stands
// still would, and returns what resumes them.
func (f *Fleet) PauseAll() (resume func()) {
	f.pauses.begin()
	var paused []*Process
	for _, p := range f.Processes() {
		if !p.Exited() {
			p.Pause()
			paused = append(paused, p)
		}
	}
	return func() {
		for _, p := range paused {
			p.Resume()
		}
		f.pauses.end()
	}
}

// AfterFunc calls f once so much time has passed in which the fleet was not paused as
// a whole.
func (f *Fleet) AfterFunc(limit time.Duration, do func()) (stop func()) {
	return f.pauses.afterRunning(limit, do)
}
