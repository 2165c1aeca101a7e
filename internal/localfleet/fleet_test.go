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

// behaviour selects, in the environment, what this test program does when it is
// started as a daemon.
const behaviour = "LOCALFLEET_TEST_DAEMON"

func TestMain(m *testing.M) {
	switch os.Getenv(behaviour) {
	case "":
		os.Exit(m.Run())
	case "serve":
		ended := make(chan os.Signal, 1)
		signal.Notify(ended, syscall.SIGTERM)
		fmt.Fprintln(os.Stderr, "a line that is no JSON")
		fmt.Fprintln(os.Stderr, `{"msg":"process_started","event":101,"addr":"127.0.0.1:4711"}`)
		<-ended
	case "fail":
		fmt.Fprintln(os.Stderr, "601 bad_setting key: too short")
		os.Exit(2)
	}
}

func TestLocalFleet(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "localfleet")
}

// newFleet returns a fleet whose entries are this test program.
func newFleet(daemon string) *Fleet {
	GinkgoT().Setenv(behaviour, daemon)
	self, err := os.Executable()
	Expect(err).NotTo(HaveOccurred())
	bin := GinkgoT().TempDir()
	Expect(os.Symlink(self, filepath.Join(bin, entryProgram))).To(Succeed())
	f := New(Options{BinDir: bin})
	DeferCleanup(f.Close)
	return f
}

var _ = Describe("a local fleet", func() {
	It("learns where a process serves and stops it by its id", func(ctx context.Context) {
		f := newFleet("serve")
		p, err := f.StartEntry(ctx, "entry-1", "", nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Addr).To(Equal("127.0.0.1:4711"))
		Expect(f.Close()).To(BeEmpty())
		Expect(f.Crashed()).To(BeEmpty())
		Expect(syscall.Kill(p.PID(), 0)).To(MatchError(syscall.ESRCH))
	})

	// A daemon refuses a setting of the demonstration. Waiting for it to serve
	// until the time is up would hide the daemon's own words about why.
	It("tells at once why a process did not come up", func(ctx context.Context) {
		_, err := newFleet("fail").StartEntry(ctx, "entry-1", "", nil)
		var start *StartError
		Expect(errors.As(err, &start)).To(BeTrue())
		Expect(err).To(MatchError(errEnded))
		Expect(start.LogTail).To(ContainElement(ContainSubstring("bad_setting")))
	})

	// A daemon crashes in the middle of a run. Its work is answered by others, so
	// the figures may look whole; the crash itself must still fail the run.
	It("notices a process that ended although nobody asked it to", func(ctx context.Context) {
		f := newFleet("serve")
		p, err := f.StartEntry(ctx, "entry-1", "", nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(syscall.Kill(p.PID(), syscall.SIGKILL)).To(Succeed())
		Eventually(p.ended).Should(BeClosed())
		Expect(f.Crashed()).To(ConsistOf(p))
	})
})
