package agent

import (
	"context"
	"time"

	"github.com/camphorrack/camphorrack/internal/attempt"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// runTask runs one attempt on the target and passes the outcome to the control goroutine.
func (a *Agent) runTask(ctx context.Context, c *targetClient, k attempt.Key, s wire.Start) {
	out := a.callBeforeDeadline(ctx, c, &s)
	// The error means that the process is stopping, which discards the state.
	_ = a.control.Push(func(now time.Time, st *state) { st.finishCall(now, k, c, out) })
}

// callBeforeDeadline runs the task unless its deadline has passed. The host may have been
// paused between the decision and the start of this goroutine; by then the caller of the job
// has been answered that the task failed, and must not see effects of it later.
func (a *Agent) callBeforeDeadline(ctx context.Context, c *targetClient, s *wire.Start) callResult {
	if a.clock.Now().UnixMilli() >= s.DeadlineMs {
		return callResult{Outcome: attempt.Outcome{State: wire.NotRun, Reason: wire.ReasonDeadlinePast}}
	}
	return c.call(ctx, s)
}
