package config_test

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/config"
)

// An entry is replaced while the log is out. The agent that connects first was cut
// off and is some changes behind; the others have the newest. The new entry took the
// first one's at once, and operators saw a limit that they had lifted in force again.
func TestNewProcessWaitsForTheNewest(t *testing.T) {
	g := NewWithT(t)
	now := clock.NewFake(time.UnixMilli(1_800_000_000_000))
	h := config.NewHolder(config.Where{}, now, logr.Discard())
	h.Gather()
	older, newer := &config.State{Version: 17, AsOf: 18}, &config.State{Version: 21, AsOf: 22}
	g.Expect(h.Offer(older, "peer")).To(BeFalse())
	g.Expect(h.Settle()).To(BeFalse())
	g.Expect(h.Offer(newer, "peer")).To(BeFalse())
	g.Expect(h.Offer(older, "peer")).To(BeFalse())
	g.Expect(h.Get().State.Version).To(BeZero())
	now.Advance(3 * time.Second)
	g.Expect(h.Settle()).To(BeTrue())
	g.Expect(h.Get().State.Version).To(Equal(uint64(21)))
	g.Expect(h.Offer(&config.State{Version: 22, AsOf: 30}, "peer")).To(BeTrue(), "later updates come at once")
}

// The log is there: nothing is put off.
func TestLogEndsGathering(t *testing.T) {
	g := NewWithT(t)
	h := config.NewHolder(config.Where{}, clock.NewFake(time.UnixMilli(1_800_000_000_000)), logr.Discard())
	h.Gather()
	g.Expect(h.Offer(&config.State{Version: 5, AsOf: 6}, "log")).To(BeTrue())
	g.Expect(h.Settle()).To(BeTrue())
	g.Expect(h.Offer(&config.State{Version: 6, AsOf: 7}, "peer")).To(BeTrue())
}
