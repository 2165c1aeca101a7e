package attempt

import (
	"fmt"

	"github.com/camphorrack/camphorrack/internal/job"
)

// Violation is how an owner broke the protocol.
type Violation string

// Breaches.
const (
	StartWithoutCredit Violation = "a start without a credit"
	ExcessReturn       Violation = "more credits returned than were held"
	TooManyUnsettled   Violation = "too many attempts that are not settled"
	ZeroSeq            Violation = "attempts are numbered from 1"
	NegativeDemand     Violation = "a negative number of waiting tasks"
)

// ProtocolError is a frame that a correct owner never sends. The connection it
// came on is closed; both sides then start from a clean count of credits.
type ProtocolError struct {
	Owner     job.Incarnation
	Violation Violation
	Seq       uint64 // the attempt, where it is about one
}

// Error implements error.
func (e *ProtocolError) Error() string {
	return fmt.Sprintf("owner %s broke the protocol: %s (attempt %d)", e.Owner, e.Violation, e.Seq)
}
