package config_test

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/config"
	"github.com/camphorrack/camphorrack/internal/config/follower"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/platformlog"
	"github.com/camphorrack/camphorrack/internal/platformlog/logfake"
)

const (
	entries = 3
	agents  = 2
	teams   = 4
	checks  = "1500" // with the library's default of 100, rare orders are left out
)

func init() { _ = flag.Set("rapid.checks", checks) } // a number; the command line is read later and wins

// history is the judge: every record ever written, kept where retention can't
// reach, and folded by the plainest rule there is.
type history struct {
	contents map[uint64]map[string]int64 // team quotas by accepted version
	ids      map[string]uint64           // version by id of an accepted change
	written  map[string]bool             // ids of all changes written
	latest   uint64
	end      uint64

	lastWrite uint64
}

func (h *history) restart(offset uint64, r *config.Restart) {
	if r == nil {
		return
	}
	if h.lastWrite <= r.End {
		h.latest = offset + 1
		h.contents[h.latest] = quotasOf(r.State)
		h.ids[r.ID] = h.latest
	}
	h.lastWrite = offset + 1
}

func quotasOf(s *config.State) map[string]int64 {
	quotas := map[string]int64{}
	for _, set := range s.Settings {
		quotas[string(set.Key)] = set.Value
	}
	return quotas
}

func (h *history) see(records []platformlog.Record) {
	for _, raw := range records {
		h.end = raw.Offset + 1
		r, err := config.DecodeRecord(raw.Data)
		Expect(err).NotTo(HaveOccurred())
		h.restart(raw.Offset, r.Restart)
		if r.Change == nil {
			continue
		}
		h.lastWrite = h.end
		h.written[r.Change.ID] = true
		if r.Change.Base != h.latest {
			continue
		}
		content := maps.Clone(h.contents[h.latest])
		for _, s := range r.Change.Set {
			content[string(s.Key)] = s.Value
		}
		h.latest = raw.Offset + 1
		h.contents[h.latest] = content
		h.ids[r.Change.ID] = h.latest
	}
}

// racingLog lets something happen between an operator's look and the append.
type racingLog struct {
	platformlog.Log
	before func()
}

func (l *racingLog) Append(ctx context.Context, stream string, record []byte) (uint64, error) {
	if l.before != nil {
		f := l.before
		l.before = nil
		f()
	}
	return l.Log.Append(ctx, stream, record)
}

type process struct {
	holder   *config.Replica
	follower *follower.Follower // nil on an agent
	seen     uint64             // highest version that was in force
}

type frame struct {
	mark   uint64
	update []byte
}

// pair is an entry and an agent with a connection; frames may come late or twice.
type pair struct {
	atEntry, atAgent *config.Link
	toEntry, toAgent []frame
}

type asked struct {
	id   string
	base uint64
}

type fleet struct {
	t         *rapid.T
	log       *logfake.Log
	clock     *clock.Fake
	history   *history
	entries   []*process
	agents    []*process
	pairs     map[[2]int]*pair
	undecided []asked
	refused   []string // ids that operators were told were not accepted
	nextID    int
	seed      uint64
}

func newFleet(t *rapid.T) *fleet {
	f := &fleet{t: t, log: logfake.New(), clock: clock.NewFake(time.Unix(1000, 0)), pairs: map[[2]int]*pair{},
		history: &history{contents: map[uint64]map[string]int64{0: {}}, ids: map[string]uint64{}, written: map[string]bool{}}}
	for range entries {
		f.entries = append(f.entries, nil)
	}
	for i := range entries {
		f.startEntry(i)
	}
	for range agents {
		f.agents = append(f.agents, f.newProcess())
	}
	return f
}

func (f *fleet) newProcess() *process {
	return &process{holder: config.NewReplica(config.Location{}, f.clock, logr.Discard())}
}

func (f *fleet) rng() *rand.Rand {
	f.seed++
	return rand.New(rand.NewPCG(f.seed, 1))
}

func (f *fleet) startEntry(i int) {
	p := f.newProcess()
	p.follower = follower.New(follower.Options{Log: f.log, Replica: p.holder, Clock: f.clock,
		Logger: logr.Discard(), Rand: f.rng(), SnapshotInterval: time.Minute})
	f.entries[i] = p
	for key := range f.pairs {
		if key[0] == i {
			delete(f.pairs, key)
		}
	}
}

func (f *fleet) pair(e, a int) *pair {
	p, ok := f.pairs[[2]int{e, a}]
	if !ok {
		p = &pair{atEntry: config.NewEntryLink(f.entries[e].holder, f.rng()), atAgent: config.NewAgentLink(f.agents[a].holder, f.rng())}
		f.pairs[[2]int{e, a}] = p
	}
	return p
}

// talk sends a frame each way and delivers some of those sent so far, again perhaps.
func (f *fleet) talk(e, a int, pick func(n int) int) {
	p := f.pair(e, a)
	send := func(l *config.Link, queue *[]frame) {
		mark, update := l.PrepareFrame(f.clock.Now())
		*queue = append(*queue, frame{mark, update})
	}
	hear := func(l *config.Link, queue []frame) {
		fr := queue[pick(len(queue))]
		Expect(l.Receive(fr.mark, fr.update)).To(Succeed())
	}
	send(p.atAgent, &p.toEntry)
	hear(p.atEntry, p.toEntry)
	send(p.atEntry, &p.toAgent)
	hear(p.atAgent, p.toAgent)
}

func (f *fleet) change(base uint64) *config.Change {
	f.nextID++
	team := rapid.IntRange(0, teams-1).Draw(f.t, "team")
	c := setQuota(base, fmt.Sprint(team), int64(f.nextID))
	c.ID = fmt.Sprint("c", f.nextID)
	return c
}

// operate has an operator make a change; a rival may get in between.
func (f *fleet) operate(rivals int) {
	racing := &racingLog{Log: f.log}
	if rivals > 0 {
		racing.before = func() { f.operate(rivals - 1) }
	}
	ops := config.NewPublisher(racing, readOnce)
	fold, _, err := ops.Load(context.Background())
	if err != nil {
		return
	}
	c := f.change(fold.State().Version)
	state, err := ops.Publish(context.Background(), c)
	f.sync()
	f.judge(c, state, err)
}

func (f *fleet) judge(c *config.Change, state *config.State, err error) {
	if err == nil {
		Expect(f.history.ids).To(HaveKeyWithValue(c.ID, state.Version), "accepted, but not in the log's order")
		return
	}
	switch codeOf(err) {
	case fault.ConfigUndecided:
		f.undecided = append(f.undecided, asked{c.ID, c.Base})
	case fault.ConfigNotTaken:
		Expect(f.history.written).NotTo(HaveKey(c.ID), "not taken, but in the log")
		f.refused = append(f.refused, c.ID)
	case fault.ConfigConflict:
		f.refused = append(f.refused, c.ID)
	default:
		f.t.Fatalf("unexpected: %v", err)
	}
}

func (f *fleet) resolve(i int) {
	q := f.undecided[i]
	r, err := config.NewPublisher(f.log, readOnce).Resolve(context.Background(), q.id, q.base)
	var conflict *config.ConflictError
	switch {
	case err == nil:
		Expect(f.history.ids).To(HaveKeyWithValue(q.id, r.Version))
	case errors.As(err, &conflict):
		f.refused = append(f.refused, q.id)
	}
}

// sync shows the judge what was written since, before retention may drop it.
func (f *fleet) sync() {
	faults := f.log.Faults()
	f.log.SetFaults(logfake.Faults{})
	defer f.log.SetFaults(faults)
	for {
		records, next, err := f.log.Read(context.Background(), config.Stream, f.history.end, 0)
		Expect(err).NotTo(HaveOccurred())
		f.history.see(records)
		f.history.end = next
		if len(records) == 0 {
			return
		}
	}
}

// check holds after every step.
func (f *fleet) check() {
	f.sync()
	for _, p := range append(append([]*process(nil), f.entries...), f.agents...) {
		s := p.holder.Get().State
		Expect(s.Version).To(BeNumerically(">=", p.seen), "a version went back")
		p.seen = s.Version
		want, ok := f.history.contents[s.Version]
		Expect(ok).To(BeTrue(), "version %d was never accepted", s.Version)
		Expect(quotasOf(s)).To(Equal(want), "version %d means something else here", s.Version)
	}
	for _, id := range f.refused {
		Expect(f.history.ids).NotTo(HaveKey(id), "told as not accepted, and in force after all")
	}
}

func (f *fleet) calm() {
	f.log.SetFaults(logfake.Faults{})
	f.log.ApplyDelayed(config.Stream)
	for range 60 {
		f.clock.Advance(5 * time.Second)
		for e := range f.entries {
			f.entries[e].follower.Poll(context.Background())
			for a := range f.agents {
				f.talk(e, a, func(n int) int { return n - 1 })
			}
		}
	}
	f.check()
}

// Operators race each other, the log is down, slow to land what it was given,
// loses answers and drops old records, entries restart with empty memory, and
// frames between processes come late and twice. If the configuration ever went
// back on a process, a lifted limit would bite again or a drained target would get
// work; if an accepted change were lost, an operator would trust one that is not
// in force; and two winners on one base would overwrite each other unseen.
func TestSchedules(t *testing.T) {
	RegisterTestingT(t)
	converged, stranded := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		RegisterFailHandlerFor(t)
		f := newFleet(t)
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { f.check() },
			"operate": func(*rapid.T) {
				f.operate(rapid.IntRange(0, 2).Draw(t, "rivals"))
			},
			"resolve": func(t *rapid.T) {
				if len(f.undecided) == 0 {
					t.Skip()
				}
				f.resolve(pick(len(f.undecided)))
			},
			"poll":       func(*rapid.T) { f.entries[pick(entries)].follower.Poll(context.Background()) },
			"talk":       func(*rapid.T) { f.talk(pick(entries), pick(agents), pick) },
			"reconnect":  func(*rapid.T) { delete(f.pairs, [2]int{pick(entries), pick(agents)}) },
			"wait":       func(*rapid.T) { f.clock.Advance(time.Duration(pick(120)) * time.Second) },
			"restart":    func(*rapid.T) { f.startEntry(pick(entries)) },
			"land":       func(*rapid.T) { f.log.ApplyDelayed(config.Stream) },
			"well again": func(*rapid.T) { f.log.SetFaults(logfake.Faults{}) },
			"fault": func(*rapid.T) {
				f.log.SetFaults([]logfake.Faults{{Unavailable: true}, {ReadsUnavailable: true}, {LoseAnswers: true}, {DelayAppends: true}}[pick(4)])
			},
			"truncate": func(*rapid.T) {
				f.sync()
				lowest, end := f.log.Bounds(config.Stream)
				f.log.Truncate(config.Stream, lowest+uint64(pick(int(end-lowest)+1)))
			},
		})
		f.calm()
		if f.settle() {
			converged++
		} else {
			stranded++
		}
	})
	RegisterTestingT(t)
	t.Logf("schedules: %d converged on the newest accepted version, %d first needed an operator's restart", converged, stranded)
	Expect(converged).To(BeNumerically(">", stranded), "the schedules hardly test convergence any more")
}

// settle checks where a calm fleet ends: on the newest accepted version, all of
// them, unless the log dropped what nobody alive had read. Then the operators'
// tool says so and takes no change, until an operator restarts the configuration
// from the newest state that a process still holds.
func (f *fleet) settle() bool {
	ops := config.NewPublisher(f.log, readOnce)
	_, _, err := ops.Load(context.Background())
	stranded := err != nil
	if stranded {
		Expect(codeOf(err)).To(Equal(fault.ConfigNotTaken))
		newest := &config.State{}
		for _, p := range f.entries {
			Expect(p.follower.Contiguous()).To(BeFalse(), "nobody wrote a snapshot")
			if s := p.holder.Get().State; s.Version > newest.Version {
				newest = s
			}
		}
		_, err = ops.Restart(context.Background(), newest, "ops", "records were lost")
		Expect(err).NotTo(HaveOccurred())
		f.calm()
	}
	for _, p := range append(append([]*process(nil), f.entries...), f.agents...) {
		Expect(p.holder.Get().State.Version).To(Equal(f.history.latest), "not in force everywhere")
	}
	return !stranded
}

// RegisterFailHandlerFor makes gomega's failures those of a rapid check, so that
// rapid shrinks the schedule and prints its seed.
func RegisterFailHandlerFor(t *rapid.T) {
	RegisterFailHandler(func(message string, _ ...int) { t.Fatalf("%s", message) })
}
