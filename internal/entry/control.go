package entry

import (
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/config"
	"github.com/camphorrack/camphorrack/internal/control"
	"github.com/camphorrack/camphorrack/internal/gauges"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/owner"
	"github.com/camphorrack/camphorrack/internal/wire"
)

const (
	tickInterval = 10 * time.Millisecond
	// idleTickInterval is the tick interval while no job waits for its answer and ticks
	// only drop expired state: a hundred wake-ups a second cost 1 % of a core.
	idleTickInterval = 100 * time.Millisecond
	// maxCommands bounds the command queue of the control goroutine. At some 20 us a
	// command, a full queue is about 80 ms of work; a longer one would only add to the
	// delay of the decisions that ticks make.
	maxCommands = 4096
	// maxBatch bounds the commands between two flushes, so that starts and
	// acknowledgements don't wait for a long queue of submissions.
	maxBatch = 256
	// enqueueTimeout is how long a request waits for room in the command queue before it
	// fails as undecided, and how long its caller should then wait before a retry.
	enqueueTimeout = 500 * time.Millisecond
)

// core is the control state; *owner.Core implements it.
type core interface {
	Submit(now time.Time, s *job.Submission, w owner.AnswerFunc) (stop func(), err error)
	Await(now time.Time, id job.ID, w owner.AnswerFunc) (stop func(), err error)
	MarkUndelivered(id job.ID)
	Cancel(now time.Time, id job.ID) error
	HasID(id job.ID) bool
	Connect(now time.Time, conn owner.ConnID, h *wire.Hello)
	Receive(now time.Time, conn owner.ConnID, f *wire.ToEntry) error
	Disconnect(now time.Time, conn owner.ConnID)
	AddPeers(now time.Time, named []wire.Peer)
	Peers() []wire.Peer
	Tick(now time.Time)
	Configure(now time.Time, applied *config.Applied)
	Flush()
	Drain(now time.Time)
	Idle() bool
	Targets() []owner.TargetStatus
	Status() owner.Status
}

// command is an operation on the control state. It runs on the control goroutine.
type command = control.Command[core]

// controlLoop runs the goroutine that owns the control state.
type controlLoop struct {
	*control.Loop[core]
	finishOnce sync.Once
}

func newControl(c core, k clock.Clock, log logr.Logger, onTurn func(control.Turn)) *controlLoop {
	stalls := gauges.StallObserver(log, idleTickInterval)
	return &controlLoop{Loop: control.New(control.Options[core]{
		State: c, Clock: k,
		Tick: func(now time.Time, c core) {
			stalls()
			c.Tick(now)
		},
		TickInterval: currentTickInterval,
		Flush:        core.Flush, MaxCommands: maxCommands, MaxBatch: maxBatch, OnTurn: onTurn,
	})}
}

// currentTickInterval returns the time until the next tick.
func currentTickInterval(c core) time.Duration {
	if c.Idle() {
		return idleTickInterval
	}
	return tickInterval
}

// do runs a command and waits until it has run. The error is control.ErrBusy, if the queue
// stayed full and the command was not executed, or control.ErrStopped.
func (l *controlLoop) do(run command) error { return l.Do(enqueueTimeout, run) }

// post queues a command without waiting until it has run; the errors are those of do.
func (l *controlLoop) post(run command) error { return l.Post(enqueueTimeout, run) }
