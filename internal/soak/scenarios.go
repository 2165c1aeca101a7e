package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/standin/relay"
	"github.com/camphorrack/camphorrack/platform/standin"
)

// scenario is a fixed sequence of faults around one job, played over and over until Options.Duration
// has passed. It needs a number of entries and targets.
type scenario struct {
	entries, targets int
	play             func(*run, context.Context, *rand.Rand, string)
}

const (
	// longTask is the run time of a task that outlasts the delay of a resent job by far.
	longTask = 3600 * time.Millisecond
	// startWait bounds the time until a scenario's job runs, and settleTime is the pause after a play.
	startWait  = 2 * time.Second
	settleTime = 800 * time.Millisecond
	// longWait is a caller's deadline that doesn't end a longTask.
	longWait = 6 * time.Second
	// lostStopsTime is how long stops are lost after a caller has left.
	lostStopsTime = 2600 * time.Millisecond
)

var scenarios = map[string]scenario{
	"caller-leaves":                      {2, 4, callerLeaves(nil)},
	"caller-leaves-entry-throttled":      {2, 4, callerLeaves(throttledEntry(quotaPeriod, 15*time.Millisecond))},
	"caller-leaves-entry-short-pauses":   {2, 4, callerLeaves(pausedEntry)},
	"caller-leaves-entry-busy":           {2, 4, callerLeaves(busyEntry(150, fixedTurns(90*time.Millisecond, 10*time.Millisecond)))},
	"caller-leaves-entry-busier":         {2, 4, callerLeaves(busyEntry(600, fixedTurns(200*time.Millisecond, 8*time.Millisecond)))},
	"caller-leaves-entry-busy-paused":    {2, 4, callerLeaves(busyEntry(900, fixedTurns(300*time.Millisecond, 15*time.Millisecond)))},
	"caller-leaves-runner-throttled":     {2, 4, callerLeaves(throttledRunner)},
	"caller-leaves-connections-silent":   {2, 4, callerLeavesSilently},
	"rebirth-announced-late":             {2, 3, rebirthAnnouncedLate(standin.TargetFaults{})},
	"rebirth-stops-lost":                 {2, 3, rebirthAnnouncedLate(standin.TargetFaults{LostAnswerShare: 0.45, LostStopShare: 0.45})},
	"rebirth-start-under-way":            {2, 3, rebirthStartUnderWay},
	"rebirth-runner-paused":              {2, 3, rebirthRunnerPaused},
	"rebirth-runner-throttled":           {2, 3, rebirthRunnerThrottled},
	"rebirth-unanswered-starts":          {2, 3, rebirthUnansweredStarts},
	"rebirth-start-seconds-late":         {2, 3, rebirthStartSecondsLate},
	"successor-address-kept":             {2, 3, succeeded(succession{lead: keepAddress})},
	"successor-address-taken-over":       {2, 3, succeeded(succession{lead: takeAddress})},
	"successor-connections-reset":        {2, 3, succeeded(succession{lead: takeAddressAndReset})},
	"successor-address-shared":           {2, 3, succeeded(succession{lead: shareAddress})},
	"successor-led-by-name":              {2, 3, succeeded(succession{lead: leadByName})},
	"successor-same-start-time":          {2, 3, succeeded(succession{lead: takeAddress, order: startedTogether})},
	"successor-no-start-time":            {2, 3, succeeded(succession{lead: takeAddressAndReset, order: startUnknown})},
	"successor-earlier-start-time":       {2, 3, succeeded(succession{lead: takeAddressAndReset, order: startedEarlier})},
	"successor-heartbeats-late":          {2, 3, succeeded(succession{lead: takeAddress, announceDelay: maxAnnouncementDelay, repeats: maxRepeats})},
	"successor-runner-killed":            {2, 3, succeeded(succession{lead: takeAddress, killRunner: true})},
	"successor-after-crash":              {2, 3, succeeded(succession{crash: true, repeats: maxRepeats})},
	"successor-after-crash-same-start":   {2, 3, succeeded(succession{crash: true, order: startedTogether, repeats: maxRepeats})},
	"successor-after-crash-no-start":     {2, 3, succeeded(succession{crash: true, order: startUnknown, repeats: maxRepeats})},
	"handed-over-first-entry-paused":     {3, 4, handedOver(pauseFirst)},
	"handed-over-path-silent":            {3, 4, handedOver(silencePeer)},
	"handed-over-caller-leaves":          {3, 4, handedOver(nil)},
	"handed-over-both-entries-throttled": {3, 4, handedOver(throttleBoth)},
}

// ScenarioNames returns the names that Options.Scenario takes.
func ScenarioNames() string { return strings.Join(slices.Sorted(maps.Keys(scenarios)), ", ") }

// playScenario plays the scenario of the options until their duration has passed. Jobs counts the
// plays.
func (r *run) playScenario(ctx context.Context) {
	rnd := r.newRand(3)
	chosen := scenarios[r.Scenario]
	r.warmUp(ctx)
	for until := time.Now().Add(r.Duration); time.Now().Before(until) && ctx.Err() == nil; {
		r.faults++
		breaches, discarded := len(r.fleet.Checker.Breaches()), r.fleet.Checker.Discarded()
		id := fmt.Sprintf("%016x", r.faults)
		chosen.play(r, ctx, rnd, id)
		clock.Sleep(ctx, settleTime)
		for _, line := range r.fleet.Checker.History(id) {
			fmt.Fprintln(r.Out, "  ", line)
		}
		r.clearFaults()
		fmt.Fprintf(r.Out, "%s play %d of %s: %d breaches, %d runs discarded on draining targets\n", time.Now().Format(time.StampMilli), r.faults, r.Scenario,
			len(r.fleet.Checker.Breaches())-breaches, r.fleet.Checker.Discarded()-discarded)
	}
}

// warmUp sends jobs until every target has run one, so that all sessions and connections are open.
func (r *run) warmUp(ctx context.Context) {
	for n := range 40 {
		var wg sync.WaitGroup
		for e := range r.Entries {
			wg.Go(func() {
				id := fmt.Sprintf("%016x", 0xeeee000000000000+uint64(n*r.Entries+e))
				r.fleet.Call(ctx, "POST", r.fleet.URL(e, "/q0/"+id), standin.JobBody(standin.Work, 8, 30), callerTimeout)
			})
		}
		wg.Wait()
	}
}

// caller is a caller whose job is in progress.
type caller struct {
	leave context.CancelFunc
	reply chan standin.Reply
}

// submit sends a job to an entry without waiting for the answer.
func (r *run) submit(ctx context.Context, entry int, id string, tasks int, runTime time.Duration) *caller {
	r.updateCounts(func(t *JobCounts) { t.Sent++ })
	ctx, cancel := context.WithCancel(ctx)
	c := &caller{cancel, make(chan standin.Reply, 1)}
	go func() {
		c.reply <- r.fleet.CallUntil(ctx, "POST", r.fleet.URL(entry, "/q0/"+id), standin.JobBody(standin.Work, tasks, int(runTime.Milliseconds())), longWait)
	}()
	return c
}

// runningOn returns the index of a target that runs a task of the job, or -1 if none does within
// startWait.
func (r *run) runningOn(ctx context.Context, id string) int {
	for until := time.Now().Add(startWait); time.Now().Before(until) && ctx.Err() == nil; clock.Sleep(ctx, 2*time.Millisecond) {
		if targets := r.fleet.Checker.RunningOn(id); len(targets) > 0 {
			i := 0
			if _, err := fmt.Sscanf(targets[0], "t%d", &i); err == nil {
				return i
			}
		}
	}
	return -1
}

// resendAfterLeaving makes a caller leave and sends the job to another entry after the delay of real
// callers. It returns once the second job was seen to run for a while or was answered.
func (r *run) resendAfterLeaving(ctx context.Context, c *caller, entry int, id string) {
	c.leave()
	<-c.reply
	leftAt := time.Now()
	clock.Sleep(ctx, time.Until(leftAt.Add(resendDelay)))
	again := r.submit(ctx, entry, id, 1, longTask)
	defer again.leave()
	clock.Sleep(ctx, time.Until(leftAt.Add(lostStopsTime)))
}

// disturbance slows processes down around the moment at which a caller leaves. target is that of the
// job's run. The returned function ends it.
type disturbance func(r *run, rnd *rand.Rand, target int) (end func())

// callerLeaves returns the play of a caller that leaves while all stops of its run are lost and
// renewals of the lease get through.
func callerLeaves(disturb disturbance) func(*run, context.Context, *rand.Rand, string) {
	return func(r *run, ctx context.Context, rnd *rand.Rand, id string) {
		c := r.submit(ctx, 0, id, 1, longTask)
		target := r.runningOn(ctx, id)
		if target < 0 {
			c.leave()
			return
		}
		clock.Sleep(ctx, between(rnd, 200*time.Millisecond, 500*time.Millisecond))
		r.fleet.Targets[target].SetFaults(standin.TargetFaults{LostStopShare: 1})
		if disturb != nil {
			end := disturb(r, rnd, target)
			time.AfterFunc(time.Second, end)
			clock.Sleep(ctx, between(rnd, 5*time.Millisecond, 60*time.Millisecond))
		}
		r.resendAfterLeaving(ctx, c, 1, id)
	}
}

// takeTurns alternates a process that the scenario alone uses.
func takeTurns(p *standin.Process, next func() (paused, runs time.Duration)) (end func()) {
	stop := make(chan struct{})
	go alternate(&lockableProcess{p, &sync.Mutex{}}, stop, next)
	return func() { close(stop) }
}

func throttledEntry(period, runs time.Duration) disturbance {
	return func(r *run, _ *rand.Rand, _ int) func() {
		return takeTurns(r.fleet.Entries[0], func() (time.Duration, time.Duration) { return period - runs, runs })
	}
}

// pausedEntry pauses the entry for times that it doesn't notice as a stall, and lets it run so
// briefly that the work of waking up is spread over several turns.
func pausedEntry(r *run, rnd *rand.Rand, _ int) func() {
	return takeTurns(r.fleet.Entries[0], func() (time.Duration, time.Duration) {
		return between(rnd, 150*time.Millisecond, 350*time.Millisecond), between(rnd, 500*time.Microsecond, 6*time.Millisecond)
	})
}

// fixedTurns returns turns of fixed lengths.
func fixedTurns(paused, runs time.Duration) func() (time.Duration, time.Duration) {
	return func() (time.Duration, time.Duration) { return paused, runs }
}

// busyEntry lets the entry run only in the given turns, while more callers send jobs to it than it
// can serve, so that its control state is behind with its queue.
func busyEntry(callers int, turns func() (paused, runs time.Duration)) disturbance {
	return func(r *run, rnd *rand.Rand, _ int) func() {
		ctx, cancel := context.WithCancel(context.Background())
		prefix := rnd.Uint32() | 1<<31
		for c := range callers {
			go func() {
				for n := 0; ctx.Err() == nil; n++ {
					id := fmt.Sprintf("%08x%04x%04x", prefix, c, n)
					r.fleet.CallUntil(ctx, "POST", r.fleet.URL(0, "/q0/"+id), standin.JobBody(standin.Work, 3, 5), callerTimeout)
				}
			}()
		}
		time.Sleep(100 * time.Millisecond) // until the queue has built up
		end := takeTurns(r.fleet.Entries[0], turns)
		return func() { cancel(); end() }
	}
}

func throttledRunner(r *run, _ *rand.Rand, target int) func() {
	return takeTurns(r.fleet.Runners[target], quota(15*time.Millisecond))
}

// callerLeavesSilently plays a run whose runner finds all open connections silent, to its entries and
// to its target, while new ones work.
func callerLeavesSilently(r *run, ctx context.Context, rnd *rand.Rand, id string) {
	c := r.submit(ctx, 0, id, 1, longTask)
	target := r.runningOn(ctx, id)
	if target < 0 {
		c.leave()
		return
	}
	clock.Sleep(ctx, between(rnd, 200*time.Millisecond, 500*time.Millisecond))
	for _, p := range append([]*relay.Relay{r.fleet.TargetPaths[target]}, r.fleet.SessionPaths[target]...) {
		p.BlackholeOpen(true, true)
	}
	<-c.reply
	answeredAt := time.Now()
	clock.Sleep(ctx, time.Until(answeredAt.Add(resendDelay)))
	again := r.submit(ctx, 1, id, 1, longTask)
	defer again.leave()
	clock.Sleep(ctx, time.Second)
}

// handedOver returns the play of a job that its first entry hands over, because it reaches no target.
// disturb, if set, makes the first entry be cut off. At the same moment the caller leaves, and all stops
// of the run are lost.
func handedOver(disturb func(*run) (end func())) func(*run, context.Context, *rand.Rand, string) {
	return func(r *run, ctx context.Context, rnd *rand.Rand, id string) {
		restore := blackhole(r.pathsFromRunners(0))
		defer restore()
		// The entry has to find its sessions silent first.
		clock.Sleep(ctx, 1200*time.Millisecond)
		c := r.submit(ctx, 0, id, 1, longTask)
		target := r.runningOn(ctx, id)
		if target < 0 {
			c.leave()
			fmt.Fprintf(r.Out, "play %d: the job does not run: %+v\n", r.faults, <-c.reply)
			return
		}
		clock.Sleep(ctx, between(rnd, 300*time.Millisecond, 600*time.Millisecond))
		r.fleet.Targets[target].SetFaults(standin.TargetFaults{LostStopShare: 1})
		if disturb != nil {
			defer disturb(r)()
		}
		other := 1 // an entry that knows the job would wait for its runs
		if strings.Contains(r.fleet.Entries[1].ReadLog(), `"job":"`+id+`"`) {
			other = 2
		}
		r.resendAfterLeaving(ctx, c, other, id)
	}
}

// pathsFromRunners returns the paths on which runners reach an entry.
func (r *run) pathsFromRunners(entry int) (paths []*relay.Relay) {
	paths = append(paths, r.fleet.PeerPaths[entry]) // runners learn of it from other entries
	for _, sessionPaths := range r.fleet.SessionPaths {
		paths = append(paths, sessionPaths[entry])
	}
	return paths
}

func pauseFirst(r *run) func() {
	r.fleet.Entries[0].Signal(syscall.SIGSTOP)
	return func() { r.fleet.Entries[0].Signal(syscall.SIGCONT) }
}

// silencePeer silences the connections from the first entry to the others.
func silencePeer(r *run) func() {
	return blackhole(r.fleet.PeerPaths[1:])
}

func throttleBoth(r *run) func() {
	var ends []func()
	for _, p := range r.fleet.Entries[:2] {
		ends = append(ends, takeTurns(p, quota(15*time.Millisecond)))
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}
