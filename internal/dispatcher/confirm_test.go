package dispatcher

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/dispatch"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/leased"
	"github.com/camphorrack/camphorrack/internal/routing"
	"github.com/camphorrack/camphorrack/internal/session"
	"github.com/camphorrack/camphorrack/internal/standin/relay"
	"github.com/camphorrack/camphorrack/internal/wire"
)

var testQueue = &routing.Queue{Name: "q", Service: "s", MaxAttempts: 2, Stretch: 1.6, LatencyAllowance: 60 * time.Millisecond}

// freeAddr returns an address on loopback on which nothing listens.
func freeAddr(g *WithT) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// startDispatcher starts a dispatcher that executes a job of one task for each request of a caller. It
// follows no store.
func startDispatcher(t *testing.T, g *WithT) *Dispatcher {
	d, err := New(Options{
		Host: "h", DataCentre: "a", CallerAddr: freeAddr(g), SessionAddr: freeAddr(g), ReadyAddr: freeAddr(g), MetricsAddr: freeAddr(g), TargetsAddr: freeAddr(g),
		LostRunLimit: 1200 * time.Millisecond, RemoteFactor: 1.5, MemoryMB: 1000, ProcessorShare: 1,
		NewReadinessHandler: func(func() bool) http.Handler { return http.NotFoundHandler() },
		NewCallerHandler: func(d *Dispatcher) http.Handler {
			return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				d.Execute(r.Context(), &dispatch.Job{ID: "1", Queue: testQueue, Spec: "x", Timeout: 10 * time.Second,
					Steps: []dispatch.Step{{Count: 1, Demand: job.Demand{CPUMilli: 1000}, Estimate: 5 * time.Second}}})
			})
		},
	}, logr.Discard())
	g.Expect(err).NotTo(HaveOccurred())
	d.routes.Store(routing.New(1, []*routing.Queue{testQueue}, nil, routing.Limits{}))
	go d.loop.Run()
	d.servers.Serve()
	t.Cleanup(func() {
		d.handover.Close()
		d.servers.Close()
		d.loop.Stop()
	})
	return d
}

// testRunner is a session with a dispatcher, of a runner that starts each order and ends none.
type testRunner struct {
	conn *session.ToEntryConn

	mu        sync.Mutex
	ordered   bool
	recalled  bool
	confirmed time.Time // newest before the recall was received
}

func connectRunner(t *testing.T, g *WithT, d *Dispatcher) *testRunner {
	conn, err := session.Dial(context.Background(), d.options.SessionAddr, leased.SessionOptions(&session.Counters{}))
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { conn.Close(nil) })
	r := &testRunner{conn: conn}
	conn.Send(&wire.ToEntry{Hello: &wire.Hello{Version: wire.Version, Incarnation: job.NewIncarnation(), Worker: "w", DataCentre: "a"}})
	capacity := job.Demand{CPUMilli: 4000, MemoryMB: 1000}
	conn.Send(&wire.ToEntry{Leased: &wire.LeasedToEntry{Target: &wire.LeasedTarget{Name: "t", Service: "s", Capacity: capacity}, Load: &wire.Load{Free: capacity, Speed: 1}}})
	go func() { _ = conn.Serve(r.receive) }()
	return r
}

func (r *testRunner) receive(f *wire.ToAgent) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ordered = r.ordered || f.Leased != nil && len(f.Leased.Orders) > 0
	r.recalled = r.recalled || f.Leased != nil && len(f.Leased.Recalls) > 0
	if !r.recalled {
		r.confirmed = r.conn.ConfirmedAt()
	}
	return nil
}

// state returns whether an order and its recall have been received, and the newest time as of which the
// order was confirmed as wanted before the recall.
func (r *testRunner) state() (ordered, recalled bool, confirmed time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ordered, r.recalled, r.confirmed
}

func (r *testRunner) hasOrder() bool  { ordered, _, _ := r.state(); return ordered }
func (r *testRunner) hasRecall() bool { _, recalled, _ := r.state(); return recalled }

func (r *testRunner) confirmedAt() time.Time {
	_, _, confirmed := r.state()
	return confirmed
}

// call sends a request to the dispatcher and returns its connection.
func call(t *testing.T, g *WithT, d *Dispatcher) net.Conn {
	caller, err := net.Dial("tcp", d.options.CallerAddr)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = caller.Close() })
	_, err = caller.Write([]byte("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"))
	g.Expect(err).NotTo(HaveOccurred())
	return caller
}

// holdUp holds the control goroutine up until the function that it returns is called.
func (d *Dispatcher) holdUp(t *testing.T, g *WithT) (release func()) {
	held, released := make(chan struct{}), make(chan struct{})
	g.Expect(d.loop.Push(func(time.Time, *state) { close(held); <-released })).To(Succeed())
	<-held
	release = sync.OnceFunc(func() { close(released) })
	t.Cleanup(release)
	return release
}

// transit is more than the end of a loopback connection takes to become visible.
const transit = 20 * time.Millisecond

// Guards against a lease that is renewed for a run that nobody wants: the dispatcher's control goroutine
// is late and knows nothing of a caller that has left, while its sessions go on acknowledging frames.
func TestLateDispatcherConfirmsNothing(t *testing.T) {
	g := NewWithT(t)
	d := startDispatcher(t, g)
	r := connectRunner(t, g, d)
	g.Eventually(func() int64 { return d.usableAgents.Load() }, "5s").Should(Equal(int64(1)))
	caller := call(t, g, d)
	g.Eventually(r.hasOrder, "5s").Should(BeTrue())
	orderedAt := time.Now()
	g.Eventually(r.confirmedAt, "5s").Should(BeTemporally(">", orderedAt), "the caller waits")
	release := d.holdUp(t, g)
	leftAt := time.Now()
	g.Expect(caller.Close()).To(Succeed())
	g.Eventually(r.conn.AcknowledgedAt, "5s").Should(BeTemporally(">", leftAt.Add(time.Second)), "the session acknowledges frames meanwhile")
	g.Expect(r.confirmedAt()).To(BeTemporally("<", leftAt.Add(transit)))
	release()
	g.Eventually(r.hasRecall, "5s").Should(BeTrue())
	g.Expect(r.confirmedAt()).To(BeTemporally("<", leftAt.Add(transit)), "no confirmation precedes the recall")
	g.Eventually(r.conn.ConfirmedAt, "5s").Should(BeTemporally(">", leftAt.Add(time.Second)))
}

// Guards against a lease that is renewed for a run of a job that was handed over, after the entry with
// its caller is cut off: the other one would notice that only when the session is silent.
func TestNothingIsConfirmedForAnEntryThatIsCutOff(t *testing.T) {
	g := NewWithT(t)
	first, second := startDispatcher(t, g), startDispatcher(t, g)
	path, err := relay.New()
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(path.Close)
	path.SetTarget(second.options.SessionAddr)
	r := connectRunner(t, g, second)
	g.Eventually(func() int64 { return second.usableAgents.Load() }, "5s").Should(Equal(int64(1)))
	first.handover.Learn([]wire.Peer{{Addr: path.Addr(), DataCentre: "a"}})
	caller := call(t, g, first)
	g.Eventually(r.hasOrder, "5s").Should(BeTrue())
	orderedAt := time.Now()
	g.Eventually(r.confirmedAt, "5s").Should(BeTemporally(">", orderedAt), "the caller waits")
	path.BlackholeOpen(true, true)
	cutOffAt := time.Now()
	g.Expect(caller.Close()).To(Succeed())
	g.Eventually(r.hasRecall, "5s").Should(BeTrue())
	g.Expect(r.confirmedAt()).To(BeTemporally("<", cutOffAt.Add(transit)))
	g.Eventually(r.conn.ConfirmedAt, "5s").Should(BeTemporally(">", cutOffAt.Add(transit)))
}

// Guards against an entry with callers that is late, and a job that continues at another entry although
// its caller has left.
func TestLateEntryConfirmsNothingForAJobThatItHandedOver(t *testing.T) {
	g := NewWithT(t)
	first, second := startDispatcher(t, g), startDispatcher(t, g)
	r := connectRunner(t, g, second)
	g.Eventually(func() int64 { return second.usableAgents.Load() }, "5s").Should(Equal(int64(1)))
	first.handover.Learn([]wire.Peer{{Addr: second.options.SessionAddr, DataCentre: "a"}})
	caller := call(t, g, first)
	g.Eventually(r.hasOrder, "5s").Should(BeTrue())
	first.holdUp(t, g)
	leftAt := time.Now()
	g.Expect(caller.Close()).To(Succeed())
	g.Eventually(r.hasRecall, "5s").Should(BeTrue())
	g.Expect(r.confirmedAt()).To(BeTemporally("<", leftAt.Add(transit)))
}

// Guards against a confirmation of frames that were received after the time as of which all runs are
// wanted.
func TestReceipts(t *testing.T) {
	g := NewWithT(t)
	var r receipts
	start := time.Unix(1_800_000_000, 0)
	g.Expect(r.newest(start)).To(BeZero())
	for i := range 2 * maxReceipts {
		r.add(start.Add(time.Duration(i)*time.Second), uint64(10+i))
	}
	last := start.Add((2*maxReceipts - 1) * time.Second)
	g.Expect(r.newest(last)).To(Equal(uint64(10 + 2*maxReceipts - 1)))
	g.Expect(r.newest(last.Add(-time.Nanosecond))).To(Equal(uint64(10 + 2*maxReceipts - 2)))
	g.Expect(r.newest(last.Add(-maxReceipts*time.Second))).To(BeZero(), "it was dropped")
}

// Guards against runners that get no confirmations while many others open their sessions.
func TestReceiptsCoverOldConfirmationsWhileSessionsOpen(t *testing.T) {
	for _, interval := range []time.Duration{time.Millisecond, 26 * time.Millisecond, 45 * time.Millisecond, 60 * time.Millisecond} {
		g := NewWithT(t)
		var r receipts
		start := time.Unix(1_800_000_000, 0)
		for i := range 1000 {
			now := start.Add(time.Duration(i) * interval)
			r.add(now, uint64(i+1))
			if now.Sub(start) > time.Second {
				g.Expect(r.newest(now.Add(-250*time.Millisecond))).To(BeNumerically(">", 0), "receipts every %s", interval)
			}
		}
	}
}
