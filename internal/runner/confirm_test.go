package runner

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/leased"
	"github.com/camphorrack/camphorrack/internal/scheduler/lease"
	"github.com/camphorrack/camphorrack/internal/session"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// Guards against a lease that is extended for a run whose recall has arrived and waits for the control
// goroutine, while the confirmation that came after it counts already.
func TestConfirmationCountsAfterWhatCameBeforeIt(t *testing.T) {
	g := NewWithT(t)
	conns := make(chan *session.ToAgentConn, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, err := session.Accept(w, r, leased.SessionOptions(&session.Counters{}))
		if err != nil {
			return
		}
		c.Send(&wire.ToAgent{Welcome: &wire.Welcome{Version: wire.Version, Incarnation: job.NewIncarnation()}})
		conns <- c
		_ = c.Serve(func(*wire.ToEntry) error { return nil })
	}))
	t.Cleanup(server.Close)
	r, err := New(Options{Host: "h", TargetsAddr: "127.0.0.1:0", MetricsAddr: "127.0.0.1:0", MemoryMB: 1000,
		Lease: lease.Terms{Limit: time.Second, RunLimit: 2 * time.Second}, NewTargetHandler: func(*Runner) http.Handler { return http.NotFoundHandler() },
	}, logr.Discard())
	g.Expect(err).NotTo(HaveOccurred())
	go r.loop.Run()
	t.Cleanup(func() { r.servers.Close(); r.loop.Stop() })
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = r.runSession(ctx, strings.TrimPrefix(server.URL, "http://")) }()
	entry := <-conns
	g.Eventually(entry.ReceivedSeq, "5s").ShouldNot(BeZero())
	var s *entrySession
	findSession := func(_ time.Time, st *state) {
		for _, s = range st.sessions {
		}
	}
	g.Eventually(func() *entrySession { _ = r.loop.Do(time.Second, findSession); return s }, "5s").ShouldNot(BeNil())
	proof := func() time.Time { return s.wantedAt(r.clock.Now()) }
	g.Consistently(proof, "300ms").Should(BeZero(), "acknowledgements prove nothing")

	entry.Confirm(entry.ReceivedSeq())
	g.Eventually(proof, "5s").ShouldNot(BeZero())
	before := proof()
	held, release := make(chan struct{}), make(chan struct{})
	g.Expect(r.loop.Push(func(time.Time, *state) { close(held); <-release })).To(Succeed())
	<-held
	seq := entry.ReceivedSeq()
	g.Eventually(entry.ReceivedSeq, "5s").Should(BeNumerically(">", seq))
	entry.Send(&wire.ToAgent{Leased: &wire.LeasedToAgent{Recalls: []uint64{1}}})
	confirmed := s.conn.ConfirmedAt()
	entry.Confirm(entry.ReceivedSeq())
	g.Eventually(s.conn.ConfirmedAt, "5s").Should(BeTemporally(">", confirmed))
	g.Consistently(proof, "300ms").Should(Equal(before), "the recall waits for the control goroutine")
	close(release)
	g.Eventually(proof, "5s").Should(BeTemporally(">", before))
}
