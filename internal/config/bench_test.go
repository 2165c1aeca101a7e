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

// Design size of a fleet.
const (
	designTeams         = 140
	designAgents        = 5700
	designChangesPerDay = 8900
	// The design size does not include the number of entries, nor to how many of them an
	// agent is connected.
	assumedEntries     = 30
	assumedConnections = 4
)

func must(b *testing.B, err error) {
	b.Helper()
	if err != nil {
		b.Fatal(err)
	}
}

// designState returns a state with a quota for each team and 20 exceptions.
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

// BenchmarkApplyFromLog measures how long an entry takes to apply a change from the log.
func BenchmarkApplyFromLog(b *testing.B) {
	state := designState(b)
	replica := config.NewReplica(config.Location{DataCentre: "dc1", Entry: "10.0.0.1:7400"}, clock.NewAnchored(), logr.Discard())
	fold := config.NewFold(state)
	size := 0
	for i := range b.N {
		next := fold.NextOffset()
		data := encodeChange(b, designChange(fold.State().Version, i))
		size = len(data)
		records := []platformlog.Record{{Offset: next, Data: data}}
		_, err := fold.Apply(next, records, next+1)
		must(b, err)
		replica.ApplyRead(fold.State(), config.Batch{From: next, Records: records})
	}
	encoded, err := config.EncodeState(state)
	must(b, err)
	b.ReportMetric(float64(size), "record-B")
	b.ReportMetric(float64(len(encoded)), "state-B")
}

// BenchmarkApplyFromPeer measures how long an entry takes to encode an update with one
// change, or with the whole state, and an agent to apply it.
func BenchmarkApplyFromPeer(b *testing.B) {
	for _, whole := range []bool{false, true} {
		b.Run(fmt.Sprintf("whole-state=%v", whole), func(b *testing.B) {
			entry, agent := newDesignReplica(b), newDesignReplica(b)
			fold := config.NewFold(entry.Get().State)
			size := 0
			for i := range b.N {
				next := fold.NextOffset()
				records := []platformlog.Record{{Offset: next, Data: encodeChange(b, designChange(fold.State().Version, i))}}
				_, err := fold.Apply(next, records, next+1)
				must(b, err)
				entry.ApplyRead(fold.State(), config.Batch{From: next, Records: records})
				position := agent.Position()
				if whole {
					position = 0 // as of a peer without any configuration
				}
				update, err := entry.EncodeUpdate(position)
				must(b, err)
				size = len(update)
				must(b, agent.ApplyUpdate(update))
			}
			b.ReportMetric(float64(size), "update-B")
		})
	}
}

func newDesignReplica(b *testing.B) *config.Replica {
	r := config.NewReplica(config.Location{}, clock.NewAnchored(), logr.Discard())
	r.ApplyState(designState(b), "log")
	return r
}

// BenchmarkIdleSendDue measures FanOut.SendDue on an entry with 760 agents while nothing
// changes; it is called four times a second.
func BenchmarkIdleSendDue(b *testing.B) {
	const perEntry = designAgents * assumedConnections / assumedEntries
	replica := newDesignReplica(b)
	fanOut := config.NewFanOut(nil)
	for i := range perEntry {
		p := fanOut.Add(config.NewEntryLink(replica, rand.New(rand.NewPCG(1, uint64(i)))), func(uint64, []byte) {})
		must(b, p.Receive(replica.Position()+1, nil))
	}
	now := time.Now()
	fanOut.SendDue(now)
	b.ResetTimer()
	for range b.N {
		fanOut.SendDue(now)
	}
	b.ReportMetric(perEntry, "agents")
}

// BenchmarkSnapshots counts the snapshots that a fleet writes in a day.
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

// fanOutFleet is a fleet of the design size with its connections, on a fake clock.
type fanOutFleet struct {
	b                *testing.B
	clock            *clock.Fake
	log              *logfake.Log
	entries          []*config.Replica
	followers        []*follower.Follower
	pollAt           []time.Time
	fanOuts          []*config.FanOut
	agents           []*config.Replica
	agentFanOut      *config.FanOut
	queue            []func()
	bytesFromEntries int // in frames that carry configuration
	bytesFromAgents  int // in frames that carry configuration
	updates          int
}

func newFanOutFleet(b *testing.B) *fanOutFleet {
	f := &fanOutFleet{b: b, clock: clock.NewFake(time.Unix(0, 0)), log: logfake.New(), agentFanOut: config.NewFanOut(nil)}
	start := designState(b)
	for i := range assumedEntries {
		r := config.NewReplica(config.Location{}, f.clock, logr.Discard())
		f.entries = append(f.entries, r)
		f.fanOuts = append(f.fanOuts, config.NewFanOut(nil))
		f.followers = append(f.followers, follower.New(follower.Options{Log: f.log, Replica: r, Clock: f.clock, Logger: logr.Discard(), Rand: rand.New(rand.NewPCG(2, uint64(i)))}))
		f.pollAt = append(f.pollAt, f.clock.Now())
	}
	_, err := f.log.Append(context.Background(), config.Stream, encodeChange(b, changeOf(start)))
	must(b, err)
	rng := rand.New(rand.NewPCG(3, 0))
	for range designAgents {
		r := config.NewReplica(config.Location{}, f.clock, logr.Discard())
		f.agents = append(f.agents, r)
		for _, e := range rng.Perm(assumedEntries)[:assumedConnections] {
			f.connect(e, r, rng)
		}
	}
	return f
}

func changeOf(s *config.State) *config.Change {
	return &config.Change{ID: "first", Author: s.Author, Reason: s.Reason, Set: s.Settings, Add: s.Exceptions}
}

func (f *fanOutFleet) connect(e int, agent *config.Replica, rng *rand.Rand) {
	var atEntry, atAgent *config.Peer
	newRand := func() *rand.Rand { return rand.New(rand.NewPCG(rng.Uint64(), 0)) }
	atEntry = f.fanOuts[e].Add(config.NewEntryLink(f.entries[e], newRand()), func(mark uint64, update []byte) {
		frame, err := wire.Encode(&wire.ToAgent{Seq: 1 << 20, AckSeq: 1 << 20, Version: mark, Config: update})
		must(f.b, err)
		f.bytesFromEntries += len(frame)
		if update != nil {
			f.updates++
		}
		f.queue = append(f.queue, func() { must(f.b, atAgent.Receive(mark, update)) })
	})
	atAgent = f.agentFanOut.Add(config.NewAgentLink(agent, newRand()), func(mark uint64, update []byte) {
		frame, err := wire.Encode(&wire.ToEntry{Seq: 1 << 20, AckSeq: 1 << 20, Version: mark, Config: update})
		must(f.b, err)
		f.bytesFromAgents += len(frame)
		f.queue = append(f.queue, func() { must(f.b, atEntry.Receive(mark, update)) })
	})
}

// step advances the clock by 250 ms, polls the log on each entry whose poll is due, and
// sends and delivers frames.
func (f *fanOutFleet) step() {
	f.clock.Advance(250 * time.Millisecond)
	now := f.clock.Now()
	for i, p := range f.followers {
		if !now.Before(f.pollAt[i]) {
			f.pollAt[i] = now.Add(p.Poll(context.Background()))
		}
	}
	for _, fanOut := range f.fanOuts {
		fanOut.SendDue(now)
	}
	f.agentFanOut.SendDue(now)
	queue := f.queue
	f.queue = nil
	for _, deliver := range queue {
		deliver()
	}
}

func (f *fanOutFleet) inForce(version uint64) bool {
	for _, replicas := range [][]*config.Replica{f.entries, f.agents} {
		for _, r := range replicas {
			if r.Get().State.Version < version {
				return false
			}
		}
	}
	return true
}

// waitForVersion advances the fleet until the version is in force everywhere, and returns
// how long that took.
func (f *fanOutFleet) waitForVersion(version uint64) time.Duration {
	began := f.clock.Now()
	for !f.inForce(version) {
		f.step()
	}
	return f.clock.Now().Sub(began)
}

// BenchmarkFanOut publishes one change at a time at the design size and reports how long it
// takes until it is in force on all 30 entries and 5,700 agents, on the fake clock, and the
// traffic in frames that carry configuration.
func BenchmarkFanOut(b *testing.B) {
	f := newFanOutFleet(b)
	f.waitForVersion(1)
	for range 120 {
		f.step() // until all updates have been sent
	}
	publisher := config.NewPublisher(f.log, readOnce)
	f.bytesFromEntries, f.bytesFromAgents, f.updates = 0, 0, 0
	var longest time.Duration
	version := uint64(1)
	elapsed := time.Duration(0)
	b.ResetTimer()
	for i := range b.N {
		s, err := publisher.Publish(context.Background(), designChange(version, i))
		must(b, err)
		version = s.Version
		took := f.waitForVersion(version)
		longest = max(longest, took)
		for range 40 {
			f.step()
		}
		elapsed += took + 10*time.Second
	}
	perChange := func(n int) float64 { return float64(n) / float64(b.N) }
	b.ReportMetric(longest.Seconds(), "s-to-last")
	b.ReportMetric(perChange(f.updates)/designAgents, "updates/agent/change")
	b.ReportMetric(perChange(f.bytesFromEntries)/assumedEntries, "entry-B/change")
	b.ReportMetric(perChange(f.bytesFromAgents)/designAgents, "agent-B/change")
	// Changes are made every elapsed/N here; the design rate is one in 9.7 s.
	b.ReportMetric(float64(f.bytesFromEntries)/assumedEntries/elapsed.Seconds(), "entry-B/s")
	b.ReportMetric(float64(f.bytesFromEntries)/designAgents/elapsed.Seconds(), "agent-in-B/s")
	b.ReportMetric(float64(f.bytesFromAgents)/designAgents/elapsed.Seconds(), "agent-out-B/s")
}

// BenchmarkLoad measures how long the operators' tool takes to read three days of changes.
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
