package localfleet

import (
	"sync"
	"syscall"
	"time"
)

// minRecheckInterval is the shortest time between two checks whether a time limit has passed.
const minRecheckInterval = 10 * time.Millisecond

// pauseTracker measures for how long a process or a fleet was paused. Pauses may overlap; time in
// several of them counts once.
type pauseTracker struct {
	mu          sync.Mutex
	active      int           // pauses that have begun and not ended
	activeSince time.Time     // start of the first of the active pauses
	finished    time.Duration // sum of the finished pauses
}

// begin begins a pause and reports whether it is the only active one.
func (p *pauseTracker) begin() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active++
	if p.active > 1 {
		return false
	}
	p.activeSince = time.Now()
	return true
}

// end ends a pause and reports whether no other is active.
func (p *pauseTracker) end() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active--
	if p.active > 0 {
		return false
	}
	p.finished += time.Since(p.activeSince)
	return true
}

// pausedTime returns how long pauses lasted in total, including active ones.
func (p *pauseTracker) pausedTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.active == 0 {
		return p.finished
	}
	return p.finished + time.Since(p.activeSince)
}

// afterFunc calls f in its own goroutine after the limit, like time.AfterFunc, but does not count
// time in which pauses are active. stop cancels the call.
func (p *pauseTracker) afterFunc(limit time.Duration, f func()) (stop func()) {
	startedAt, pausedBefore := time.Now(), p.pausedTime()
	var mu sync.Mutex // check may run before the timer is assigned
	var timer *time.Timer
	check := func() {
		remaining := limit - (time.Since(startedAt) - (p.pausedTime() - pausedBefore))
		if remaining <= 0 {
			f()
			return
		}
		mu.Lock()
		defer mu.Unlock()
		timer.Reset(max(remaining, minRecheckInterval))
	}
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(limit, check)
	return func() { timer.Stop() }
}

// Pause suspends the process with SIGSTOP until Resume was called as many times as Pause. On a
// process that has exited it has no effect.
func (p *Process) Pause() {
	if p.pauses.begin() {
		_ = p.cmd.Process.Signal(syscall.SIGSTOP) // fails only if it has exited
	}
}

// Resume ends one pause. The process continues after the last one.
func (p *Process) Resume() {
	if p.pauses.end() {
		_ = p.cmd.Process.Signal(syscall.SIGCONT) // fails only if it has exited
	}
}

// PauseAll pauses every running process, which simulates a stall of the machine that runs all of
// them. resume resumes them.
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

// AfterFunc calls do in its own goroutine after the limit, like time.AfterFunc, but does not count
// time in which PauseAll paused the fleet. stop cancels the call.
func (f *Fleet) AfterFunc(limit time.Duration, do func()) (stop func()) {
	return f.pauses.afterFunc(limit, do)
}
