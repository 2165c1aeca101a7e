package attempt

import (
	"fmt"

	"github.com/camphorrack/camphorrack/internal/job"
)

// Breach is how an owner broke the protocol.
type Breach string

// Breaches.
const (
	NoCredit  Breach = "a start without a credit"
	BadReturn Breach = "more credits returned than were held"
	TooMany   Breach = "too many attempts that are not settled"
	SeqZero   Breach = "attempts are numbered from 1"
	BadDemand Breach = "a negative number of waiting tasks"
)

// ProtocolError is a frame that a correct owner never sends. The connection it
// came on is closed; both sides then start from a clean count of credits.
type ProtocolError struct {
	Owner  job.Incarnation
	Breach Breach
	Seq    uint64 // the attempt, where it is about one
}

// Error implements error.
func (e *ProtocolError) Error() string {
	return fmt.Sprintf("owner %s broke the protocol: %s (attempt %d)", e.Owner, e.Breach, e.Seq)
}
