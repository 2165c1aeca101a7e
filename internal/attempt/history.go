package attempt

import (
	"fmt"
	"strings"
	"time"
)

// operation names a change of the table's state in the history.
type operation string

const (
	opConnect    operation = "connect"
	opDisconnect operation = "disconnect"
	opGrant      operation = "grant"
	opRecall     operation = "recall"
	opReturn     operation = "return"
	opBegin      operation = "begin"
	opRefuse     operation = "refuse"
	opFinish     operation = "finish"
	opCancel     operation = "cancel"
	opSettle     operation = "settle"
)

const historyLength = 64

// historyEntry records one operation. The meaning of value depends on the operation:
// credits for grant, recall, return and disconnect; running attempts for begin; recorded
// attempts for settle; the wire.Reason for refuse; the wire.AttemptState for finish; the
// connection's id for connect.
type historyEntry struct {
	at    time.Time
	op    operation
	key   Key
	value int
}

// history is a ring buffer of the latest operations. It is formatted only when an
// invariant is violated.
type history struct {
	ring  [historyLength]historyEntry
	added int
}

func (h *history) add(at time.Time, op operation, k Key, value int) {
	h.ring[h.added%historyLength] = historyEntry{at, op, k, value}
	h.added++
}

// String lists the operations, oldest first, one per line.
func (h *history) String() string {
	var b strings.Builder
	for i := max(0, h.added-historyLength); i < h.added; i++ {
		e := h.ring[i%historyLength]
		fmt.Fprintf(&b, "%s %s owner %s attempt %d n %d\n", e.at.Format("15:04:05.000"), e.op, e.key.Owner, e.key.Seq, e.value)
	}
	return b.String()
}
