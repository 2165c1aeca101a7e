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

// lose takes an entry away, as the death of its process does.
func (e *fakeEntry) lose() {
	e.server.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.conns {
		c.Close(nil)
	}
}

// live is the entry's connection that is open, or nil.
func (e *fakeEntry) live() *fakeConn {
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
	connected := func() (n []*fakeEntry) {
		for _, e := range entries {
			if e.live() != nil {
				n = append(n, e)
			}
		}
		return n
	}
	places := func() string {
		var places []string
		for _, e := range connected() {
			places = append(places, e.dataCentre)
		}
		return strings.Join(places, " ")
	}
	BeforeEach(func() {
		entries = nil
		var addrs []string
		for _, place := range []string{"here", "here", "here", "there", "there", "there"} {
			e := newFakeEntry()
			e.dataCentre = place
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
		Eventually(places, "10s").Should(Equal("here here here there"))
	})

	// An entry dies and comes back. Meanwhile a substitute has begun a task here.
	// Were its session closed when the entry is back, nobody would hear of the
	// result, and the job would hang until its deadline.
	It("takes a substitute for a lost entry and gives it up when nothing hangs on it", func() {
		back := startTarget(agent)
		DeferCleanup(func() {
			ended, cancel := context.WithCancel(context.Background())
			cancel()
			_ = back.Stop(ended) // ends at once
		})
		var before, substitute *fakeEntry
		before = connected()[3]
		entries[0].lose()
		Eventually(places, "10s").Should(Equal("here here there there"))
		for _, e := range connected()[2:] {
			if e != before {
				substitute = e
			}
		}
		conn := substitute.live()
		conn.Send(&wire.ToAgent{Demand: &wire.Demand{Waiting: 1}}) // others hold the two slots
		Eventually(func() uint64 { conn.mu.Lock(); defer conn.mu.Unlock(); return conn.total }, "10s").Should(BeNumerically(">", 0))
		conn.mu.Lock()
		conn.spent++
		conn.mu.Unlock()
		conn.Send(startFrame(1, 1500, "done"))

		lost := entries[0]
		entries[0] = newFakeEntryAt(lost.addr)
		entries[0].dataCentre = "here"
		Eventually(places, "10s").Should(Equal("here here here there there"))
		Expect(conn.report(1).State).To(Equal(wire.Succeeded))
		Consistently(substitute.live, "300ms").Should(Equal(conn)) // until the report is acknowledged
		conn.Send(&wire.ToAgent{Acks: []uint64{1}, Settled: 2})
		Eventually(places, "10s").Should(Equal("here here here there"))
		Expect(substitute.live()).To(BeNil())
	})

	// An operator drains an entry. Its agents must be with others before it ends, but
	// it still needs targets for what it has accepted.
	It("looks for another entry when one leaves, and stays until that ends", func() {
		leaving := entries[1].live()
		leaving.Send(&wire.ToAgent{Leaving: true})
		Eventually(places, "10s").Should(Equal("here here here there there"))
		Consistently(entries[1].live, "300ms").Should(Equal(leaving))
	})
})
