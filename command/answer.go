package command

import (
	"fmt"

	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/job"
)

// printAnswer prints an answer and returns the Exit code that goes with it.
func (f *flags) printAnswer(a *job.Answer) int {
	if *f.json {
		printJSON(f.env.Stdout, a)
	} else {
		f.printAnswerText(a)
	}
	return exitOfAnswer(a)
}

func (f *flags) printAnswerText(a *job.Answer) {
	fmt.Fprintln(f.env.Stdout, "state", a.State)
	if a.Failure != nil {
		fmt.Fprintln(f.env.Stdout, "failure", a.Failure)
		fmt.Fprintln(f.env.Stdout, "not_run", a.Failure.NotRun)
		fmt.Fprintln(f.env.Stdout, "retry_after_ms", a.Failure.RetryAfterMs)
	}
	for i, result := range a.Results {
		fmt.Fprintf(f.env.Stdout, "result %d %s\n", i, result)
	}
}

func exitOfAnswer(a *job.Answer) int {
	switch a.State {
	case job.Complete:
		return ExitDone
	case job.Refused:
		return exitOfRefusal(a.Failure)
	case job.Pending:
		return ExitUndecided
	}
	return ExitFailed
}

// exitOfRefusal tells wrong input from a refusal that may be tried again later.
func exitOfRefusal(f *fault.Fault) int {
	if f != nil && exitOfFault(f) == ExitUsage {
		return ExitUsage
	}
	return ExitNotAccepted
}
