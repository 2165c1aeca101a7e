package demo

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/job"
)

// Rule names an invariant that the demonstration checks.
type Rule string

// The rules. Each is checked from what targets and callers saw.
const (
	RuleStartedTwice    Rule = "started_twice" // a task that may run at most once was started twice
	RuleOneAnswer       Rule = "one_answer"    // two callers got different answers to one id
	RuleCompleteResults Rule = "whole"         // a complete answer lacks results, or has another task's
	RuleAnswered        Rule = "answered"      // no answer by the deadline and its allowance
	RuleNotRun          Rule = "not_run"       // an answer said "not run" of a task that was started
	RuleCompleteRan     Rule = "complete_ran"  // a complete answer of a task that no target started
	RuleOneWinner       Rule = "one_winner"    // two changes of the configuration on one base were both accepted
	RuleConfigLate      Rule = "config_late"   // an accepted change is not in force everywhere in time
	// RuleConfigReverts is broken by a process whose configuration goes back.
	RuleConfigReverts Rule = "config_reverts"
	// RuleConfigBehind is broken by a restarted process that enforces an older
	// configuration than its predecessor did.
	RuleConfigBehind Rule = "config_behind"
	RuleProcessExit  Rule = "processes" // a process crashed or had to be killed
)

// Breach is one broken rule.
type Breach struct {
	Rule    Rule
	Subject string
	Detail  string
}

// Result is the outcome of a run.
type Result struct {
	Jobs, Complete, Failed, Refused, Unanswered int
	// StartedTwice counts tasks that may run at most once and were started again.
	StartedTwice int
	// P50 and P99 are of the response over the ideal, over complete answers.
	P50, P99 float64
	// Starts counts starts at targets; UsedStarts those whose result was part of a
	// complete answer.
	Starts, UsedStarts int
	// CancelledStarts counts starts of jobs that their callers cancelled: part of the
	// wasted starts that no dispatcher could have avoided.
	CancelledStarts int
	// UnknownAfterAnswer counts callers who learned "outcome unknown" after another got the
	// answer of an owner that was ended or frozen since.
	UnknownAfterAnswer int
	// Failures counts failed and refused jobs by the name of their fault.
	Failures map[string]int
	Breaches []Breach
}

// WastedPercent is the share of starts that were never part of a complete answer, in percent.
func (v *Result) WastedPercent() float64 {
	if v.Starts == 0 {
		return 0
	}
	return 100 * float64(v.Starts-v.UsedStarts) / float64(v.Starts)
}

// SummaryLine is the line that a run ends with.
func (v *Result) SummaryLine() string {
	return fmt.Sprintf("jobs=%d complete=%d failed=%d refused=%d unanswered=%d started_twice=%d p50_ratio=%.2f p99_ratio=%.2f wasted=%.2f%%",
		v.Jobs, v.Complete, v.Failed, v.Refused, v.Unanswered, v.StartedTwice, v.P50, v.P99, v.WastedPercent())
}

func (v *Result) breach(rule Rule, id, format string, args ...any) {
	v.Breaches = append(v.Breaches, Breach{Rule: rule, Subject: id, Detail: fmt.Sprintf(format, args...)})
}

// judge compares what callers saw with what targets counted. fastest is the speed
// of the fastest target.
// Of an entry that was disturbed, "outcome unknown" may follow its own answer.
func judge(all []*observed, counted starts, fastest float64, disturbed func(owner int) bool) *Result {
	v := &Result{Jobs: len(all), Starts: counted.total(), Failures: map[string]int{}}
	var ratios []float64
	for _, o := range all {
		v.judgeStarts(o, counted)
		answer := v.judgeAnswers(o, disturbed(o.plan.owner))
		if answer == nil {
			v.Unanswered++
			continue
		}
		v.count(answer)
		v.judgeAgainstStarts(o, answer, counted)
		if answer.State == job.Complete {
			ratios = append(ratios, ratio(o, fastest))
		}
	}
	v.P50, v.P99 = quantile(ratios, 0.5), quantile(ratios, 0.99)
	return v
}

func (v *Result) count(a *job.Answer) {
	switch a.State {
	case job.Complete:
		v.Complete++
	case job.Refused:
		v.Refused++
	default:
		v.Failed++
	}
	if a.Failure != nil {
		v.Failures[a.Failure.Name]++
	}
}

func (v *Result) judgeStarts(o *observed, counted starts) {
	if o.plan.submission.Idempotent {
		return // may run again where its outcome is unknown
	}
	for i := range o.plan.submission.Tasks {
		if n := counted[taskKey(o.id, i)]; n > 1 {
			v.StartedTwice++
			v.breach(RuleStartedTwice, o.id, "task %d was started %d times", i, n)
		}
	}
}

// judgeAnswers returns the one answer, or nil where a caller got none.
func (v *Result) judgeAnswers(o *observed, disturbed bool) *job.Answer {
	outcomes := o.inOrder()
	var first *job.Answer
	for _, s := range outcomes {
		if expired(s) {
			continue
		}
		if s.answer == nil {
			v.breach(RuleAnswered, o.id, "through entry %d: %v", s.entry+1, s.err)
			return nil
		}
		if first == nil {
			first = s.answer
		}
		if disturbed && follows(first, s.answer) {
			v.UnknownAfterAnswer++
			continue
		}
		if !same(first, s.answer) {
			v.breach(RuleOneAnswer, o.id, "%s and, through entry %d, %s", describe(first), s.entry+1, describe(s.answer))
		}
	}
	if first == nil {
		v.breach(RuleAnswered, o.id, "no caller got an answer")
	}
	return first
}

// follows reports whether two different answers go together although they differ:
// the owner answered one caller and then was lost, so that later ones learn that
// the outcome is unknown; or one learned that first, and the owner that came back
// said how the job failed. A complete answer never follows an unknown outcome.
func follows(first, later *job.Answer) bool {
	if same(first, later) {
		return false
	}
	return unknown(later) || unknown(first) && later.State == job.Failed
}

func unknown(a *job.Answer) bool {
	return a.Failure != nil && (a.Failure.Code == fault.OwnerGone || a.Failure.Code == fault.OutcomeUnknown)
}

// expired reports whether a call came so late that the answer is no longer held.
// It contradicts no answer; but one caller must have got that answer.
func expired(s outcome) bool {
	return s.answer == nil && errors.Is(s.err, &fault.Fault{Code: fault.AnswerExpired})
}

func (v *Result) judgeAgainstStarts(o *observed, a *job.Answer, counted starts) {
	if a.State == job.Complete {
		v.judgeComplete(o, a, counted)
		return
	}
	cancelled := a.Failure != nil && a.Failure.Code == fault.Cancelled
	for i := range o.plan.submission.Tasks {
		n := counted[taskKey(o.id, i)]
		if cancelled {
			v.CancelledStarts += n
		}
		if n > 0 && a.Failure != nil && a.Failure.NotRun {
			v.breach(RuleNotRun, o.id, "%s, and task %d was started %d times", describe(a), i, n)
		}
	}
}

func (v *Result) judgeComplete(o *observed, a *job.Answer, counted starts) {
	tasks := len(o.plan.submission.Tasks)
	if len(a.Results) != tasks {
		v.breach(RuleCompleteResults, o.id, "%d results for %d tasks", len(a.Results), tasks)
		return
	}
	for i, result := range a.Results {
		if want := echoOf(o.plan.unique, i); string(result) != want {
			v.breach(RuleCompleteResults, o.id, "task %d returned %q and not %q", i, result, want)
		}
		if counted[taskKey(o.id, i)] == 0 {
			v.breach(RuleCompleteRan, o.id, "no target started task %d", i)
			continue
		}
		v.UsedStarts++ // one result a task, however often it was started
	}
}

// same reports whether two answers say the same. The time to come back may differ.
func same(a, b *job.Answer) bool {
	if a.State != b.State || (a.Failure == nil) != (b.Failure == nil) {
		return false
	}
	if a.Failure != nil && (a.Failure.Code != b.Failure.Code || a.Failure.NotRun != b.Failure.NotRun) {
		return false
	}
	return slices.EqualFunc(a.Results, b.Results, bytes.Equal)
}

func describe(a *job.Answer) string {
	if a.Failure == nil {
		return string(a.State)
	}
	return fmt.Sprintf("%s (%v, not_run=%t)", a.State, a.Failure, a.Failure.NotRun)
}

// ratio is the first caller's response over the ideal: the longest task on the
// fastest target, with no wait.
func ratio(o *observed, fastest float64) float64 {
	ideal := float64(o.plan.longestMs) * float64(time.Millisecond) / fastest
	for _, s := range o.outcomes {
		if s.entry == o.plan.entry && s.response > 0 {
			return float64(s.response) / ideal
		}
	}
	return 0
}

// quantile returns the q-th quantile by the nearest rank; 0 where there is none.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(q*float64(len(values))))]
}
