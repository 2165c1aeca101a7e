package dispatch

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// Guards against jobs whose orders go to a session that a newer one of its host has replaced: they are lost
// with its connection, and the callers are told that the outcome is unknown.
func TestReplacedSessionGetsNoOrders(t *testing.T) {
	h := newHarness(t, 1)
	first := h.submit(h.newJob("first", 1))
	h.Connect(h.now, 9, &wire.Hello{Worker: h.agents[1].host, DataCentre: "a"}, wire.DescribedFeatures)
	h.Expect(h.out.closed).To(Equal([]ConnID{1}))
	h.Receive(h.now, 9, &wire.LeasedToEntry{
		Target: &wire.LeasedTarget{Name: "tb", Service: "s", Capacity: job.Demand{CPUMilli: 10_000, MemoryMB: 1000}}, Load: h.idleLoad(),
	})
	h.setLoad(1, h.idleLoad()) // read before its connection is closed
	second := h.submit(h.newJob("second", 2))
	h.Expect(h.sentOrders()[1]).To(HaveLen(1))
	h.Expect(h.sentOrders()[9]).To(HaveLen(2))
	h.Expect(h.UsableAgents()).To(Equal(1), "both are of one target")
	h.reportOutcome(1, 1, wire.EndDone, 0)
	h.Expect(first.answers).To(ConsistOf(HaveField("Kind", AnswerComplete)), "its outcomes count as long as they come")
	h.Disconnect(h.now, 1)
	h.Expect(second.answers).To(BeEmpty())
}
