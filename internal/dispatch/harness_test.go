package dispatch

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/routing"
	"github.com/camphorrack/camphorrack/internal/wire"
)

type fakeOutbox struct {
	orders  map[ConnID][]wire.Order
	recalls map[ConnID][]uint64
	closed  []ConnID
}

func (f *fakeOutbox) Send(id ConnID, frame *wire.ToAgent) {
	f.orders[id] = append(f.orders[id], frame.Leased.Orders...)
	f.recalls[id] = append(f.recalls[id], frame.Leased.Recalls...)
}
func (f *fakeOutbox) Close(id ConnID) { f.closed = append(f.closed, id) }

// world is a core with agents whose targets have ten cores each.
type world struct {
	*WithT
	*Core
	out *fakeOutbox
	now time.Time
}

func newWorld(t *testing.T, agents int) *world {
	w := &world{WithT: NewWithT(t), now: time.Unix(1_800_000_000, 0),
		out: &fakeOutbox{orders: map[ConnID][]wire.Order{}, recalls: map[ConnID][]uint64{}}}
	w.Core = New(Options{Log: logr.Discard(), Outbox: w.out, DataCentre: "a", LeaseLimit: time.Second, RemoteFactor: 1.5,
		Now: func() time.Time { return w.now }})
	for i := range agents {
		w.connect(ConnID(i + 1))
	}
	return w
}

func (w *world) connect(id ConnID) {
	w.Connect(w.now, id, &wire.Hello{Worker: string(rune('a' + id)), DataCentre: "a"})
	w.Receive(w.now, id, &wire.LeasedToEntry{
		Target: &wire.LeasedTarget{Name: "t" + string(rune('a'+id)), Service: "s", Capacity: job.Demand{CPUMilli: 10_000, MemoryMB: 1000}},
		Load:   w.idle(),
	})
}

func (w *world) idle() *wire.Load {
	return &wire.Load{Free: job.Demand{CPUMilli: 10_000, MemoryMB: 1000}, Speed: 1}
}

// full is the load of a target without room, on which a new task waits.
func (w *world) full(waitMs float64) *wire.Load {
	l := &wire.Load{Speed: 1, Seen: 1 << 40}
	for i := range l.WaitMs {
		l.WaitMs[i] = waitMs
	}
	return l
}

func (w *world) load(id ConnID, l *wire.Load) { w.Receive(w.now, id, &wire.LeasedToEntry{Load: l}) }

var queue = &routing.Queue{Name: "q", Service: "s", EnforcesCapacity: true, MaxAttempts: 2, Stretch: 1.6, LatencyAllowance: 60 * time.Millisecond}

// newJob is a job of tasks of 4 cores and 100 ms; its caller wants it in 220 ms and
// waits for 2 s.
func (w *world) newJob(id string, tasks int) *Job {
	return &Job{ID: id, Queue: queue, Spec: "x", Deadline: w.now.Add(2 * time.Second),
		Steps: []Step{{Count: tasks, Demand: job.Demand{CPUMilli: 4000}, Estimate: 100 * time.Millisecond}}}
}

// answers keeps what a caller is told.
type answers struct{ got []Answer }

func (a *answers) take(answer Answer) { a.got = append(a.got, answer) }

func (w *world) submit(j *Job) *answers {
	a := &answers{}
	w.Submit(w.now, j, a.take)
	w.Flush()
	return a
}

func (w *world) end(id ConnID, seq uint64, end wire.RunEnd, reason wire.NotRunReason) {
	w.Receive(w.now, id, &wire.LeasedToEntry{Outcomes: []wire.RunOutcome{{Seq: seq, End: end, Reason: reason}}})
	w.Flush()
}

func (w *world) pass(d time.Duration) {
	w.now = w.now.Add(d)
	w.Tick(w.now)
	w.Flush()
}

// sent returns all orders, by agent and number.
func (w *world) sent() map[ConnID][]wire.Order { return w.out.orders }

func (w *world) orders() int {
	n := 0
	for _, list := range w.out.orders {
		n += len(list)
	}
	return n
}
