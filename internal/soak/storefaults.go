package soak

import (
	"math/rand/v2"
	"time"

	"github.com/camphorrack/camphorrack/platform/standin"
)

var storeFaultModes = []standin.StoreMode{standin.StoreUnresponsive, standin.StoreUnavailable, standin.StoreReset, standin.StoreAnswerLost}

// degradeStore delays the store's answers, or sets one of storeFaultModes for all hosts without a
// mode of their own.
func degradeStore(r *run, rnd *rand.Rand, _ time.Duration) func() {
	if rnd.IntN(3) == 0 {
		r.fleet.Store.SetDelay(time.Duration(rnd.IntN(700)) * time.Millisecond)
		return func() { r.fleet.Store.SetDelay(0) }
	}
	r.fleet.Store.SetMode("", pick(rnd, storeFaultModes))
	return func() { r.fleet.Store.SetMode("", standin.StoreNormal) }
}

func degradeStoreForHost(r *run, rnd *rand.Rand, _ time.Duration) func() {
	host := pick(rnd, append(append([]*standin.Process(nil), r.fleet.Entries...), r.fleet.Runners...)).IP()
	r.fleet.Store.SetMode(host, pick(rnd, storeFaultModes))
	return func() { r.fleet.Store.SetMode(host, standin.StoreNormal) }
}

func truncateStore(r *run, rnd *rand.Rand, _ time.Duration) func() {
	r.fleet.TruncateConfigurations()
	if rnd.IntN(2) == 0 {
		r.fleet.TruncateEntryRecords()
	}
	return nil
}
