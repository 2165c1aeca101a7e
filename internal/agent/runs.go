package agent

import (
	"context"
	"time"

	"github.com/camphorrack/camphorrack/internal/attempt"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// runTask calls the target for one attempt and reports how that ended.
func (a *Agent) runTask(ctx context.Context, c *caller, k attempt.Key, s wire.Start) {
	out := a.callInTime(ctx, c, &s)
	// The error means that the process ends, and the state with it.
	_ = a.control.Push(func(now time.Time, st *state) { st.finished(now, k, c, out) })
}

// callInTime looks at the deadline once more. This goroutine may begin long after
// the decision, when the host was paused in between; the task's caller has been
// told by then that it failed, and an effect so late would only surprise.
func (a *Agent) callInTime(ctx context.Context, c *caller, s *wire.Start) callResult {
	if a.clock.Now().UnixMilli() >= s.DeadlineMs {
		return callResult{Outcome: attempt.Outcome{State: wire.NotRun, Reason: wire.ReasonDeadlinePast}}
	}
	return c.call(ctx, s)
}
