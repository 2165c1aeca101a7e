package soak

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/platform/standin"
)

// lead says which of two targets of a host the calls to their common address reach, while both are alive.
type lead int

const (
	keepAddress         lead = iota // the first
	takeAddress                     // the second, on new connections
	takeAddressAndReset             // the second; open connections are reset
	shareAddress                    // each new connection another one
	leadByName                      // the one that the call is for
	leads
)

// startOrder says which start time a successor states.
type startOrder int

const (
	startedLater startOrder = iota
	startedTogether
	startUnknown
	startedEarlier
	startOrders
)

const (
	// startStep is by how much a successor that started earlier by its clock did.
	startStep = 5 * time.Second
	// maxAnnouncementDelay bounds the delay of late announcements, and maxRepeats how often one is repeated.
	maxAnnouncementDelay = time.Second
	maxRepeats           = 5
	repeatInterval       = 250 * time.Millisecond
	// Bounds of a scenario's succession.beside and succession.drain.
	minBeside, maxBeside = 500 * time.Millisecond, 2 * time.Second
	minDrain, maxDrain   = 500 * time.Millisecond, 6 * time.Second
	// announceInterval is that of the targets.
	announceInterval = 300 * time.Millisecond
)

// succession is the replacement of a host's target by one under another name.
type succession struct {
	lead          lead
	order         startOrder
	beside        time.Duration // time for which both are ready
	drain         time.Duration // time for which the first drains thereafter
	announceDelay time.Duration // bound of the delay of the announcements of both
	repeats       int           // of the last announcement of the first, once it has ended
	crash         bool          // the first crashes before the second starts
	killRunner    bool          // while both are alive
}

func (o startOrder) startTime(first *standin.Target) int64 {
	switch o {
	case startedTogether:
		return first.BornMs()
	case startUnknown:
		return standin.NoBorn
	case startedEarlier:
		return cmp.Or(first.BornMs(), time.Now().UnixMilli()) - startStep.Milliseconds()
	}
	return time.Now().UnixMilli()
}

// succeed starts a second target on a host, beside the first one unless that crashes, and ends the first
// after it has drained.
func (r *run) succeed(ctx context.Context, rnd *rand.Rand, host int, s succession) {
	first, second := r.fleet.TargetsOf(host)
	startedMs := s.order.startTime(first)
	for _, t := range []*standin.Target{first, second} {
		t.SetFaults(standin.TargetFaults{MaxAnnounceDelay: s.announceDelay})
		defer t.SetFaults(standin.TargetFaults{})
	}
	if s.crash {
		first.End(false)
	}
	if err := second.StartSuccessor(startedMs, between(rnd, 0, announceInterval)); err != nil {
		r.addBreach("stand-in", "", err.Error())
		return
	}
	if !s.crash {
		r.drainBeside(ctx, host, s, first, second)
	}
	r.fleet.LeadTo(host, second)
	if s.repeats > 0 {
		first.RepeatAnnouncement(s.repeats, repeatInterval)
	}
}

// drainBeside has both targets of a host alive until the first has drained, and ends it.
func (r *run) drainBeside(ctx context.Context, host int, s succession, first, second *standin.Target) {
	switch s.lead {
	case takeAddress:
		r.fleet.LeadTo(host, second)
	case takeAddressAndReset:
		r.fleet.LeadTo(host, second)
		r.fleet.TargetPaths[host].Reset()
	case shareAddress:
		r.fleet.LeadTo(host, second, first)
	case leadByName:
		r.fleet.LeadByName(host)
		r.fleet.TargetPaths[host].Reset()
	}
	clock.Sleep(ctx, s.beside)
	if s.killRunner {
		r.restartRunner(host)
	}
	first.Drain()
	clock.Sleep(ctx, s.drain)
	first.End(true)
}

// restartRunner kills a runner and starts it again, unless another fault has it.
func (r *run) restartRunner(host int) {
	p := runnerProcesses(r)[host]
	if !p.mu.TryLock() {
		return
	}
	defer p.mu.Unlock()
	r.checkStillRunning(p)
	p.Kill()
	r.startProcess(p)
}

// succeeded returns the play of a succession while jobs are sent.
func succeeded(s succession) func(*run, context.Context, *rand.Rand, string) {
	return func(r *run, ctx context.Context, rnd *rand.Rand, id string) {
		drawn := s
		drawn.beside, drawn.drain = between(rnd, minBeside, maxBeside), between(rnd, minDrain, maxDrain)
		r.duringStream(ctx, id, 20*time.Millisecond, 500*time.Millisecond, func() {
			r.succeed(ctx, rnd, rnd.IntN(len(r.fleet.Targets)), drawn)
			clock.Sleep(ctx, time.Second)
		})
	}
}

// replaceTarget replaces the target of a host by another one and that by a third, each in another way,
// unless another fault has the target.
func replaceTarget(r *run, rnd *rand.Rand, duration time.Duration) func() {
	host := rnd.IntN(len(r.fleet.Targets))
	for _, t := range []*standin.Target{r.fleet.Targets[host], r.fleet.SecondTargets[host]} {
		mu, _ := faultLocks.LoadOrStore(t, &sync.Mutex{})
		if !mu.(*sync.Mutex).TryLock() {
			return nil
		}
		defer mu.(*sync.Mutex).Unlock()
	}
	for range 2 {
		s := succession{lead: lead(rnd.IntN(int(leads))), order: startOrder(rnd.IntN(int(startOrders))), beside: between(rnd, 0, duration), drain: between(rnd, 0, duration),
			repeats: rnd.IntN(maxRepeats), crash: rnd.IntN(4) == 0, killRunner: rnd.IntN(4) == 0}
		if rnd.IntN(2) == 0 {
			s.announceDelay = between(rnd, 0, maxAnnouncementDelay)
		}
		r.succeed(context.Background(), rnd, host, s)
	}
	return nil
}

// replaceTargets does the same on half of the hosts, as a release does.
func replaceTargets(r *run, rnd *rand.Rand, duration time.Duration) func() {
	var wg sync.WaitGroup
	for range (len(r.fleet.Targets) + 1) / 2 {
		hostRand := rand.New(rand.NewPCG(rnd.Uint64(), 0))
		wg.Go(func() { replaceTarget(r, hostRand, duration) })
	}
	wg.Wait()
	return nil
}
