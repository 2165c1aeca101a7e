package command

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/client"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/job"
)

// status implements "camphorctl status".
type status struct{}

func newStatus() status { return status{} }

// Name implements Command.
func (status) Name() string { return "status" }

// Synopsis implements Command.
func (status) Synopsis() string { return "look up the answer to the submission with the given id" }

// Run implements Command.
func (s status) Run(ctx context.Context, env Env, args []string) int {
	f := newFlags(env, s.Name())
	ids := f.AllowArguments()
	wait := f.Duration("wait", 0, "how long to wait for the final answer")
	if code, ok := f.load(args); !ok {
		return code
	}
	if len(*ids) != 1 {
		return f.fail(fault.Input(fault.BadSetting, "id", "want one id"))
	}
	c, err := f.client()
	if err != nil {
		return f.fail(err)
	}
	answer, err := lookUp(ctx, c, (*ids)[0], *wait)
	if err != nil {
		return f.fail(err)
	}
	return f.printAnswer(answer)
}

// lookUp returns the current answer to a submission. With a positive wait it waits for the
// final answer up to that long, and returns a pending answer if there is none by then. The
// errors are those of client.Client.Await.
func lookUp(ctx context.Context, c *client.Client, id string, wait time.Duration) (*job.Answer, error) {
	if wait <= 0 {
		return c.Lookup(ctx, id)
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	answer, err := c.Await(ctx, id)
	var undecided *client.UndecidedError
	if errors.As(err, &undecided) && undecided.LastErr == nil {
		return &job.Answer{ID: id, State: job.Pending}, nil
	}
	return answer, err
}
