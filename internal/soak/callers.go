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
	// callerWait is how long a caller waits for an answer.
	callerWait = 3 * time.Second
	// resendPause is the pause after which a caller that lost its answer asks again.
	resendPause = 1300 * time.Millisecond
	// mostSends bounds how often one job is handed in.
	mostSends = 3
	// answerSlack is how much longer than its caller waits an entry may hold a job that
	// it still answers.
	answerSlack = time.Second
	// leaves is the part of the callers that give up early, and poisons the part of the
	// jobs that can never be done.
	leaves, poisons = 0.1, 0.05
	// crashers is the part of the jobs whose tasks crash their targets.
	crashers = 0.01
)

// call sends one job after the other until the context ends.
func (r *run) call(ctx context.Context, caller int) {
	random := r.random(uint64(1000 + caller))
	for n := 0; ctx.Err() == nil; n++ {
		r.job(ctx, random, fmt.Sprintf("%08x%08x", caller+1, n))
		clock.Sleep(ctx, time.Duration(random.IntN(100))*time.Millisecond)
	}
}

// kindOf turns a number between 0 and 1 into the kind of a job's tasks.
func kindOf(part float64) standin.TaskKind {
	switch {
	case part < crashers:
		return standin.Crasher
	case part < crashers+poisons:
		return standin.Poison
	}
	return standin.Work
}

// job hands one job in, again and again as a real caller does: after no answer, a broken
// connection or an unknown outcome, a fixed pause later and at any entry.
func (r *run) job(ctx context.Context, random *rand.Rand, id string) {
	kind := kindOf(random.Float64())
	hopeless := kind != standin.Work
	body := standin.JobBody(kind, 1+random.IntN(6), 20+random.IntN(600))
	r.count(func(t *JobCounts) { t.Sent++ })
	refused := true
	for range mostSends {
		wait := callerWait
		leaving := random.Float64() < leaves
		if leaving {
			wait = time.Duration(10+random.IntN(300)) * time.Millisecond
		}
		began, stood := time.Now(), r.own.total()
		reply := r.fleet.Call(ctx, "POST", r.fleet.URL(random.IntN(r.Entries), "/q0/"+id), body, wait)
		if ctx.Err() != nil {
			return // the run is over; what became of it is not looked at
		}
		again := r.answered(id, reply, hopeless, leaving, time.Since(began)-(r.own.total()-stood))
		if reply.Status != 429 && reply.Status != 503 {
			refused = false
		}
		if !again {
			break
		}
		clock.Sleep(ctx, resendPause)
	}
	if refused {
		r.fleet.Checker.CheckNotStarted(id)
	}
}

// answered judges one answer, and reports whether the caller asks again.
func (r *run) answered(id string, reply standin.Reply, poison, leaving bool, took time.Duration) (again bool) {
	switch {
	case reply.Status == 200 && reply.Body == `{"state":"completed"}`:
		r.count(func(t *JobCounts) { t.Complete++ })
		if poison {
			r.breach("answer", id, "complete, though it can't be done")
		}
		return false
	case reply.Status == 200:
		r.count(func(t *JobCounts) { t.Failed++ })
		return false
	case reply.Status == 429 || reply.Status == 503:
		r.count(func(t *JobCounts) { t.NotRun++ })
		if reply.Header.Get("Retry-After") == "" {
			r.breach("answer", id, fmt.Sprintf("%d without Retry-After", reply.Status))
		}
		return false
	case reply.Status == 504:
		r.count(func(t *JobCounts) { t.Unknown++ })
	case reply.Status == 0 && leaving:
		r.count(func(t *JobCounts) { t.GaveUp++ })
	case reply.Status == 0:
		r.count(func(t *JobCounts) { t.Unanswered++ })
	case reply.Status == 404:
		return true // this entry has no configuration with the queue yet
	default:
		r.breach("answer", id, fmt.Sprintf("status %d: %s", reply.Status, reply.Body))
	}
	if took > callerWait+answerSlack {
		r.breach("answer", id, fmt.Sprintf("held for %s", took))
	}
	return true
}

// watchConfiguration sees that an entry never goes back to an older configuration while
// its process lives.
func (r *run) watchConfiguration(ctx context.Context, entry int) {
	seen, process := 0, r.fleet.Entries[entry].Exited()
	for ctx.Err() == nil {
		clock.Sleep(ctx, 50*time.Millisecond)
		now := r.fleet.Entries[entry].Exited()
		if now != process {
			seen, process = 0, now
		}
		r.mu.Lock()
		newest := r.version
		r.mu.Unlock()
		for version := newest; version > max(0, newest-3); version-- {
			status := r.inForce(ctx, entry, version)
			if r.fleet.Entries[entry].Exited() != process || status == 0 {
				break // it may have been another process
			}
			if status != 200 {
				continue
			}
			if version < seen {
				r.breach("configuration", "", fmt.Sprintf("entry %d goes back from version %d to %d", entry, seen, version))
			}
			seen = max(seen, version)
			break
		}
	}
}
