package agent

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/clock"
)

const (
	// tickEvery is fine enough to find a silent target well within 2 s. An idle
	// agent does little but wake up for it.
	tickEvery = 100 * time.Millisecond
	// maxCommands bounds what waits for the control goroutine; who hands in more
	// waits, and so an owner that floods the agent is slowed by its own connection.
	maxCommands = 1024
	// maxBatch bounds the commands between two flushes, so that no report waits for
	// a long line of other work.
	maxBatch = 128
)

// errStopped is a command that came after the end of the control goroutine.
var errStopped = errors.New("the agent has ended")

// command is something to do with the state, on the control goroutine.
type command func(now time.Time, s *state)

// control runs commands on the one goroutine that owns the state.
type control struct {
	state    *state
	clock    clock.Clock
	commands chan command
	stop     chan struct{}
	stopped  chan struct{}
}

func newControl(s *state, k clock.Clock) *control {
	return &control{
		state: s, clock: k,
		commands: make(chan command, maxCommands),
		stop:     make(chan struct{}), stopped: make(chan struct{}),
	}
}

// run is the control goroutine. It ends when stop is closed.
func (c *control) run() {
	defer close(c.stopped)
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-c.stop:
			return
		case first := <-c.commands:
			c.batch(first)
		case <-tick.C:
			c.state.tick(c.clock.Now())
		}
		c.state.table.Flush()
	}
}

// batch runs what has gathered, so that one frame per owner carries all of it.
func (c *control) batch(first command) {
	first(c.clock.Now(), c.state)
	for range maxBatch - 1 {
		select {
		case next := <-c.commands:
			next(c.clock.Now(), c.state)
		default:
			return
		}
	}
}

// push hands in a command and does not wait for it. It blocks while the channel
// is full; the error is errStopped.
func (c *control) push(run command) error {
	select {
	case c.commands <- run:
		return nil
	case <-c.stopped:
		return errStopped
	}
}

// do runs a command and waits until it is done. The error is errStopped.
func (c *control) do(run command) error {
	done := make(chan struct{})
	err := c.push(func(now time.Time, s *state) {
		defer close(done)
		run(now, s)
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
