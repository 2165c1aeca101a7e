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

// Rule identifies an invariant that a run checks.
type Rule string

// Each rule is checked against the answers that callers received, the starts that targets counted,
// or the processes' state.
const (
	RuleStartedTwice    Rule = "started_twice" // a task that may run at most once was started twice
	RuleOneAnswer       Rule = "one_answer"    // two callers got different answers to one id
	RuleCompleteResults Rule = "whole"         // a complete answer lacks results or has those of another task
	RuleAnswered        Rule = "answered"      // no answer by the deadline plus answerGrace
	RuleNotRun          Rule = "not_run"       // an answer says that the job was not run, but a task was started
	RuleCompleteRan     Rule = "complete_ran"  // a complete answer for a task that no target started
	RuleOneWinner       Rule = "one_winner"    // two configuration changes on one base were both accepted
	RuleConfigLate      Rule = "config_late"   // an accepted change was not in force everywhere within propagationTimeout
	// RuleConfigReverts is broken by a process that reverts to an older configuration.
	RuleConfigReverts Rule = "config_reverts"
	// RuleConfigBehind is broken by a restarted process that enforces an older
	// configuration than its predecessor did.
	RuleConfigBehind Rule = "config_behind"
	RuleProcessExit  Rule = "processes" // a process crashed or had to be killed
)

// Breach is a violation of a rule. Subject is a job id, the name of a process, or a configuration
// version.
type Breach struct {
	Rule    Rule
	Subject string
	Detail  string
}

// Result holds the counts and breaches of a run.
type Result struct {
	Jobs, Complete, Failed, Refused, Unanswered int
	// StartedTwice counts tasks that may run at most once but were started more often.
	StartedTwice int
	// P50 and P99 are quantiles of responseRatio over the complete answers.
	P50, P99 float64
	// Starts counts starts at targets; UsedStarts counts those whose result was part of a complete
	// answer.
	Starts, UsedStarts int
	// CancelledStarts counts starts of jobs that their callers cancelled. They are wasted, but no
	// dispatcher could have avoided them.
	CancelledStarts int
	// UnknownAfterAnswer counts answers that differ from the first one only because their owner was
	// stopped or frozen: mostly "outcome unknown" after another caller got the answer.
	UnknownAfterAnswer int
	// Failures counts failed and refused jobs by the name of their fault.
	Failures map[string]int
	Breaches []Breach
}

// WastedPercent returns the percentage of starts whose result was not part of a complete answer.
func (r *Result) WastedPercent() float64 {
	if r.Starts == 0 {
		return 0
	}
	return 100 * float64(r.Starts-r.UsedStarts) / float64(r.Starts)
}

// SummaryLine returns the last line of the output of a run.
func (r *Result) SummaryLine() string {
	return fmt.Sprintf("jobs=%d complete=%d failed=%d refused=%d unanswered=%d started_twice=%d p50_ratio=%.2f p99_ratio=%.2f wasted=%.2f%%",
		r.Jobs, r.Complete, r.Failed, r.Refused, r.Unanswered, r.StartedTwice, r.P50, r.P99, r.WastedPercent())
}

func (r *Result) addBreach(rule Rule, subject, format string, args ...any) {
	r.Breaches = append(r.Breaches, Breach{Rule: rule, Subject: subject, Detail: fmt.Sprintf(format, args...)})
}

// verify checks what callers received against the starts that targets counted. fastest is the
// speed of the fastest target. disrupted reports whether an entry was stopped or frozen during
// the run; for its jobs, an answer "outcome unknown" may follow another answer.
func verify(all []*trackedSubmission, counted startCounts, fastest float64, disrupted func(owner int) bool) *Result {
	r := &Result{Jobs: len(all), Starts: counted.total(), Failures: map[string]int{}}
	var ratios []float64
	for _, s := range all {
		r.checkStarts(s, counted)
		answer := r.checkAnswers(s, disrupted(s.plan.tokenEntry))
		if answer == nil {
			r.Unanswered++
			continue
		}
		r.countAnswer(answer)
		r.checkAgainstStarts(s, answer, counted)
		if answer.State == job.Complete {
			ratios = append(ratios, responseRatio(s, fastest))
		}
	}
	r.P50, r.P99 = quantile(ratios, 0.5), quantile(ratios, 0.99)
	return r
}

func (r *Result) countAnswer(a *job.Answer) {
	switch a.State {
	case job.Complete:
		r.Complete++
	case job.Refused:
		r.Refused++
	default:
		r.Failed++
	}
	if a.Failure != nil {
		r.Failures[a.Failure.Name]++
	}
}

// checkStarts checks that no task of a submission was started twice, unless it is idempotent.
func (r *Result) checkStarts(s *trackedSubmission, counted startCounts) {
	if s.plan.submission.Idempotent {
		return // may run again where its outcome is unknown
	}
	for i := range s.plan.submission.Tasks {
		if n := counted[taskKey(s.id, i)]; n > 1 {
			r.StartedTwice++
			r.addBreach(RuleStartedTwice, s.id, "task %d was started %d times", i, n)
		}
	}
}

// checkAnswers checks that all callers of a submission got the same answer. It returns that
// answer, or nil if a caller got none.
func (r *Result) checkAnswers(s *trackedSubmission, disrupted bool) *job.Answer {
	outcomes := s.outcomesByTime()
	var first *job.Answer
	for _, outcome := range outcomes {
		if isExpired(outcome) {
			continue
		}
		if outcome.answer == nil {
			r.addBreach(RuleAnswered, s.id, "through entry %d: %v", outcome.entry+1, outcome.err)
			return nil
		}
		if first == nil {
			first = outcome.answer
		}
		if disrupted && allowedAfterOwnerLoss(first, outcome.answer) {
			r.UnknownAfterAnswer++
			continue
		}
		if !sameAnswer(first, outcome.answer) {
			r.addBreach(RuleOneAnswer, s.id, "%s and, through entry %d, %s", describeAnswer(first), outcome.entry+1, describeAnswer(outcome.answer))
		}
	}
	if first == nil {
		r.addBreach(RuleAnswered, s.id, "no caller got an answer")
	}
	return first
}

// allowedAfterOwnerLoss reports whether two different answers are consistent if the owner was
// lost: the owner answered one caller and was then lost, so that later callers get "outcome
// unknown"; or a caller got that first, and the restored owner reported how the job failed. A
// complete answer must never follow an unknown outcome.
func allowedAfterOwnerLoss(first, later *job.Answer) bool {
	if sameAnswer(first, later) {
		return false
	}
	return isOutcomeUnknown(later) || isOutcomeUnknown(first) && later.State == job.Failed
}

func isOutcomeUnknown(a *job.Answer) bool {
	return a.Failure != nil && (a.Failure.Code == fault.OwnerGone || a.Failure.Code == fault.OutcomeUnknown)
}

// isExpired reports whether a call came so late that the answer was no longer retained. That
// contradicts no answer, but at least one caller must have received it.
func isExpired(outcome callOutcome) bool {
	return outcome.answer == nil && errors.Is(outcome.err, &fault.Fault{Code: fault.AnswerExpired})
}

// checkAgainstStarts checks an answer against the starts of its tasks: tasks of a job that was not
// run have no starts. It checks a complete answer with checkComplete.
func (r *Result) checkAgainstStarts(s *trackedSubmission, a *job.Answer, counted startCounts) {
	if a.State == job.Complete {
		r.checkComplete(s, a, counted)
		return
	}
	cancelled := a.Failure != nil && a.Failure.Code == fault.Cancelled
	for i := range s.plan.submission.Tasks {
		n := counted[taskKey(s.id, i)]
		if cancelled {
			r.CancelledStarts += n
		}
		if n > 0 && a.Failure != nil && a.Failure.NotRun {
			r.addBreach(RuleNotRun, s.id, "%s, and task %d was started %d times", describeAnswer(a), i, n)
		}
	}
}

// checkComplete checks that a complete answer has the expected result of each task and that each
// task was started.
func (r *Result) checkComplete(s *trackedSubmission, a *job.Answer, counted startCounts) {
	tasks := len(s.plan.submission.Tasks)
	if len(a.Results) != tasks {
		r.addBreach(RuleCompleteResults, s.id, "%d results for %d tasks", len(a.Results), tasks)
		return
	}
	for i, result := range a.Results {
		if want := expectedEcho(s.plan.unique, i); string(result) != want {
			r.addBreach(RuleCompleteResults, s.id, "task %d returned %q and not %q", i, result, want)
		}
		if counted[taskKey(s.id, i)] == 0 {
			r.addBreach(RuleCompleteRan, s.id, "no target started task %d", i)
			continue
		}
		r.UsedStarts++ // one result per task, however often it was started
	}
}

// sameAnswer reports whether two answers are equal. The retry time in a failure may differ.
func sameAnswer(a, b *job.Answer) bool {
	if a.State != b.State || (a.Failure == nil) != (b.Failure == nil) {
		return false
	}
	if a.Failure != nil && (a.Failure.Code != b.Failure.Code || a.Failure.NotRun != b.Failure.NotRun) {
		return false
	}
	return slices.EqualFunc(a.Results, b.Results, bytes.Equal)
}

func describeAnswer(a *job.Answer) string {
	if a.Failure == nil {
		return string(a.State)
	}
	return fmt.Sprintf("%s (%v, not_run=%t)", a.State, a.Failure, a.Failure.NotRun)
}

// responseRatio returns the response time of the first call divided by the ideal one: that of the
// longest task on the fastest target without waiting. It returns 0 if there is none.
func responseRatio(s *trackedSubmission, fastest float64) float64 {
	ideal := float64(s.plan.longestMs) * float64(time.Millisecond) / fastest
	for _, outcome := range s.outcomes {
		if outcome.entry == s.plan.entry && outcome.responseTime > 0 {
			return float64(outcome.responseTime) / ideal
		}
	}
	return 0
}

// quantile returns the q-quantile by the nearest-rank method, or 0 if there are no values. It sorts
// values.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(q*float64(len(values))))]
}
