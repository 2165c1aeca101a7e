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
	// An operator starts an entry that knows another one, but nobody knows it. Its
	// submissions would be refused, because no agent ever dials it.
	It("gets agents of the entry that it names", func() {
		old := startEntry(GinkgoT())
		startWorker("worker-1", old.Addr())
		added := startEntry(GinkgoT(), func(o *entry.Options) { o.Entries = old.Addr() })
		Eventually(func() string {
			return call(http.MethodGet, added.Addr(), "/v1/status", nil).raw
		}, 5*time.Second).Should(ContainSubstring(`"agents":1`))
	})

	// Guards against an entry that enforces an older configuration than its predecessor
	// while another one, which may have a newer, is silent.
	It("takes no work while one that it names is silent", func() {
		silent, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		e := newEntry(GinkgoT(), func(o *entry.Options) { o.Entries = silent.Addr().String() })
		started := make(chan struct{})
		go func() {
			e.Start()
			close(started)
		}()
		Eventually(func() string { return call(http.MethodGet, e.Addr(), "/v1/token", nil).raw }).Should(ContainSubstring(fault.NoConfiguration.String()))
		Expect(call(http.MethodGet, e.Addr(), "/healthz", nil)).To(haveFailure(fault.NoConfiguration, true))
		Consistently(started).ShouldNot(BeClosed())
		Expect(silent.Close()).To(Succeed())
		Eventually(started, time.Minute).Should(BeClosed())
		Expect(call(http.MethodGet, e.Addr(), "/healthz", nil).status).To(Equal(http.StatusOK))
	})

	// Anybody who reaches the port could send the fleet's agents to any address.
	It("is believed only under the fleet's signature", func() {
		e := startEntry(GinkgoT())
		Expect(call(http.MethodPost, e.Addr(), "/internal/peer", []byte(`{"id":"c1-1-x-y-1-z"}`))).To(haveFailure(fault.BadID, true))
	})
})
