package runner

import (
	"context"
	"time"

	"github.com/camphorrack/camphorrack/internal/runs"
)

func (r *Runner) renewNow() {
	select {
	case r.kick <- struct{}{}:
	default:
	}
}

// renew keeps the lease and reads the target's lists, one call after the other: two
// at a time could overtake each other.
func (r *Runner) renew(ctx context.Context) {
	pause := failedPause
	for ctx.Err() == nil {
		var call runs.RenewCall
		var known bool
		err := r.loop.Do(time.Hour, func(now time.Time, s *state) {
			r.awake(now, s)
			call, known = s.table.NextRenewal(now)
		})
		if err != nil {
			return
		}
		if !known {
			r.pause(ctx, noTargetPause)
			continue
		}
		asked := r.clock.Now()
		listing, err := r.o.Target.Renew(call)
		if err != nil {
			r.do(func(now time.Time, s *state) { s.table.RenewFailed(now, call, r.o.ClassifyRenewError(err)) })
			r.pause(ctx, pause)
			pause = failedAgainPause
			continue
		}
		pause = failedPause
		r.do(func(now time.Time, s *state) { s.table.Renewed(now, asked, call, listing) })
	}
}

func (r *Runner) pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.kick:
	case <-ctx.Done():
	}
}

// calls makes the table's calls to the target.
type calls Runner

// Start implements runs.Target.
func (c *calls) Start(call runs.StartCall) {
	r := (*Runner)(c)
	go func() {
		began := time.Now()
		answer, clockMs := r.o.Target.Start(call)
		r.metrics.startUs.Update(time.Since(began).Microseconds())
		r.do(func(now time.Time, s *state) { s.table.Started(now, call, answer, clockMs) })
	}()
}

// Stop implements runs.Target.
func (c *calls) Stop(call runs.StopCall) {
	r := (*Runner)(c)
	go func() {
		answer := r.o.Target.Stop(call)
		r.do(func(now time.Time, s *state) { s.table.Stopped(now, call, answer) })
	}()
}
