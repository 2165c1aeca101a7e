package agent

import (
	"time"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/control"
	"github.com/camphorrack/camphorrack/internal/gauges"
)

const (
	// tickInterval is short enough to detect a silent target well within 2 s, and an idle
	// agent does little else than handle the ticks.
	tickInterval = 100 * time.Millisecond
	// maxCommands limits the queue of the control goroutine. Senders block when it is full, so
	// an owner that floods the agent is slowed by its own connection.
	maxCommands = 1024
	// maxBatch limits the commands between two flushes, so that reports are not delayed by a
	// long queue.
	maxBatch = 128
)

// command is a function that the control goroutine applies to the state.
type command = control.Command[*state]

// commandTimeout limits how long a synchronous command may wait for a place in the queue.
// Operators, announcements of the target and new sessions retry after control.ErrBusy.
const commandTimeout = time.Second

// controlLoop is the control goroutine, which owns the state.
type controlLoop struct{ *control.Loop[*state] }

func newControl(s *state, k clock.Clock, onTurn func(control.Turn)) *controlLoop {
	stalls := gauges.StallObserver(s.log, tickInterval)
	return &controlLoop{control.New(control.Options[*state]{
		State: s, Clock: k, OnTurn: onTurn,
		Tick: func(now time.Time, s *state) {
			stalls()
			s.tick(now)
		},
		TickInterval: func(*state) time.Duration { return tickInterval },
		Flush:        func(s *state) { s.table.Flush() }, MaxCommands: maxCommands, MaxBatch: maxBatch,
	})}
}

// do runs a command on the control goroutine and waits for its end. The error is
// control.ErrBusy or control.ErrStopped.
func (l *controlLoop) do(run command) error { return l.Do(commandTimeout, run) }
