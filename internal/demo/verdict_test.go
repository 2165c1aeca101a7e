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

// twoTasks is an observed job of two tasks, of which the longer takes 300 ms.
func twoTasks(answers ...*job.Answer) *observed {
	o := &observed{id: id, plan: &plan{
		unique:     "x",
		longestMs:  300,
		submission: &job.Submission{Tasks: make([]job.Task, 2)},
	}}
	for i, a := range answers {
		o.see(outcome{entry: i, answer: a, response: 250 * time.Millisecond})
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

var _ = Describe("the verdict", func() {
	onceEach := starts{id + "/0": 1, id + "/1": 1}
	whole := complete("x/0", "x/1")

	It("finds nothing wrong with whole answers of tasks that ran once", func() {
		v := judge([]*observed{twoTasks(whole, whole)}, onceEach, 3, never)
		Expect(v.Breaches).To(BeEmpty())
		Expect(v.SummaryLine()).To(Equal("jobs=1 complete=1 failed=0 refused=0 unanswered=0 started_twice=0 p50_ratio=2.50 p99_ratio=2.50 wasted=0.00%"))
	})

	It("counts starts whose result nobody used as wasted", func() {
		failed := &job.Answer{ID: id, State: job.Failed, Failure: fault.New(fault.OutcomeUnknown, "")}
		v := judge([]*observed{twoTasks(failed)}, starts{id + "/0": 1}, 1, never)
		Expect(v.Breaches).To(BeEmpty())
		Expect(v.Failed).To(Equal(1))
		Expect(v.WastedPercent()).To(Equal(100.0))
	})

	It("allows an idempotent request to start again", func() {
		o := twoTasks(whole)
		o.plan.submission.Idempotent = true
		v := judge([]*observed{o}, starts{id + "/0": 2, id + "/1": 1}, 1, never)
		Expect(v.Breaches).To(BeEmpty())
		Expect(v.UsedStarts).To(Equal(2))
	})

	DescribeTable("names the rule that was broken",
		func(o *observed, counted starts, want Rule) {
			v := judge([]*observed{o}, counted, 1, never)
			Expect(rules(v)).To(ContainElement(want))
			Expect(v.Jobs).To(Equal(v.Complete + v.Failed + v.Refused + v.Unanswered))
		},
		Entry("a task ran twice", twoTasks(whole), starts{id + "/0": 2, id + "/1": 1}, RuleStartedTwice),
		Entry("two answers differ", twoTasks(whole, complete("x/0", "y/1")), onceEach, RuleOneAnswer),
		Entry("one answer is final and the other a refusal", twoTasks(whole, refused()), onceEach, RuleOneAnswer),
		Entry("a result is missing", twoTasks(complete("x/0")), onceEach, RuleCompleteResults),
		Entry("a result is another task's", twoTasks(complete("x/1", "x/0")), onceEach, RuleCompleteResults),
		Entry("no target started a task of a complete job", twoTasks(whole), starts{id + "/0": 1}, RuleCompleteRan),
		Entry("a task of a refused job ran", twoTasks(refused()), starts{id + "/1": 1}, RuleNotRun),
		Entry("a caller got no answer", withError(twoTasks(whole), &client.UndecidedError{ID: id}), onceEach, RuleAnswered),
		Entry("the answer expired before any caller got it", withError(twoTasks(), expiredAnswer), onceEach, RuleAnswered),
	)

	// The owner answers one caller and dies; the next caller can't learn the answer
	// any more. The other way round, a caller would be told of a result after it was
	// told to look after the job itself.
	It("lets an unknown outcome follow an answer, and no result follow that", func() {
		gone := &job.Answer{ID: id, State: job.Failed, Failure: fault.New(fault.OwnerGone, "")}
		v := judge([]*observed{twoTasks(whole, gone)}, onceEach, 1, always)
		Expect(v.Breaches).To(BeEmpty())
		Expect(v.UnknownAfterAnswer).To(Equal(1))
		Expect(rules(judge([]*observed{twoTasks(gone, whole)}, onceEach, 1, always))).To(ContainElement(RuleOneAnswer))
		Expect(rules(judge([]*observed{twoTasks(whole, gone)}, onceEach, 1, never))).To(ContainElement(RuleOneAnswer))
	})

	It("lets a late caller learn that the answer, which another got, has expired", func() {
		v := judge([]*observed{withError(twoTasks(whole), expiredAnswer)}, onceEach, 1, never)
		Expect(v.Breaches).To(BeEmpty())
		Expect(v.Complete).To(Equal(1))
	})
})

func never(int) bool { return false }

func always(int) bool { return true }

var expiredAnswer = fault.New(fault.AnswerExpired, "")

func withError(o *observed, err error) *observed {
	o.see(outcome{err: err})
	return o
}
