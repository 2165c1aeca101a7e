package dispatcher

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a runner that is turned away in favour of its own former session: its end of the
// connection has broken, and the dispatcher has not noticed yet.
func TestRunnerThatReconnectsIsNotTurnedAway(t *testing.T) {
	g := NewWithT(t)
	d := startDispatcher(t, g)
	g.Expect(d.loop.Push(func(time.Time, *state) { d.sessions.limit = 1 })).To(Succeed())
	first := connectRunner(t, g, d)
	g.Eventually(d.usableAgents.Load, "5s").Should(Equal(int64(1)))
	second := connectRunner(t, g, d)
	g.Eventually(first.conn.Err, "5s").Should(HaveOccurred(), "the new session replaces it")
	g.Eventually(d.usableAgents.Load, "5s").Should(Equal(int64(1)))
	call(t, g, d)
	g.Eventually(second.hasOrder, "5s").Should(BeTrue())
}
