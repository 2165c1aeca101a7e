package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/agent"
	"github.com/camphorrack/camphorrack/internal/client"
	"github.com/camphorrack/camphorrack/internal/entry"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/standin/relay"
	"github.com/camphorrack/camphorrack/internal/standin/target"
)

// startBehindRelay runs an entry that all others reach through a relay.
func startBehindRelay() *relay.Relay {
	r, err := relay.New()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(r.Close)
	e := startEntry(GinkgoT(), func(o *entry.Options) { o.Advertise = r.Addr() })
	r.SetTarget(e.Addr())
	return r
}

// startWorker runs an agent and its target, and returns the target's address.
func startWorker(name string, entries ...string) string {
	a, err := agent.New(agent.Options{Listen: "127.0.0.1:0", Worker: name, Entries: strings.Join(entries, ","),
		MaxEntries: 8, Policy: "grants", DrainTimeout: time.Second}, logr.Discard())
	Expect(err).NotTo(HaveOccurred())
	a.Start()
	t, err := target.New(target.Options{Listen: "127.0.0.1:0", Agent: a.Addr(), Name: "target-of-" + name, Slots: 8,
		Speed: 1, Connections: 64, CPUMilli: 1000, MemoryMB: 1000}, logr.Discard())
	Expect(err).NotTo(HaveOccurred())
	t.Start()
	DeferCleanup(func() {
		expired, cancel := context.WithCancel(context.Background())
		cancel()
		_ = t.Stop(expired)
		_ = a.Stop(expired)
	})
	return t.Addr()
}

// addStarts adds a target's counts of starts to sum, by "job/task".
func addStarts(addr string, sum map[string]int) {
	GinkgoHelper()
	var body struct{ Counts map[string]int }
	raw := call(http.MethodGet, addr, "/starts", nil).raw
	Expect(json.Unmarshal([]byte(raw), &body)).To(Succeed())
	for task, n := range body.Counts {
		sum[task] += n
	}
}

var _ = Describe("the network between all processes", func() {
	// Network devices drop the state of connections repeatedly, in one direction or both,
	// while callers resubmit through whichever entry answers. No process ends, so every job
	// must complete for every caller, with each task run once; a caller may only see a delay.
	It("may drop connections at any time without a task lost or run twice", func(ctx context.Context) {
		relays := []*relay.Relay{startBehindRelay(), startBehindRelay()}
		addrs := []string{relays[0].Addr(), relays[1].Addr()}
		targets := []string{startWorker("one", addrs...), startWorker("two", addrs...)}
		for _, addr := range addrs {
			Eventually(func() int { return strings.Count(call(http.MethodGet, addr, "/v1/targets", nil).raw, `"down":false`) }, "10s").
				Should(Equal(2))
		}
		random := rand.New(rand.NewPCG(20261202, 3))
		tokens := []string{tokenOf(addrs[0]), tokenOf(addrs[1])}

		var callers sync.WaitGroup
		answers := make(chan *job.Answer, 200)
		for i := range 60 {
			s := &job.Submission{Team: "team", Class: "class", Tasks: make([]job.Task, 1+random.IntN(8))}
			for t := range s.Tasks {
				run := 20 + random.IntN(200)
				s.Tasks[t] = job.Task{Payload: fmt.Appendf(nil, `{"run_ms":%d,"echo":"%d/%d"}`, run, i, t), EstimateMs: int64(run)}
			}
			id := client.NewID(tokens[random.IntN(2)], time.Now().Add(30*time.Second), fmt.Sprint("job", i))
			for _, order := range [][]string{{addrs[0], addrs[1]}, {addrs[1], addrs[0]}} {
				callers.Go(func() { answers <- submitThrough(ctx, order, id, s) })
			}
			relays[random.IntN(2)].BlackholeOpen(random.IntN(3) > 0, random.IntN(3) > 0)
			time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
		}
		callers.Wait()
		close(answers)
		for a := range answers {
			Expect(a.State).To(Equal(job.Complete), "%s %v", a.ID, a.Failure)
			for t, result := range a.Results {
				number := a.ID[strings.LastIndex(a.ID, "job")+len("job"):]
				Expect(string(result)).To(Equal(fmt.Sprintf("%s/%d", number, t)))
			}
		}
		httpClient.CloseIdleConnections() // the cuts affect these too
		var failedCalls, silentConns int
		for _, addr := range addrs {
			var metrics struct {
				Lost   struct{ Count int } `json:"forward.lost"`
				Silent struct{ Value int } `json:"sessions.closed_silent"`
			}
			Expect(json.Unmarshal([]byte(call(http.MethodGet, addr, "/metrics", nil).raw), &metrics)).To(Succeed())
			failedCalls += metrics.Lost.Count
			silentConns += metrics.Silent.Value
		}
		Expect([]int{failedCalls, silentConns}).To(HaveEach(BeNumerically(">", 0)), "the cuts must affect connections in use")
		GinkgoWriter.Println("failed calls between entries:", failedCalls, "connections that entries closed as silent:", silentConns)
		counts := map[string]int{}
		for _, addr := range targets {
			addStarts(addr, counts)
		}
		Expect(counts).To(HaveEach(1))
		Expect(len(counts)).To(BeNumerically(">=", 60))
	}, NodeTimeout(2*time.Minute))
})

func submitThrough(ctx context.Context, addrs []string, id string, s *job.Submission) *job.Answer {
	defer GinkgoRecover()
	c, err := client.New(client.Options{Entries: addrs, CallTimeout: 2 * time.Second, LongPollTimeout: 500 * time.Millisecond})
	Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	answer, err := c.Submit(ctx, id, s)
	Expect(err).NotTo(HaveOccurred())
	return answer
}
