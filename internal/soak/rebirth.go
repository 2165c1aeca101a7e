package soak

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/camphorrack/camphorrack/platform/standin"
)

const (
	// maxRebirthDowntime bounds the time from the crash of a target to its next incarnation, and
	// maxAnnounceDelay that from there to its first announcement: as long as an announcement interval.
	maxRebirthDowntime = 60 * time.Millisecond
	maxAnnounceDelay   = 1500 * time.Millisecond
	// underWayShare is the share of calls to a target that are under way for up to maxUnderWay.
	underWayShare = 0.4
	maxUnderWay   = 150 * time.Millisecond
)

// rebear ends a target and begins its next incarnation at once. It does nothing if another fault has
// the target.
func (r *run) rebear(t *standin.Target, rnd *rand.Rand) {
	mu, _ := faultLocks.LoadOrStore(t, &sync.Mutex{})
	if !mu.(*sync.Mutex).TryLock() {
		return
	}
	defer mu.(*sync.Mutex).Unlock()
	var downtime, announceDelay time.Duration
	if rnd.IntN(3) > 0 {
		downtime = between(rnd, 0, maxRebirthDowntime)
	}
	if rnd.IntN(3) > 0 {
		announceDelay = between(rnd, 0, maxAnnounceDelay)
	}
	if t.Rebirth(downtime, announceDelay, rnd.IntN(4) == 0) != nil {
		r.startTarget(t)
	}
}

func rebearTarget(r *run, rnd *rand.Rand, _ time.Duration) func() {
	r.rebear(pick(rnd, r.fleet.Targets), rnd)
	return nil
}

// rebearDataCentre ends all targets of a data centre at the same moment, and begins their next
// incarnations.
func rebearDataCentre(r *run, rnd *rand.Rand, _ time.Duration) func() {
	dataCentre := rnd.IntN(dataCentres)
	var wg sync.WaitGroup
	for i, t := range r.fleet.Targets {
		if r.fleet.TargetDataCentre(i) != r.fleet.DataCentre(dataCentre) {
			continue
		}
		targetRand := rand.New(rand.NewPCG(rnd.Uint64(), 0))
		wg.Go(func() { r.rebear(t, targetRand) })
	}
	wg.Wait()
	return nil
}

// rebearWithCallsUnderWay ends a target several times while calls to it are under way, so that some
// reach the incarnation after the one that they are meant for.
func rebearWithCallsUnderWay(r *run, rnd *rand.Rand, duration time.Duration) func() {
	t := pick(rnd, r.fleet.Targets)
	t.SetFaults(standin.TargetFaults{TransitShare: underWayShare, MaxTransit: maxUnderWay, LostAnswerShare: rnd.Float64() * 0.45})
	for until := time.Now().Add(duration); time.Now().Before(until); time.Sleep(between(rnd, maxUnderWay, 4*maxUnderWay)) {
		r.rebear(t, rnd)
	}
	t.SetFaults(standin.TargetFaults{})
	return nil
}
