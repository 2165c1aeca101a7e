package entry_test

import (
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/entry"
	"github.com/camphorrack/camphorrack/internal/fault"
)

var _ = Describe("a new entry", func() {
	// A new entry has another one in its settings but is in no other entry's settings. Without an
	// introduction no agent dials it, and its submissions are refused.
	It("gets the agents of the entry in its settings", func() {
		old := startEntry(GinkgoT())
		startWorker("worker-1", old.Addr())
		added := startEntry(GinkgoT(), func(o *entry.Options) { o.Entries = old.Addr() })
		Eventually(func() string {
			return call(http.MethodGet, added.Addr(), "/v1/status", nil).raw
		}, 5*time.Second).Should(ContainSubstring(`"agents":1`))
	})

	// Guards against an entry that enforces an older configuration than its predecessor
	// while another one, which may have a newer configuration, doesn't answer.
	It("accepts no work while an entry in its settings doesn't answer", func() {
		unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		e := newEntry(GinkgoT(), func(o *entry.Options) { o.Entries = unresponsive.Addr().String() })
		started := make(chan struct{})
		go func() {
			e.Start()
			close(started)
		}()
		Eventually(func() string { return call(http.MethodGet, e.Addr(), "/v1/token", nil).raw }).Should(ContainSubstring(fault.NoConfiguration.String()))
		Expect(call(http.MethodGet, e.Addr(), "/healthz", nil)).To(haveFailure(fault.NoConfiguration, true))
		Consistently(started).ShouldNot(BeClosed())
		Expect(unresponsive.Close()).To(Succeed())
		Eventually(started, time.Minute).Should(BeClosed())
		Expect(call(http.MethodGet, e.Addr(), "/healthz", nil).status).To(Equal(http.StatusOK))
	})

	// Guards against a client without the fleet's key making agents dial any address.
	It("is introduced only with the fleet's signature", func() {
		e := startEntry(GinkgoT())
		Expect(call(http.MethodPost, e.Addr(), "/internal/peer", []byte(`{"id":"c1-1-x-y-1-z"}`))).To(haveFailure(fault.BadID, true))
	})
})
