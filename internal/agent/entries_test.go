package agent

import (
	"context"
	"strings"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/wire"
)

// crash closes the server and the connections of an entry, as the death of its process does.
func (e *fakeEntry) crash() {
	e.server.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.conns {
		c.Close(nil)
	}
}

// openConn returns the open connection of the entry, or nil.
func (e *fakeEntry) openConn() *fakeConn {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.conns {
		select {
		case <-c.Done():
		default:
			return c
		}
	}
	return nil
}

var _ = Describe("an agent that knows more entries than it keeps sessions with", func() {
	var (
		entries []*fakeEntry
		agent   *Agent
	)
	connected := func() (open []*fakeEntry) {
		for _, e := range entries {
			if e.openConn() != nil {
				open = append(open, e)
			}
		}
		return open
	}
	dataCentres := func() string {
		var names []string
		for _, e := range connected() {
			names = append(names, e.dataCentre)
		}
		return strings.Join(names, " ")
	}
	BeforeEach(func() {
		entries = nil
		var addrs []string
		for _, dataCentre := range []string{"here", "here", "here", "there", "there", "there"} {
			e := newFakeEntry()
			e.dataCentre = dataCentre
			entries, addrs = append(entries, e), append(addrs, e.addr)
		}
		o := options(strings.Join(addrs, ","))
		o.DataCentre, o.DrainTimeout = "here", 20*time.Second
		var err error
		agent, err = New(o, logr.Discard())
		Expect(err).NotTo(HaveOccurred())
		agent.dialers.surplusAfter = 50 * time.Millisecond
		agent.Start()
		DeferCleanup(func() { Expect(agent.Stop(context.Background())).To(Succeed()) })
		Eventually(dataCentres, "10s").Should(Equal("here here here there"))
	})

	// An entry crashes and restarts while a substitute has begun a task here. If the session of
	// the substitute were closed on the return, the result would be lost and the job would
	// hang until its deadline.
	It("connects to a substitute for a lost entry and drops it once its tasks are settled", func() {
		standin := startTarget(agent)
		DeferCleanup(func() {
			ended, cancel := context.WithCancel(context.Background())
			cancel()
			_ = standin.Stop(ended) // ends at once
		})
		var before, substitute *fakeEntry
		before = connected()[3]
		entries[0].crash()
		Eventually(dataCentres, "10s").Should(Equal("here here there there"))
		for _, e := range connected()[2:] {
			if e != before {
				substitute = e
			}
		}
		conn := substitute.openConn()
		conn.Send(&wire.ToAgent{Demand: &wire.Demand{Waiting: 1}}) // the other entries hold credits for the two slots
		Eventually(func() uint64 { conn.mu.Lock(); defer conn.mu.Unlock(); return conn.total }, "10s").Should(BeNumerically(">", 0))
		conn.mu.Lock()
		conn.spent++
		conn.mu.Unlock()
		conn.Send(startFrame(1, 1500, "done"))

		lost := entries[0]
		entries[0] = newFakeEntryAt(lost.addr)
		entries[0].dataCentre = "here"
		Eventually(dataCentres, "10s").Should(Equal("here here here there there"))
		Expect(conn.report(1).State).To(Equal(wire.Succeeded))
		Consistently(substitute.openConn, "300ms").Should(Equal(conn)) // until the report is acknowledged
		conn.Send(&wire.ToAgent{Acks: []uint64{1}, Settled: 2})
		Eventually(dataCentres, "10s").Should(Equal("here here here there"))
		Expect(substitute.openConn()).To(BeNil())
	})

	// An operator drains an entry. Its agents must have connected to others before it stops,
	// but it still needs targets for the jobs that it has accepted.
	It("connects to another entry when one is leaving, and keeps the session until that one ends", func() {
		leaving := entries[1].openConn()
		leaving.Send(&wire.ToAgent{Leaving: true})
		Eventually(dataCentres, "10s").Should(Equal("here here here there there"))
		Consistently(entries[1].openConn, "300ms").Should(Equal(leaving))
	})
})
