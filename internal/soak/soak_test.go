package soak

import (
	"context"
	"os/exec"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// seeds are played in CI: some of the usual kind, and each that ever failed, with a line
// on the cause.
var seeds = []uint64{
	1, // two sessions of one runner with one entry
	2,
	3,
	4,
}

// seedDuration is for how long each seed's faults go on: a minute in all.
const seedDuration = 15 * time.Second

// Processes, paths, targets and the store fail by the seed, in series that overlap, while
// callers send jobs and send them again. A broken promise shows as a paper billed twice, a
// "not run" that ran, an answer that never comes, or an entry that goes back to an older
// configuration.
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
