package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/owner"
)

// fakeCore is a control state that has one job's answer and counts calls of MarkUndelivered.
type fakeCore struct {
	core
	answer      job.Answer
	undelivered int
}

func (h *fakeCore) Tick(time.Time)         {}
func (h *fakeCore) Flush()                 {}
func (h *fakeCore) Idle() bool             { return true }
func (h *fakeCore) MarkUndelivered(job.ID) { h.undelivered++ }

func (h *fakeCore) Await(_ time.Time, _ job.ID, w owner.AnswerFunc) (func(), error) {
	w(h.answer)
	return func() {}, nil
}

// answerFixture is an API with a fake clock, set to the job's deadline, and a fakeCore.
type answerFixture struct {
	*WithT
	api   *api
	id    job.ID
	clock *clock.Fake
	core  *fakeCore
}

func newAnswerFixture(t *testing.T) *answerFixture {
	g := NewWithT(t)
	deadline := time.UnixMilli(1_800_000_000_000)
	id, err := job.NewID(job.Owner{Incarnation: 1, Addr: netip.MustParseAddrPort("127.0.0.1:1")}.Token(nil), deadline, "x", nil)
	g.Expect(err).NotTo(HaveOccurred())
	now := clock.NewFake(deadline)
	h := &fakeCore{answer: job.Answer{ID: id.String(), State: job.Failed, Failure: fault.New(fault.OutcomeUnknown, "")}}
	control := newControl(h, now, logr.Discard(), nil)
	go control.Run()
	t.Cleanup(control.Stop)
	return &answerFixture{g, &api{clock: now, control: control, unclaimed: newUnclaimed()}, id, now, h}
}

// deliver writes an answer and returns the status and the answer that its caller receives.
func (c *answerFixture) deliver(state job.State, f *fault.Fault) (status int, answer job.Answer) {
	return c.deliverWithContext(context.Background(), state, f)
}

// deliverWithContext is deliver for a caller whose connection lasts as long as ctx.
func (c *answerFixture) deliverWithContext(ctx context.Context, state job.State, f *fault.Fault) (status int, answer job.Answer) {
	recorder := httptest.NewRecorder()
	g, _ := gin.CreateTestContext(recorder)
	g.Request = httptest.NewRequest(http.MethodGet, "/", nil).WithContext(ctx)
	c.api.deliver(g, c.id, job.Answer{ID: c.id.String(), State: state, Failure: f})
	c.Expect(json.Unmarshal(recorder.Body.Bytes(), &answer)).To(Succeed())
	return recorder.Code, answer
}

// Guards against an entry that was frozen withholding results that were ready in time.
func TestCompleteAnswerIsWrittenPastTheDeadline(t *testing.T) {
	c := newAnswerFixture(t)
	c.clock.Advance(job.AnswerGrace - time.Millisecond)
	status, _ := c.deliver(job.Complete, nil)
	c.Expect(status).To(Equal(http.StatusOK))
	c.Expect(c.core.undelivered).To(BeZero())
}

// Guards against "complete" after another entry may have called the outcome unknown.
func TestNoCompleteAnswerIsWrittenPastTheGrace(t *testing.T) {
	c := newAnswerFixture(t)
	c.clock.Advance(job.AnswerGrace)
	status, answer := c.deliver(job.Complete, nil)
	c.Expect(status).To(Equal(fault.OutcomeUnknown.Status()))
	c.Expect(answer.State).To(Equal(job.Failed))
	c.Expect(c.core.undelivered).To(Equal(1))
	status, _ = c.deliver(job.Failed, fault.New(fault.Cancelled, ""))
	c.Expect(status).To(Equal(fault.Cancelled.Status()))
}

// Guards against an answer counting as given although its caller had disconnected.
func TestAnswerIsUndeliveredWhenCallerDisconnects(t *testing.T) {
	c := newAnswerFixture(t)
	ctx, leave := context.WithCancel(context.Background())
	c.deliverWithContext(ctx, job.Complete, nil)
	c.Expect(c.core.undelivered).To(BeZero())
	leave()
	c.deliverWithContext(ctx, job.Complete, nil)
	c.Expect(c.api.control.do(func(time.Time, core) {})).To(Succeed())
	c.Expect(c.core.undelivered).To(Equal(1))
	c.deliverWithContext(ctx, job.Failed, fault.New(fault.Cancelled, ""))
	c.Expect(c.api.control.do(func(time.Time, core) {})).To(Succeed())
	c.Expect(c.core.undelivered).To(Equal(1))
}
