package demo

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/client"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/job"
)

func TestDemo(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "demo")
}

const id = "token-1-x"

// twoTasks returns a submission of two tasks, the longer of which takes 300 ms, with one call
// outcome for each answer.
func twoTasks(answers ...*job.Answer) *trackedSubmission {
	o := &trackedSubmission{id: id, plan: &plan{
		unique:     "x",
		longestMs:  300,
		submission: &job.Submission{Tasks: make([]job.Task, 2)},
	}}
	for i, a := range answers {
		o.record(callOutcome{entry: i, answer: a, responseTime: 250 * time.Millisecond})
	}
	return o
}

func complete(results ...string) *job.Answer {
	a := &job.Answer{ID: id, State: job.Complete}
	for _, r := range results {
		a.Results = append(a.Results, []byte(r))
	}
	return a
}

func refused() *job.Answer {
	return &job.Answer{ID: id, State: job.Refused, Failure: fault.Refused(fault.Overloaded, "", time.Second)}
}

func rules(v *Result) []Rule {
	var all []Rule
	for _, b := range v.Breaches {
		all = append(all, b.Rule)
	}
	return all
}

var _ = Describe("checking the answers of a run", func() {
	onceEach := startCounts{id + "/0": 1, id + "/1": 1}
	allResults := complete("x/0", "x/1")

	It("finds no breach in complete answers of tasks that ran once", func() {
		v := verify([]*trackedSubmission{twoTasks(allResults, allResults)}, onceEach, 3, never)
		Expect(v.Breaches).To(BeEmpty())
		Expect(v.SummaryLine()).To(Equal("jobs=1 complete=1 failed=0 refused=0 unanswered=0 started_twice=0 p50_ratio=2.50 p99_ratio=2.50 wasted=0.00%"))
	})

	It("counts starts whose result was in no complete answer as wasted", func() {
		failed := &job.Answer{ID: id, State: job.Failed, Failure: fault.New(fault.OutcomeUnknown, "")}
		v := verify([]*trackedSubmission{twoTasks(failed)}, startCounts{id + "/0": 1}, 1, never)
		Expect(v.Breaches).To(BeEmpty())
		Expect(v.Failed).To(Equal(1))
		Expect(v.WastedPercent()).To(Equal(100.0))
	})

	It("allows an idempotent request to start again", func() {
		o := twoTasks(allResults)
		o.plan.submission.Idempotent = true
		v := verify([]*trackedSubmission{o}, startCounts{id + "/0": 2, id + "/1": 1}, 1, never)
		Expect(v.Breaches).To(BeEmpty())
		Expect(v.UsedStarts).To(Equal(2))
	})

	DescribeTable("reports the rule that was broken",
		func(o *trackedSubmission, counted startCounts, want Rule) {
			v := verify([]*trackedSubmission{o}, counted, 1, never)
			Expect(rules(v)).To(ContainElement(want))
			Expect(v.Jobs).To(Equal(v.Complete + v.Failed + v.Refused + v.Unanswered))
		},
		Entry("a task ran twice", twoTasks(allResults), startCounts{id + "/0": 2, id + "/1": 1}, RuleStartedTwice),
		Entry("two answers differ", twoTasks(allResults, complete("x/0", "y/1")), onceEach, RuleOneAnswer),
		Entry("one answer is final and the other a refusal", twoTasks(allResults, refused()), onceEach, RuleOneAnswer),
		Entry("a result is missing", twoTasks(complete("x/0")), onceEach, RuleCompleteResults),
		Entry("a result belongs to another task", twoTasks(complete("x/1", "x/0")), onceEach, RuleCompleteResults),
		Entry("no target started a task of a complete job", twoTasks(allResults), startCounts{id + "/0": 1}, RuleCompleteRan),
		Entry("a task of a refused job ran", twoTasks(refused()), startCounts{id + "/1": 1}, RuleNotRun),
		Entry("a caller got no answer", withError(twoTasks(allResults), &client.UndecidedError{ID: id}), onceEach, RuleAnswered),
		Entry("the answer expired before any caller got it", withError(twoTasks(), expiredAnswer), onceEach, RuleAnswered),
	)

	// If the owner ends after it answered one caller, the next caller can't get the answer any more.
	// In the opposite order, a result would arrive after a caller was told that the outcome is
	// unknown and had to deal with the job itself.
	It("allows an unknown outcome after an answer, but no result after an unknown outcome", func() {
		gone := &job.Answer{ID: id, State: job.Failed, Failure: fault.New(fault.OwnerGone, "")}
		v := verify([]*trackedSubmission{twoTasks(allResults, gone)}, onceEach, 1, always)
		Expect(v.Breaches).To(BeEmpty())
		Expect(v.UnknownAfterAnswer).To(Equal(1))
		Expect(rules(verify([]*trackedSubmission{twoTasks(gone, allResults)}, onceEach, 1, always))).To(ContainElement(RuleOneAnswer))
		Expect(rules(verify([]*trackedSubmission{twoTasks(allResults, gone)}, onceEach, 1, never))).To(ContainElement(RuleOneAnswer))
	})

	It("allows an expired answer for a late caller if another caller got the answer", func() {
		v := verify([]*trackedSubmission{withError(twoTasks(allResults), expiredAnswer)}, onceEach, 1, never)
		Expect(v.Breaches).To(BeEmpty())
		Expect(v.Complete).To(Equal(1))
	})
})

func never(int) bool { return false }

func always(int) bool { return true }

var expiredAnswer = fault.New(fault.AnswerExpired, "")

func withError(o *trackedSubmission, err error) *trackedSubmission {
	o.record(callOutcome{err: err})
	return o
}
