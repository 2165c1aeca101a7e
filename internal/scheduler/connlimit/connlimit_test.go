package connlimit

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var start = time.Unix(1_800_000_000, 0)

// Guards against a crowd that keeps the connections that it has: newcomers, ordinary callers among
// them, would be refused.
func TestLongestWaitIsClosedForANewConnection(t *testing.T) {
	g := NewWithT(t)
	table := NewTable[string](Limits{Conns: 3})
	for i, key := range []string{"idle", "served", "receiving"} {
		_, ok := table.Open(start.Add(time.Duration(i)*time.Second), key)
		g.Expect(ok).To(BeTrue())
	}
	table.SetPhase(start.Add(3*time.Second), "served", Serving)
	table.SetPhase(start.Add(4*time.Second), "receiving", Receiving)
	evicted, ok := table.Open(start.Add(5*time.Second), "new")
	g.Expect(ok).To(BeTrue())
	g.Expect(evicted).To(Equal([]string{"idle"}))
	evicted, ok = table.Open(start.Add(6*time.Second), "newer")
	g.Expect(ok).To(BeTrue())
	g.Expect(evicted).To(Equal([]string{"receiving"}))
	g.Expect(table.Len()).To(Equal(3))
}

// Guards against closing a connection whose request was received whole.
func TestRequestsBeingServedAreNeverEvicted(t *testing.T) {
	g := NewWithT(t)
	table := NewTable[int](Limits{Conns: 2, Bytes: 100})
	for key := range 2 {
		table.Open(start, key)
		table.SetPhase(start, key, Receiving)
		_, ok := table.Hold(start, key, 40)
		g.Expect(ok).To(BeTrue())
		table.SetPhase(start, key, Serving)
	}
	evicted, ok := table.Open(start.Add(time.Minute), 2)
	g.Expect(evicted).To(BeEmpty())
	g.Expect(ok).To(BeFalse())
	table.Close(0)
	table.Open(start.Add(time.Minute), 2)
	table.SetPhase(start.Add(time.Minute), 2, Receiving)
	evicted, ok = table.Hold(start.Add(time.Minute), 2, 70)
	g.Expect(evicted).To(Equal([]int{2}))
	g.Expect(ok).To(BeFalse())
	g.Expect(table.Bytes()).To(Equal(int64(40)))
}

// Guards against bytes that stay counted for a connection that was given up, answered or closed, after
// which nobody could send a body any more.
func TestBytesAreReleased(t *testing.T) {
	g := NewWithT(t)
	table := NewTable[int](Limits{Bytes: 100})
	for key := range 3 {
		table.Open(start, key)
		table.SetPhase(start, key, Receiving)
	}
	table.Hold(start, 0, 60)
	evicted, ok := table.Hold(start.Add(time.Second), 1, 60)
	g.Expect(ok).To(BeTrue())
	g.Expect(evicted).To(Equal([]int{0}))
	_, ok = table.Hold(start.Add(time.Second), 0, 1)
	g.Expect(ok).To(BeFalse(), "it was given up")
	g.Expect(table.Bytes()).To(Equal(int64(60)))
	table.Release(1)
	table.Hold(start.Add(time.Second), 2, 10)
	table.Close(2)
	g.Expect(table.Bytes()).To(BeZero())
}

// Guards against limits that an operator has lowered and that never apply, because the crowd is there
// already.
func TestLowerLimitsApplyToACrowdThatIsThere(t *testing.T) {
	g := NewWithT(t)
	table := NewTable[int](Limits{Conns: 100, Bytes: 1000})
	for key := range 100 {
		table.Open(start, key)
		table.SetPhase(start, key, Receiving)
		table.Hold(start, key, 10)
	}
	table.SetLimits(Limits{Conns: 50, Bytes: 200})
	_, ok := table.Open(start.Add(time.Second), 100)
	g.Expect(ok).To(BeTrue())
	g.Expect(table.Len()).To(BeNumerically("<=", 50))
	table.SetPhase(start.Add(time.Second), 100, Receiving)
	_, ok = table.Hold(start.Add(time.Second), 100, 10)
	g.Expect(ok).To(BeTrue())
	g.Expect(table.Bytes()).To(BeNumerically("<=", 200))
}

// Guards against clients that are given up because the process stood still, and against waits that never
// end.
func TestTimeoutsOfThePhases(t *testing.T) {
	g := NewWithT(t)
	table := NewTable[string](Limits{})
	for key, phase := range map[string]Phase{"new": New, "idle": Idle, "receiving": Receiving, "serving": Serving, "answered": Answered} {
		table.Open(start, key)
		table.SetPhase(start, key, phase)
	}
	timeouts := Timeouts{Receiving: 30 * time.Second, Serving: time.Second, Answered: 10 * time.Second}
	g.Expect(table.Expired(start.Add(9*time.Second), timeouts)).To(BeEmpty())
	g.Expect(table.Expired(start.Add(10*time.Second), timeouts)).To(ConsistOf("answered"))
	table.Forgive(5 * time.Second)
	g.Expect(table.Expired(start.Add(10*time.Second), timeouts)).To(BeEmpty())
	g.Expect(table.Expired(start.Add(35*time.Second), timeouts)).To(ConsistOf("answered", "receiving"))
}

// Guards against limits that leave nothing for sessions and the store, or that are zero, and so no limit,
// on a small host.
func TestSharesOfAHost(t *testing.T) {
	g := NewWithT(t)
	usual := Host{MemoryBytes: 284 << 20, Descriptors: 3900}
	callers, sessions, other := ForCallers(usual), ForSessions(usual), ForEndpoint(usual)
	g.Expect(callers.Conns).To(Equal(1817))
	g.Expect(callers.Bytes).To(Equal(int64(284 << 20 / 8)))
	g.Expect(other.Conns).To(Equal(243))
	g.Expect(sessions.Conns).To(Equal(975))
	unbounded := ForCallers(Host{Descriptors: usual.Descriptors})
	g.Expect(unbounded).To(Equal(Limits{Conns: 1950}))
	g.Expect(unbounded.Conns + sessions.Conns + 3*other.Conns).To(BeNumerically("<", usual.Descriptors))
	g.Expect(ForCallers(Host{})).To(Equal(Limits{}))
	g.Expect(ForEndpoint(Host{Descriptors: 1}).Conns).To(BeNumerically(">", 0))
	g.Expect(ForCallers(Host{Descriptors: 1}).Conns).To(BeNumerically(">", 0))
}
