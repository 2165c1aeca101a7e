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

// buildDaemons builds the programs that the test runs and returns their folder.
func buildDaemons() string {
	bin := GinkgoT().TempDir()
	out, err := exec.Command("go", "build", "-o", bin+"/", "../../apps/camphorrack-entry", "../../apps/camphorrack-agent", "../../apps/camphorrack-standin-log", "../../apps/camphorrack-standin-target").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
	return bin
}

// fleetWithLog returns a fleet in which the stand-in for the platform's log runs. It is
// closed at the end of the spec.
func fleetWithLog(ctx context.Context, flags ...string) (f *localfleet.Fleet, logURL string) {
	f = localfleet.New(localfleet.Options{BinDir: buildDaemons(), Key: "a key that only this test knows"})
	DeferCleanup(f.Close)
	DeferCleanup(reportLogTails, f) // before the fleet is closed
	DeferCleanup(reportTCPLosses, tcpCounters())
	reportOwnStalls(ctx)
	log, err := f.StartLog(ctx, flags...)
	Expect(err).NotTo(HaveOccurred())
	return f, "http://" + log.Addr
}

// stallReportDelay is how long a process that stalled may take to resume and log the stall.
const stallReportDelay = 2 * time.Second

// reportOwnStalls adds stalls of this process to the report: a call that timed out during
// one was not delayed by the daemon.
func reportOwnStalls(ctx context.Context) {
	stall := clock.NewStallDetector(clock.StallThreshold)
	go func() {
		for ctx.Err() == nil {
			clock.Sleep(ctx, clock.StallThreshold/8)
			if gap := stall.Check(); gap > 0 {
				AddReportEntry("the test process stalled", gap.String(), ReportEntryVisibilityFailureOrVerbose)
			}
		}
	}()
}

// tcpLossCounters are the host's TCP counters of lost segments and rejected connections.
var tcpLossCounters = []string{"RetransSegs", "TCPTimeouts", "TCPSynRetrans", "ListenOverflows", "ListenDrops", "TCPBacklogDrop"}

// tcpCounters returns the host's TCP counters by name.
func tcpCounters() map[string]int64 {
	counters := map[string]int64{}
	for _, file := range []string{"/proc/net/snmp", "/proc/net/netstat"} {
		text, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		lines := strings.Split(string(text), "\n")
		for i := 0; i+1 < len(lines); i += 2 { // a line of names is followed by one of values
			values := strings.Fields(lines[i+1])
			for j, name := range strings.Fields(lines[i]) {
				counters[name], _ = strconv.ParseInt(values[j], 10, 64) // the first field is the protocol's name
			}
		}
	}
	return counters
}

// reportTCPLosses adds the host's TCP losses during a failed spec to its report: a lost
// segment or connection request is sent again only after 0.2 to 1 s.
func reportTCPLosses(before map[string]int64) {
	if !CurrentSpecReport().Failed() {
		return
	}
	after := tcpCounters()
	for _, name := range tcpLossCounters {
		AddReportEntry(name, after[name]-before[name])
	}
}

// reportLogTails adds the last log lines of each process to the report of a failed spec.
func reportLogTails(f *localfleet.Fleet) {
	if !CurrentSpecReport().Failed() {
		return
	}
	time.Sleep(stallReportDelay)
	for _, p := range f.Processes() {
		AddReportEntry(p.Name, strings.Join(p.LogTail(), "\n"))
	}
}

// setLogMode sets the mode of the log's stand-in, such as rejecting all requests.
func setLogMode(logURL string, mode standin.StoreMode) {
	body, err := json.Marshal(standin.StoreControl{Mode: mode})
	Expect(err).NotTo(HaveOccurred())
	res, err := http.Post(logURL+"/control", "application/json", bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	Expect(res.Body.Close()).To(Succeed())
	Expect(res.StatusCode).To(Equal(http.StatusOK))
}

// streamBounds returns the lowest and the next offset of the configuration's stream.
func streamBounds(logURL string) standin.TopicBounds {
	res, err := http.Get(logURL + "/status")
	Expect(err).NotTo(HaveOccurred())
	defer res.Body.Close()
	var status standin.StoreStatus
	Expect(json.NewDecoder(res.Body).Decode(&status)).To(Succeed())
	return status.Topics[config.Stream]
}

// stateAt returns the configuration in force at a daemon.
func stateAt(p *localfleet.Process) *config.State {
	c, err := client.New(client.Options{Entries: []string{p.Addr}, CallTimeout: time.Second})
	Expect(err).NotTo(HaveOccurred())
	s, err := c.Config(context.Background())
	Expect(err).NotTo(HaveOccurred())
	return s
}

// submit submits a job of three tasks to an entry and returns the state in its answer.
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

// versionAt returns a function for Eventually that reads the version in force at a daemon.
func versionAt(p *localfleet.Process) func() uint64 {
	return func() uint64 { return stateAt(p).Version }
}

var _ = Describe("real processes", func() {
	const timeout = 60 * time.Second

	// twoEntriesWithAChange starts two entries, the second with the address of the first, and
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
			Eventually(versionAt(p)).WithTimeout(timeout).Should(Equal(published.Version))
		}
		return f, logURL, first, second, published.Version
	}

	// The platform's log is unavailable for longer than it keeps records and is empty when
	// it recovers. An entry is replaced meanwhile. If the fleet returned to its defaults,
	// drained targets would get work again and quotas would no longer apply. If no entry
	// wrote a snapshot of the state in force, operators could not change anything.
	It("keep the configuration through an outage in which the log drops all records", func(ctx context.Context) {
		f, logURL := fleetWithLog(ctx, "-retention", "3s")
		flags := []string{"-log", logURL, "-snapshot-every", "1s"}
		first, err := f.StartEntry(ctx, "entry-1", "", nil, flags...)
		Expect(err).NotTo(HaveOccurred())
		second, err := f.StartEntry(ctx, "entry-2", "", nil, flags...)
		Expect(err).NotTo(HaveOccurred())
		agent, err := f.StartAgent(ctx, "worker-1", "", []string{first.Addr, second.Addr})
		Expect(err).NotTo(HaveOccurred())

		_, err = f.StartTarget(ctx, localfleet.TargetOptions{Name: "t1", Agent: agent.Addr, Slots: 2, Speed: 1})
		Expect(err).NotTo(HaveOccurred())

		publisher := config.NewPublisher(store.New(logURL), 0)
		before, err := publisher.Publish(ctx, setQuota(0, "a", 7))
		Expect(err).NotTo(HaveOccurred())
		c, err := client.New(client.Options{Entries: []string{second.Addr}, CallTimeout: timeout})
		Expect(err).NotTo(HaveOccurred())
		refreshed, err := c.RefreshConfig(ctx, before.Version)
		Expect(err).NotTo(HaveOccurred())
		Expect(refreshed.Version).To(Equal(before.Version), "when the operator gets the reply")
		for _, p := range []*localfleet.Process{first, second, agent} {
			Eventually(versionAt(p)).WithTimeout(timeout).Should(Equal(before.Version))
		}

		// A record that no running process has read is lost with the log. So wait until
		// the entry that keeps running has read all of them.
		Eventually(func() bool {
			setLogMode(logURL, standin.StoreUnavailable)
			if stateAt(second).AsOf == streamBounds(logURL).EndOffset {
				return true
			}
			setLogMode(logURL, standin.StoreNormal)
			return false
		}).WithPolling(time.Second).WithTimeout(timeout).Should(BeTrue())
		_, err = publisher.Publish(ctx, setQuota(before.Version, "a", 8))
		Expect(codeOf(err)).To(Equal(fault.ConfigNotTaken))
		Eventually(func() bool { b := streamBounds(logURL); return b.FirstOffset == b.EndOffset }).WithTimeout(timeout).Should(BeTrue())
		first.Kill()
		first, err = f.StartEntry(ctx, "entry-1 again", first.Addr, nil, flags...)
		Expect(err).NotTo(HaveOccurred())
		Eventually(versionAt(first)).WithTimeout(timeout).Should(Equal(before.Version), "from its agents")

		Expect(submit(ctx, first.Addr)).To(Equal(job.Complete), "work goes on")
		Expect(submit(ctx, second.Addr)).To(Equal(job.Complete), "work goes on")

		setLogMode(logURL, standin.StoreNormal)
		var after *config.State
		Eventually(func() error {
			after, err = publisher.Publish(ctx, setQuota(before.Version, "a", 9))
			return err
		}).WithTimeout(timeout).Should(Succeed())
		for _, p := range []*localfleet.Process{first, second, agent} {
			Eventually(versionAt(p)).WithTimeout(timeout).Should(Equal(after.Version))
		}
	})

	// One entry reads a change just before the log becomes unavailable, and is killed. The
	// others have not read it. If it had not sent the change to one of them at once, its
	// successor would enforce the limit that an operator had just changed.
	It("send a change to another entry as soon as it is read from the log", func(ctx context.Context) {
		f, logURL := fleetWithLog(ctx)
		withoutLog, err := f.StartEntry(ctx, "entry-1", "", nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = f.StartEntry(ctx, "entry-2", "", []string{withoutLog.Addr}, "-log", logURL)
		Expect(err).NotTo(HaveOccurred())
		for base := range uint64(2) {
			published, err := config.NewPublisher(store.New(logURL), 0).Publish(ctx, setQuota(base, "a", 7))
			Expect(err).NotTo(HaveOccurred())
			Eventually(versionAt(withoutLog)).WithTimeout(timeout).Should(Equal(published.Version))
		}
	})

	// A change must not be lost with the one entry that read it, because that one was
	// started before the others and without their addresses.
	It("send a change to an entry whose address they were not given, as soon as it is read from the log", func(ctx context.Context) {
		f, logURL := fleetWithLog(ctx)
		first, err := f.StartEntry(ctx, "entry-1", "", nil, "-log", logURL)
		Expect(err).NotTo(HaveOccurred())
		withoutLog, err := f.StartEntry(ctx, "entry-2", "", []string{first.Addr})
		Expect(err).NotTo(HaveOccurred())
		published, err := config.NewPublisher(store.New(logURL), 0).Publish(ctx, setQuota(0, "a", 7))
		Expect(err).NotTo(HaveOccurred())
		const beforeOwnRequest = 20 * time.Second // the entry requests the configuration itself only later
		Eventually(versionAt(withoutLog)).WithTimeout(beforeOwnRequest).Should(Equal(published.Version))
	})

	// The log can't be read when an entry is replaced, and no agent has received the newest
	// change yet. Tasks would be placed again on a target that an operator has just drained,
	// and limits would differ from one call to the next.
	It("start with the newest configuration that another entry has", func(ctx context.Context) {
		f, logURL, first, second, published := twoEntriesWithAChange(ctx)
		setLogMode(logURL, standin.StoreUnavailable)
		second.Kill()
		second, err := f.StartEntry(ctx, "entry-2 again", second.Addr, []string{first.Addr}, "-log", logURL)
		Expect(err).NotTo(HaveOccurred())
		Expect(versionAt(second)()).To(Equal(published), "in the first answer")
	})

	// A restarted entry must not enforce an older configuration than its predecessor
	// because the entries that it requests it from are stalled for a moment.
	It("start with the newest configuration that another entry has, while that one is stalled", func(ctx context.Context) {
		f, logURL, first, second, published := twoEntriesWithAChange(ctx)
		setLogMode(logURL, standin.StoreUnavailable)
		second.Kill()
		first.Pause()
		time.AfterFunc(2*time.Second, first.Resume)
		second, err := f.StartEntry(ctx, "entry-2 again", second.Addr, []string{first.Addr}, "-log", logURL)
		Expect(err).NotTo(HaveOccurred())
		Expect(versionAt(second)()).To(Equal(published), "in the first answer")
	})
})
