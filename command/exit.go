package command

import (
	"github.com/camphorrack/camphorrack/internal/client"
	"github.com/camphorrack/camphorrack/internal/fault"
)

// Exit codes of camphorctl. Scripts branch on them, so a code never changes its meaning.
const (
	ExitDone        = 0 // done; for a submission: the answer is complete
	ExitFailed      = 1 // an accepted submission failed, or the request itself failed
	ExitUsage       = 2 // wrong arguments, settings or input; nothing was sent or started
	ExitConflict    = 3 // another operator's change won, or the id came with another body
	ExitUndecided   = 4 // the outcome can't be learned now; ask again with the same id
	ExitNotAccepted = 5 // nothing was accepted: refused, and none of it ran or ever will
)

// ExitCode returns the exit code that goes with an error; nil is ExitDone.
func ExitCode(err error) int {
	if err == nil {
		return ExitDone
	}
	return exitOfFault(client.FaultOf(err))
}

func exitOfFault(f *fault.Fault) int {
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
