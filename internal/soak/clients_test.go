package soak

import "testing"

// crowdSeeds are run in CI with crowds of clients, for slowSeedDuration each.
var crowdSeeds = []uint64{1, 2, 3}

// Guards against processes that exceed the memory or the descriptors of their hosts, or that end, under
// crowds of clients that stand still while processes, paths and the store fail.
func TestCrowdsBesideFaults(t *testing.T) {
	bin := buildPrograms(t)
	for _, seed := range crowdSeeds {
		play(t, Options{BinDir: bin, Seed: seed, Duration: slowSeedDuration, Groups: []string{GroupClients}})
	}
}
