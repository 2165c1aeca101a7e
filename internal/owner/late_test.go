package owner

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/job"
)

// lateCase is one owner with one agent that succeeds at once.
type lateCase struct {
	g    *WithT
	core *Core
	out  *echo
	now  time.Time
	last int
}

func newLateCase(t *testing.T) *lateCase {
	core, out := newBenchCore(1)
	return &lateCase{g: NewWithT(t), core: core, out: out, now: time.UnixMilli(1_800_000_000_000)}
}

// complete submits a job that ends before its deadline, a second from now.
func (l *lateCase) complete(w AnswerFunc) job.ID {
	l.last++
	id, err := job.NewID(l.core.opts.Owner.Token(benchKey), l.now.Add(time.Second), fmt.Sprint(l.last), benchKey)
	l.g.Expect(err).NotTo(HaveOccurred())
	s := &job.Submission{ID: id, Team: "a", Class: "x", Tasks: make([]job.Task, 1)}
	stop, err := l.core.Submit(l.now, s, w)
	l.g.Expect(err).NotTo(HaveOccurred())
	if w == nil {
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

// abandoned submits a job whose caller stops waiting before it ends.
func (l *lateCase) abandoned() job.ID { return l.complete(nil) }

// ask looks an answer up after the deadline.
func (l *lateCase) ask(id job.ID, late time.Duration) (answer job.Answer, err error) {
	now := id.Deadline.Add(late)
	l.core.Tick(now)
	_, err = l.core.Await(now, id, func(a job.Answer) { answer = a })
	return answer, err
}

const justInTime = job.AnswerGrace - time.Millisecond

// Guards against results of a job that ended in time being lost past its deadline.
func TestCompleteAnswerIsGivenAfterTheDeadline(t *testing.T) {
	l := newLateCase(t)
	for _, late := range []time.Duration{0, justInTime} {
		answer, err := l.ask(l.abandoned(), late)
		l.g.Expect(err).NotTo(HaveOccurred())
		l.g.Expect(answer.State).To(Equal(job.Complete), "%s past the deadline", late)
		l.g.Expect(answer.Results).To(Equal([][]byte{[]byte("result")}))
	}
}

// Guards against a caller being told that an answer was given which nobody got.
func TestAnswerThatNobodyWasGivenBecomesAnUnknownOutcome(t *testing.T) {
	l := newLateCase(t)
	id := l.abandoned()
	for _, late := range []time.Duration{job.AnswerGrace, AnswerRetention - time.Millisecond} {
		answer, err := l.ask(id, late)
		l.g.Expect(err).NotTo(HaveOccurred())
		l.g.Expect(answer.State).To(Equal(job.Failed))
		l.g.Expect(answer.Failure.Code).To(Equal(fault.OutcomeUnknown))
		l.g.Expect(answer.Failure.NotRun).To(BeFalse())
		l.g.Expect(answer.Results).To(BeEmpty())
	}
	_, err := l.ask(id, AnswerRetention)
	l.g.Expect(err).To(MatchError(fault.New(fault.AnswerExpired, "")))
}

// Guards against "outcome unknown" after somebody was told "complete".
func TestAnswerThatWasGivenExpires(t *testing.T) {
	l := newLateCase(t)
	given := l.complete(func(job.Answer) {})
	_, err := l.ask(given, job.AnswerGrace)
	l.g.Expect(err).To(MatchError(fault.New(fault.AnswerExpired, "")))

	lookedUp := l.abandoned()
	_, err = l.ask(lookedUp, justInTime)
	l.g.Expect(err).NotTo(HaveOccurred())
	_, err = l.ask(lookedUp, job.AnswerGrace)
	l.g.Expect(err).To(MatchError(fault.New(fault.AnswerExpired, "")))
}

// Guards against results counting as given that an entry could not pass on in time.
func TestWithheldAnswerCountsAsNotGiven(t *testing.T) {
	l := newLateCase(t)
	id := l.complete(func(job.Answer) {})
	l.core.MarkUndelivered(id)
	answer, err := l.ask(id, job.AnswerGrace)
	l.g.Expect(err).NotTo(HaveOccurred())
	l.g.Expect(answer.Failure.Code).To(Equal(fault.OutcomeUnknown))

	twice := l.complete(func(job.Answer) {})
	_, err = l.ask(twice, 0)
	l.g.Expect(err).NotTo(HaveOccurred())
	l.core.MarkUndelivered(twice)
	_, err = l.ask(twice, job.AnswerGrace)
	l.g.Expect(err).To(MatchError(fault.New(fault.AnswerExpired, "")), "the other caller has it")
}

// Guards against results counting as given that were dropped before anybody fetched them.
func TestEvictedAnswerThatNobodyWasGivenBecomesAnUnknownOutcome(t *testing.T) {
	l := newLateCase(t)
	id := l.abandoned()
	r := l.core.jobs[id.String()]
	l.core.kept += MaxAnswerBytes // as if others filled the memory
	l.complete(func(job.Answer) {})
	l.g.Expect(r.evicted).To(BeTrue())
	answer, err := l.ask(id, -time.Millisecond)
	l.g.Expect(err).NotTo(HaveOccurred())
	l.g.Expect(answer.Failure.Code).To(Equal(fault.OutcomeUnknown))
}

// Guards against a job ending as complete after its deadline, in a process that wakes.
func TestResultAfterTheDeadlineCompletesNothing(t *testing.T) {
	l := newLateCase(t)
	id, err := job.NewID(l.core.opts.Owner.Token(benchKey), l.now.Add(time.Second), "frozen", benchKey)
	l.g.Expect(err).NotTo(HaveOccurred())
	var answer job.Answer
	s := &job.Submission{ID: id, Team: "a", Class: "x", Tasks: make([]job.Task, 1)}
	_, err = l.core.Submit(l.now, s, func(a job.Answer) { answer = a })
	l.g.Expect(err).NotTo(HaveOccurred())
	l.core.Flush()
	l.g.Expect(l.core.Receive(id.Deadline, 1, l.out.frames[1])).To(Succeed())
	l.g.Expect(answer.Failure.Code).To(Equal(fault.DeadlineExceeded))
}
