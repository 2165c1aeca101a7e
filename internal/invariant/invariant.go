// Package invariant checks invariants at run time. A breach is logged as event 104 with
// its history. With -crash-on-breach it also ends the process, so that a randomised test
// stops at the first incorrect step instead of at a later symptom.
package invariant

import (
	"fmt"
	"sync/atomic"

	"github.com/go-logr/logr"

	"github.com/camphorrack/camphorrack/internal/event"
)

var (
	crashOnBreach atomic.Bool
	breaches      atomic.Int64
)

// Breach is the panic value of a failed check if SetCrashOnBreach(true) is in force.
type Breach struct {
	Invariant string
	History   string
}

// Error implements error.
func (b *Breach) Error() string { return "invariant broken: " + b.Invariant + "\n" + b.History }

// SetCrashOnBreach sets whether later breaches panic in addition to being logged.
func SetCrashOnBreach(on bool) { crashOnBreach.Store(on) }

// Breaches returns the number of failed checks in this process, for the metrics.
func Breaches() int64 { return breaches.Load() }

// Check records a breach if ok is false. The name identifies the invariant. The history is
// formatted only for a breach, so pass a fmt.Stringer for anything long.
func Check(ok bool, log logr.Logger, name string, history ...any) {
	if !ok {
		// The copy keeps the caller's argument list off the heap while the invariant holds.
		reportBreach(log, name, append([]any(nil), history...))
	}
}

func reportBreach(log logr.Logger, name string, history []any) {
	breaches.Add(1)
	text := fmt.Sprintln(history...)
	event.Log(log, event.InvariantBroken, "invariant", name, "history", text)
	if crashOnBreach.Load() {
		panic(&Breach{Invariant: name, History: text})
	}
}
