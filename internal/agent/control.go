package agent

import (
	"time"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/control"
	"github.com/camphorrack/camphorrack/internal/gauges"
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

// command is something to do with the state, on the control goroutine.
type command = control.Command[*state]

// patience is how long a command that is waited for may wait for room. Only
// operators and the target's announcements wait; they come again.
const patience = time.Second

// controlLoop is the goroutine that owns the state.
type controlLoop struct{ *control.Loop[*state] }

func newControl(s *state, k clock.Clock, turned func(control.Turn)) *controlLoop {
	stalls := gauges.StallObserver(s.log, tickEvery)
	return &controlLoop{control.New(control.Options[*state]{
		State: s, Clock: k, OnTurn: turned,
		Tick: func(now time.Time, s *state) {
			stalls()
			s.tick(now)
		},
		TickInterval: func(*state) time.Duration { return tickEvery },
		Flush:        func(s *state) { s.table.Flush() }, MaxCommands: maxCommands, MaxBatch: maxBatch,
	})}
}

// do runs a command and waits until it is done. The error is control.ErrBusy or
// control.ErrStopped.
func (l *controlLoop) do(run command) error { return l.Do(patience, run) }
