package demo

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the watch over the configuration", func() {
	// A daemon that goes back to an older configuration enforces quotas that were
	// lifted yesterday, and no operator changed anything.
	It("finds a daemon whose version goes back, also across its restart", func() {
		o := &operators{inForce: map[string]uint64{}}
		for _, version := range []uint64{0, 3, 3, 5, 0, 5} {
			o.saw("entry-1", version)
		}
		o.saw("entry-2", 4)
		Expect(o.breaches).To(BeEmpty())
		Expect(o.without).To(Equal(1))
		o.saw("entry-1", 4)
		Expect(o.breaches).To(HaveExactElements(HaveField("Rule", RuleConfigReverts)))
	})

	It("counts a change as in force only when the last daemon has it", func() {
		o := &operators{accepted: []change{{version: 2, at: time.Now()}}}
		o.reached(1)
		_, missing := o.missing()
		Expect(missing).To(BeTrue())
		o.reached(2)
		_, missing = o.missing()
		Expect(missing).To(BeFalse())
	})
})
