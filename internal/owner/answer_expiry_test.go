package owner

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/job"
)

// answerFixture is an owner with one agent on which every task succeeds immediately.
type answerFixture struct {
	g    *WithT
	core *Core
	out  *echoOutbox
	now  time.Time
	last int
}

func newAnswerFixture(t *testing.T) *answerFixture {
	core, out := newBenchCore(1)
	return &answerFixture{g: NewWithT(t), core: core, out: out, now: time.UnixMilli(1_800_000_000_000)}
}

// submitAndComplete submits a job with a deadline in a second and completes it. If callback
// is nil, the caller stops waiting before the job ends.
func (l *answerFixture) submitAndComplete(callback AnswerFunc) job.ID {
	l.last++
	id, err := job.NewID(l.core.options.Owner.Token(benchKey), l.now.Add(time.Second), fmt.Sprint(l.last), benchKey)
	l.g.Expect(err).NotTo(HaveOccurred())
	s := &job.Submission{ID: id, Team: "a", Class: "x", Tasks: make([]job.Task, 1)}
	stop, err := l.core.Submit(l.now, s, callback)
	l.g.Expect(err).NotTo(HaveOccurred())
	if callback == nil {
		stop()
	}
	l.core.Flush()
	for conn, f := range l.out.frames {
		f.Reports[0].Result = []byte("result")
		l.g.Expect(l.core.Receive(l.now, conn, f)).To(Succeed())
		delete(l.out.frames, conn)
	}
	return id
}

// submitWithoutWaiting submits and completes a job whose caller stops waiting before it ends.
func (l *answerFixture) submitWithoutWaiting() job.ID { return l.submitAndComplete(nil) }

// await looks up an answer at the given time past the deadline.
func (l *answerFixture) await(id job.ID, late time.Duration) (answer job.Answer, err error) {
	now := id.Deadline.Add(late)
	l.core.Tick(now)
	_, err = l.core.Await(now, id, func(a job.Answer) { answer = a })
	return answer, err
}

const justBeforeExpiry = job.AnswerGrace - time.Millisecond

// Guards against the loss of the results of a job that ended in time, once its deadline has
// passed.
func TestCompleteAnswerIsGivenAfterTheDeadline(t *testing.T) {
	l := newAnswerFixture(t)
	for _, late := range []time.Duration{0, justBeforeExpiry} {
		answer, err := l.await(l.submitWithoutWaiting(), late)
		l.g.Expect(err).NotTo(HaveOccurred())
		l.g.Expect(answer.State).To(Equal(job.Complete), "%s past the deadline", late)
		l.g.Expect(answer.Results).To(Equal([][]byte{[]byte("result")}))
	}
}

// Guards against reporting an answer as given although no caller got it.
func TestUndeliveredAnswerBecomesUnknownOutcome(t *testing.T) {
	l := newAnswerFixture(t)
	id := l.submitWithoutWaiting()
	for _, late := range []time.Duration{job.AnswerGrace, AnswerRetention - time.Millisecond} {
		answer, err := l.await(id, late)
		l.g.Expect(err).NotTo(HaveOccurred())
		l.g.Expect(answer.State).To(Equal(job.Failed))
		l.g.Expect(answer.Failure.Code).To(Equal(fault.OutcomeUnknown))
		l.g.Expect(answer.Failure.NotRun).To(BeFalse())
		l.g.Expect(answer.Results).To(BeEmpty())
	}
	_, err := l.await(id, AnswerRetention)
	l.g.Expect(err).To(MatchError(fault.New(fault.AnswerExpired, "")))
}

// Guards against an unknown outcome being answered after a caller got the complete answer.
func TestDeliveredAnswerExpires(t *testing.T) {
	l := newAnswerFixture(t)
	given := l.submitAndComplete(func(job.Answer) {})
	_, err := l.await(given, job.AnswerGrace)
	l.g.Expect(err).To(MatchError(fault.New(fault.AnswerExpired, "")))

	lookedUp := l.submitWithoutWaiting()
	_, err = l.await(lookedUp, justBeforeExpiry)
	l.g.Expect(err).NotTo(HaveOccurred())
	_, err = l.await(lookedUp, job.AnswerGrace)
	l.g.Expect(err).To(MatchError(fault.New(fault.AnswerExpired, "")))
}

// Guards against an answer counting as given that the entry could not pass on in time.
func TestAnswerMarkedUndeliveredCountsAsNotGiven(t *testing.T) {
	l := newAnswerFixture(t)
	id := l.submitAndComplete(func(job.Answer) {})
	l.core.MarkUndelivered(id)
	answer, err := l.await(id, job.AnswerGrace)
	l.g.Expect(err).NotTo(HaveOccurred())
	l.g.Expect(answer.Failure.Code).To(Equal(fault.OutcomeUnknown))

	twice := l.submitAndComplete(func(job.Answer) {})
	_, err = l.await(twice, 0)
	l.g.Expect(err).NotTo(HaveOccurred())
	l.core.MarkUndelivered(twice)
	_, err = l.await(twice, job.AnswerGrace)
	l.g.Expect(err).To(MatchError(fault.New(fault.AnswerExpired, "")), "the answer was given to the other caller")
}

// Guards against results counting as given that were evicted before any caller got them.
func TestEvictedUndeliveredAnswerBecomesUnknownOutcome(t *testing.T) {
	l := newAnswerFixture(t)
	id := l.submitWithoutWaiting()
	r := l.core.jobs[id.String()]
	l.core.retainedBytes += MaxAnswerBytes // as if other results filled the memory
	l.submitAndComplete(func(job.Answer) {})
	l.g.Expect(r.evicted).To(BeTrue())
	answer, err := l.await(id, -time.Millisecond)
	l.g.Expect(err).NotTo(HaveOccurred())
	l.g.Expect(answer.Failure.Code).To(Equal(fault.OutcomeUnknown))
}

// Guards against a job ending as complete after its deadline, when a process that was frozen
// receives the last report on resuming.
func TestResultAfterTheDeadlineCompletesNothing(t *testing.T) {
	l := newAnswerFixture(t)
	id, err := job.NewID(l.core.options.Owner.Token(benchKey), l.now.Add(time.Second), "frozen", benchKey)
	l.g.Expect(err).NotTo(HaveOccurred())
	var answer job.Answer
	s := &job.Submission{ID: id, Team: "a", Class: "x", Tasks: make([]job.Task, 1)}
	_, err = l.core.Submit(l.now, s, func(a job.Answer) { answer = a })
	l.g.Expect(err).NotTo(HaveOccurred())
	l.core.Flush()
	l.g.Expect(l.core.Receive(id.Deadline, 1, l.out.frames[1])).To(Succeed())
	l.g.Expect(answer.Failure.Code).To(Equal(fault.DeadlineExceeded))
}
