package entry

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"
	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/owner"
)

// A body of any bytes arrives. It is either refused with a fault that names what
// is wrong, or means the same after it has been written and read again; it never
// panics, which would take other callers' requests with it.
func FuzzDecodeSubmission(f *testing.F) {
	for _, seed := range []string{
		``, `{`, `null`, `[]`, `{} {}`, `{"id":"x","ID":"y"}`, `{"tasks":[{"payload":"aGk="}]}`, `{"tasks":[null]}`,
		`{"team":"t","class":"c","idempotent":true,"tasks":[{"payload":"","estimate_ms":1e3}]}`,
		`{"tasks":[{"demand":{"cpu_milli":-1,"memory_mb":9999999999}}]}`, `{"Submission":{"team":"t"}}`,
		`{"tasks":[{"payload":"%%"}]}`, "{\"team\":\"\xff\"}", `{"estimate":1}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		g := NewWithT(t)
		b, err := decodeSubmission(body, false)
		if err == nil {
			err = b.Check()
		}
		if err != nil {
			var bad *fault.Fault
			g.Expect(errors.As(err, &bad)).To(BeTrue(), "%v", err)
			g.Expect(bad.Field).NotTo(BeEmpty())
			g.Expect(bad.NotRun).To(BeTrue())
			return
		}
		encoded, err := json.Marshal(b)
		g.Expect(err).NotTo(HaveOccurred())
		again, err := decodeSubmission(encoded, false)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(again.ID).To(Equal(b.ID))
		g.Expect(again.Fingerprint()).To(Equal(b.Fingerprint()))
	})
}

// The control goroutine falls behind, in a burst or on a starved host. A request
// that finds no room is told to ask again and not that it did not run: a copy of
// it may have got in.
func TestBusyControlIsUndecided(t *testing.T) {
	g := NewWithT(t)
	c := newControl(owner.New(owner.Options{}), clock.NewFake(time.UnixMilli(1)))
	gate := make(chan struct{})
	go c.run()
	g.Expect(c.post(func(time.Time, core) { <-gate })).To(Succeed())
	ran := 0
	for range maxCommands {
		g.Expect(c.push(func(time.Time, core) { ran++ })).To(Succeed())
	}
	for len(c.commands) < maxCommands { // the first may have been taken before
		g.Expect(c.push(func(time.Time, core) { ran++ })).To(Succeed())
	}
	lost := false
	err := c.do(func(time.Time, core) { lost = true })
	g.Expect(err).To(MatchError(errBusy))
	told := asFault(err)
	g.Expect(told.Code).To(Equal(fault.Undecided))
	g.Expect(told.NotRun).To(BeFalse())
	g.Expect(told.RetryAfterMs).To(BeNumerically(">", 0))

	close(gate)
	g.Expect(c.do(func(time.Time, core) {})).To(Succeed())
	g.Expect(ran).To(BeNumerically(">=", maxCommands))
	g.Expect(lost).To(BeFalse())
	c.end()
	g.Expect(c.do(func(time.Time, core) {})).To(MatchError(errStopped))
}

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

// Callers who were told "pending" and never come back must not hold up a drain, or
// memory, past their deadlines.
func TestUnclaimedAnswersAreForgottenAtTheirDeadlines(t *testing.T) {
	g := NewWithT(t)
	now := time.UnixMilli(1_800_000_000_000)
	u := newUnclaimed()
	u.add(now, "a", now.Add(time.Second))
	u.add(now, "b", now.Add(time.Minute))
	u.add(now, "c", now.Add(time.Minute))
	u.claimed("c")
	g.Expect(u.len(now)).To(Equal(2))
	g.Expect(u.len(now.Add(time.Second + time.Millisecond))).To(Equal(1))
	u.add(now.Add(2*time.Minute), "d", now.Add(3*time.Minute))
	g.Expect(u.deadlines).To(HaveLen(1))
}

var _ core = (*owner.Core)(nil)
