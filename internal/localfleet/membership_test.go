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
	membershipPoll = 10 * time.Millisecond
	// quietFor is how long a count must stand still to count as ended.
	quietFor = 4 * time.Second
	// membershipLimit ends a wait that would never end.
	membershipLimit = 30 * time.Second
)

// BenchmarkMembership is how soon work follows what joins and leaves: six entries in
// two data centres, four agents with targets, every entry under load. Each figure is
// the worst of b.N.
//
//	new-target-ms   from before the start of an agent and its target to the first task
//	leaving-ms      from when its agent is told to drain to the last task begun
//	dead-target-ms  from a target's kill to the last call its agent was sent for
//	substitute-ms   from an entry's kill until an agent has all its sessions again
//	new-entry-ms    from before the start of an entry, which names one other, to its first agent
func BenchmarkMembership(b *testing.B) {
	bin := os.Getenv(envBin)
	if bin == "" {
		b.Skip("set " + envBin)
	}
	worst := map[string]time.Duration{}
	for i := 0; b.Loop(); i++ {
		for name, took := range membershipRound(b, bin) {
			worst[name] = max(worst[name], took)
		}
	}
	for name, took := range worst {
		b.ReportMetric(float64(took.Milliseconds()), name)
	}
}

type membershipFleet struct {
	*Fleet
	b       *testing.B
	entries []*Process
	agents  []*Process
	targets []*Process
}

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
		f.await("an agent's four sessions", func() bool { return f.figure(a, "entries.connected") == 4 })
	}
	load := f.load(ctx)
	defer load.Wait()
	defer cancel()

	took := map[string]time.Duration{}
	began := time.Now()
	f.startWorker(ctx, 4)
	newcomer := f.targets[4]
	f.await("a task at the new target", func() bool { return f.starts(newcomer) > 0 })
	took["new-target-ms"] = time.Since(began)

	f.await("the new target under load", func() bool { return f.starts(newcomer) > 200 })
	began = time.Now()
	http.Post("http://"+f.agents[4].Addr+"/v1/drain", "application/json", nil) //nolint:errcheck // the figure tells
	took["leaving-ms"] = f.lastChange(func() int { return f.starts(newcomer) }).Sub(began)

	began = time.Now()
	f.targets[0].Kill()
	took["dead-target-ms"] = f.lastChange(func() int { return f.calls(f.agents[0]) }).Sub(began)

	lost := f.agents[1]
	began = time.Now()
	f.entries[0].Kill() // of the agent's own data centre, where it keeps every session
	f.await("an entry's loss seen", func() bool { return f.figure(lost, "entries.connected") == 3 })
	f.await("a substitute", func() bool { return f.figure(lost, "entries.connected") == 4 })
	took["substitute-ms"] = time.Since(began)

	began = time.Now()
	added := f.startEntry(ctx, 6)
	f.await("an agent of the new entry", func() bool { return f.connectedAgents(added) > 0 })
	took["new-entry-ms"] = time.Since(began)
	return took
}

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

// startWorker starts an agent of the first data centre, with its target.
func (f *membershipFleet) startWorker(ctx context.Context, i int) {
	var known []string
	for _, e := range f.entries {
		known = append(known, e.Addr)
	}
	agent, err := f.StartAgent(ctx, fmt.Sprintf("agent-%d", i), "", known, "-data-centre", "dc-0")
	must(f.b, err)
	target, err := f.StartTarget(ctx, TargetOptions{Name: fmt.Sprintf("target-%d", i), Agent: agent.Addr, Slots: 8, Speed: 1})
	must(f.b, err)
	f.agents, f.targets = append(f.agents, agent), append(f.targets, target)
}

// load submits jobs to every entry until the context ends. What becomes of them
// does not matter here.
func (f *membershipFleet) load(ctx context.Context) *sync.WaitGroup {
	payload := fmt.Appendf(nil, `{"run_ms":%d,"echo":"x"}`, runMs)
	var loops sync.WaitGroup
	for _, e := range f.entries {
		c, err := client.New(client.Options{Entries: []string{e.Addr}})
		must(f.b, err)
		loops.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				token, err := c.Token(ctx)
				if err != nil {
					time.Sleep(membershipPoll)
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

func (f *membershipFleet) await(what string, done func() bool) {
	for end := time.Now().Add(membershipLimit); !done(); time.Sleep(membershipPoll) {
		if time.Now().After(end) {
			f.b.Fatal("did not come about: " + what)
		}
	}
}

// lastChange returns when a count changed last before it stood still.
func (f *membershipFleet) lastChange(count func() int) time.Time {
	last, changed := count(), time.Now()
	f.await("an end of changes", func() bool {
		if n := count(); n > last {
			last, changed = n, time.Now()
		}
		return time.Since(changed) > quietFor
	})
	return changed
}

func (f *membershipFleet) figure(p *Process, name string) int {
	var all map[string]struct{ Value, Count int }
	f.read(p, "/metrics", &all)
	return all[name].Value + all[name].Count
}

// calls is how many tasks the agent was sent, whatever became of them.
func (f *membershipFleet) calls(p *Process) int {
	n := 0
	for _, state := range []string{"not_run", "succeeded", "failed", "unknown"} {
		n += f.figure(p, "calls."+state)
	}
	return n
}

func (f *membershipFleet) connectedAgents(entry *Process) int {
	var status struct{ Agents int }
	f.read(entry, "/v1/status", &status)
	return status.Agents
}

func (f *membershipFleet) starts(target *Process) int {
	var all struct{ Total int }
	f.read(target, "/starts", &all)
	return all.Total
}

// read leaves the value as it is when the process does not answer.
func (f *membershipFleet) read(p *Process, path string, into any) {
	response, err := http.Get("http://" + p.Addr + path)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	_ = json.NewDecoder(response.Body).Decode(into)
}
