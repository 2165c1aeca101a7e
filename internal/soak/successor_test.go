package soak

import (
	"testing"
	"time"
)

// successorDuration is the time for each scenario: one play, or two short ones. A scenario that resets the
// connections is among those of unknown age.
const successorDuration = 4 * time.Second

// Guards against runs that count as over because another target of their host announces itself.
func TestRunsGoOnBesideASuccessor(t *testing.T) {
	t.Parallel()
	playScenarios(t, successorDuration, "successor-address-kept", "successor-address-taken-over", "successor-address-shared", "successor-led-by-name")
}

// Guards against the same if the start times or the order of the announcements don't tell which target is
// the newer one.
func TestRunsGoOnBesideASuccessorOfUnknownAge(t *testing.T) {
	t.Parallel()
	playScenarios(t, successorDuration, "successor-same-start-time", "successor-no-start-time", "successor-earlier-start-time", "successor-heartbeats-late")
}

// Guards against the same after the runner or the first target was killed.
func TestRunsGoOnBesideASuccessorAfterKills(t *testing.T) {
	t.Parallel()
	playScenarios(t, successorDuration, "successor-runner-killed", "successor-after-crash-same-start", "successor-after-crash-no-start")
}

// Guards against runs that count as over because a late announcement of an earlier target of their host
// arrives.
func TestSuccessorOfACrashedTarget(t *testing.T) {
	t.Parallel()
	playScenarios(t, successorDuration, "successor-after-crash")
}

// Guards against the same with random faults.
func TestSoakOfSuccessors(t *testing.T) {
	t.Parallel()
	bin := buildPrograms(t)
	for _, seed := range []uint64{1, 2} {
		play(t, Options{BinDir: bin, Seed: seed, Duration: 9 * time.Second, Groups: []string{GroupSuccessors}})
	}
}
