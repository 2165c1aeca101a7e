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

// chaosDuration is for how long each seed's failures go on.
const chaosDuration = 15 * time.Second

// beliefs returns what the logs of a run tell of its processes' starts, standstills and
// configuration: enough to trace a breach of a configuration's rule.
func beliefs(logs string) string {
	files, err := filepath.Glob(filepath.Join(logs, "*.log"))
	Expect(err).NotTo(HaveOccurred())
	var told strings.Builder
	for _, file := range files {
		text, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		for line := range strings.Lines(string(text)) {
			if strings.Contains(line, `"msg":"config_`) || strings.Contains(line, `"msg":"process_`) {
				fmt.Fprintf(&told, "%s %s", filepath.Base(file), line)
			}
		}
	}
	return told.String()
}

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
			logs := GinkgoT().TempDir()
			err := Run(ctx, Options{BinDir: bin, LogDir: logs, Duration: chaosDuration, Load: 0.5, Seed: seed, Chaos: true, Out: &out})
			Expect(err).NotTo(HaveOccurred(), func() string { return fmt.Sprintf("seed %d\n%s%s", seed, &out, beliefs(logs)) })
		}
	})
})
