package command

import (
	"fmt"

	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/job"
)

// printAnswer prints the answer to a submission and returns its Exit code.
func (f *flags) printAnswer(a *job.Answer) int {
	if *f.json {
		printJSON(f.env.Stdout, a)
	} else {
		f.printAnswerText(a)
	}
	return answerExitCode(a)
}

// printAnswerText prints the state, the failure if there is one, and the result of each task.
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

// answerExitCode returns the exit code for the state of an answer.
func answerExitCode(a *job.Answer) int {
	switch a.State {
	case job.Complete:
		return ExitDone
	case job.Refused:
		return refusalExitCode(a.Failure)
	case job.Pending:
		return ExitUndecided
	}
	return ExitFailed
}

// refusalExitCode returns ExitUsage for invalid input, which must be corrected, and
// ExitNotAccepted for a refusal that can be retried later.
func refusalExitCode(f *fault.Fault) int {
	if f != nil && faultExitCode(f) == ExitUsage {
		return ExitUsage
	}
	return ExitNotAccepted
}
