// Package control implements the event loop of a daemon: a single goroutine that owns the
// control state.
//
// Other goroutines submit commands through a bounded channel. The loop runs the queued
// commands as a batch and then flushes once, so that a single frame per peer carries all
// changes of a burst. The bound keeps a burst of traffic from delaying heartbeats and
// scheduling decisions behind an ever longer queue of commands.
package control

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/clock"
)

var (
	// ErrBusy reports that the command queue was full. The command was not executed and
	// will not be.
	ErrBusy = errors.New("the control goroutine has too many commands")
	// ErrStopped reports that the loop stopped before it confirmed the command. Whether
	// the command was executed is unknown.
	ErrStopped = errors.New("the control goroutine has ended")
)

// Options configure a Loop. The functions run on the control goroutine.
type Options[S any] struct {
	State S
	Clock clock.Clock
	// Tick performs the time-driven work; TickInterval returns the time to the next tick.
	Tick         func(now time.Time, state S)
	TickInterval func(state S) time.Duration
	// Flush runs after each batch of commands and after each tick.
	Flush       func(state S)
	MaxCommands int // capacity of the command queue
	MaxBatch    int // most commands between two flushes
	// OnTurn, if not nil, receives the statistics of each turn: a batch of commands or a
	// tick, including the flush. It must not block.
	OnTurn func(Turn)
}

// Turn holds the statistics of one iteration of the loop.
type Turn struct {
	Duration       time.Duration
	Commands       int // commands executed; 0 for a tick
	QueuedCommands int // length of the command queue after the turn
}

// Command is a function that reads or changes the state on the control goroutine.
type Command[S any] func(now time.Time, state S)

// Loop runs the control goroutine and its command queue.
type Loop[S any] struct {
	options  Options[S]
	commands chan Command[S]
	stop     chan struct{}
	stopped  chan struct{}
}

// New returns a loop; Run starts it.
func New[S any](o Options[S]) *Loop[S] {
	return &Loop[S]{
		options:  o,
		commands: make(chan Command[S], o.MaxCommands),
		stop:     make(chan struct{}), stopped: make(chan struct{}),
	}
}

// Run executes the loop in the calling goroutine until Stop. The first tick precedes the
// first command, so that commands find the time set in the state.
func (l *Loop[S]) Run() {
	defer close(l.stopped)
	lastTick := time.Now()
	l.options.Tick(l.options.Clock.Now(), l.options.State)
	tick := time.NewTimer(l.options.TickInterval(l.options.State))
	defer tick.Stop()
	for {
		var began time.Time
		commands := 0
		select {
		case <-l.stop:
			return
		case first := <-l.commands:
			began = time.Now()
			commands = l.runBatch(first)
		case <-tick.C:
			began = time.Now()
			lastTick = began
			l.options.Tick(l.options.Clock.Now(), l.options.State)
		}
		l.options.Flush(l.options.State)
		l.reportTurn(began, commands)
		// Measured from the last tick, so that commands can't delay the next one.
		tick.Reset(time.Until(lastTick.Add(l.options.TickInterval(l.options.State))))
	}
}

// runBatch runs first and up to MaxBatch-1 queued commands, and returns how many commands it
// ran.
func (l *Loop[S]) runBatch(first Command[S]) int {
	first(l.options.Clock.Now(), l.options.State)
	for n := 1; n < l.options.MaxBatch; n++ {
		select {
		case next := <-l.commands:
			next(l.options.Clock.Now(), l.options.State)
		default:
			return n
		}
	}
	return l.options.MaxBatch
}

func (l *Loop[S]) reportTurn(began time.Time, commands int) {
	if l.options.OnTurn != nil {
		l.options.OnTurn(Turn{Duration: time.Since(began), Commands: commands, QueuedCommands: l.QueuedCommands()})
	}
}

// QueuedCommands returns the length of the command queue.
func (l *Loop[S]) QueuedCommands() int { return len(l.commands) }

// Push enqueues a command and blocks while the queue is full. Connections of peers use it
// for backpressure: while one blocks here, it does not acknowledge its peer's frames. The
// only error is ErrStopped.
func (l *Loop[S]) Push(run Command[S]) error {
	select {
	case l.commands <- run:
		return nil
	case <-l.stopped:
		return ErrStopped
	}
}

// Post enqueues a command. It returns ErrBusy if the queue is still full after the timeout, and
// ErrStopped if the loop has stopped.
func (l *Loop[S]) Post(timeout time.Duration, run Command[S]) error {
	select {
	case l.commands <- run:
		return nil
	default:
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case l.commands <- run:
		return nil
	case <-l.stopped:
		return ErrStopped
	case <-timer.C:
		return ErrBusy
	}
}

// Do enqueues a command like Post, whose errors it returns, and waits until it was executed.
// The timeout bounds the enqueueing only.
func (l *Loop[S]) Do(timeout time.Duration, run Command[S]) error {
	done := make(chan struct{})
	err := l.Post(timeout, func(now time.Time, state S) {
		defer close(done)
		run(now, state)
	})
	if err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-l.stopped:
		return ErrStopped
	}
}

// Stop stops the loop and waits until Run has returned. Call it once, after Run was started.
func (l *Loop[S]) Stop() {
	close(l.stop)
	<-l.stopped
}

// Done returns a channel that is closed when the loop has stopped.
func (l *Loop[S]) Done() <-chan struct{} { return l.stopped }
