package demo

import (
	"bytes"
	"context"
	"os/exec"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// chaosDuration is for how long each seed's failures go on.
const chaosDuration = 15 * time.Second

var _ = Describe("a fleet of real processes", func() {
	buildPrograms := func() string {
		bin := GinkgoT().TempDir()
		out, err := exec.Command("go", "build", "-o", bin+"/", "../../apps/...").CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(out))
		return bin
	}

	// Guards against promises that hold only while processes move: entries, agents, targets
	// and the log fail by the seed, and now and then all of them stand still.
	It("keeps its promises through failures and standstills", func(ctx context.Context) {
		bin := buildPrograms()
		seeds := []uint64{
			11, // a caller's job without an answer; a restarted entry behind its predecessor
			23, // a restarted entry behind its predecessor
		}
		for _, seed := range seeds {
			var out bytes.Buffer
			err := Run(ctx, Options{Bin: bin, Duration: chaosDuration, Load: 0.5, Seed: seed, Chaos: true, Out: &out})
			Expect(err).NotTo(HaveOccurred(), "seed %d\n%s", seed, out.String())
		}
	})
})
