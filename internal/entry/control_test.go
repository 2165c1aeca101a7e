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

// The control goroutine falls behind, in a burst or on a host short of CPU. A request that
// finds the command queue full must get "undecided" and not "not run": a copy of it may have
// been accepted.
func TestFullCommandQueueIsUndecided(t *testing.T) {
	g := NewWithT(t)
	c := newControl(owner.New(owner.Options{}), clock.NewFake(time.UnixMilli(1)), logr.Discard(), nil)
	gate := make(chan struct{})
	go c.Run()
	g.Expect(c.post(func(time.Time, core) { <-gate })).To(Succeed())
	ran := 0
	for range maxCommands {
		g.Expect(c.Push(func(time.Time, core) { ran++ })).To(Succeed())
	}
	for c.QueuedCommands() < maxCommands { // the goroutine may have taken the first from the queue
		g.Expect(c.Push(func(time.Time, core) { ran++ })).To(Succeed())
	}
	executed := false
	err := c.do(func(time.Time, core) { executed = true })
	g.Expect(err).To(MatchError(control.ErrBusy))
	busy := asFault(err)
	g.Expect(busy.Code).To(Equal(fault.Undecided))
	g.Expect(busy.NotRun).To(BeFalse())
	g.Expect(busy.RetryAfterMs).To(BeNumerically(">", 0))

	close(gate)
	g.Expect(c.do(func(time.Time, core) {})).To(Succeed())
	g.Expect(ran).To(BeNumerically(">=", maxCommands))
	g.Expect(executed).To(BeFalse())
	c.Stop()
	g.Expect(c.do(func(time.Time, core) {})).To(MatchError(control.ErrStopped))
}

var _ core = (*owner.Core)(nil)
