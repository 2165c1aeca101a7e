package entry

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/config"
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

var (
	// errBusy is a command that found no room; it was not executed and won't be.
	errBusy = errors.New("the control goroutine has too many commands")
	// errStopped is a command that the end of the process overtook; whether it was
	// executed is unknown.
	errStopped = errors.New("the control goroutine has ended")
)

// core is the control state; *owner.Core implements it.
type core interface {
	Submit(now time.Time, s *job.Submission, w owner.Waiter) (stop func(), err error)
	Await(now time.Time, id job.ID, w owner.Waiter) (stop func(), err error)
	Cancel(now time.Time, id job.ID) error
	Knows(id job.ID) bool
	Connect(now time.Time, conn owner.ConnID, h *wire.Hello)
	Receive(now time.Time, conn owner.ConnID, f *wire.ToEntry) error
	Disconnect(now time.Time, conn owner.ConnID)
	Learn(now time.Time, named []wire.Peer)
	Tick(now time.Time)
	Configure(now time.Time, applied *config.Applied)
	Flush()
	Drain(now time.Time)
	Idle() bool
	Targets() []owner.TargetStatus
	Status() owner.Status
}

// command is something to do with the control state, on the control goroutine.
type command func(now time.Time, c core)

// control runs commands on the one goroutine that owns the control state.
type control struct {
	core     core
	clock    clock.Clock
	commands chan command
	stop     chan struct{}
	stopped  chan struct{}
	endOnce  sync.Once
}

func newControl(c core, k clock.Clock) *control {
	return &control{
		core: c, clock: k,
		commands: make(chan command, maxCommands),
		stop:     make(chan struct{}), stopped: make(chan struct{}),
	}
}

// run is the control goroutine. It ends when stop is closed.
func (c *control) run() {
	defer close(c.stopped)
	lastTick := time.Now()
	c.core.Tick(c.clock.Now()) // sets its time before the first submission
	tick := time.NewTimer(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-c.stop:
			return
		case first := <-c.commands:
			c.batch(first)
		case <-tick.C:
			lastTick = time.Now()
			c.core.Tick(c.clock.Now())
		}
		c.core.Flush()
		// Counted from the last tick, so that commands can't put the next one off.
		tick.Reset(time.Until(lastTick.Add(c.pace())))
	}
}

func (c *control) pace() time.Duration {
	if c.core.Idle() {
		return idleTickEvery
	}
	return tickEvery
}

// batch runs what has gathered, so that one frame per agent carries all of it.
func (c *control) batch(first command) {
	first(c.clock.Now(), c.core)
	for range maxBatch - 1 {
		select {
		case next := <-c.commands:
			next(c.clock.Now(), c.core)
		default:
			return
		}
	}
}

// do runs a command and waits until it is done.
func (c *control) do(run command) error {
	done := make(chan struct{})
	err := c.post(func(now time.Time, k core) {
		run(now, k)
		close(done)
	})
	if err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-c.stopped:
		return errStopped
	}
}

// post hands over a command without waiting for it. It gives up with errBusy.
func (c *control) post(run command) error {
	select {
	case c.commands <- run:
		return nil
	default:
	}
	timer := time.NewTimer(busyAfter)
	defer timer.Stop()
	select {
	case c.commands <- run:
		return nil
	case <-c.stopped:
		return errStopped
	case <-timer.C:
		return errBusy
	}
}

// push hands over a command, however long it takes. Agents' connections use it:
// while one waits here, its agent sees that its frames are not heard.
func (c *control) push(run command) error {
	select {
	case c.commands <- run:
		return nil
	case <-c.stopped:
		return errStopped
	}
}

// end stops the control goroutine and waits for it.
func (c *control) end() {
	close(c.stop)
	<-c.stopped
}
