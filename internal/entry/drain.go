package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/event"
)

const (
	drainPoll = 20 * time.Millisecond
	// closeTimeout is what the last requests get at the least once no job is left, also
	// where the drain timeout is over.
	closeTimeout = 2 * time.Second
)

// ErrDrainTimeout is a shutdown that left accepted jobs without their answers, or
// answers that callers had not fetched.
var ErrDrainTimeout = errors.New("the drain timeout was over before every answer was given")

// beginDrain starts a graceful shutdown, once.
func (e *Entry) beginDrain() {
	e.drainOnce.Do(func() {
		e.draining.Store(true) // the balancer and callers see it from here on
		event.Log(e.log, event.ProcessStopping, "drain_timeout", e.o.drainTimeout().String())
		go e.drain()
	})
}

// drain refuses new submissions and goes on serving everything else until nothing
// accepted is without its answer. The listener stays open meanwhile, because
// other entries and callers still ask for answers that only this process has. Requests
// that are passed on to other entries end once it is closed, each in its own time.
func (e *Entry) drain() {
	until := time.Now().Add(e.o.drainTimeout())
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	err := e.settle(ctx)
	if least := time.Now().Add(closeTimeout); until.Before(least) {
		until = least
	}
	closing, cancelClosing := context.WithDeadline(context.Background(), until)
	defer cancelClosing()
	e.server.RegisterOnShutdown(e.unused.Close) // runs once the listener is closed
	if closeErr := e.server.Shutdown(closing); err == nil && closeErr != nil {
		err = errors.Wrap(closeErr, "close callers' connections")
	}
	e.finish(err)
}

// settle waits until no job is without an answer and no caller is expected back.
func (e *Entry) settle(ctx context.Context) error {
	poll := time.NewTicker(drainPoll)
	defer poll.Stop()
	for {
		idle := false
		err := e.control.do(func(now time.Time, c core) {
			c.Drain(now)
			idle = c.Idle()
		})
		if err == nil && idle && e.api.unclaimed.len(e.clock.Now()) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.WithStack(ErrDrainTimeout)
		case <-poll.C:
		}
	}
}

// finish ends the control goroutine and closes the agents' connections.
func (e *Entry) finish(err error) {
	e.control.endOnce.Do(func() {
		e.drainErr = err
		e.api.config.end()
		e.control.Stop()
		e.api.agents.outbox.closeAll()
		event.Log(e.log, event.ProcessStopped, "clean", err == nil)
		close(e.drainedCh)
	})
}
