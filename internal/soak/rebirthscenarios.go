package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/platform/standin"
)

// stream submits jobs of one task to all entries, one every interval, until the returned function is
// called.
func (r *run) stream(ctx context.Context, id string, interval, runTime time.Duration) (end func()) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			wg.Go(func() {
				r.updateCounts(func(t *JobCounts) { t.Sent++ })
				job := fmt.Sprintf("%s%04x%s", id[8:12], n, id[8:])
				r.fleet.CallUntil(ctx, "POST", r.fleet.URL(n%r.Entries, "/q0/"+job), standin.JobBody(standin.Work, 1, int(runTime.Milliseconds())), callerTimeout)
			})
			clock.Sleep(ctx, interval)
		}
	})
	return func() { cancel(); wg.Wait() }
}

// streamLead is how long a stream runs before a play begins.
const streamLead = 300 * time.Millisecond

// duringStream plays while jobs are submitted as by stream.
func (r *run) duringStream(ctx context.Context, id string, interval, runTime time.Duration, play func()) {
	end := r.stream(ctx, id, interval, runTime)
	defer end()
	clock.Sleep(ctx, streamLead)
	play()
}

// rebirthAnnouncedLate returns the play of a target that is back at once, whose first announcement
// comes late, while jobs are sent. From then on it has the faults given.
func rebirthAnnouncedLate(faults standin.TargetFaults) func(*run, context.Context, *rand.Rand, string) {
	return func(r *run, ctx context.Context, rnd *rand.Rand, id string) {
		r.duringStream(ctx, id, 20*time.Millisecond, 500*time.Millisecond, func() {
			t := pick(rnd, r.fleet.Targets)
			t.SetFaults(faults)
			r.rebirth(t, between(rnd, 0, 20*time.Millisecond), between(rnd, 100*time.Millisecond, 600*time.Millisecond))
			clock.Sleep(ctx, 1200*time.Millisecond)
		})
	}
}

func (r *run) rebirth(t *standin.Target, downtime, announceDelay time.Duration) {
	if t.Rebirth(downtime, announceDelay, false) != nil {
		r.startTarget(t)
	}
}

// rebirthStartUnderWay plays a target that is back at once and announced at once, while starts are
// under way to it.
func rebirthStartUnderWay(r *run, ctx context.Context, rnd *rand.Rand, id string) {
	t := pick(rnd, r.fleet.Targets)
	t.SetFaults(standin.TargetFaults{TransitShare: 0.7, MaxTransit: 100 * time.Millisecond})
	r.duringStream(ctx, id, 20*time.Millisecond, 300*time.Millisecond, func() {
		r.rebirth(t, between(rnd, 0, 20*time.Millisecond), 0)
		clock.Sleep(ctx, time.Second)
	})
}

// rebirthRunnerPaused plays a target that is back at once while its runner is paused for a time that
// it doesn't notice as a stall.
func rebirthRunnerPaused(r *run, ctx context.Context, rnd *rand.Rand, id string) {
	i := rnd.IntN(len(r.fleet.Targets))
	r.duringStream(ctx, id, 10*time.Millisecond, 300*time.Millisecond, func() {
		r.fleet.Runners[i].Signal(syscall.SIGSTOP)
		clock.Sleep(ctx, between(rnd, 5*time.Millisecond, 150*time.Millisecond))
		r.rebirth(r.fleet.Targets[i], between(rnd, 0, 20*time.Millisecond), 0)
		clock.Sleep(ctx, between(rnd, 5*time.Millisecond, 150*time.Millisecond))
		r.fleet.Runners[i].Signal(syscall.SIGCONT)
		clock.Sleep(ctx, time.Second)
	})
}

// rebirthRunnerThrottled plays a target that is back at once while its runner gets so little processor
// time that it may have taken note of the new incarnation before it sends starts that it has decided
// on earlier. The target loses answers and stops.
func rebirthRunnerThrottled(r *run, ctx context.Context, rnd *rand.Rand, id string) {
	i := rnd.IntN(len(r.fleet.Targets))
	end := r.stream(ctx, id, 10*time.Millisecond, 300*time.Millisecond)
	clock.Sleep(ctx, 200*time.Millisecond)
	r.fleet.Targets[i].SetFaults(standin.TargetFaults{LostAnswerShare: 0.45, LostStopShare: 0.45})
	endTurns := takeTurns(r.fleet.Runners[i], func() (time.Duration, time.Duration) {
		return between(rnd, 30*time.Millisecond, 150*time.Millisecond), between(rnd, 500*time.Microsecond, 6*time.Millisecond)
	})
	for range 4 {
		clock.Sleep(ctx, 300*time.Millisecond)
		r.rebirth(r.fleet.Targets[i], 0, 0)
	}
	clock.Sleep(ctx, 500*time.Millisecond)
	endTurns()
	end()
}

// rebirthStartSecondsLate plays starts that are carried out up to 3 s late, by the incarnation that
// runs then.
func rebirthStartSecondsLate(r *run, ctx context.Context, rnd *rand.Rand, id string) {
	t := pick(rnd, r.fleet.Targets)
	t.SetFaults(standin.TargetFaults{TransitShare: 0.2, MaxTransit: 3 * time.Second})
	end := r.stream(ctx, id, 20*time.Millisecond, 600*time.Millisecond)
	for range 5 {
		clock.Sleep(ctx, 700*time.Millisecond)
		r.rebirth(t, between(rnd, 0, 20*time.Millisecond), 0)
	}
	end()
}

// rebirthUnansweredStarts plays a target that crashes while half of the starts are under way to it for longer than
// its runner waits. Its next incarnation receives some of them before it has announced itself.
func rebirthUnansweredStarts(r *run, ctx context.Context, rnd *rand.Rand, id string) {
	t := pick(rnd, r.fleet.Targets)
	r.duringStream(ctx, id, 20*time.Millisecond, 600*time.Millisecond, func() {
		t.SetFaults(standin.TargetFaults{TransitShare: 0.5, MaxTransit: time.Second, OnlyStartsInTransit: true})
		clock.Sleep(ctx, 900*time.Millisecond)
		r.rebirth(t, 250*time.Millisecond, between(rnd, 0, maxAnnounceDelay))
		clock.Sleep(ctx, time.Second)
	})
}
