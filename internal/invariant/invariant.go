// Package invariant checks, inside the running programs, what must always hold.
// A breach is logged as event 104 with its history. With -crash-on-breach it also
// ends the process, so that a randomised run stops at the first wrong step and
// not at a symptom far behind it.
package invariant

import (
	"fmt"
	"sync/atomic"

	"github.com/go-logr/logr"

	"github.com/camphorrack/camphorrack/internal/event"
)

var (
	crash    atomic.Bool
	breaches atomic.Int64
)

// Breach is the value that a check panics with when crashing is on.
type Breach struct {
	Invariant string
	History   string
}

// Error implements error.
func (b *Breach) Error() string { return "invariant broken: " + b.Invariant + "\n" + b.History }

// SetCrashOnBreach makes every later breach panic, or only be logged.
func SetCrashOnBreach(on bool) { crash.Store(on) }

// Breaches returns how many checks have failed in this process.
func Breaches() int64 { return breaches.Load() }

// Check asserts that ok holds. what names the invariant; history is printed with
// a breach and formatted only then, so pass a fmt.Stringer for anything long.
func Check(ok bool, log logr.Logger, what string, history ...any) {
	if !ok {
		// The copy keeps the caller's argument list off the heap while all is well.
		broken(log, what, append([]any(nil), history...))
	}
}

func broken(log logr.Logger, what string, history []any) {
	breaches.Add(1)
	text := fmt.Sprintln(history...)
	event.Log(log, event.InvariantBroken, "invariant", what, "history", text)
	if crash.Load() {
		panic(&Breach{Invariant: what, History: text})
	}
}
