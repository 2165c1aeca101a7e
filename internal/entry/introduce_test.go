package entry_test

import (
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

	// Anybody who reaches the port could send the fleet's agents to any address.
	It("is believed only under the fleet's signature", func() {
		e := startEntry(GinkgoT())
		Expect(call(http.MethodPost, e.Addr(), "/internal/peer", []byte(`{"id":"c1-1-x-y-1-z"}`))).To(haveFailure(fault.BadID, true))
	})
})
