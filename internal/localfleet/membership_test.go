package localfleet

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/camphorrack/camphorrack/internal/client"
	"github.com/camphorrack/camphorrack/internal/job"
)

const (
	pollInterval = 10 * time.Millisecond
	// stableTime is how long a count must not change to be considered final.
	stableTime = 4 * time.Second
	// waitTimeout is how long waitFor waits before it fails the benchmark.
	waitTimeout = 30 * time.Second
)

// BenchmarkMembership measures how fast the placement of work follows processes that join and
// leave: six entries in two data centres, four agents with targets, every entry under load. Each
// result is the worst of b.N rounds.
//
//	new-target-ms   from before the start of an agent and its target to the first task
//	leaving-ms      from the drain request to its agent to the last task started
//	dead-target-ms  from a target's kill to the last task sent to its agent
//	substitute-ms   from an entry's kill until an agent has all its sessions again
//	new-entry-ms    from before the start of an entry, with one other as its peer, to its first agent
func BenchmarkMembership(b *testing.B) {
	bin := os.Getenv(binDirEnv)
	if bin == "" {
		b.Skip("set " + binDirEnv)
	}
	worst := map[string]time.Duration{}
	for i := 0; b.Loop(); i++ {
		for name, duration := range membershipRound(b, bin) {
			worst[name] = max(worst[name], duration)
		}
	}
	for name, duration := range worst {
		b.ReportMetric(float64(duration.Milliseconds()), name)
	}
}

// membershipFleet is a fleet whose helpers fail the benchmark on errors.
type membershipFleet struct {
	*Fleet
	b       *testing.B
	entries []*Process
	agents  []*Process
	targets []*Process
}

// membershipRound starts a fleet and returns one measurement of each duration.
func membershipRound(b *testing.B, bin string) map[string]time.Duration {
	ctx, cancel := context.WithCancel(context.Background())
	f := &membershipFleet{Fleet: New(Options{BinDir: bin, Key: rand.Text()}), b: b}
	defer f.Close()
	for i := range 6 {
		f.startEntry(ctx, i)
	}
	for i := range 4 {
		f.startWorker(ctx, i)
	}
	for _, a := range f.agents {
		f.waitFor("an agent's four sessions", func() bool { return f.metric(a, "entries.connected") == 4 })
	}
	load := f.generateLoad(ctx)
	defer load.Wait()
	defer cancel()

	durations := map[string]time.Duration{}
	began := time.Now()
	f.startWorker(ctx, 4)
	newTarget := f.targets[4]
	f.waitFor("a task started at the new target", func() bool { return f.startedTasks(newTarget) > 0 })
	durations["new-target-ms"] = time.Since(began)

	f.waitFor("the new target under load", func() bool { return f.startedTasks(newTarget) > 200 })
	began = time.Now()
	http.Post("http://"+f.agents[4].Addr+"/v1/drain", "application/json", nil) //nolint:errcheck // a failure shows as a timeout of the measurement
	durations["leaving-ms"] = f.lastChange(func() int { return f.startedTasks(newTarget) }).Sub(began)

	began = time.Now()
	f.targets[0].Kill()
	durations["dead-target-ms"] = f.lastChange(func() int { return f.sentTasks(f.agents[0]) }).Sub(began)

	agent := f.agents[1]
	began = time.Now()
	f.entries[0].Kill() // an agent has a session with every entry of its own data centre
	f.waitFor("the agent to lose a session", func() bool { return f.metric(agent, "entries.connected") == 3 })
	f.waitFor("a session with a substitute entry", func() bool { return f.metric(agent, "entries.connected") == 4 })
	durations["substitute-ms"] = time.Since(began)

	began = time.Now()
	newEntry := f.startEntry(ctx, 6)
	f.waitFor("an agent to connect to the new entry", func() bool { return f.connectedAgents(newEntry) > 0 })
	durations["new-entry-ms"] = time.Since(began)
	return durations
}

// startEntry starts an entry with its predecessor as its peer, in data centres dc-0 and dc-1
// alternately.
func (f *membershipFleet) startEntry(ctx context.Context, i int) *Process {
	var peers []string
	if i > 0 {
		peers = []string{f.entries[i-1].Addr}
	}
	p, err := f.StartEntry(ctx, fmt.Sprintf("entry-%d", i), "", peers, "-data-centre", fmt.Sprintf("dc-%d", i%2))
	must(f.b, err)
	f.entries = append(f.entries, p)
	return p
}

// startWorker starts an agent in the first data centre, and its target.
func (f *membershipFleet) startWorker(ctx context.Context, i int) {
	var entryAddrs []string
	for _, e := range f.entries {
		entryAddrs = append(entryAddrs, e.Addr)
	}
	agent, err := f.StartAgent(ctx, fmt.Sprintf("agent-%d", i), "", entryAddrs, "-data-centre", "dc-0")
	must(f.b, err)
	target, err := f.StartTarget(ctx, TargetOptions{Name: fmt.Sprintf("target-%d", i), Agent: agent.Addr, Slots: 8, Speed: 1})
	must(f.b, err)
	f.agents, f.targets = append(f.agents, agent), append(f.targets, target)
}

// generateLoad submits jobs to every entry until the context is done. Their outcomes don't matter
// here. The wait group is done after the last answer.
func (f *membershipFleet) generateLoad(ctx context.Context) *sync.WaitGroup {
	payload := fmt.Appendf(nil, `{"run_ms":%d,"echo":"x"}`, runMs)
	var loops sync.WaitGroup
	for _, e := range f.entries {
		c, err := client.New(client.Options{Entries: []string{e.Addr}})
		must(f.b, err)
		loops.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				token, err := c.Token(ctx)
				if err != nil {
					time.Sleep(pollInterval)
					continue
				}
				s := &job.Submission{Team: "team", Class: "check"}
				for range 16 {
					s.Tasks = append(s.Tasks, job.Task{Payload: payload, EstimateMs: runMs})
				}
				_, _ = c.Submit(ctx, fmt.Sprintf("%s-%d-%d", token, time.Now().Add(2*time.Second).UnixMilli(), n), s)
			}
		})
	}
	return &loops
}

// waitFor polls until done returns true, and fails the benchmark after waitTimeout.
func (f *membershipFleet) waitFor(condition string, done func() bool) {
	for end := time.Now().Add(waitTimeout); !done(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			f.b.Fatal("timed out waiting for " + condition)
		}
	}
}

// lastChange waits until a count has not changed for stableTime and returns the time of its last
// change.
func (f *membershipFleet) lastChange(count func() int) time.Time {
	last, changed := count(), time.Now()
	f.waitFor("a count to stop changing", func() bool {
		if n := count(); n > last {
			last, changed = n, time.Now()
		}
		return time.Since(changed) > stableTime
	})
	return changed
}

// metric returns the value or the count of a metric of a process, or 0 if it doesn't respond.
func (f *membershipFleet) metric(p *Process, name string) int {
	var all map[string]struct{ Value, Count int }
	f.getJSON(p, "/metrics", &all)
	return all[name].Value + all[name].Count
}

// sentTasks returns how many tasks were sent to an agent, with any outcome.
func (f *membershipFleet) sentTasks(p *Process) int {
	n := 0
	for _, state := range []string{"not_run", "succeeded", "failed", "unknown"} {
		n += f.metric(p, "calls."+state)
	}
	return n
}

// connectedAgents returns how many agents an entry reports.
func (f *membershipFleet) connectedAgents(entry *Process) int {
	var status struct{ Agents int }
	f.getJSON(entry, "/v1/status", &status)
	return status.Agents
}

// startedTasks returns how many tasks were started at a target.
func (f *membershipFleet) startedTasks(target *Process) int {
	var all struct{ Total int }
	f.getJSON(target, "/starts", &all)
	return all.Total
}

// getJSON decodes a process's response at the path. It leaves the value unchanged if the process
// does not respond.
func (f *membershipFleet) getJSON(p *Process, path string, into any) {
	response, err := http.Get("http://" + p.Addr + path)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	_ = json.NewDecoder(response.Body).Decode(into)
}
