package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/platform/standin"
)

const (
	// callerTimeout is how long a caller waits for an answer.
	callerTimeout = 3 * time.Second
	// resendDelay is the pause before a caller that got no final answer resends its job.
	resendDelay = 1300 * time.Millisecond
	// maxSends bounds the submissions of one job.
	maxSends = 3
	// answerTolerance is how much longer than callerTimeout an entry may hold a request that it
	// still answers.
	answerTolerance = time.Second
	// longTaskShare is the share of jobs with tasks of up to maxTaskTime, and wideShare the share of
	// those with up to maxWidth tasks.
	longTaskShare, wideShare = 0.05, 0.05
	maxTaskTime              = 3600 * time.Millisecond
	maxWidth                 = 32
	// giveUpShare is the share of submissions whose callers give up early, and poisonShare the
	// share of jobs whose tasks fail on every target.
	giveUpShare, poisonShare = 0.1, 0.05
	// leaveAtFaultShare is the share of submissions whose callers leave within maxLeaveDelay of the
	// next fault.
	leaveAtFaultShare = 0.2
	maxLeaveDelay     = 50 * time.Millisecond
	// crasherShare is the share of jobs whose tasks crash their targets.
	crasherShare = 0.01
)

// runCaller submits one job after the other until the context ends.
func (r *run) runCaller(ctx context.Context, caller int) {
	random := r.newRand(uint64(1000 + caller))
	entry := random.IntN(r.Entries)
	for n := 0; ctx.Err() == nil; n++ {
		entry = r.submitJob(ctx, random, entry, fmt.Sprintf("%08x%08x", caller+1, n))
		clock.Sleep(ctx, time.Duration(random.IntN(100))*time.Millisecond)
	}
}

// taskKind returns the kind of a job's tasks for a random number from 0 to below 1.
func taskKind(draw float64) standin.TaskKind {
	switch {
	case draw < crasherShare:
		return standin.Crasher
	case draw < crasherShare+poisonShare:
		return standin.Poison
	}
	return standin.Work
}

// jobBody returns the body of a random job.
func jobBody(random *rand.Rand, kind standin.TaskKind) string {
	width, runMs := 1+random.IntN(6), 20+random.IntN(880)
	switch draw := random.Float64(); {
	case draw < longTaskShare:
		width, runMs = 1+random.IntN(2), int(between(random, time.Second, maxTaskTime).Milliseconds())
	case draw < longTaskShare+wideShare:
		width, runMs = 1+random.IntN(maxWidth), 20+random.IntN(200)
	}
	return standin.JobBody(kind, width, runMs)
}

// submitJob submits a job to an entry, and resends it as a real caller does: after no answer, a
// broken connection or an unknown outcome, after a fixed pause and to any entry. If all answers are
// "not run", it checks that no run of the job was started. It returns the entry of the next job:
// the same, unless that has failed the caller.
func (r *run) submitJob(ctx context.Context, random *rand.Rand, entry int, id string) (next int) {
	kind := taskKind(random.Float64())
	mustFail := kind != standin.Work
	body := jobBody(random, kind)
	r.updateCounts(func(t *JobCounts) { t.Sent++ })
	allRejected := true
	for range maxSends {
		wait := callerTimeout
		givesUp := random.Float64() < giveUpShare
		if givesUp {
			wait = time.Duration(10+random.IntN(600)) * time.Millisecond
		}
		startedAt, stalledBefore := time.Now(), r.selfStalls.total()
		leavesAtFault := random.Float64() < leaveAtFaultShare
		reply := r.call(ctx, entry, id, body, wait, leavesAtFault)
		if ctx.Err() != nil {
			return entry // the run is over; the answer isn't checked
		}
		retry := r.checkAnswer(id, reply, mustFail, givesUp || leavesAtFault, time.Since(startedAt)-(r.selfStalls.total()-stalledBefore))
		if reply.Status != 429 && reply.Status != 503 {
			allRejected = false
		}
		if reply.Status != 200 {
			entry = random.IntN(r.Entries)
		}
		if !retry {
			break
		}
		clock.Sleep(ctx, resendDelay)
	}
	if allRejected {
		r.fleet.Checker.CheckNotStarted(id)
	}
	return entry
}

// call submits a job with the deadline callerTimeout, and leaves after a shorter or equal wait, or if
// leavesAtFault is set, also with the next fault.
func (r *run) call(ctx context.Context, entry int, id, body string, wait time.Duration, leavesAtFault bool) standin.Reply {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	if leavesAtFault {
		nextFault := r.nextFault()
		go func() {
			select {
			case <-nextFault:
				clock.Sleep(ctx, rand.N(maxLeaveDelay))
				cancel()
			case <-ctx.Done():
			}
		}()
	}
	return r.fleet.CallUntil(ctx, "POST", r.fleet.URL(entry, "/q0/"+id), body, callerTimeout)
}

// checkAnswer counts an answer, records a breach if it violates a guarantee, and reports
// whether the caller resends the job. mustFail is set for jobs that can't complete, givesUp
// for callers that wait for less than callerTimeout.
func (r *run) checkAnswer(id string, reply standin.Reply, mustFail, givesUp bool, elapsed time.Duration) (retry bool) {
	switch {
	case reply.Status == 200 && reply.Body == `{"state":"completed"}`:
		r.updateCounts(func(t *JobCounts) { t.Complete++ })
		if mustFail {
			r.addBreach("answer", id, "complete, though it can't be done")
		}
		return false
	case reply.Status == 200:
		r.updateCounts(func(t *JobCounts) { t.Failed++ })
		return false
	case reply.Status == 429 || reply.Status == 503:
		r.updateCounts(func(t *JobCounts) { t.NotRun++ })
		if reply.Header.Get("Retry-After") == "" {
			r.addBreach("answer", id, fmt.Sprintf("%d without Retry-After", reply.Status))
		}
		return false
	case reply.Status == 504:
		r.updateCounts(func(t *JobCounts) { t.Unknown++ })
	case reply.Status == 0 && givesUp:
		r.updateCounts(func(t *JobCounts) { t.GaveUp++ })
	case reply.Status == 0:
		r.updateCounts(func(t *JobCounts) { t.Unanswered++ })
	case reply.Status == 404:
		return true // the entry has no configuration with the queue yet
	default:
		r.addBreach("answer", id, fmt.Sprintf("status %d: %s", reply.Status, reply.Body))
	}
	if elapsed > callerTimeout+answerTolerance {
		r.addBreach("answer", id, fmt.Sprintf("held for %s", elapsed))
	}
	return true
}

// watchConfigVersion checks until the context ends that an entry never returns to an older
// configuration within the life of its process.
func (r *run) watchConfigVersion(ctx context.Context, entry int) {
	highest, process := 0, r.fleet.Entries[entry].Exited()
	for ctx.Err() == nil {
		clock.Sleep(ctx, 50*time.Millisecond)
		now := r.fleet.Entries[entry].Exited()
		if now != process {
			highest, process = 0, now
		}
		r.mu.Lock()
		newest := r.configVersion
		r.mu.Unlock()
		for version := newest; version > max(0, newest-3); version-- {
			status := r.configVersionStatus(ctx, entry, version)
			if r.fleet.Entries[entry].Exited() != process || status == 0 {
				break // the answer may have come from another process
			}
			if status != 200 {
				continue
			}
			if version < highest {
				r.addBreach("configuration", "", fmt.Sprintf("entry %d goes back from version %d to %d", entry, highest, version))
			}
			highest = max(highest, version)
			break
		}
	}
}
