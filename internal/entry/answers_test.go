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

// holder is a control state that knows one job's answer.
type holder struct {
	core
	answer   job.Answer
	withheld int
}

func (h *holder) Tick(time.Time)         {}
func (h *holder) Flush()                 {}
func (h *holder) Idle() bool             { return true }
func (h *holder) MarkUndelivered(job.ID) { h.withheld++ }

func (h *holder) Await(_ time.Time, _ job.ID, w owner.AnswerFunc) (func(), error) {
	w(h.answer)
	return func() {}, nil
}

// answerCase is an entry that holds the complete answer to one job.
type answerCase struct {
	*WithT
	api   *api
	id    job.ID
	clock *clock.Fake
	core  *holder
}

func newAnswerCase(t *testing.T) *answerCase {
	g := NewWithT(t)
	deadline := time.UnixMilli(1_800_000_000_000)
	id, err := job.NewID(job.Owner{Incarnation: 1, Addr: netip.MustParseAddrPort("127.0.0.1:1")}.Token(nil), deadline, "x", nil)
	g.Expect(err).NotTo(HaveOccurred())
	now := clock.NewFake(deadline)
	h := &holder{answer: job.Answer{ID: id.String(), State: job.Failed, Failure: fault.New(fault.OutcomeUnknown, "")}}
	control := newControl(h, now, logr.Discard(), nil)
	go control.Run()
	t.Cleanup(control.Stop)
	return &answerCase{g, &api{clock: now, control: control, unclaimed: newUnclaimed()}, id, now, h}
}

// deliver writes an answer and returns what its caller reads.
func (c *answerCase) deliver(state job.State, f *fault.Fault) (status int, answer job.Answer) {
	return c.deliverTo(context.Background(), state, f)
}

// deliverTo writes an answer to a caller who is there as long as ctx lasts.
func (c *answerCase) deliverTo(ctx context.Context, state job.State, f *fault.Fault) (status int, answer job.Answer) {
	recorder := httptest.NewRecorder()
	g, _ := gin.CreateTestContext(recorder)
	g.Request = httptest.NewRequest(http.MethodGet, "/", nil).WithContext(ctx)
	c.api.deliver(g, c.id, job.Answer{ID: c.id.String(), State: state, Failure: f})
	c.Expect(json.Unmarshal(recorder.Body.Bytes(), &answer)).To(Succeed())
	return recorder.Code, answer
}

// Guards against a frozen entry withholding results that were ready in time.
func TestCompleteAnswerIsWrittenPastTheDeadline(t *testing.T) {
	c := newAnswerCase(t)
	c.clock.Advance(job.AnswerGrace - time.Millisecond)
	status, _ := c.deliver(job.Complete, nil)
	c.Expect(status).To(Equal(http.StatusOK))
	c.Expect(c.core.withheld).To(BeZero())
}

// Guards against "complete" after another entry may have called the outcome unknown.
func TestNoCompleteAnswerIsWrittenPastTheGrace(t *testing.T) {
	c := newAnswerCase(t)
	c.clock.Advance(job.AnswerGrace)
	status, answer := c.deliver(job.Complete, nil)
	c.Expect(status).To(Equal(fault.OutcomeUnknown.Status()))
	c.Expect(answer.State).To(Equal(job.Failed))
	c.Expect(c.core.withheld).To(Equal(1))
	status, _ = c.deliver(job.Failed, fault.New(fault.Cancelled, ""))
	c.Expect(status).To(Equal(fault.Cancelled.Status()))
}

// Guards against an answer counting as given that was written to nobody.
func TestAnswerToACallerWhoLeftIsWithheld(t *testing.T) {
	c := newAnswerCase(t)
	ctx, leave := context.WithCancel(context.Background())
	c.deliverTo(ctx, job.Complete, nil)
	c.Expect(c.core.withheld).To(BeZero())
	leave()
	c.deliverTo(ctx, job.Complete, nil)
	c.Expect(c.api.control.do(func(time.Time, core) {})).To(Succeed())
	c.Expect(c.core.withheld).To(Equal(1))
	c.deliverTo(ctx, job.Failed, fault.New(fault.Cancelled, ""))
	c.Expect(c.api.control.do(func(time.Time, core) {})).To(Succeed())
	c.Expect(c.core.withheld).To(Equal(1))
}
