// Package control runs the one goroutine that owns a daemon's control state.
//
// Traffic goroutines hand it commands through a bounded channel. It runs what has
// gathered, then flushes once, so that one frame to each peer carries all that a
// burst has changed. The bound is what keeps a flood of traffic from becoming a
// growing line of commands in front of heartbeats and decisions.
package control

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/clock"
)

var (
	// ErrBusy is a command that found no room; it was not executed and won't be.
	ErrBusy = errors.New("the control goroutine has too many commands")
	// ErrStopped is a command that the end of the loop overtook; whether it was
	// executed is unknown.
	ErrStopped = errors.New("the control goroutine has ended")
)

// Options of a Loop.
type Options[S any] struct {
	State S
	Clock clock.Clock
	// Tick does what the passing of time brings; Pace is the time to the next one.
	Tick         func(now time.Time, state S)
	TickInterval func(state S) time.Duration
	// Flush follows each batch of commands and each tick.
	Flush       func(state S)
	MaxCommands int // that wait for the goroutine
	MaxBatch    int // between two flushes
	// OnTurn, where set, is told how long each turn took: a batch of commands, or a
	// tick, with its flush. It runs on the control goroutine and must not block.
	OnTurn func(Turn)
}

// Turn is one pass of the control goroutine.
type Turn struct {
	Duration       time.Duration
	Commands       int // that it ran; 0 for a tick
	QueuedCommands int // commands that wait for the next one
}

// Command is something to do with the state, on the control goroutine.
type Command[S any] func(now time.Time, state S)

// Loop is the control goroutine and the way to it.
type Loop[S any] struct {
	o        Options[S]
	commands chan Command[S]
	stop     chan struct{}
	stopped  chan struct{}
}

// New returns a loop that does not run yet.
func New[S any](o Options[S]) *Loop[S] {
	return &Loop[S]{
		o:        o,
		commands: make(chan Command[S], o.MaxCommands),
		stop:     make(chan struct{}), stopped: make(chan struct{}),
	}
}

// Run is the control goroutine. It returns after End. The first tick comes before
// the first command, so that the state has a time.
func (l *Loop[S]) Run() {
	defer close(l.stopped)
	lastTick := time.Now()
	l.o.Tick(l.o.Clock.Now(), l.o.State)
	tick := time.NewTimer(l.o.TickInterval(l.o.State))
	defer tick.Stop()
	for {
		var began time.Time
		commands := 0
		select {
		case <-l.stop:
			return
		case first := <-l.commands:
			began = time.Now()
			commands = l.batch(first)
		case <-tick.C:
			began = time.Now()
			lastTick = began
			l.o.Tick(l.o.Clock.Now(), l.o.State)
		}
		l.o.Flush(l.o.State)
		l.turned(began, commands)
		// Counted from the last tick, so that commands can't put the next one off.
		tick.Reset(time.Until(lastTick.Add(l.o.TickInterval(l.o.State))))
	}
}

// batch runs the first command and those that wait behind it, and returns how many
// it ran.
func (l *Loop[S]) batch(first Command[S]) int {
	first(l.o.Clock.Now(), l.o.State)
	for n := 1; n < l.o.MaxBatch; n++ {
		select {
		case next := <-l.commands:
			next(l.o.Clock.Now(), l.o.State)
		default:
			return n
		}
	}
	return l.o.MaxBatch
}

func (l *Loop[S]) turned(began time.Time, commands int) {
	if l.o.OnTurn != nil {
		l.o.OnTurn(Turn{Duration: time.Since(began), Commands: commands, QueuedCommands: l.QueuedCommands()})
	}
}

// QueuedCommands returns how many commands wait.
func (l *Loop[S]) QueuedCommands() int { return len(l.commands) }

// Push hands over a command, however long that takes. Connections of peers use it:
// while one waits here, its peer sees that its frames are not heard. The error is
// ErrStopped.
func (l *Loop[S]) Push(run Command[S]) error {
	select {
	case l.commands <- run:
		return nil
	case <-l.stopped:
		return ErrStopped
	}
}

// Post hands over a command and gives up with ErrBusy after patience.
func (l *Loop[S]) Post(patience time.Duration, run Command[S]) error {
	select {
	case l.commands <- run:
		return nil
	default:
	}
	timer := time.NewTimer(patience)
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

// Do runs a command and waits until it is done; patience is as for Post.
func (l *Loop[S]) Do(patience time.Duration, run Command[S]) error {
	done := make(chan struct{})
	err := l.Post(patience, func(now time.Time, state S) {
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

// Stop stops the loop and waits for it. Call it once, after Run was started.
func (l *Loop[S]) Stop() {
	close(l.stop)
	<-l.stopped
}

// Done is closed when the loop has ended.
func (l *Loop[S]) Done() <-chan struct{} { return l.stopped }
