package localfleet

import (
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/standin/crowd"
	"github.com/camphorrack/camphorrack/internal/targetapi"
)

// entryMemoryMB is the memory that a daemon may use.
const entryMemoryMB = 128

// clientsFleet is an entry with one target, and the expectations of a test.
type clientsFleet struct {
	*WithT
	*Fleet
	entry, agent *Process
}

func startClientsFleet(t *testing.T, flags ...string) *clientsFleet {
	g := NewWithT(t)
	bin := t.TempDir()
	out, err := exec.Command("go", "build", "-o", bin+"/", "../../apps/camphorrack-entry", "../../apps/camphorrack-agent", "../../apps/camphorrack-standin-target").CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(out))
	f := &clientsFleet{WithT: g, Fleet: New(Options{BinDir: bin, Key: "a key of sixteen bytes and more"})}
	t.Cleanup(func() { f.Close() })
	ctx := context.Background()
	f.entry, err = f.StartEntry(ctx, "entry", "", nil, flags...)
	g.Expect(err).NotTo(HaveOccurred())
	f.agent, err = f.StartAgent(ctx, "worker", "", []string{f.entry.Addr})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = f.StartTarget(ctx, TargetOptions{Name: "target", Agent: f.agent.Addr, Slots: 4, Speed: 1})
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(f.freshJob, "20s", "50ms").Should(Equal(http.StatusOK))
	return f
}

// freshJob submits a job on a connection of its own and returns the status of the answer; 0: none.
func (f *clientsFleet) freshJob() int {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}
	payload := base64.StdEncoding.EncodeToString([]byte(`{"run_ms":20}`))
	response, err := client.Post("http://"+f.entry.Addr+"/v1/jobs", "application/json",
		strings.NewReader(`{"team":"t","class":"c","tasks":[{"payload":"`+payload+`"}]}`))
	if err != nil {
		return 0
	}
	_ = response.Body.Close() // only the status is of interest
	return response.StatusCode
}

// expectOrdinaryService expects that the entry lives, has stayed within its memory and answers a job.
func (f *clientsFleet) expectOrdinaryService() {
	time.Sleep(time.Second) // the crowd stays
	f.Expect(f.entry.Crashed()).To(BeFalse())
	f.Eventually(f.freshJob, "40s", "100ms").Should(Equal(http.StatusOK))
	peak, err := crowd.PeakMemoryMB(f.entry.PID())
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(peak).To(BeNumerically("<=", entryMemoryMB), "resident memory in MB at its peak")
}

// withhold sends a submission that lacks the end of its body.
func withhold(body string, withheld int) func(int, io.Writer) error {
	r := crowd.Request{Method: http.MethodPost, Path: "/v1/jobs", Host: "entry", Body: body, Withheld: withheld}
	return func(_ int, w io.Writer) error { return r.Send(w) }
}

// Guards against bodies of the largest legal size that fill the memory of an entry, as they stop short of
// their end.
func TestCrowdWithBodiesThatStopShort(t *testing.T) {
	f := startClientsFleet(t)
	open := crowd.Open(f.entry.Addr, 60, withhold(crowd.Filler(job.MaxBodyBytes), 1))
	defer open.Close()
	f.expectOrdinaryService()
}

// Guards against legal bodies that decode to many times their size.
func TestCrowdWithBodiesThatDecodeToMuch(t *testing.T) {
	for name, body := range map[string]string{
		"small tasks": `{"team":"t","class":"c","tasks":[` + strings.Repeat(`{},`, job.MaxBodyBytes/3-100) + `{}]}`,
		"ids":         `{"ids":[` + strings.Repeat(`"",`, job.MaxBodyBytes/3-100) + `""]}`,
	} {
		t.Run(name, func(t *testing.T) {
			f := startClientsFleet(t)
			path := "/v1/jobs"
			if name == "ids" {
				path = "/v1/cancel"
			}
			r := crowd.Request{Method: http.MethodPost, Path: path, Host: "entry", Body: body}
			open := crowd.Open(f.entry.Addr, 12, func(_ int, w io.Writer) error { return r.Send(w) })
			defer open.Close()
			f.expectOrdinaryService()
		})
	}
}

// Guards against clients that take all descriptors of an entry with a byte of their body.
func TestCrowdOnAllDescriptors(t *testing.T) {
	const connections = 200
	f := startClientsFleet(t, fmt.Sprintf("-max-connections=%d", connections))
	open := crowd.Open(f.entry.Addr, 2*connections, withhold(crowd.Filler(1000), 999))
	defer open.Close()
	f.expectOrdinaryService()
	descriptors, err := crowd.Descriptors(f.entry.PID())
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(descriptors).To(BeNumerically("<=", connections+50), "with those of sessions and files")
}

// Guards against an answer that waits for a body which is not needed for it.
func TestCrowdIsRefusedBeforeItsBodies(t *testing.T) {
	f := startClientsFleet(t)
	for path, status := range map[string]int{"/nowhere": http.StatusNotFound, "/v1/jobs?other=1": http.StatusBadRequest, "/v1/token": http.StatusNotFound} {
		const clients = 20
		r := crowd.Request{Method: http.MethodPost, Path: path, Host: "entry", Body: crowd.Filler(100 << 10), Withheld: 1}
		open := crowd.Open(f.entry.Addr, clients, func(_ int, w io.Writer) error { return r.Send(w) })
		f.Expect(open.ReadStatuses(20*time.Second)).To(Equal(map[int]int{status: clients}), path)
		open.Close()
	}
	f.expectOrdinaryService()
}

// Guards against clients that stop short of the end of a body and use up the timeout of a drain.
func TestCrowdInADrain(t *testing.T) {
	f := startClientsFleet(t, "-drain-timeout=8s")
	open := crowd.Open(f.entry.Addr, 20, withhold(crowd.Filler(100<<10), 1))
	defer open.Close()
	f.Expect(f.entry.Signal(syscall.SIGTERM)).To(Succeed())
	f.Eventually(f.entry.Exited, "20s").Should(BeTrue())
	f.Expect(f.entry.LogTail()).To(ContainElement(MatchRegexp(`"process_stopped".*"clean":true`)))
}

// Guards against the same at an agent, whose drain then ends as failed.
func TestCrowdInADrainOfAnAgent(t *testing.T) {
	f := startClientsFleet(t)
	r := crowd.Request{Method: http.MethodPost, Path: targetapi.AnnouncePath, Host: "agent", Body: crowd.Filler(1000), Withheld: 1}
	open := crowd.Open(f.agent.Addr, 20, func(_ int, w io.Writer) error { return r.Send(w) })
	defer open.Close()
	time.Sleep(time.Second) // the bodies have arrived
	f.Expect(f.agent.Signal(syscall.SIGTERM)).To(Succeed())
	f.Eventually(f.agent.Exited, "20s").Should(BeTrue())
	f.Expect(f.agent.LogTail()).To(ContainElement(MatchRegexp(`"process_stopped".*"clean":true`)))
}
