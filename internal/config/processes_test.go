package config_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/client"
	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/config"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/localfleet"
	"github.com/camphorrack/camphorrack/platform/standin"
	"github.com/camphorrack/camphorrack/platform/store"
)

// buildDaemons builds the programs that the test runs as processes.
func buildDaemons() string {
	bin := GinkgoT().TempDir()
	out, err := exec.Command("go", "build", "-o", bin+"/", "../../apps/camphorrack-entry", "../../apps/camphorrack-agent", "../../apps/camphorrack-standin-log", "../../apps/camphorrack-standin-target").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
	return bin
}

// fleetWithLog starts the stand-in of the log in a fleet that ends with the test.
func fleetWithLog(ctx context.Context, flags ...string) (f *localfleet.Fleet, logURL string) {
	f = localfleet.New(localfleet.Options{BinDir: buildDaemons(), Key: "a key that only this test knows"})
	DeferCleanup(f.Close)
	DeferCleanup(showTails, f) // before the fleet is closed
	DeferCleanup(showLosses, tcpCounters())
	watchOwnStalls(ctx)
	log, err := f.StartLog(ctx, flags...)
	Expect(err).NotTo(HaveOccurred())
	return f, "http://" + log.Addr
}

// stallReport is how long a process that stood still may take to go on and say so.
const stallReport = 2 * time.Second

// watchOwnStalls adds to the report when this process stood still: a call that it gave
// up then was not late for the daemon's sake.
func watchOwnStalls(ctx context.Context) {
	stall := clock.NewStallDetector(clock.StallThreshold)
	go func() {
		for ctx.Err() == nil {
			clock.Sleep(ctx, clock.StallThreshold/8)
			if gap := stall.Check(); gap > 0 {
				AddReportEntry("the test stood still", gap.String(), ReportEntryVisibilityFailureOrVerbose)
			}
		}
	}()
}

// lossCounters are the host's counters of what TCP lost or could not take in.
var lossCounters = []string{"RetransSegs", "TCPTimeouts", "TCPSynRetrans", "ListenOverflows", "ListenDrops", "TCPBacklogDrop"}

// tcpCounters reads the host's counters of TCP by name.
func tcpCounters() map[string]int64 {
	counters := map[string]int64{}
	for _, file := range []string{"/proc/net/snmp", "/proc/net/netstat"} {
		text, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		lines := strings.Split(string(text), "\n")
		for i := 0; i+1 < len(lines); i += 2 { // names, then values
			values := strings.Fields(lines[i+1])
			for j, name := range strings.Fields(lines[i]) {
				counters[name], _ = strconv.ParseInt(values[j], 10, 64) // the first is the protocol's name
			}
		}
	}
	return counters
}

// showLosses adds to the report of a test that failed what TCP lost on the host meanwhile:
// a lost segment or connection request is sent again after 0.2 to 1 s.
func showLosses(before map[string]int64) {
	if !CurrentSpecReport().Failed() {
		return
	}
	after := tcpCounters()
	for _, name := range lossCounters {
		AddReportEntry(name, after[name]-before[name])
	}
}

// showTails adds the last log lines of each process to the report of a test that failed.
func showTails(f *localfleet.Fleet) {
	if !CurrentSpecReport().Failed() {
		return
	}
	time.Sleep(stallReport)
	for _, p := range f.Processes() {
		AddReportEntry(p.Name, strings.Join(p.LogTail(), "\n"))
	}
}

func control(logURL string, mode standin.StoreMode) {
	body, err := json.Marshal(standin.StoreControl{Mode: mode})
	Expect(err).NotTo(HaveOccurred())
	res, err := http.Post(logURL+"/control", "application/json", bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	Expect(res.Body.Close()).To(Succeed())
	Expect(res.StatusCode).To(Equal(http.StatusOK))
}

func boundsOf(logURL string) standin.TopicBounds {
	res, err := http.Get(logURL + "/status")
	Expect(err).NotTo(HaveOccurred())
	defer res.Body.Close()
	var status standin.StoreStatus
	Expect(json.NewDecoder(res.Body).Decode(&status)).To(Succeed())
	return status.Topics[config.Stream]
}

func stateAt(p *localfleet.Process) *config.State {
	c, err := client.New(client.Options{Entries: []string{p.Addr}, CallTimeout: time.Second})
	Expect(err).NotTo(HaveOccurred())
	s, err := c.Config(context.Background())
	Expect(err).NotTo(HaveOccurred())
	return s
}

// submit has a job of a few tasks done and returns how it ended.
func submit(ctx context.Context, entry string) job.State {
	c, err := client.New(client.Options{Entries: []string{entry}, CallTimeout: time.Second})
	Expect(err).NotTo(HaveOccurred())
	token, err := c.Token(ctx)
	Expect(err).NotTo(HaveOccurred())
	id := fmt.Sprintf("%s-%d-%s", token, time.Now().Add(20*time.Second).UnixMilli(), config.NewChangeID())
	task := job.Task{Payload: []byte(`{"run_ms":20,"echo":"x"}`)}
	answer, err := c.Submit(ctx, id, &job.Submission{Team: "a", Class: "any", Tasks: []job.Task{task, task, task}})
	Expect(err).NotTo(HaveOccurred())
	return answer.State
}

func versionAt(p *localfleet.Process) func() uint64 {
	return func() uint64 { return stateAt(p).Version }
}

var _ = Describe("real processes", func() {
	const patience = 60 * time.Second

	// twoEntriesWithAChange starts two entries, of which the second names the first, and
	// waits until a change is in force on both.
	twoEntriesWithAChange := func(ctx context.Context) (f *localfleet.Fleet, logURL string, first, second *localfleet.Process, version uint64) {
		f, logURL = fleetWithLog(ctx)
		first, err := f.StartEntry(ctx, "entry-1", "", nil, "-log", logURL)
		Expect(err).NotTo(HaveOccurred())
		second, err = f.StartEntry(ctx, "entry-2", "", []string{first.Addr}, "-log", logURL)
		Expect(err).NotTo(HaveOccurred())
		published, err := config.NewPublisher(store.New(logURL), 0).Publish(ctx, setQuota(0, "a", 7))
		Expect(err).NotTo(HaveOccurred())
		for _, p := range []*localfleet.Process{first, second} {
			Eventually(versionAt(p)).WithTimeout(patience).Should(Equal(published.Version))
		}
		return f, logURL, first, second, published.Version
	}

	// The platform's log is down for longer than it keeps records, and when it is
	// back it is empty. An entry is replaced meanwhile. If the fleet fell back to
	// its defaults, drained targets would get work again and quotas would be gone;
	// if nobody wrote down what is in force, operators could change nothing.
	It("keep the configuration through an outage that outlives the log's records", func(ctx context.Context) {
		f, logURL := fleetWithLog(ctx, "-retention", "3s")
		follow := []string{"-log", logURL, "-snapshot-every", "1s"}
		first, err := f.StartEntry(ctx, "entry-1", "", nil, follow...)
		Expect(err).NotTo(HaveOccurred())
		second, err := f.StartEntry(ctx, "entry-2", "", nil, follow...)
		Expect(err).NotTo(HaveOccurred())
		agent, err := f.StartAgent(ctx, "worker-1", "", []string{first.Addr, second.Addr})
		Expect(err).NotTo(HaveOccurred())

		_, err = f.StartTarget(ctx, localfleet.TargetOptions{Name: "t1", Agent: agent.Addr, Slots: 2, Speed: 1})
		Expect(err).NotTo(HaveOccurred())

		ops := config.NewPublisher(store.New(logURL), 0)
		before, err := ops.Publish(ctx, setQuota(0, "a", 7))
		Expect(err).NotTo(HaveOccurred())
		c, err := client.New(client.Options{Entries: []string{second.Addr}, CallTimeout: patience})
		Expect(err).NotTo(HaveOccurred())
		told, err := c.RefreshConfig(ctx, before.Version)
		Expect(err).NotTo(HaveOccurred())
		Expect(told.Version).To(Equal(before.Version), "by the time the operator is told")
		for _, p := range []*localfleet.Process{first, second, agent} {
			Eventually(versionAt(p)).WithTimeout(patience).Should(Equal(before.Version))
		}

		// A record that no living process has read is lost with the log. Here the
		// entry that lives on has read all of them.
		Eventually(func() bool {
			control(logURL, standin.StoreUnavailable)
			if stateAt(second).AsOf == boundsOf(logURL).EndOffset {
				return true
			}
			control(logURL, standin.StoreNormal)
			return false
		}).WithPolling(time.Second).WithTimeout(patience).Should(BeTrue())
		_, err = ops.Publish(ctx, setQuota(before.Version, "a", 8))
		Expect(codeOf(err)).To(Equal(fault.ConfigNotTaken))
		Eventually(func() bool { b := boundsOf(logURL); return b.FirstOffset == b.EndOffset }).WithTimeout(patience).Should(BeTrue())
		first.Kill()
		first, err = f.StartEntry(ctx, "entry-1 again", first.Addr, nil, follow...)
		Expect(err).NotTo(HaveOccurred())
		Eventually(versionAt(first)).WithTimeout(patience).Should(Equal(before.Version), "from its agents")

		Expect(submit(ctx, first.Addr)).To(Equal(job.Complete), "work goes on")
		Expect(submit(ctx, second.Addr)).To(Equal(job.Complete), "work goes on")

		control(logURL, standin.StoreNormal)
		var after *config.State
		Eventually(func() error {
			after, err = ops.Publish(ctx, setQuota(before.Version, "a", 9))
			return err
		}).WithTimeout(patience).Should(Succeed())
		for _, p := range []*localfleet.Process{first, second, agent} {
			Eventually(versionAt(p)).WithTimeout(patience).Should(Equal(after.Version))
		}
	})

	// One entry reads a change just before the log goes down, and is killed. The others
	// had not read it: were it not told to one of them at once, its successor would
	// enforce the limit that an operator had just changed.
	It("tell another entry of a change as soon as the log brings it", func(ctx context.Context) {
		f, logURL := fleetWithLog(ctx)
		without, err := f.StartEntry(ctx, "entry-1", "", nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = f.StartEntry(ctx, "entry-2", "", []string{without.Addr}, "-log", logURL)
		Expect(err).NotTo(HaveOccurred())
		for base := range uint64(2) {
			published, err := config.NewPublisher(store.New(logURL), 0).Publish(ctx, setQuota(base, "a", 7))
			Expect(err).NotTo(HaveOccurred())
			Eventually(versionAt(without)).WithTimeout(patience).Should(Equal(published.Version))
		}
	})

	// Guards against a change that is lost with the one entry that read it, because that
	// one was started before the others and names none of them.
	It("tell an entry that they don't name of a change as soon as the log brings it", func(ctx context.Context) {
		f, logURL := fleetWithLog(ctx)
		first, err := f.StartEntry(ctx, "entry-1", "", nil, "-log", logURL)
		Expect(err).NotTo(HaveOccurred())
		without, err := f.StartEntry(ctx, "entry-2", "", []string{first.Addr})
		Expect(err).NotTo(HaveOccurred())
		published, err := config.NewPublisher(store.New(logURL), 0).Publish(ctx, setQuota(0, "a", 7))
		Expect(err).NotTo(HaveOccurred())
		const beforeItAsksItself = 20 * time.Second
		Eventually(versionAt(without)).WithTimeout(beforeItAsksItself).Should(Equal(published.Version))
	})

	// The log can't be read when an entry is replaced, and no agent has heard of the
	// newest change yet. A task of a target that an operator had just drained would be
	// placed there again: callers would see the limit come and go.
	It("start with the newest configuration that another entry has", func(ctx context.Context) {
		f, logURL, first, second, published := twoEntriesWithAChange(ctx)
		control(logURL, standin.StoreUnavailable)
		second.Kill()
		second, err := f.StartEntry(ctx, "entry-2 again", second.Addr, []string{first.Addr}, "-log", logURL)
		Expect(err).NotTo(HaveOccurred())
		Expect(versionAt(second)()).To(Equal(published), "in the first answer")
	})

	// Guards against a restarted entry that enforces an older configuration than its
	// predecessor did, because those that it asked stood still for a moment.
	It("start with the newest configuration that another entry has, which stands still", func(ctx context.Context) {
		f, logURL, first, second, published := twoEntriesWithAChange(ctx)
		control(logURL, standin.StoreUnavailable)
		second.Kill()
		first.Pause()
		time.AfterFunc(2*time.Second, first.Resume)
		second, err := f.StartEntry(ctx, "entry-2 again", second.Addr, []string{first.Addr}, "-log", logURL)
		Expect(err).NotTo(HaveOccurred())
		Expect(versionAt(second)()).To(Equal(published), "in the first answer")
	})
})
