package command

import (
	"github.com/camphorrack/camphorrack/internal/client"
	"github.com/camphorrack/camphorrack/internal/fault"
)

// Exit codes of camphorctl. Scripts branch on them, so the meaning of a code must not change.
const (
	ExitDone        = 0 // success; for a submission: its answer is complete
	ExitFailed      = 1 // an accepted submission failed, or the request itself failed
	ExitUsage       = 2 // invalid arguments, settings or input; nothing was sent or started
	ExitConflict    = 3 // another operator's change was accepted first, or the id is in use with another body
	ExitUndecided   = 4 // the outcome is not known yet; query it again with the same id
	ExitNotAccepted = 5 // the request was refused; none of it has run or will run
)

// ExitCode returns the exit code for an error. It is ExitDone for nil, ExitUndecided for an
// error without a fault, and ExitFailed for a fault that has no exit code of its own.
func ExitCode(err error) int {
	if err == nil {
		return ExitDone
	}
	return faultExitCode(client.FaultOf(err))
}

// faultExitCode returns the exit code for the code of a fault.
func faultExitCode(f *fault.Fault) int {
	switch f.Code {
	case fault.Undecided, fault.ConfigUndecided:
		return ExitUndecided
	case fault.ConfigConflict, fault.BodyMismatch:
		return ExitConflict
	case fault.ConfigNotTaken:
		return ExitNotAccepted
	case fault.BadSetting, fault.BadBody, fault.BodyTooLarge, fault.BadID, fault.BadTaskCount,
		fault.BadField, fault.DeadlinePast, fault.DeadlineTooFar, fault.ConfigInvalid, fault.UnknownResource:
		return ExitUsage
	case fault.Overloaded, fault.QuotaExceeded, fault.NeverRunnable, fault.Draining, fault.TooManyJobs:
		return ExitNotAccepted
	}
	return ExitFailed
}
