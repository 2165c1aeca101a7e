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

// Processes, paths, targets and the store fail as drawn from the seed, with overlapping faults,
// while callers submit and resend jobs. A violated guarantee shows as a task that runs twice at
// the same time, and so would be billed twice, a job that ran despite the answer "not run", an
// answer that never arrives, or an entry that returns to an older configuration.
func TestSoak(t *testing.T) {
	bin := t.TempDir()
	out, err := exec.Command("go", "build", "-o", bin+"/", "../../apps/camphorrack-dispatcher", "../../apps/camphorrack-runner").CombinedOutput()
	NewWithT(t).Expect(err).NotTo(HaveOccurred(), string(out))
	for _, seed := range seeds {
		result, err := Run(context.Background(), Options{BinDir: bin, Dir: t.TempDir(), Seed: seed, Duration: seedDuration,
			Entries: DefaultEntries, Targets: DefaultTargets, Callers: DefaultCallers, Out: t.Output()})
		g := NewWithT(t)
		g.Expect(err).NotTo(HaveOccurred())
		t.Log(result)
		g.Expect(result.Breaches).To(BeEmpty())
		g.Expect(result.Jobs.Sent).To(BeNumerically(">", 0))
	}
}
