package entry

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/gin-gonic/gin"
	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/job"
)

// The process is paused between the end of a job and the writing of its answer, and
// wakes after the deadline. Meanwhile another entry may have told a caller that the
// outcome is unknown; "complete" now would contradict it.
func TestNoCompleteAnswerIsWrittenPastTheDeadline(t *testing.T) {
	g := NewWithT(t)
	deadline := time.UnixMilli(1_800_000_000_000)
	now := clock.NewFake(deadline.Add(-time.Millisecond))
	a := &api{clock: now, unclaimed: newUnclaimed()}
	id, err := job.NewID(job.Owner{Incarnation: 1, Addr: netip.MustParseAddrPort("127.0.0.1:1")}.Token(nil), deadline, "x", nil)
	g.Expect(err).NotTo(HaveOccurred())
	status := func(state job.State, f *fault.Fault) int {
		recorder := httptest.NewRecorder()
		c, _ := gin.CreateTestContext(recorder)
		c.Request = httptest.NewRequest(http.MethodGet, "/", nil)
		a.deliver(c, id, job.Answer{ID: id.String(), State: state, Failure: f})
		return recorder.Code
	}
	g.Expect(status(job.Complete, nil)).To(Equal(http.StatusOK))
	now.Advance(time.Millisecond)
	g.Expect(status(job.Complete, nil)).To(Equal(fault.AnswerExpired.Status()))
	g.Expect(status(job.Failed, fault.New(fault.Cancelled, ""))).To(Equal(fault.Cancelled.Status()))
}
