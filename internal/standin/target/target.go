// Package target is a stand-in for a user's back end: it simulates tasks of a given run time,
// can be switched to failure modes, and counts every start itself, so that tests don't depend
// on the system's own counters.
package target

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/camphorrack/camphorrack/internal/clock"
)

// Mode is a normal or faulty behaviour of the target.
type Mode string

// FailAll fails each task at once. Hang never completes a task. Slow multiplies run times by
// Behaviour.Factor. Freeze completes no task and sends no announcements.
const (
	Normal  Mode = "normal"
	FailAll Mode = "fail_all"
	Hang    Mode = "hang"
	Slow    Mode = "slow"
	Freeze  Mode = "freeze"
)

// Behaviour is the body of POST /mode and of its response.
type Behaviour struct {
	Mode   Mode    `json:"mode"`
	Factor float64 `json:"factor,omitempty"` // run time multiplier, for Slow only
}

// Workload is the payload of a simulated task.
type Workload struct {
	RunMs float64 `json:"run_ms"` // run time at speed 1
	Echo  string  `json:"echo"`   // returned as the result
}

// Run is one entry of the start log. Times are Unix microseconds of a monotonic clock.
type Run struct {
	Task    string `json:"task"`
	StartUs int64  `json:"start_us"`
	EndUs   int64  `json:"end_us"` // 0 while it runs
	Ended   string `json:"ended"`  // "succeeded", "failed" or "cut_off"
}

// Starts is the response of GET /starts.
type Starts struct {
	Counts     map[string]int `json:"counts"` // number of starts by "job/task"
	Total      int            `json:"total"`
	Succeeded  int            `json:"succeeded"`
	Failed     int            `json:"failed"`
	CutOff     int            `json:"cut_off"`
	MaxRunning int            `json:"max_running"`
	Log        []Run          `json:"log,omitempty"` // only with ?log=1
}

// Target runs simulated tasks in a fixed number of slots and counts their starts and ends.
type Target struct {
	speed float64
	slots *semaphore.Weighted
	clock clock.Clock

	mu               sync.Mutex
	behaviour        Behaviour
	behaviourChanged chan struct{} // closed and replaced when the behaviour changes
	draining         bool
	running          int
	lastStart        time.Time
	starts           Starts
}

func newTarget(slots int, speed float64) *Target {
	return &Target{
		speed:            speed,
		slots:            semaphore.NewWeighted(int64(slots)),
		clock:            clock.NewAnchored(),
		behaviour:        Behaviour{Mode: Normal},
		behaviourChanged: make(chan struct{}),
		starts:           Starts{Counts: map[string]int{}},
	}
}

func (t *Target) setBehaviour(b Behaviour) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.behaviour = b
	close(t.behaviourChanged)
	t.behaviourChanged = make(chan struct{})
}

// currentBehaviour returns the behaviour and a channel that is closed when it changes.
func (t *Target) currentBehaviour() (Behaviour, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.behaviour, t.behaviourChanged
}

// outcome is how a task ended.
type outcome string

const (
	succeeded outcome = "succeeded"
	failed    outcome = "failed"
	cutOff    outcome = "cut_off" // the caller closed the connection
)

// run waits for a free slot and runs the task in it. started is false if ctx ended before a
// slot became free.
func (t *Target) run(ctx context.Context, task string, w *Workload) (r outcome, started bool) {
	if t.slots.Acquire(ctx, 1) != nil {
		return cutOff, false
	}
	defer t.slots.Release(1)
	entry := t.recordStart(task)
	r = t.simulate(ctx, w)
	t.recordEnd(entry, r)
	return r, true
}

// simulate waits for the run time of w, or as the current behaviour requires. It returns
// cutOff when ctx ends first.
func (t *Target) simulate(ctx context.Context, w *Workload) outcome {
	for {
		b, changed := t.currentBehaviour()
		var done <-chan time.Time
		switch b.Mode {
		case FailAll:
			return failed
		case Hang, Freeze:
		case Slow:
			done = time.After(t.scaledDuration(w.RunMs * b.Factor))
		default:
			done = time.After(t.scaledDuration(w.RunMs))
		}
		select {
		case <-ctx.Done():
			return cutOff
		case <-done:
			return succeeded
		case <-changed:
			if b.Mode != Hang && b.Mode != Freeze {
				// A change of the behaviour applies only to tasks that hang; running ones keep their
				// run time.
				return t.awaitEnd(ctx, done)
			}
		}
	}
}

// awaitEnd waits until done delivers or ctx ends.
func (t *Target) awaitEnd(ctx context.Context, done <-chan time.Time) outcome {
	select {
	case <-ctx.Done():
		return cutOff
	case <-done:
		return succeeded
	}
}

// scaledDuration returns the time that a run of ms milliseconds at speed 1 takes on this target.
func (t *Target) scaledDuration(ms float64) time.Duration {
	return time.Duration(ms / t.speed * float64(time.Millisecond))
}

// recordStart counts a start and returns the index of its log entry, for recordEnd.
func (t *Target) recordStart(task string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running++
	t.lastStart = t.clock.Now()
	t.starts.Counts[task]++
	t.starts.Total++
	t.starts.MaxRunning = max(t.starts.MaxRunning, t.running)
	t.starts.Log = append(t.starts.Log, Run{Task: task, StartUs: t.lastStart.UnixMicro()})
	return len(t.starts.Log) - 1
}

func (t *Target) recordEnd(entry int, r outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	t.starts.Log[entry].EndUs = t.clock.Now().UnixMicro()
	t.starts.Log[entry].Ended = string(r)
	switch r {
	case succeeded:
		t.starts.Succeeded++
	case failed:
		t.starts.Failed++
	case cutOff:
		t.starts.CutOff++
	}
}

// snapshot returns a copy of the counts, with the start log if withLog is set.
func (t *Target) snapshot(withLog bool) Starts {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.starts
	s.Counts = make(map[string]int, len(t.starts.Counts))
	for task, n := range t.starts.Counts {
		s.Counts[task] = n
	}
	if withLog {
		s.Log = append([]Run(nil), t.starts.Log...)
	} else {
		s.Log = nil
	}
	return s
}

// idleTime returns the time since the last start, or 0 while a task is running. Without any
// start it exceeds every timeout.
func (t *Target) idleTime() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running > 0 {
		return 0
	}
	return t.clock.Now().Sub(t.lastStart)
}

// drain marks the target as leaving, which its announcements then report.
func (t *Target) drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
}

func (t *Target) isDraining() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.draining
}
