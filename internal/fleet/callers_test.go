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

// verdictAfter is how long past a deadline an entry that can't reach the owner
// waits before it gives the final verdict.
const verdictAfter = job.AnswerGrace + 500*time.Millisecond

// newSubmission makes a submission owned by e.
func (w *world) newSubmission(e *entry, tasks int, timeout time.Duration, idempotent bool) *submission {
	id, err := job.NewID(e.owner.Token(key), w.now.Add(timeout), fmt.Sprintf("s%d", w.nextID()), key)
	if err != nil {
		w.t.Fatalf("id: %v", err)
	}
	s := &job.Submission{ID: id, Team: "team", Class: "check", Idempotent: idempotent, Single: idempotent}
	for i := range tasks {
		s.Tasks = append(s.Tasks, job.Task{Payload: payload(id.String(), i), EstimateMs: int64(100 * (i + 1))})
	}
	sub := &submission{sub: s, owner: e}
	w.subs = append(w.subs, sub)
	w.byID[id.String()] = sub
	return sub
}

// submit sends a submission, or a copy of it, through an entry. lost means that
// the answer does not reach the caller.
func (w *world) submit(sub *submission, via *entry, lost bool) {
	w.request(sub, via, func() {
		var seen func(job.Answer)
		if lost {
			seen = func(a job.Answer) { sub.lost = sub.lost || a.State == job.Complete }
		} else {
			seen = func(a job.Answer) { w.answered(sub, a) }
		}
		stop, err := sub.owner.core.Submit(w.now, sub.sub, seen)
		if err == nil {
			sub.accepted = true
			sub.stops = append(sub.stops, stop)
		} else if !lost {
			w.refused(sub, err)
		}
	})
}

func (w *world) lookup(sub *submission, via *entry) {
	w.request(sub, via, func() {
		_, err := sub.owner.core.Await(w.now, sub.sub.ID, func(a job.Answer) { w.answered(sub, a) })
		if err != nil {
			w.refused(sub, err)
		}
	})
}

func (w *world) cancel(sub *submission, via *entry) {
	w.request(sub, via, func() {
		overtakes := !sub.owner.core.HasID(sub.sub.ID)
		if err := sub.owner.core.Cancel(w.now, sub.sub.ID); err == nil && overtakes {
			sub.notRun = true // cancelled before it came: it must never start
		}
	})
}

// request brings a request to the owner as the entries' forwarding does: directly,
// late where the owner is frozen, or not at all where it is gone.
func (w *world) request(sub *submission, via *entry, do func()) {
	switch {
	case !w.alive(sub.owner):
		if via != sub.owner {
			sub.verdict = true
		}
	case sub.owner.frozen:
		sub.owner.inbox = append(sub.owner.inbox, do)
		if via != sub.owner && w.now.After(sub.sub.ID.Deadline.Add(verdictAfter)) {
			sub.verdict = true
		}
	default:
		do()
		sub.owner.core.Flush()
	}
}

// answered checks a final answer that reached a caller.
func (w *world) answered(sub *submission, a job.Answer) {
	id := sub.sub.ID.String()
	if a.ID != id || !a.Final() {
		w.t.Fatalf("the answer to %s is %+v", id, a)
	}
	if a.State == job.Complete {
		w.complete(sub, a)
	}
	if a.State == job.Failed {
		w.noteNotRun(sub, a.Failure)
	}
	for _, before := range sub.finals {
		if before.State != a.State {
			w.t.Fatalf("%s is %s after it was %s", id, a.State, before.State)
		}
	}
	sub.finals = append(sub.finals, a)
}

func (w *world) complete(sub *submission, a job.Answer) {
	id := sub.sub.ID.String()
	if sub.verdict {
		w.t.Fatalf("%s is complete after its caller was told that it failed", id)
	}
	if !w.now.Before(sub.sub.ID.Deadline.Add(job.AnswerGrace)) {
		w.t.Fatalf("%s is complete after its deadline and the grace", id)
	}
	if sub.lateResult {
		w.t.Fatalf("%s is complete with a result that came after its deadline", id)
	}
	if len(a.Results) != len(sub.sub.Tasks) {
		w.t.Fatalf("%s is complete with %d of %d results", id, len(a.Results), len(sub.sub.Tasks))
	}
	for i, r := range a.Results {
		if !bytes.Equal(r, result(id, i)) {
			w.t.Fatalf("task %d of %s got the result %q", i, id, r)
		}
	}
}

func (w *world) refused(sub *submission, err error) {
	var f *fault.Fault
	if !errors.As(err, &f) {
		w.t.Fatalf("a refusal without a type: %v", err)
	}
	sub.faults = append(sub.faults, f)
	w.noteNotRun(sub, f)
	if f.Code == fault.AnswerExpired {
		w.expired(sub)
	}
}

// expired checks that an answer is said to have been given only where it was, and only
// once it is no longer given. Ids are forgotten some time later.
func (w *world) expired(sub *submission) {
	id := sub.sub.ID
	if w.now.Before(id.Deadline.Add(job.AnswerGrace)) {
		w.t.Fatalf("%s is told to be expired within the grace", id)
	}
	if !sub.lost && len(sub.finals) == 0 && w.now.Before(id.Deadline.Add(owner.AnswerRetention)) {
		w.t.Fatalf("%s is told to have been given, and was not", id)
	}
}

func (w *world) noteNotRun(sub *submission, f *fault.Fault) {
	if !f.NotRun {
		return
	}
	sub.notRun = true
	for i := range sub.sub.Tasks {
		if n := w.starts[fmt.Sprintf("%s/%d", sub.sub.ID, i)]; n > 0 {
			w.t.Fatalf("%s: told \"not run\" (%v) after task %d had started", sub.sub.ID, f, i)
		}
	}
}
