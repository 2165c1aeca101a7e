package dispatcher

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/camphorrack/camphorrack/internal/dispatch"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// Guards against gauges without bound, and against those that keep the last value of a queue that is
// no longer among the most used.
func TestOnlyTheMostUsedQueuesHaveGauges(t *testing.T) {
	g := NewWithT(t)
	core := dispatch.New(dispatch.Options{Log: logr.Discard(), Now: time.Now})
	core.Connect(time.Now(), 1, &wire.Hello{Worker: "w"}, wire.DescribedFeatures)
	report := func(mostUsed int) {
		loads := []wire.QueueLoad{}
		for n := range 20 {
			loads = append(loads, wire.QueueLoad{Queue: string(rune('a' + n)), InUseMilli: int64(100 + (n+20-mostUsed)%20), LateShare: 0.25, Tasks: 4})
		}
		core.Receive(time.Now(), 1, &wire.LeasedToEntry{
			Target: &wire.LeasedTarget{Name: "t", Service: "s", Capacity: job.Demand{CPUMilli: 10_000}}, Load: &wire.Load{}, QueueLoads: loads,
		})
	}
	c := newCounters(func() int { return 0 })
	report(0)
	c.update(core)
	g.Expect(c.queuesShown).To(HaveLen(maxQueueGauges))
	g.Expect(c.Registry.Get("dispatch.pressure_permille.a")).To(BeNil(), "it has the least usage")
	g.Expect(c.Registry.Get("dispatch.pressure_permille.t")).To(WithTransform(func(m any) int64 { return m.(metrics.Gauge).Snapshot().Value() }, Equal(int64(250))))
	report(1)
	c.update(core)
	g.Expect(c.Registry.Get("dispatch.usage_permille.a")).NotTo(BeNil())
	g.Expect(c.Registry.Get("dispatch.usage_permille.b")).To(BeNil())
	g.Expect(c.queuesShown).To(HaveLen(maxQueueGauges))
}

// Guards against a queue that was moved to another service and is shown with the load at its former
// one, which is none.
func TestGaugesOfAQueueAtTwoServicesShowItsHighestUsage(t *testing.T) {
	g := NewWithT(t)
	core := dispatch.New(dispatch.Options{Log: logr.Discard(), Now: time.Now})
	for conn, inUse := range []int64{0, 5000, 0} {
		core.Connect(time.Now(), dispatch.ConnID(conn), &wire.Hello{Worker: string(rune('v' + conn))}, wire.DescribedFeatures)
		core.Receive(time.Now(), dispatch.ConnID(conn), &wire.LeasedToEntry{
			Target:     &wire.LeasedTarget{Name: "t", Service: string(rune('a' + conn)), Capacity: job.Demand{CPUMilli: 10_000}},
			Load:       &wire.Load{},
			QueueLoads: []wire.QueueLoad{{Queue: "q", InUseMilli: inUse}},
		})
	}
	c := newCounters(func() int { return 0 })
	c.update(core)
	g.Expect(c.Registry.Get("dispatch.usage_permille.q").(metrics.Gauge).Snapshot().Value()).To(Equal(int64(500)))
}
