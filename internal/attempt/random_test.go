package attempt_test

import (
	"flag"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/camphorrack/camphorrack/internal/attempt"
	"github.com/camphorrack/camphorrack/internal/invariant"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// init makes schedules long enough for several faults to coincide; the command line can
// override it.
func init() { _ = flag.Set("rapid.steps", "200") }

// fakeOwner is an owner that follows the protocol as an entry must.
type fakeOwner struct {
	id                       job.Incarnation
	conn                     attempt.ConnID
	granted, spent, returned uint64
	nextSeq                  uint64
	unsettled                map[uint64]bool
	outcomes                 map[uint64]wire.AttemptState
}

func (o *fakeOwner) credits() int { return int(o.granted - o.spent - o.returned) }

func (o *fakeOwner) settledBelow() uint64 {
	lowest := o.nextSeq
	for seq := range o.unsettled {
		lowest = min(lowest, seq)
	}
	return lowest
}

// connection holds the frames in transit on one connection. They may arrive even after
// both ends have given it up.
type connection struct {
	owner    *fakeOwner
	welcomed bool
	toAgent  []*wire.ToAgent
	toOwner  []*wire.ToEntry
}

// simulation connects owners to one table through connections that break and that delay
// and repeat frames.
type simulation struct {
	t           *rapid.T
	table       *attempt.Table
	now         time.Time
	policy      attempt.Policy
	slots       int
	connections map[attempt.ConnID]*connection
	owners      []*fakeOwner
	nextID      job.Incarnation
	lastConn    attempt.ConnID
	begun       map[attempt.Key]bool
	running     []attempt.Key
}

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{t: t, now: epoch, connections: map[attempt.ConnID]*connection{}, begun: map[attempt.Key]bool{}}
	w.slots = rapid.IntRange(1, 5).Draw(t, "slots")
	w.policy = rapid.SampledFrom([]attempt.Policy{attempt.Grants, attempt.Push}).Draw(t, "policy")
	w.table = newTable(w, w.policy, w.slots)
	for range rapid.IntRange(1, 3).Draw(t, "owners") {
		w.owners = append(w.owners, w.newOwner())
	}
	return w
}

func (w *simulation) newOwner() *fakeOwner {
	w.nextID++
	return &fakeOwner{id: w.nextID, nextSeq: 1, unsettled: map[uint64]bool{}, outcomes: map[uint64]wire.AttemptState{}}
}

func (w *simulation) Send(c attempt.ConnID, f *wire.ToEntry) {
	w.connections[c].toOwner = append(w.connections[c].toOwner, f)
}
func (w *simulation) Close(attempt.ConnID) {}
func (w *simulation) Abort(attempt.Key)    {}
func (w *simulation) Run(k attempt.Key, _ wire.Start) {
	if w.begun[k] {
		w.t.Fatalf("%v ran twice", k)
	}
	w.begun[k] = true
	w.running = append(w.running, k)
	if len(w.running) > w.slots {
		w.t.Fatalf("%d running on %d slots", len(w.running), w.slots)
	}
	for _, o := range w.owners {
		if o.id == k.Owner && o.outcomes[k.Seq] == wire.NotRun {
			w.t.Fatalf("%v ran after it was reported as not run", k)
		}
	}
}

func (w *simulation) anyOwner() *fakeOwner { return rapid.SampledFrom(w.owners).Draw(w.t, "owner") }

func (w *simulation) send(o *fakeOwner, f *wire.ToAgent) {
	f.Settled = o.settledBelow()
	w.connections[o.conn].toAgent = append(w.connections[o.conn].toAgent, f)
}

// connect dials a new connection for an owner without one, and sometimes for one that
// still has one.
func (w *simulation) connect(t *rapid.T) {
	if o := w.anyOwner(); o.conn == 0 || rapid.IntRange(0, 4).Draw(t, "beside") == 4 {
		w.dial(o)
	}
}

func (w *simulation) dial(o *fakeOwner) {
	w.lastConn++
	o.conn = w.lastConn
	o.granted, o.spent, o.returned = 0, 0, 0
	w.connections[o.conn] = &connection{owner: o}
	w.send(o, &wire.ToAgent{Queries: slices.Sorted(maps.Keys(o.unsettled))})
}

func (w *simulation) startTasks(t *rapid.T) {
	o := w.anyOwner()
	f := &wire.ToAgent{Demand: &wire.Demand{
		Waiting: rapid.IntRange(0, 4).Draw(t, "waiting"), RankMs: int64(rapid.IntRange(0, 3).Draw(t, "rank")), Returned: o.returned,
	}}
	for (w.policy == attempt.Push || o.credits() > 0) && rapid.Bool().Draw(t, "another") {
		s := start(o.nextSeq)
		s.DeadlineMs = w.now.Add(time.Duration(rapid.SampledFrom([]int{9000, 900, 90, 0}).Draw(t, "deadline")) * time.Millisecond).UnixMilli()
		o.unsettled[o.nextSeq] = true
		o.nextSeq++
		if w.policy == attempt.Grants {
			o.spent++
		}
		f.Starts = append(f.Starts, s)
	}
	if o.conn != 0 {
		w.send(o, f)
	}
}

func (w *simulation) cancel(t *rapid.T) {
	if o := w.anyOwner(); o.conn != 0 {
		w.send(o, &wire.ToAgent{Cancels: slices.Sorted(maps.Keys(o.unsettled))})
	}
}

// deliver delivers some frames on an owner's current connection.
func (w *simulation) deliver(t *rapid.T) {
	o := w.anyOwner()
	p := w.connections[o.conn]
	for range rapid.IntRange(1, 6).Draw(t, "frames") {
		switch {
		case p != nil && len(p.toAgent) > 0 && (len(p.toOwner) == 0 || rapid.Bool().Draw(t, "down")):
			w.toAgent(o.conn, p, rapid.IntRange(0, 9).Draw(t, "repeat") == 7)
		case p != nil && len(p.toOwner) > 0:
			w.toOwner(o.conn, p)
		}
	}
}

// deliverStale delivers a frame of any connection, including those given up long ago.
func (w *simulation) deliverStale(t *rapid.T) {
	id, p := w.anyConnection(t)
	if len(p.toAgent) > 0 {
		w.toAgent(id, p, false)
	}
}

func (w *simulation) anyConnection(t *rapid.T) (attempt.ConnID, *connection) {
	ids := slices.Sorted(maps.Keys(w.connections))
	if len(ids) == 0 {
		t.Skip("no connection")
	}
	id := rapid.SampledFrom(ids).Draw(t, "pipe")
	return id, w.connections[id]
}

func (w *simulation) toAgent(id attempt.ConnID, p *connection, repeated bool) {
	f := p.toAgent[0]
	if !repeated {
		p.toAgent = p.toAgent[1:]
	}
	if !p.welcomed {
		p.welcomed = true
		w.table.Connect(w.now, id, &wire.Welcome{Incarnation: p.owner.id})
	}
	if err := w.table.Receive(w.now, id, f); err != nil {
		w.t.Fatalf("frame of a correct owner was rejected: %v", err)
	}
	w.table.Flush()
}

func (w *simulation) toOwner(id attempt.ConnID, p *connection) {
	f := p.toOwner[0]
	p.toOwner = p.toOwner[1:]
	o := p.owner
	if o.conn != id {
		return
	}
	ack := &wire.ToAgent{}
	if f.Credits != nil {
		o.granted = f.Credits.Total
		o.returned += uint64(min(f.Credits.Recall, o.credits()))
		ack.Demand = &wire.Demand{Returned: o.returned}
	}
	for i := range f.Reports {
		w.applyReport(o, &f.Reports[i])
		if f.Reports[i].State.Final() {
			ack.Acks = append(ack.Acks, f.Reports[i].Seq)
		}
	}
	w.send(o, ack)
}

func (w *simulation) applyReport(o *fakeOwner, r *wire.Report) {
	ran := w.begun[attempt.Key{Owner: o.id, Seq: r.Seq}]
	if r.State == wire.NotRun && ran || r.State == wire.Succeeded && !ran {
		w.t.Fatalf("false report %+v, ran %v", r, ran)
	}
	if !r.State.Final() || !o.unsettled[r.Seq] {
		return
	}
	delete(o.unsettled, r.Seq)
	o.outcomes[r.Seq] = r.State
}

func (w *simulation) disconnect(t *rapid.T) {
	id, p := w.anyConnection(t)
	w.table.Disconnect(w.now, id)
	w.table.Flush()
	if p.owner.conn == id && rapid.Bool().Draw(t, "noticed") {
		p.owner.conn = 0
		p.owner.granted, p.owner.spent, p.owner.returned = 0, 0, 0
	}
}

func (w *simulation) finish(t *rapid.T) {
	if len(w.running) == 0 {
		t.Skip("no running call")
	}
	at := rapid.IntRange(0, len(w.running)-1).Draw(t, "call")
	k := w.running[at]
	w.running = slices.Delete(w.running, at, at+1)
	state := rapid.SampledFrom([]wire.AttemptState{wire.Succeeded, wire.FailedRun, wire.Unknown}).Draw(t, "state")
	w.table.CompleteCall(w.now, k, attempt.Outcome{State: state})
	w.table.Flush()
}

func (w *simulation) advanceTime(t *rapid.T) {
	steps := []int{1, 300, 1500, 40000}
	w.now = w.now.Add(time.Duration(rapid.SampledFrom(steps).Draw(t, "ms")) * time.Millisecond)
	w.table.Tick(w.now)
	w.table.Flush()
}

func (w *simulation) changeTarget(t *rapid.T) {
	target := wire.Target{Name: "t", Slots: w.slots}
	switch rapid.IntRange(0, 5).Draw(t, "state") {
	case 3:
		target.Slots = rapid.IntRange(0, w.slots).Draw(t, "slots")
	case 4:
		target.Leaving = true
	case 5:
		target.Down = true
	}
	w.table.SetTarget(w.now, target)
	w.table.Flush()
}

func (w *simulation) replaceOwner(t *rapid.T) {
	if rapid.IntRange(0, 5).Draw(t, "spared") != 5 {
		t.Skip("owner not replaced")
	}
	at := rapid.IntRange(0, len(w.owners)-1).Draw(t, "dies")
	w.table.Disconnect(w.now, w.owners[at].conn)
	w.owners[at] = w.newOwner()
}

// quiesce ends all faults, reconnects all owners and delivers all frames. No attempt may
// be left unsettled afterwards.
func (w *simulation) quiesce() {
	for id := range w.connections {
		w.table.Disconnect(w.now, id)
	}
	w.connections = map[attempt.ConnID]*connection{}
	w.table.SetTarget(w.now, wire.Target{Name: "t", Slots: w.slots})
	for _, o := range w.owners {
		w.dial(o)
	}
	for busy := true; busy; {
		busy = len(w.running) > 0
		for len(w.running) > 0 {
			k := w.running[0]
			w.running = w.running[1:]
			w.table.CompleteCall(w.now, k, attempt.Outcome{State: wire.Succeeded})
			w.table.Flush()
		}
		for _, id := range slices.Sorted(maps.Keys(w.connections)) {
			for p := w.connections[id]; len(p.toAgent) > 0 || len(p.toOwner) > 0; busy = true {
				if len(p.toAgent) > 0 {
					w.toAgent(id, p, false)
				} else {
					w.toOwner(id, p)
				}
			}
		}
	}
}

// Checks random schedules of disconnects, stale and repeated frames, replaced owners,
// cancellations and target changes. No attempt begins twice or after it was reported as
// not run, the slots are never exceeded, and after the faults end no attempt, credit or
// slot is lost. A violation shows as a task that takes effect twice or as a target that
// stays partly idle.
func TestRandomSchedules(t *testing.T) {
	invariant.SetCrashOnBreach(true)
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		t.Repeat(map[string]func(*rapid.T){
			"connect": w.connect, "start": w.startTasks, "start2": w.startTasks, "cancel": w.cancel,
			"deliver": w.deliver, "deliver2": w.deliver, "deliver3": w.deliver, "late": w.deliverStale, "finish": w.finish,
			"finish2": w.finish, "cut": w.disconnect, "wait": w.advanceTime, "target": w.changeTarget, "replace": w.replaceOwner,
		})
		w.quiesce()
		s := w.table.Status()
		if s.Running != 0 || s.Waiting != 0 || w.policy == attempt.Grants && s.UnspentCredits != w.slots {
			t.Fatalf("slots lost: %+v", s)
		}
		for _, o := range w.owners {
			if len(o.unsettled) > 0 {
				t.Fatalf("owner %s got no final report of %v", o.id, o.unsettled)
			}
		}
		for _, o := range s.Owners {
			if o.Connected && o.RememberedAttempts > 0 {
				t.Fatalf("attempts remembered after all were settled: %+v", o)
			}
		}
	})
}
