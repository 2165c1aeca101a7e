package soak

import (
	"context"
	"os/exec"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// seeds are run in CI: some ordinary ones, and each that has ever failed, with its cause.
var seeds = []uint64{
	1, // two sessions of one runner with one entry
	2,
	3,
	4,
}

// seedDuration is the time with faults for each seed: a minute for all four.
const seedDuration = 15 * time.Second

// slowSeeds are run in CI with further groups of faults, for slowSeedDuration each.
var slowSeeds = []uint64{1, 2}

const slowSeedDuration = 12 * time.Second

// buildPrograms returns a directory with the programs.
func buildPrograms(t *testing.T) string {
	bin := t.TempDir()
	out, err := exec.Command("go", "build", "-o", bin+"/", "../../apps/camphorrack-dispatcher", "../../apps/camphorrack-runner").CombinedOutput()
	NewWithT(t).Expect(err).NotTo(HaveOccurred(), string(out))
	return bin
}

// play executes a run of the default size and expects no breach.
func play(t *testing.T, o Options) {
	o.Dir, o.Out = t.TempDir(), t.Output()
	o.Entries, o.Targets, o.Callers = DefaultEntries, DefaultTargets, DefaultCallers
	result, err := Run(context.Background(), o)
	g := NewWithT(t)
	g.Expect(err).NotTo(HaveOccurred())
	t.Log(result)
	g.Expect(result.Breaches).To(BeEmpty())
	g.Expect(result.Jobs.Sent).To(BeNumerically(">", 0))
}

// Processes, paths, targets and the store fail as drawn from the seed, with overlapping faults,
// while callers submit and resend jobs. A violated guarantee shows as a task that runs twice at
// the same time, and so would be billed twice, a job that ran despite the answer "not run", an
// answer that never arrives, or an entry that returns to an older configuration.
func TestSoak(t *testing.T) {
	bin := buildPrograms(t)
	for _, seed := range seeds {
		play(t, Options{BinDir: bin, Seed: seed, Duration: seedDuration})
	}
}

// Guards against runs that outlive the delay after which a job is sent again, while processes get
// processor time in short turns, answers are lost and the runners of a data centre are killed at once.
func TestSoakOfSlowProcessesAndLostAnswers(t *testing.T) {
	t.Parallel()
	bin := buildPrograms(t)
	for _, seed := range slowSeeds {
		play(t, Options{BinDir: bin, Seed: seed, Duration: slowSeedDuration, Groups: []string{GroupSlow, GroupLoss}})
	}
}
