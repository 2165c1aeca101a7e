package entry

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/control"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/owner"
)

// The control goroutine falls behind, in a burst or on a starved host. A request
// that finds no room is told to ask again and not that it did not run: a copy of
// it may have got in.
func TestBusyControlIsUndecided(t *testing.T) {
	g := NewWithT(t)
	c := newControl(owner.New(owner.Options{}), clock.NewFake(time.UnixMilli(1)), logr.Discard(), nil)
	gate := make(chan struct{})
	go c.Run()
	g.Expect(c.post(func(time.Time, core) { <-gate })).To(Succeed())
	ran := 0
	for range maxCommands {
		g.Expect(c.Push(func(time.Time, core) { ran++ })).To(Succeed())
	}
	for c.QueuedCommands() < maxCommands { // the first may have been taken before
		g.Expect(c.Push(func(time.Time, core) { ran++ })).To(Succeed())
	}
	lost := false
	err := c.do(func(time.Time, core) { lost = true })
	g.Expect(err).To(MatchError(control.ErrBusy))
	told := asFault(err)
	g.Expect(told.Code).To(Equal(fault.Undecided))
	g.Expect(told.NotRun).To(BeFalse())
	g.Expect(told.RetryAfterMs).To(BeNumerically(">", 0))

	close(gate)
	g.Expect(c.do(func(time.Time, core) {})).To(Succeed())
	g.Expect(ran).To(BeNumerically(">=", maxCommands))
	g.Expect(lost).To(BeFalse())
	c.Stop()
	g.Expect(c.do(func(time.Time, core) {})).To(MatchError(control.ErrStopped))
}

var _ core = (*owner.Core)(nil)
