package config_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/config"
	"github.com/camphorrack/camphorrack/internal/config/follower"
	"github.com/camphorrack/camphorrack/internal/platformlog"
	"github.com/camphorrack/camphorrack/internal/platformlog/logfake"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// The letter's sizes that these benchmarks are about.
const (
	designTeams         = 140
	designAgents        = 5700
	designChangesPerDay = 8900
	// Assumed: the letter does not say how many entries there are, nor to how many
	// of them an agent is connected.
	assumedEntries = 30
	assumedLinks   = 4
)

func must(b *testing.B, err error) {
	b.Helper()
	if err != nil {
		b.Fatal(err)
	}
}

// designState has a quota for each team and 20 exceptions.
func designState(b *testing.B) *config.State {
	c := &config.Change{ID: "first", Author: "operator", Reason: "the design size"}
	for i := range designTeams {
		c.Set = append(c.Set, config.Setting{Key: config.Key(fmt.Sprintf("quota.team.team-%03d", i)), Value: int64(100 + i)})
	}
	for i := range 20 {
		c.Add = append(c.Add, config.Exception{Kind: config.ScopeTarget, Name: fmt.Sprintf("target-%04d", i), Key: "drain", Value: 1,
			Reason: "power supply is replaced, ticket 12345", Author: "operator", AtMs: 1_790_000_000_000})
	}
	s, err := (&config.State{}).Apply(c)
	must(b, err)
	s.Version, s.AsOf, s.LastWrite = 1, 1, 1
	return s
}

func designChange(base uint64, i int) *config.Change {
	return &config.Change{ID: config.NewChangeID(), Base: base, Author: "operator", Reason: "more work this week, ticket 12345", AtMs: 1_790_000_000_000,
		Set: []config.Setting{{Key: config.Key(fmt.Sprintf("quota.team.team-%03d", i%designTeams)), Value: int64(i + 1)}}}
}

func encodeChange(b *testing.B, c *config.Change) []byte {
	data, err := config.EncodeRecord(&config.Record{Change: c})
	must(b, err)
	return data
}

// BenchmarkApplyFromLog is what an entry spends on one change that it read.
func BenchmarkApplyFromLog(b *testing.B) {
	state := designState(b)
	holder := config.NewReplica(config.Location{DataCentre: "dc1", Entry: "10.0.0.1:7400"}, clock.NewAnchored(), logr.Discard())
	fold := config.NewFold(state)
	size := 0
	for i := range b.N {
		next := fold.NextOffset()
		data := encodeChange(b, designChange(fold.State().Version, i))
		size = len(data)
		records := []platformlog.Record{{Offset: next, Data: data}}
		_, err := fold.Apply(next, records, next+1)
		must(b, err)
		holder.ApplyRead(fold.State(), config.Batch{From: next, Records: records})
	}
	encoded, err := config.EncodeState(state)
	must(b, err)
	b.ReportMetric(float64(size), "record-B")
	b.ReportMetric(float64(len(encoded)), "state-B")
}

// BenchmarkApplyFromPeer is what an agent spends on one change that an entry sent.
func BenchmarkApplyFromPeer(b *testing.B) {
	for _, whole := range []bool{false, true} {
		b.Run(fmt.Sprintf("whole-state=%v", whole), func(b *testing.B) {
			entry, agent := holderAt(b), holderAt(b)
			fold := config.NewFold(entry.Get().State)
			size := 0
			for i := range b.N {
				next := fold.NextOffset()
				records := []platformlog.Record{{Offset: next, Data: encodeChange(b, designChange(fold.State().Version, i))}}
				_, err := fold.Apply(next, records, next+1)
				must(b, err)
				entry.ApplyRead(fold.State(), config.Batch{From: next, Records: records})
				mark := agent.Position()
				if whole {
					mark = 0 // as a peer that knows nothing
				}
				update, err := entry.EncodeUpdate(mark)
				must(b, err)
				size = len(update)
				must(b, agent.ApplyUpdate(update))
			}
			b.ReportMetric(float64(size), "update-B")
		})
	}
}

func holderAt(b *testing.B) *config.Replica {
	h := config.NewReplica(config.Location{}, clock.NewAnchored(), logr.Discard())
	h.ApplyState(designState(b), "log")
	return h
}

// BenchmarkIdleTell is one look of an entry at the connections of 760 agents while
// nothing changes; it happens four times a second.
func BenchmarkIdleTell(b *testing.B) {
	const perEntry = designAgents * assumedLinks / assumedEntries
	holder := holderAt(b)
	fan := config.NewFanOut(nil)
	for i := range perEntry {
		p := fan.Add(config.NewEntryLink(holder, rand.New(rand.NewPCG(1, uint64(i)))), func(uint64, []byte) {})
		must(b, p.Receive(holder.Position()+1, nil))
	}
	now := time.Now()
	fan.SendDue(now)
	b.ResetTimer()
	for range b.N {
		fan.SendDue(now)
	}
	b.ReportMetric(perEntry, "agents")
}

// BenchmarkSnapshots counts how many snapshots a fleet writes in a day.
func BenchmarkSnapshots(b *testing.B) {
	for _, n := range []int{3, 30, 100} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			for range b.N {
				b.ReportMetric(float64(snapshotsInADay(n)), "snapshots/day")
			}
		})
	}
}

func snapshotsInADay(entries int) uint64 {
	log, k := logfake.New(), clock.NewFake(time.Unix(0, 0))
	var followers []*follower.Follower
	for i := range entries {
		followers = append(followers, follower.New(follower.Options{
			Log: log, Clock: k, Logger: logr.Discard(), Rand: rand.New(rand.NewPCG(1, uint64(i))),
			Replica: config.NewReplica(config.Location{}, k, logr.Discard()),
		}))
	}
	const step = 2 * time.Second
	for range int(24 * time.Hour / step) {
		k.Advance(step)
		for _, f := range followers {
			f.Poll(context.Background())
		}
	}
	return log.AppendCount()
}

// fanOutFleet is the design size with its connections, on a fake clock.
type fanOutFleet struct {
	b         *testing.B
	clock     *clock.Fake
	log       *logfake.Log
	entries   []*config.Replica
	followers []*follower.Follower
	pollAt    []time.Time
	fans      []*config.FanOut
	agents    []*config.Replica
	agentFan  *config.FanOut
	queue     []func()
	sent      int // bytes of frames from entries
	returned  int // bytes of frames from agents
	updates   int
}

func newFanOutFleet(b *testing.B) *fanOutFleet {
	f := &fanOutFleet{b: b, clock: clock.NewFake(time.Unix(0, 0)), log: logfake.New(), agentFan: config.NewFanOut(nil)}
	start := designState(b)
	for i := range assumedEntries {
		h := config.NewReplica(config.Location{}, f.clock, logr.Discard())
		f.entries = append(f.entries, h)
		f.fans = append(f.fans, config.NewFanOut(nil))
		f.followers = append(f.followers, follower.New(follower.Options{Log: f.log, Replica: h, Clock: f.clock, Logger: logr.Discard(), Rand: rand.New(rand.NewPCG(2, uint64(i)))}))
		f.pollAt = append(f.pollAt, f.clock.Now())
	}
	_, err := f.log.Append(context.Background(), config.Stream, encodeChange(b, changeOf(start)))
	must(b, err)
	rng := rand.New(rand.NewPCG(3, 0))
	for range designAgents {
		h := config.NewReplica(config.Location{}, f.clock, logr.Discard())
		f.agents = append(f.agents, h)
		for _, e := range rng.Perm(assumedEntries)[:assumedLinks] {
			f.connect(e, h, rng)
		}
	}
	return f
}

func changeOf(s *config.State) *config.Change {
	return &config.Change{ID: "first", Author: s.Author, Reason: s.Reason, Set: s.Settings, Add: s.Exceptions}
}

func (f *fanOutFleet) connect(e int, agent *config.Replica, rng *rand.Rand) {
	var atEntry, atAgent *config.Peer
	link := func() *rand.Rand { return rand.New(rand.NewPCG(rng.Uint64(), 0)) }
	atEntry = f.fans[e].Add(config.NewEntryLink(f.entries[e], link()), func(mark uint64, update []byte) {
		frame, err := wire.Encode(&wire.ToAgent{Seq: 1 << 20, AckSeq: 1 << 20, Version: mark, Config: update})
		must(f.b, err)
		f.sent += len(frame)
		if update != nil {
			f.updates++
		}
		f.queue = append(f.queue, func() { must(f.b, atAgent.Receive(mark, update)) })
	})
	atAgent = f.agentFan.Add(config.NewAgentLink(agent, link()), func(mark uint64, update []byte) {
		frame, err := wire.Encode(&wire.ToEntry{Seq: 1 << 20, AckSeq: 1 << 20, Version: mark, Config: update})
		must(f.b, err)
		f.returned += len(frame)
		f.queue = append(f.queue, func() { must(f.b, atEntry.Receive(mark, update)) })
	})
}

// step passes a quarter of a second.
func (f *fanOutFleet) step() {
	f.clock.Advance(250 * time.Millisecond)
	now := f.clock.Now()
	for i, p := range f.followers {
		if !now.Before(f.pollAt[i]) {
			f.pollAt[i] = now.Add(p.Poll(context.Background()))
		}
	}
	for _, fan := range f.fans {
		fan.SendDue(now)
	}
	f.agentFan.SendDue(now)
	queue := f.queue
	f.queue = nil
	for _, deliver := range queue {
		deliver()
	}
}

func (f *fanOutFleet) inForce(version uint64) bool {
	for _, holders := range [][]*config.Replica{f.entries, f.agents} {
		for _, h := range holders {
			if h.Get().State.Version < version {
				return false
			}
		}
	}
	return true
}

func (f *fanOutFleet) until(version uint64) time.Duration {
	began := f.clock.Now()
	for !f.inForce(version) {
		f.step()
	}
	return f.clock.Now().Sub(began)
}

// BenchmarkFanOut makes one change at a time at the design size and reports how
// long it takes until it is in force on all 30 entries and 5,700 agents, on the
// fake clock, and what it costs in frames that carry configuration.
func BenchmarkFanOut(b *testing.B) {
	f := newFanOutFleet(b)
	f.until(1)
	for range 120 {
		f.step() // the connections fall silent
	}
	ops := config.NewPublisher(f.log, readOnce)
	f.sent, f.returned, f.updates = 0, 0, 0
	var longest time.Duration
	version := uint64(1)
	quiet := time.Duration(0)
	b.ResetTimer()
	for i := range b.N {
		s, err := ops.Publish(context.Background(), designChange(version, i))
		must(b, err)
		version = s.Version
		took := f.until(version)
		longest = max(longest, took)
		for range 40 {
			f.step()
		}
		quiet += took + 10*time.Second
	}
	perChange := func(n int) float64 { return float64(n) / float64(b.N) }
	b.ReportMetric(longest.Seconds(), "s-to-last")
	b.ReportMetric(perChange(f.updates)/designAgents, "updates/agent/change")
	b.ReportMetric(perChange(f.sent)/assumedEntries, "entry-B/change")
	b.ReportMetric(perChange(f.returned)/designAgents, "agent-B/change")
	// Changes come every quiet/N here; the letter's rate is one in 9.7 s.
	b.ReportMetric(float64(f.sent)/assumedEntries/quiet.Seconds(), "entry-B/s")
	b.ReportMetric(float64(f.sent)/designAgents/quiet.Seconds(), "agent-in-B/s")
	b.ReportMetric(float64(f.returned)/designAgents/quiet.Seconds(), "agent-out-B/s")
}

// BenchmarkLoad is an operator's tool that reads three days of changes.
func BenchmarkLoad(b *testing.B) {
	log := logfake.New()
	version := uint64(0)
	for i := range 3 * designChangesPerDay {
		offset, err := log.Append(context.Background(), config.Stream, encodeChange(b, designChange(version, i)))
		must(b, err)
		version = offset + 1
	}
	b.ResetTimer()
	for range b.N {
		_, _, err := config.NewPublisher(log, readOnce).Load(context.Background())
		must(b, err)
	}
	b.ReportMetric(3*designChangesPerDay, "records")
}
