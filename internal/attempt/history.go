package attempt

import (
	"fmt"
	"strings"
	"time"
)

// step names what happened, for the history of a breach.
type step string

const (
	stepConnect    step = "connect"
	stepDisconnect step = "disconnect"
	stepGrant      step = "grant"
	stepRecall     step = "recall"
	stepReturn     step = "return"
	stepBegin      step = "begin"
	stepRefuse     step = "refuse"
	stepFinish     step = "finish"
	stepCancel     step = "cancel"
	stepSettle     step = "settle"
)

const historyLength = 64

type historyEntry struct {
	at   time.Time
	step step
	key  Key
	n    int
}

// history is a ring of the latest steps. It is formatted only when an invariant
// breaks.
type history struct {
	ring [historyLength]historyEntry
	next int
}

func (h *history) add(at time.Time, s step, k Key, n int) {
	h.ring[h.next%historyLength] = historyEntry{at, s, k, n}
	h.next++
}

// String lists the steps, oldest first.
func (h *history) String() string {
	var b strings.Builder
	for i := max(0, h.next-historyLength); i < h.next; i++ {
		e := h.ring[i%historyLength]
		fmt.Fprintf(&b, "%s %s owner %s attempt %d n %d\n", e.at.Format("15:04:05.000"), e.step, e.key.Owner, e.key.Seq, e.n)
	}
	return b.String()
}
