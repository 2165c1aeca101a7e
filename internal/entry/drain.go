package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/event"
)

const (
	drainPoll = 20 * time.Millisecond
	// closeTimeout is the least time that the last requests get once no job is left, even if
	// the drain timeout has expired.
	closeTimeout = 2 * time.Second
)

// ErrDrainTimeout reports a shutdown that left accepted jobs without their answers, or
// answers that callers had not fetched.
var ErrDrainTimeout = errors.New("the drain timeout expired before every answer was delivered")

// beginDrain starts a graceful shutdown. Only the first call has an effect.
func (e *Entry) beginDrain() {
	e.drainOnce.Do(func() {
		e.draining.Store(true) // from here on, GET /healthz and GET /v1/token report it
		event.Log(e.log, event.ProcessStopping, "drain_timeout", e.options.drainTimeout().String())
		go e.drain()
	})
}

// drain rejects new submissions and keeps serving all other requests until every accepted
// job has its answer. The listener stays open meanwhile, because other entries and callers
// still ask for answers that only this process has. Requests that were forwarded to other
// entries complete after it is closed, each in its own time.
func (e *Entry) drain() {
	deadline := time.Now().Add(e.options.drainTimeout())
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	err := e.waitUntilIdle(ctx)
	if minimum := time.Now().Add(closeTimeout); deadline.Before(minimum) {
		deadline = minimum
	}
	closeCtx, cancelClose := context.WithDeadline(context.Background(), deadline)
	defer cancelClose()
	e.server.RegisterOnShutdown(func() { _ = e.guard.Drain(closeCtx) }) // runs once the listener is closed; Shutdown returns the error
	if closeErr := e.server.Shutdown(closeCtx); err == nil && closeErr != nil {
		err = errors.Wrap(closeErr, "close callers' connections")
	}
	e.finish(err)
}

// waitUntilIdle waits until every job has its answer and no caller is expected to ask for one
// again. The error is ErrDrainTimeout, once ctx has ended.
func (e *Entry) waitUntilIdle(ctx context.Context) error {
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

// finish stops the control goroutine, closes the agents' connections and makes err the result
// of Stop. Only the first call has an effect.
func (e *Entry) finish(err error) {
	e.control.finishOnce.Do(func() {
		e.doneErr = err
		e.api.config.stop()
		e.control.Stop()
		e.api.agents.outbox.closeAll()
		event.Log(e.log, event.ProcessStopped, "clean", err == nil)
		close(e.done)
	})
}
