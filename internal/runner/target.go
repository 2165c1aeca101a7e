package runner

import (
	"context"
	"time"

	"github.com/camphorrack/camphorrack/internal/runs"
)

// requestRenewal makes renewLoop renew the lease without delay.
func (r *Runner) requestRenewal() {
	select {
	case r.renewRequested <- struct{}{}:
	default:
	}
}

// renewLoop renews the lease and reads the target's list of runs until the context ends. It
// makes one call at a time: the answers of concurrent calls could arrive in the wrong order. The control state
// makes those for other targets, and the first for an adopted one (targetCalls.Renew).
func (r *Runner) renewLoop(ctx context.Context) {
	for ctx.Err() == nil {
		var call runs.RenewCall
		var known bool
		err := r.loop.Do(time.Hour, func(now time.Time, s *state) {
			r.disconnectAfterStall(now, s)
			call, known = s.table.NextRenewal(now)
		})
		if err != nil {
			return
		}
		if !known {
			r.waitForRenewal(ctx, noTargetPollInterval)
			continue
		}
		if !r.renew(call) {
			r.waitForRenewal(ctx, call.RetryDelay)
		}
	}
}

// renew makes a renewal, passes its answer on, and reports whether there was a listing.
func (r *Runner) renew(call runs.RenewCall) bool {
	sentAt := r.clock.Now()
	listing, err := r.options.Target.Renew(call)
	if err != nil {
		r.enqueue(func(now time.Time, s *state) { s.table.RenewFailed(now, call, r.options.ClassifyRenewError(err)) })
		return false
	}
	r.enqueue(func(now time.Time, s *state) { s.table.Renewed(now, sentAt, call, listing) })
	return true
}

// waitForRenewal waits for a delay, or until a renewal is requested or the context ends.
func (r *Runner) waitForRenewal(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.renewRequested:
	case <-ctx.Done():
	}
}

// targetCalls makes the calls of the control state to the target, each on its own goroutine.
type targetCalls Runner

// Start implements runs.Target.
func (c *targetCalls) Start(call runs.StartCall) {
	r := (*Runner)(c)
	go func() {
		answer, clockMs := r.callStart(call)
		r.enqueue(func(now time.Time, s *state) { s.table.Started(now, call, answer, clockMs) })
	}()
}

// callStart makes a call that starts a run, unless its incarnation has ended before it is sent.
func (r *Runner) callStart(call runs.StartCall) (answer runs.Answer, clockMs int64) {
	if call.Epoch != r.epoch.Load() {
		return runs.NotDelivered, 0
	}
	sentAt := time.Now()
	answer, clockMs = r.options.Target.Start(call)
	r.metrics.startUs.Update(time.Since(sentAt).Microseconds())
	return answer, clockMs
}

// Renew implements runs.Target.
func (c *targetCalls) Renew(call runs.RenewCall) { go (*Runner)(c).renew(call) }

// Ended implements runs.Target.
func (c *targetCalls) Ended(epoch uint64) { c.epoch.Store(epoch) }

// Stop implements runs.Target.
func (c *targetCalls) Stop(call runs.StopCall) {
	r := (*Runner)(c)
	go func() {
		answer := r.options.Target.Stop(call)
		r.enqueue(func(now time.Time, s *state) { s.table.Stopped(now, call, answer) })
	}()
}
