package attempt

import (
	"fmt"

	"github.com/camphorrack/camphorrack/internal/job"
)

// Violation describes how an owner violated the protocol.
type Violation string

// Protocol violations.
const (
	StartWithoutCredit Violation = "a start without a credit"
	ExcessReturn       Violation = "more credits returned than were held"
	TooManyUnsettled   Violation = "too many unsettled attempts"
	ZeroSeq            Violation = "attempt number 0; numbers start at 1"
	NegativeDemand     Violation = "a negative number of waiting tasks"
)

// ProtocolError reports a frame that a correct owner never sends. The agent closes
// the connection that carried it, so that both sides count credits from zero on the
// next one.
type ProtocolError struct {
	Owner     job.Incarnation
	Violation Violation
	Seq       uint64 // number of the attempt concerned; 0 if none
}

// Error implements error.
func (e *ProtocolError) Error() string {
	return fmt.Sprintf("owner %s violated the protocol: %s (attempt %d)", e.Owner, e.Violation, e.Seq)
}
