// Package warmup decides whether a submission that no target can take yet waits for targets, and
// whether one that has waited is admitted.
//
// It answers the load of the first half second after a loss of power of all hosts, or of all sessions
// of an entry. The entry is up before the sessions of its agents are open and, on a narrow link, before
// its configuration has arrived; so are all the others. Callers come to all of them at once, and the
// targets are idle. A refusal loses each of these submissions, although most could be in time.
//
// The package has no network, clock and goroutine; callers pass in the time.
package warmup

import (
	"cmp"
	"time"
)

// Limit is how long after its start, or after it lost its last session, an entry expects the sessions
// of its agents. Agents that start at the same time connect within 0.3 s, and those that have lost
// their session dial again within 0.2 s. A submission that comes later is refused at once.
const Limit = 500 * time.Millisecond

// Job is a submission without targets.
type Job struct {
	Priority  int           // of its queue; 0 is the most urgent
	Path      time.Duration // its run time on a target of the usual speed
	Objective time.Time     // by when its caller wants the answer
	Useful    time.Time     // until when a late answer is of use
	Deadline  time.Time     // until when its caller waits
}

// latestStart returns the time after which an answer would be of no use.
func (j *Job) latestStart() time.Time {
	end := j.Useful
	if j.Deadline.Before(end) {
		end = j.Deadline
	}
	return end.Add(-j.Path)
}

// WaitUntil returns the time until which a submission waits for targets. since is the start of the
// entry, or when it lost its last session. ok is false if the submission is to be refused at once.
func WaitUntil(now, since time.Time, j *Job) (until time.Time, ok bool) {
	until = since.Add(Limit)
	if latest := j.latestStart(); latest.Before(until) {
		until = latest
	}
	return until, now.Before(until)
}

// Admits reports whether a submission that has waited is admitted although it is predicted to be late,
// with its predicted end and whether there is free capacity for it now: while targets are idle, a late
// answer takes the place of no other.
func Admits(j *Job, end time.Time, fitsNow bool) bool {
	return fitsNow && !end.After(j.Useful) && !end.After(j.Deadline)
}

// Compare orders submissions that have waited: the more urgent queue first, then the earlier objective.
func Compare(a, b *Job) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), a.Objective.Compare(b.Objective))
}
