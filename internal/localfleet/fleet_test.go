package localfleet

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// daemonModeEnv is the environment variable that selects how this test program behaves when it is
// started as a daemon.
const daemonModeEnv = "LOCALFLEET_TEST_DAEMON"

func TestMain(m *testing.M) {
	switch os.Getenv(daemonModeEnv) {
	case "":
		os.Exit(m.Run())
	case "serve":
		terminated := make(chan os.Signal, 1)
		signal.Notify(terminated, syscall.SIGTERM)
		fmt.Fprintln(os.Stderr, "a line that is no JSON")
		fmt.Fprintln(os.Stderr, `{"msg":"process_started","event":101,"addr":"127.0.0.1:4711"}`)
		<-terminated
	case "fail":
		fmt.Fprintln(os.Stderr, "601 bad_setting key: too short")
		os.Exit(2)
	}
}

func TestLocalFleet(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "localfleet")
}

// newFleet returns a fleet whose entry program is this test program, in the given daemon mode.
func newFleet(daemon string) *Fleet {
	GinkgoT().Setenv(daemonModeEnv, daemon)
	self, err := os.Executable()
	Expect(err).NotTo(HaveOccurred())
	bin := GinkgoT().TempDir()
	Expect(os.Symlink(self, filepath.Join(bin, entryProgram))).To(Succeed())
	f := New(Options{BinDir: bin})
	DeferCleanup(f.Close)
	return f
}

var _ = Describe("a local fleet", func() {
	It("reads the address of a process from its log and stops it by its id", func(ctx context.Context) {
		f := newFleet("serve")
		p, err := f.StartEntry(ctx, "entry-1", "", nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Addr).To(Equal("127.0.0.1:4711"))
		Expect(f.Close()).To(BeEmpty())
		Expect(f.Crashed()).To(BeEmpty())
		Expect(syscall.Kill(p.PID(), 0)).To(MatchError(syscall.ESRCH))
	})

	// A daemon that rejects a setting exits at once. Waiting until the start timeout would hide
	// the daemon's own error message.
	It("reports at once why a process did not start", func(ctx context.Context) {
		_, err := newFleet("fail").StartEntry(ctx, "entry-1", "", nil)
		var start *StartError
		Expect(errors.As(err, &start)).To(BeTrue())
		Expect(err).To(MatchError(errExited))
		Expect(start.LogTail).To(ContainElement(ContainSubstring("bad_setting")))
	})

	// After a crash in the middle of a run, other daemons take over the work and the results may
	// look correct. The crash itself must still fail the run.
	It("reports a process that exited without a stop request", func(ctx context.Context) {
		f := newFleet("serve")
		p, err := f.StartEntry(ctx, "entry-1", "", nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(syscall.Kill(p.PID(), syscall.SIGKILL)).To(Succeed())
		Eventually(p.exited).Should(BeClosed())
		Expect(f.Crashed()).To(ConsistOf(p))
	})
})
