package fleet_test

import (
	"bytes"
	"errors"
	"fmt"
	"time"

	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/owner"
)

// outcomeUnknownAfter is the time after a deadline from which an entry that can't reach the owner
// reports the outcome as unknown, which is final. It is the delay of package forward.
const outcomeUnknownAfter = job.AnswerGrace + 500*time.Millisecond

// newSubmission creates a submission whose id is owned by e. It is not sent yet.
func (sim *simulation) newSubmission(e *entry, tasks int, timeout time.Duration, idempotent bool) *submission {
	id, err := job.NewID(e.owner.Token(idKey), sim.now.Add(timeout), fmt.Sprintf("s%d", sim.nextID()), idKey)
	if err != nil {
		sim.t.Fatalf("id: %v", err)
	}
	s := &job.Submission{ID: id, Team: "team", Class: "check", Idempotent: idempotent, Single: idempotent}
	for i := range tasks {
		s.Tasks = append(s.Tasks, job.Task{Payload: taskPayload(id.String(), i), EstimateMs: int64(100 * (i + 1))})
	}
	sub := &submission{request: s, owner: e}
	sim.submissions = append(sim.submissions, sub)
	sim.byID[id.String()] = sub
	return sub
}

// submit sends a submission, or a copy of it, through the entry via. If lost is set, the answer
// does not reach the caller.
func (sim *simulation) submit(sub *submission, via *entry, lost bool) {
	sim.forward(sub, via, func() {
		var receive func(job.Answer)
		if lost {
			receive = func(a job.Answer) { sub.answerLost = sub.answerLost || a.State == job.Complete }
		} else {
			receive = func(a job.Answer) { sim.checkAnswer(sub, a) }
		}
		stop, err := sub.owner.core.Submit(sim.now, sub.request, receive)
		if err == nil {
			sub.accepted = true
			sub.stopWaits = append(sub.stopWaits, stop)
		} else if !lost {
			sim.checkRefusal(sub, err)
		}
	})
}

// lookup requests the answer to a submission through the entry via.
func (sim *simulation) lookup(sub *submission, via *entry) {
	sim.forward(sub, via, func() {
		_, err := sub.owner.core.Await(sim.now, sub.request.ID, func(a job.Answer) { sim.checkAnswer(sub, a) })
		if err != nil {
			sim.checkRefusal(sub, err)
		}
	})
}

// cancel cancels a submission through the entry via.
func (sim *simulation) cancel(sub *submission, via *entry) {
	sim.forward(sub, via, func() {
		overtakes := !sub.owner.core.HasID(sub.request.ID)
		if err := sub.owner.core.Cancel(sim.now, sub.request.ID); err == nil && overtakes {
			sub.reportedNotRun = true // the cancellation arrived first, so the submission must never start
		}
	})
}

// forward delivers a request to the owner as package forward does: immediately, when the owner
// resumes if it is frozen, or not at all if its process has ended.
func (sim *simulation) forward(sub *submission, via *entry, send func()) {
	switch {
	case !sim.isCurrent(sub.owner):
		if via != sub.owner {
			sub.failedByOtherEntry = true
		}
	case sub.owner.frozen:
		sub.owner.heldRequests = append(sub.owner.heldRequests, send)
		if via != sub.owner && sim.now.After(sub.request.ID.Deadline.Add(outcomeUnknownAfter)) {
			sub.failedByOtherEntry = true
		}
	default:
		send()
		sub.owner.core.Flush()
	}
}

// checkAnswer checks a final answer that reached a caller: it must be valid and must not
// contradict an earlier one.
func (sim *simulation) checkAnswer(sub *submission, a job.Answer) {
	id := sub.request.ID.String()
	if a.ID != id || !a.Final() {
		sim.t.Fatalf("the answer to %s is %+v", id, a)
	}
	if a.State == job.Complete {
		sim.checkComplete(sub, a)
	}
	if a.State == job.Failed {
		sim.checkNotRun(sub, a.Failure)
	}
	for _, before := range sub.finalAnswers {
		if before.State != a.State {
			sim.t.Fatalf("%s is %s after it was %s", id, a.State, before.State)
		}
	}
	sub.finalAnswers = append(sub.finalAnswers, a)
}

// checkComplete checks that a complete answer has every result, is in time and does not contradict
// a failure that another entry reported.
func (sim *simulation) checkComplete(sub *submission, a job.Answer) {
	id := sub.request.ID.String()
	if sub.failedByOtherEntry {
		sim.t.Fatalf("%s is complete after another entry reported that it failed", id)
	}
	if !sim.now.Before(sub.request.ID.Deadline.Add(job.AnswerGrace)) {
		sim.t.Fatalf("%s is complete after its deadline and the grace period", id)
	}
	if sub.lateResult {
		sim.t.Fatalf("%s is complete with a result that arrived after its deadline", id)
	}
	if len(a.Results) != len(sub.request.Tasks) {
		sim.t.Fatalf("%s is complete with %d of %d results", id, len(a.Results), len(sub.request.Tasks))
	}
	for i, r := range a.Results {
		if !bytes.Equal(r, taskResult(id, i)) {
			sim.t.Fatalf("task %d of %s got the result %q", i, id, r)
		}
	}
}

// checkRefusal checks a fault that reached a caller instead of an answer.
func (sim *simulation) checkRefusal(sub *submission, err error) {
	var f *fault.Fault
	if !errors.As(err, &f) {
		sim.t.Fatalf("the refusal is not a fault: %v", err)
	}
	sub.faults = append(sub.faults, f)
	sim.checkNotRun(sub, f)
	if f.Code == fault.AnswerExpired {
		sim.checkExpired(sub)
	}
}

// checkExpired checks a fault.AnswerExpired: the answer must have been delivered and must no longer
// be available. The first condition is checked only until owner.AnswerRetention after the
// deadline, when the owner removes the id and no longer knows whether it was answered.
func (sim *simulation) checkExpired(sub *submission) {
	id := sub.request.ID
	if sim.now.Before(id.Deadline.Add(job.AnswerGrace)) {
		sim.t.Fatalf("the answer to %s is reported as expired within the grace period", id)
	}
	if !sub.answerLost && len(sub.finalAnswers) == 0 && sim.now.Before(id.Deadline.Add(owner.AnswerRetention)) {
		sim.t.Fatalf("the answer to %s is reported as delivered, but was not", id)
	}
}

// checkNotRun checks that no task had started if the fault reports that nothing was run, and
// records the report, so that checkStart detects a later start.
func (sim *simulation) checkNotRun(sub *submission, f *fault.Fault) {
	if !f.NotRun {
		return
	}
	sub.reportedNotRun = true
	for i := range sub.request.Tasks {
		if n := sim.startCounts[fmt.Sprintf("%s/%d", sub.request.ID, i)]; n > 0 {
			sim.t.Fatalf("%s: reported as not run (%v) after task %d had started", sub.request.ID, f, i)
		}
	}
}
