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
	checks  = "1500" // the library's default of 100 misses rare orders of events
)

func init() { _ = flag.Set("rapid.checks", checks) } // checks is a number; the command line is parsed later and takes precedence

// logModel is the reference that processes and operators are checked against. It observes
// every record before retention can drop it, and applies the simplest possible rule.
type logModel struct {
	contents         map[uint64]map[string]int64 // team quotas by accepted version
	acceptedVersions map[string]uint64           // version by id of an accepted change
	writtenIDs       map[string]bool             // ids of all changes in the log
	latest           uint64                      // highest accepted version
	nextOffset       uint64                      // of the next record to observe

	lastWrite uint64 // one more than the offset of the last change or restart
}

func (m *logModel) applyRestart(offset uint64, r *config.Restart) {
	if r == nil {
		return
	}
	if m.lastWrite <= r.End {
		m.latest = offset + 1
		m.contents[m.latest] = quotasOf(r.State)
		m.acceptedVersions[r.ID] = m.latest
	}
	m.lastWrite = offset + 1
}

// quotasOf returns the fleet-wide settings by key; the test sets only quotas.
func quotasOf(s *config.State) map[string]int64 {
	quotas := map[string]int64{}
	for _, set := range s.Settings {
		quotas[string(set.Key)] = set.Value
	}
	return quotas
}

func (m *logModel) observe(records []platformlog.Record) {
	for _, raw := range records {
		m.nextOffset = raw.Offset + 1
		r, err := config.DecodeRecord(raw.Data)
		Expect(err).NotTo(HaveOccurred())
		m.applyRestart(raw.Offset, r.Restart)
		if r.Change == nil {
			continue
		}
		m.lastWrite = m.nextOffset
		m.writtenIDs[r.Change.ID] = true
		if r.Change.Base != m.latest {
			continue
		}
		content := maps.Clone(m.contents[m.latest])
		for _, s := range r.Change.Set {
			content[string(s.Key)] = s.Value
		}
		m.latest = raw.Offset + 1
		m.contents[m.latest] = content
		m.acceptedVersions[r.Change.ID] = m.latest
	}
}

// racingLog calls beforeAppend once, between an operator's read and append.
type racingLog struct {
	platformlog.Log
	beforeAppend func()
}

func (l *racingLog) Append(ctx context.Context, stream string, record []byte) (uint64, error) {
	if l.beforeAppend != nil {
		f := l.beforeAppend
		l.beforeAppend = nil
		f()
	}
	return l.Log.Append(ctx, stream, record)
}

type process struct {
	replica    *config.Replica
	follower   *follower.Follower // nil on an agent
	maxVersion uint64             // highest version that was in force
}

type frame struct {
	position uint64
	update   []byte
}

// connection is a connection between an entry and an agent. Its frames may be delivered
// late or more than once.
type connection struct {
	entryLink, agentLink *config.Link
	toEntry, toAgent     []frame
}

type undecidedChange struct {
	id   string
	base uint64
}

type fleet struct {
	t           *rapid.T
	log         *logfake.Log
	clock       *clock.Fake
	model       *logModel
	entries     []*process
	agents      []*process
	connections map[[2]int]*connection
	undecided   []undecidedChange
	rejectedIDs []string // ids of changes that were reported as not accepted
	nextID      int
	seed        uint64
}

func newFleet(t *rapid.T) *fleet {
	f := &fleet{t: t, log: logfake.New(), clock: clock.NewFake(time.Unix(1000, 0)), connections: map[[2]int]*connection{},
		model: &logModel{contents: map[uint64]map[string]int64{0: {}}, acceptedVersions: map[string]uint64{}, writtenIDs: map[string]bool{}}}
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
	return &process{replica: config.NewReplica(config.Location{}, f.clock, logr.Discard())}
}

func (f *fleet) rng() *rand.Rand {
	f.seed++
	return rand.New(rand.NewPCG(f.seed, 1))
}

func (f *fleet) startEntry(i int) {
	p := f.newProcess()
	p.follower = follower.New(follower.Options{Log: f.log, Replica: p.replica, Clock: f.clock,
		Logger: logr.Discard(), Rand: f.rng(), SnapshotInterval: time.Minute})
	f.entries[i] = p
	for key := range f.connections {
		if key[0] == i {
			delete(f.connections, key)
		}
	}
}

func (f *fleet) connection(e, a int) *connection {
	p, ok := f.connections[[2]int{e, a}]
	if !ok {
		p = &connection{entryLink: config.NewEntryLink(f.entries[e].replica, f.rng()), agentLink: config.NewAgentLink(f.agents[a].replica, f.rng())}
		f.connections[[2]int{e, a}] = p
	}
	return p
}

// exchangeFrames sends a frame each way and delivers one of those sent so far each way.
func (f *fleet) exchangeFrames(e, a int, pick func(n int) int) {
	p := f.connection(e, a)
	send := func(l *config.Link, queue *[]frame) {
		position, update := l.PrepareFrame(f.clock.Now())
		*queue = append(*queue, frame{position, update})
	}
	receive := func(l *config.Link, queue []frame) {
		fr := queue[pick(len(queue))]
		Expect(l.Receive(fr.position, fr.update)).To(Succeed())
	}
	send(p.agentLink, &p.toEntry)
	receive(p.entryLink, p.toEntry)
	send(p.entryLink, &p.toAgent)
	receive(p.agentLink, p.toAgent)
}

func (f *fleet) change(base uint64) *config.Change {
	f.nextID++
	team := rapid.IntRange(0, teams-1).Draw(f.t, "team")
	c := setQuota(base, fmt.Sprint(team), int64(f.nextID))
	c.ID = fmt.Sprint("c", f.nextID)
	return c
}

// publishChange publishes an operator's change. As many other changes as rivals are
// published between its read and its append.
func (f *fleet) publishChange(rivals int) {
	raceLog := &racingLog{Log: f.log}
	if rivals > 0 {
		raceLog.beforeAppend = func() { f.publishChange(rivals - 1) }
	}
	publisher := config.NewPublisher(raceLog, readOnce)
	fold, _, err := publisher.Load(context.Background())
	if err != nil {
		return
	}
	c := f.change(fold.State().Version)
	state, err := publisher.Publish(context.Background(), c)
	f.updateModel()
	f.checkPublishResult(c, state, err)
}

// checkPublishResult checks an operator's result against the model.
func (f *fleet) checkPublishResult(c *config.Change, state *config.State, err error) {
	if err == nil {
		Expect(f.model.acceptedVersions).To(HaveKeyWithValue(c.ID, state.Version), "reported as accepted, but not accepted in the log")
		return
	}
	switch codeOf(err) {
	case fault.ConfigUndecided:
		f.undecided = append(f.undecided, undecidedChange{c.ID, c.Base})
	case fault.ConfigNotTaken:
		Expect(f.model.writtenIDs).NotTo(HaveKey(c.ID), "reported as not written, but in the log")
		f.rejectedIDs = append(f.rejectedIDs, c.ID)
	case fault.ConfigConflict:
		f.rejectedIDs = append(f.rejectedIDs, c.ID)
	default:
		f.t.Fatalf("unexpected: %v", err)
	}
}

// resolve resolves an undecided change and checks the result against the model.
func (f *fleet) resolve(i int) {
	q := f.undecided[i]
	r, err := config.NewPublisher(f.log, readOnce).Resolve(context.Background(), q.id, q.base)
	var conflict *config.ConflictError
	switch {
	case err == nil:
		Expect(f.model.acceptedVersions).To(HaveKeyWithValue(q.id, r.Version))
	case errors.As(err, &conflict):
		f.rejectedIDs = append(f.rejectedIDs, q.id)
	}
}

// updateModel passes new records to the model, before retention can drop them.
func (f *fleet) updateModel() {
	faults := f.log.Faults()
	f.log.SetFaults(logfake.Faults{})
	defer f.log.SetFaults(faults)
	for {
		records, next, err := f.log.Read(context.Background(), config.Stream, f.model.nextOffset, 0)
		Expect(err).NotTo(HaveOccurred())
		f.model.observe(records)
		f.model.nextOffset = next
		if len(records) == 0 {
			return
		}
	}
}

// checkInvariants checks what must hold after every action.
func (f *fleet) checkInvariants() {
	f.updateModel()
	for _, p := range append(append([]*process(nil), f.entries...), f.agents...) {
		s := p.replica.Get().State
		Expect(s.Version).To(BeNumerically(">=", p.maxVersion), "the version decreased")
		p.maxVersion = s.Version
		want, ok := f.model.contents[s.Version]
		Expect(ok).To(BeTrue(), "version %d was never accepted", s.Version)
		Expect(quotasOf(s)).To(Equal(want), "version %d has another content than the accepted one", s.Version)
	}
	for _, id := range f.rejectedIDs {
		Expect(f.model.acceptedVersions).NotTo(HaveKey(id), "reported as not accepted, but accepted in the log")
	}
}

// stabilise removes all faults, and polls and exchanges frames until the fleet converges.
func (f *fleet) stabilise() {
	f.log.SetFaults(logfake.Faults{})
	f.log.ApplyDelayed(config.Stream)
	for range 60 {
		f.clock.Advance(5 * time.Second)
		for e := range f.entries {
			f.entries[e].follower.Poll(context.Background())
			for a := range f.agents {
				f.exchangeFrames(e, a, func(n int) int { return n - 1 })
			}
		}
	}
	f.checkInvariants()
}

// TestSchedules runs random schedules in which operators publish concurrently, the log is
// unavailable, writes records late, loses replies and drops old records, entries restart
// without state, and frames arrive late and repeatedly. If the configuration of a process
// returned to an older version, a lifted limit would apply again or a drained target would
// get work. If an accepted change were lost, an operator would rely on one that is not in
// force. If two changes on one base were accepted, one would silently overwrite the other.
func TestSchedules(t *testing.T) {
	RegisterTestingT(t)
	converged, restarted := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		registerFailHandler(t)
		f := newFleet(t)
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { f.checkInvariants() },
			"operate": func(*rapid.T) {
				f.publishChange(rapid.IntRange(0, 2).Draw(t, "rivals"))
			},
			"resolve": func(t *rapid.T) {
				if len(f.undecided) == 0 {
					t.Skip()
				}
				f.resolve(pick(len(f.undecided)))
			},
			"poll":       func(*rapid.T) { f.entries[pick(entries)].follower.Poll(context.Background()) },
			"talk":       func(*rapid.T) { f.exchangeFrames(pick(entries), pick(agents), pick) },
			"reconnect":  func(*rapid.T) { delete(f.connections, [2]int{pick(entries), pick(agents)}) },
			"wait":       func(*rapid.T) { f.clock.Advance(time.Duration(pick(120)) * time.Second) },
			"restart":    func(*rapid.T) { f.startEntry(pick(entries)) },
			"land":       func(*rapid.T) { f.log.ApplyDelayed(config.Stream) },
			"well again": func(*rapid.T) { f.log.SetFaults(logfake.Faults{}) },
			"fault": func(*rapid.T) {
				f.log.SetFaults([]logfake.Faults{{Unavailable: true}, {ReadsUnavailable: true}, {LoseAnswers: true}, {DelayAppends: true}}[pick(4)])
			},
			"truncate": func(*rapid.T) {
				f.updateModel()
				lowest, end := f.log.Bounds(config.Stream)
				f.log.Truncate(config.Stream, lowest+uint64(pick(int(end-lowest)+1)))
			},
		})
		f.stabilise()
		if f.checkConvergence() {
			converged++
		} else {
			restarted++
		}
	})
	RegisterTestingT(t)
	t.Logf("schedules: %d converged on the newest accepted version, %d needed an operator's restart first", converged, restarted)
	Expect(converged).To(BeNumerically(">", restarted), "too few schedules converge without a restart to test convergence")
}

// checkConvergence checks that all processes of a stabilised fleet have the newest accepted
// version, and reports whether they did without a restart of the configuration. If the log
// dropped records that no running process has read, the operators' tool must refuse changes
// until an operator restarts the configuration from the newest state of any process.
func (f *fleet) checkConvergence() bool {
	publisher := config.NewPublisher(f.log, readOnce)
	_, _, err := publisher.Load(context.Background())
	restarted := err != nil
	if restarted {
		Expect(codeOf(err)).To(Equal(fault.ConfigNotTaken))
		newest := &config.State{}
		for _, p := range f.entries {
			Expect(p.follower.Contiguous()).To(BeFalse(), "a contiguous follower wrote no snapshot")
			if s := p.replica.Get().State; s.Version > newest.Version {
				newest = s
			}
		}
		_, err = publisher.Restart(context.Background(), newest, "ops", "records were lost")
		Expect(err).NotTo(HaveOccurred())
		f.stabilise()
	}
	for _, p := range append(append([]*process(nil), f.entries...), f.agents...) {
		Expect(p.replica.Get().State.Version).To(Equal(f.model.latest), "the newest version is not in force everywhere")
	}
	return !restarted
}

// registerFailHandler reports gomega's failures to rapid, so that rapid shrinks the schedule
// and prints its seed.
func registerFailHandler(t *rapid.T) {
	RegisterFailHandler(func(message string, _ ...int) { t.Fatalf("%s", message) })
}
