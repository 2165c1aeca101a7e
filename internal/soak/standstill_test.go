package soak

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against an entry being said to have held an answer while the soak itself stood still.
func TestOwnStandstillIsCounted(t *testing.T) {
	g := NewWithT(t)
	own := newOwnStalls()
	before := own.total()
	time.Sleep(2 * ownStall)
	g.Expect(own.total() - before).To(BeNumerically(">=", 2*ownStall))
}
