package demo

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// chaosDuration is how long failures are injected with each seed.
const chaosDuration = 15 * time.Second

// configurationLogLines returns the log lines of a run about process starts, stalls and the
// configuration, which are needed to trace a breach of a configuration rule.
func configurationLogLines(logs string) string {
	files, err := filepath.Glob(filepath.Join(logs, "*.log"))
	Expect(err).NotTo(HaveOccurred())
	var lines strings.Builder
	for _, file := range files {
		text, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		for line := range strings.Lines(string(text)) {
			if strings.Contains(line, `"msg":"config_`) || strings.Contains(line, `"msg":"process_`) {
				fmt.Fprintf(&lines, "%s %s", filepath.Base(file), line)
			}
		}
	}
	return lines.String()
}

var _ = Describe("a fleet of real processes", func() {
	buildPrograms := func() string {
		bin := GinkgoT().TempDir()
		out, err := exec.Command("go", "build", "-o", bin+"/", "../../apps/...").CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(out))
		return bin
	}

	// Guards against invariants that hold only while all processes run. Entries, agents, targets
	// and the log fail at random, drawn from the seed, and at times all processes are paused.
	It("keeps its promises through failures and standstills", func(ctx context.Context) {
		bin := buildPrograms()
		seeds := []uint64{
			11, // found a job without an answer, and a restarted entry with an older configuration than before
			23, // found a restarted entry with an older configuration than before
		}
		for _, seed := range seeds {
			var out bytes.Buffer
			logs := GinkgoT().TempDir()
			err := Run(ctx, Options{BinDir: bin, LogDir: logs, Duration: chaosDuration, Load: 0.5, Seed: seed, Chaos: true, Out: &out})
			Expect(err).NotTo(HaveOccurred(), func() string { return fmt.Sprintf("seed %d\n%s%s", seed, &out, configurationLogLines(logs)) })
		}
	})
})
