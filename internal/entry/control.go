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
	tickEvery = 10 * time.Millisecond
	// idleTickEvery is the pace while no job waits for its answer and ticks only
	// forget what is old: a hundred wake-ups a second cost 1 % of a core.
	idleTickEvery = 100 * time.Millisecond
	// maxCommands bounds what waits for the control goroutine. At some 20 us a
	// command a full channel is about 80 ms of work; more would only delay the
	// heartbeat of decisions further.
	maxCommands = 4096
	// maxBatch bounds the commands between two flushes, so that starts and
	// acknowledgements don't wait for a long line of submissions.
	maxBatch = 256
	// busyAfter is how long a request waits for room in the channel before its
	// caller is told to come back.
	busyAfter = 500 * time.Millisecond
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

// command is something to do with the control state, on the control goroutine.
type command = control.Command[core]

// controlLoop is the goroutine that owns the control state.
type controlLoop struct {
	*control.Loop[core]
	endOnce sync.Once
}

func newControl(c core, k clock.Clock, log logr.Logger, turned func(control.Turn)) *controlLoop {
	stalls := gauges.StallObserver(log, idleTickEvery)
	return &controlLoop{Loop: control.New(control.Options[core]{
		State: c, Clock: k,
		Tick: func(now time.Time, c core) {
			stalls()
			c.Tick(now)
		},
		TickInterval: pace,
		Flush:        core.Flush, MaxCommands: maxCommands, MaxBatch: maxBatch, OnTurn: turned,
	})}
}

func pace(c core) time.Duration {
	if c.Idle() {
		return idleTickEvery
	}
	return tickEvery
}

// do runs a command and waits until it is done. The error is control.ErrBusy, where
// it was not executed, or control.ErrStopped.
func (l *controlLoop) do(run command) error { return l.Do(busyAfter, run) }

// post hands over a command without waiting for it; errors are as for do.
func (l *controlLoop) post(run command) error { return l.Post(busyAfter, run) }
