// Package target is a small stand-in for a user's back end: it runs tasks that
// only take time, can be told to misbehave, and counts every start on its own, so
// that a test need not believe the system's counters.
package target

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/camphorrack/camphorrack/internal/clock"
)

// Mode is how the target behaves.
type Mode string

// Modes. FailAll fails each task at once; Hang never answers; Slow takes Factor
// times as long; Freeze does nothing at all any more, announcing included.
const (
	Normal  Mode = "normal"
	FailAll Mode = "fail_all"
	Hang    Mode = "hang"
	Slow    Mode = "slow"
	Freeze  Mode = "freeze"
)

// Behaviour is the body of POST /mode.
type Behaviour struct {
	Mode   Mode    `json:"mode"`
	Factor float64 `json:"factor,omitempty"` // for Slow
}

// Workload is the payload of a task.
type Workload struct {
	RunMs float64 `json:"run_ms"` // real run time at speed 1
	Echo  string  `json:"echo"`   // the result
}

// Run is one start in the log. Times are Unix microseconds that never go back.
type Run struct {
	Task    string `json:"task"`
	StartUs int64  `json:"start_us"`
	EndUs   int64  `json:"end_us"` // 0 while it runs
	Ended   string `json:"ended"`  // "succeeded", "failed" or "cut_off"
}

// Starts is the answer of GET /starts.
type Starts struct {
	Counts     map[string]int `json:"counts"` // starts of each "job/task"
	Total      int            `json:"total"`
	Succeeded  int            `json:"succeeded"`
	Failed     int            `json:"failed"`
	CutOff     int            `json:"cut_off"`
	MaxRunning int            `json:"max_running"`
	Log        []Run          `json:"log,omitempty"` // with ?log=1
}

// Target holds the slots and the counts.
type Target struct {
	speed float64
	slots *semaphore.Weighted
	clock clock.Clock

	mu        sync.Mutex
	behaviour Behaviour
	changed   chan struct{} // closed when the behaviour changes
	leaving   bool
	running   int
	lastStart time.Time
	starts    Starts
}

func newTarget(slots int, speed float64) *Target {
	return &Target{
		speed:     speed,
		slots:     semaphore.NewWeighted(int64(slots)),
		clock:     clock.NewAnchored(),
		behaviour: Behaviour{Mode: Normal},
		changed:   make(chan struct{}),
		starts:    Starts{Counts: map[string]int{}},
	}
}

func (t *Target) setBehaviour(b Behaviour) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.behaviour = b
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *Target) behaves() (Behaviour, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.behaviour, t.changed
}

// result is how a task ended at the target.
type result string

const (
	succeeded result = "succeeded"
	failed    result = "failed"
	cutOff    result = "cut_off" // the caller closed the connection
)

// run takes a slot and runs the task in it. started is false when ctx ended
// before there was a slot.
func (t *Target) run(ctx context.Context, task string, w *Workload) (r result, started bool) {
	if t.slots.Acquire(ctx, 1) != nil {
		return cutOff, false
	}
	defer t.slots.Release(1)
	at := t.begin(task)
	r = t.spend(ctx, w)
	t.end(at, r)
	return r, true
}

// spend passes the task's time.
func (t *Target) spend(ctx context.Context, w *Workload) result {
	for {
		b, changed := t.behaves()
		var done <-chan time.Time
		switch b.Mode {
		case FailAll:
			return failed
		case Hang, Freeze:
		case Slow:
			done = time.After(t.duration(w.RunMs * b.Factor))
		default:
			done = time.After(t.duration(w.RunMs))
		}
		select {
		case <-ctx.Done():
			return cutOff
		case <-done:
			return succeeded
		case <-changed:
			if b.Mode != Hang && b.Mode != Freeze {
				// What runs already keeps its time; only what stands still is looked at again.
				return t.wait(ctx, done)
			}
		}
	}
}

func (t *Target) wait(ctx context.Context, done <-chan time.Time) result {
	select {
	case <-ctx.Done():
		return cutOff
	case <-done:
		return succeeded
	}
}

func (t *Target) duration(ms float64) time.Duration {
	return time.Duration(ms / t.speed * float64(time.Millisecond))
}

func (t *Target) begin(task string) int {
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

func (t *Target) end(at int, r result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	t.starts.Log[at].EndUs = t.clock.Now().UnixMicro()
	t.starts.Log[at].Ended = string(r)
	switch r {
	case succeeded:
		t.starts.Succeeded++
	case failed:
		t.starts.Failed++
	case cutOff:
		t.starts.CutOff++
	}
}

// snapshot copies the counts, and the log where it is wanted.
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

// quietFor returns how long nothing has run; 0 while something does.
func (t *Target) quietFor() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running > 0 {
		return 0
	}
	return t.clock.Now().Sub(t.lastStart)
}

func (t *Target) leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = true
}

func (t *Target) isLeaving() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leaving
}
