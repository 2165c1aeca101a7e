package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/session"
	"github.com/camphorrack/camphorrack/internal/settings"
	"github.com/camphorrack/camphorrack/internal/standin/target"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// fakeEntry accepts agents' connections and records what arrives on them.
type fakeEntry struct {
	server      *httptest.Server
	incarnation job.Incarnation
	addr        string // sent in the welcome
	dataCentre  string

	mu    sync.Mutex
	conns []*fakeConn
}

type fakeConn struct {
	*session.ToAgentConn
	mu      sync.Mutex
	reports []wire.Report
	target  wire.Target

	total, spent, returned uint64 // credits
}

func newFakeEntry() *fakeEntry {
	return newFakeEntryAt("127.0.0.1:0")
}

func newFakeEntryAt(addr string) *fakeEntry {
	e := &fakeEntry{incarnation: job.NewIncarnation()}
	listener, err := net.Listen("tcp", addr)
	Expect(err).NotTo(HaveOccurred())
	e.server = &httptest.Server{Listener: listener, Config: &http.Server{Handler: http.HandlerFunc(e.serve)}}
	e.server.Start()
	e.addr = e.server.Listener.Addr().String()
	DeferCleanup(e.server.Close)
	return e
}

func (e *fakeEntry) serve(w http.ResponseWriter, r *http.Request) {
	conn, err := session.Accept(w, r, session.Options{})
	if err != nil {
		return
	}
	c := &fakeConn{ToAgentConn: conn}
	_ = conn.Serve(func(f *wire.ToEntry) error { return e.receive(c, f) })
}

func (e *fakeEntry) receive(c *fakeConn, f *wire.ToEntry) error {
	if f.Hello != nil {
		e.mu.Lock()
		defer e.mu.Unlock()
		c.Send(&wire.ToAgent{Welcome: &wire.Welcome{Version: wire.Version, Incarnation: e.incarnation, Addr: e.addr, DataCentre: e.dataCentre}})
		e.conns = append(e.conns, c)
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reports = append(c.reports, f.Reports...)
	if f.Credits != nil {
		c.total = f.Credits.Total
		c.returnCredits(uint64(f.Credits.Recall))
	}
	if f.Target != nil {
		c.target = *f.Target
	}
	return nil
}

func (e *fakeEntry) connCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.conns)
}

// conn waits for connection n, counted from 0.
func (e *fakeEntry) conn(n int) *fakeConn {
	GinkgoHelper()
	var c *fakeConn
	Eventually(func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		if len(e.conns) <= n {
			return false
		}
		c = e.conns[n]
		return true
	}, "5s").Should(BeTrue())
	return c
}

func (c *fakeConn) returnCredits(recall uint64) {
	if back := min(recall, c.total-c.spent-c.returned); back > 0 {
		c.returned += back
		c.Send(&wire.ToAgent{Demand: &wire.Demand{Returned: c.returned}})
	}
}

// start runs a task on one of two credits and waits until it has begun. runMs is its run time
// in milliseconds, echo its result.
func (c *fakeConn) start(seq uint64, runMs float64, echo string) {
	GinkgoHelper()
	Eventually(c.granted, "5s").Should(BeEquivalentTo(2))
	c.mu.Lock()
	c.spent++
	c.mu.Unlock()
	c.Send(startFrame(seq, runMs, echo))
	c.Send(&wire.ToAgent{Queries: []uint64{seq}})
	Eventually(c.reportCount, "5s").Should(BeNumerically(">=", 1))
}

func (c *fakeConn) granted() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.total
}

func (c *fakeConn) reportCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.reports)
}

func (c *fakeConn) down() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.target.Down
}

func (c *fakeConn) leaving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.target.Leaving
}

// report waits for the final report of attempt seq.
func (c *fakeConn) report(seq uint64) wire.Report {
	GinkgoHelper()
	var found wire.Report
	Eventually(func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, r := range c.reports {
			if r.Seq == seq && r.State.Final() {
				found = r
			}
		}
		return found.Seq == seq
	}, "5s").Should(BeTrue())
	return found
}

func startFrame(seq uint64, runMs float64, echo string) *wire.ToAgent {
	payload, err := json.Marshal(target.Workload{RunMs: runMs, Echo: echo})
	Expect(err).NotTo(HaveOccurred())
	deadline := time.Now().Add(time.Minute).UnixMilli()
	return &wire.ToAgent{Starts: []wire.Start{{Seq: seq, Job: "job", Task: int(seq), Class: "c", Payload: payload, DeadlineMs: deadline}}}
}

func options(entries string) Options {
	set := settings.New(Program, os.Stderr)
	o := Define(set)
	none := func(string) (string, bool) { return "", false }
	Expect(set.Load([]string{"-listen=127.0.0.1:0", "-worker=w", "-entries=" + entries, "-crash-on-breach"}, none)).To(Succeed())
	return *o
}

func startAgent(entries string) *Agent {
	a, err := New(options(entries), logr.Discard())
	Expect(err).NotTo(HaveOccurred())
	a.Start()
	return a
}

func startTarget(a *Agent) *target.Server {
	set := settings.New(target.Program, os.Stderr)
	o := target.Define(set)
	none := func(string) (string, bool) { return "", false }
	Expect(set.Load([]string{"-agent=" + a.Addr(), "-slots=2"}, none)).To(Succeed())
	s, err := target.New(*o, logr.Discard())
	Expect(err).NotTo(HaveOccurred())
	s.Start()
	return s
}

func post(addr, path, body string) (int, string) {
	response, err := http.Post("http://"+addr+path, "application/json", bytes.NewReader([]byte(body)))
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	var text bytes.Buffer
	_, err = text.ReadFrom(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return response.StatusCode, text.String()
}

var _ = Describe("the agent daemon", func() {
	var (
		entry   *fakeEntry
		agent   *Agent
		standin *target.Server
	)
	BeforeEach(func() {
		entry = newFakeEntry()
		agent = startAgent(entry.addr)
		standin = startTarget(agent)
	})
	stop := func() {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		Expect(agent.Stop(ctx)).To(Succeed())
		cancel()
		_ = standin.Stop(ctx) // ends at once
	}

	// The connection breaks while a task runs at the target. Unless the result is reported on
	// the next connection, the entry never receives it and the caller waits until the deadline.
	It("delivers the result of a task on the connection after the one that broke", func() {
		first := entry.conn(0)
		first.start(1, 200, "done")
		first.Close(nil)
		second := entry.conn(1)
		r := second.report(1)
		Expect(r.State).To(Equal(wire.Succeeded))
		Expect(string(r.Result)).To(Equal("done"))
		second.Send(&wire.ToAgent{Acks: []uint64{1}, Settled: 2})
		stop()
	})

	// An operator replaces the host. If the agent stopped while a task runs, or before its
	// report is acknowledged, the outcome of finished work would be unknown.
	It("finishes and reports running tasks before it stops", func() {
		conn := entry.conn(0)
		conn.start(1, 300, "done")
		ended := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(ended)
			stop()
		}()
		Eventually(conn.leaving, "5s").Should(BeTrue())
		Expect(conn.report(1).State).To(Equal(wire.Succeeded))
		Consistently(ended, "100ms").ShouldNot(BeClosed()) // until the report is acknowledged
		conn.Send(&wire.ToAgent{Acks: []uint64{1}})
		Eventually(ended, "5s").Should(BeClosed())
	})

	// A load balancer leads to an entry that is known by its own address. If both were
	// dialled, each new connection would replace the other for ever.
	It("prefers an entry's own address to an alias", func() {
		conn := entry.conn(0)
		balancer := httptest.NewServer(http.HandlerFunc(entry.serve))
		DeferCleanup(balancer.Close)
		conn.Send(&wire.ToAgent{Entries: []wire.Peer{{Addr: balancer.Listener.Addr().String()}, {Addr: "0.0.0.0:1"}, {Addr: "nonsense"}}})
		entry.conn(1) // through the balancer, which ends at once
		Eventually(agent.openSessionCount, "5s").Should(Equal(1))
		Consistently(entry.connCount, "300ms").Should(BeNumerically("<=", 3))
		stop()
	})

	// The target has died, but its announcements are not overdue yet. Each slot that it seems
	// to have would cost one start and one report, repeatedly.
	It("takes a target that cannot be connected to out of service at once", func() {
		conn := entry.conn(0)
		Eventually(conn.granted, "5s").Should(BeEquivalentTo(2))
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = standin.Stop(ctx) // ends at once
		status, _ := post(agent.Addr(), "/v1/announce", `{"name":"standin","address":"`+standin.Addr()+`","slots":2,"speed":1,"connections":1}`)
		Expect(status).To(Equal(http.StatusOK)) // its last announcement
		conn.start(1, 1, "")
		Expect(conn.report(1).State).To(Equal(wire.NotRun))
		Eventually(conn.down, "1s").Should(BeTrue())
		conn.Send(&wire.ToAgent{Acks: []uint64{1}})
		stop()
	})

	// A target's HTTP client may hold a spare connection that never carried a request. Waiting
	// for it would make a finished drain end as a failure.
	It("does not wait for connections that were never used", func() {
		entry.conn(0)
		reserve, err := net.Dial("tcp", agent.Addr())
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = reserve.Close() }()
		Eventually(func() string { s, _ := agent.status(); return s.Target.Name }, "5s").Should(Equal("standin"))
		stop()
	})

	It("refuses bad announcements with a typed fault and a second target by name", func() {
		entry.conn(0)
		Eventually(func() string { s, _ := agent.status(); return s.Target.Name }, "5s").Should(Equal("standin"))
		status, body := post(agent.Addr(), "/v1/announce", `{"name":"x","slotz":1}`)
		Expect(status).To(Equal(http.StatusBadRequest))
		Expect(body).To(ContainSubstring("slotz"))
		status, body = post(agent.Addr(), "/v1/announce", `{"name":"other","address":"127.0.0.1:9","slots":1,"speed":1,"connections":1}`)
		Expect(status).To(Equal(http.StatusBadRequest))
		Expect(body).To(ContainSubstring(`"field":"name"`))
		status, _ = post(agent.Addr(), "/v1/nothing", "")
		Expect(status).To(Equal(http.StatusNotFound))
		stop()
	})
})
