package soak

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// scenarioDuration is the time for each scenario: two plays or more.
const scenarioDuration = 6 * time.Second

// playScenarios plays scenarios one after the other and expects no breach.
func playScenarios(t *testing.T, duration time.Duration, names ...string) {
	bin := buildPrograms(t)
	for _, name := range names {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			result, err := Run(context.Background(), Options{BinDir: bin, Dir: t.TempDir(), Seed: 1, Duration: duration, Out: t.Output(), Scenario: name})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(result.Jobs.Sent).To(BeNumerically(">", 0))
			g.Expect(result.Breaches).To(BeEmpty())
		})
	}
}

// Guards against a run that outlives the delay after which its job is sent again, because its stops
// are lost while renewals of the lease get through.
func TestRunsEndWithoutStops(t *testing.T) {
	t.Parallel()
	playScenarios(t, scenarioDuration, "caller-leaves", "handed-over-caller-leaves", "caller-leaves-connections-silent")
}
