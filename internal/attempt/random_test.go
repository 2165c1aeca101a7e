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

// init makes schedules long enough for several faults to meet; the command line
// may still say otherwise.
func init() { _ = flag.Set("rapid.steps", "200") }

// fakeOwner follows the protocol as an entry must.
type fakeOwner struct {
	id                       job.Incarnation
	conn                     attempt.ConnID
	granted, spent, returned uint64
	nextSeq                  uint64
	open                     map[uint64]bool
	outcome                  map[uint64]wire.AttemptState
}

func (o *fakeOwner) credits() int { return int(o.granted - o.spent - o.returned) }

func (o *fakeOwner) settled() uint64 {
	lowest := o.nextSeq
	for seq := range o.open {
		lowest = min(lowest, seq)
	}
	return lowest
}

// pipe is a connection; what is under way on it may arrive even after both ends
// have given it up.
type pipe struct {
	owner   *fakeOwner
	welcome bool
	toAgent []*wire.ToAgent
	toOwner []*wire.ToEntry
}

// world connects owners to one table through pipes that cut, delay and repeat.
type world struct {
	t      *rapid.T
	table  *attempt.Table
	now    time.Time
	policy attempt.Policy
	slots  int
	pipes  map[attempt.ConnID]*pipe
	owners []*fakeOwner
	nextID job.Incarnation
	last   attempt.ConnID
	began  map[attempt.Key]bool
	active []attempt.Key
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: epoch, pipes: map[attempt.ConnID]*pipe{}, began: map[attempt.Key]bool{}}
	w.slots = rapid.IntRange(1, 5).Draw(t, "slots")
	w.policy = rapid.SampledFrom([]attempt.Policy{attempt.Grants, attempt.Push}).Draw(t, "policy")
	w.table = newTable(w, w.policy, w.slots)
	for range rapid.IntRange(1, 3).Draw(t, "owners") {
		w.owners = append(w.owners, w.newOwner())
	}
	return w
}

func (w *world) newOwner() *fakeOwner {
	w.nextID++
	return &fakeOwner{id: w.nextID, nextSeq: 1, open: map[uint64]bool{}, outcome: map[uint64]wire.AttemptState{}}
}

func (w *world) Send(c attempt.ConnID, f *wire.ToEntry) {
	w.pipes[c].toOwner = append(w.pipes[c].toOwner, f)
}
func (w *world) Close(attempt.ConnID) {}
func (w *world) Abort(attempt.Key)    {}
func (w *world) Run(k attempt.Key, _ wire.Start) {
	if w.began[k] {
		w.t.Fatalf("%v ran twice", k)
	}
	w.began[k] = true
	w.active = append(w.active, k)
	if len(w.active) > w.slots {
		w.t.Fatalf("%d running on %d slots", len(w.active), w.slots)
	}
	for _, o := range w.owners {
		if o.id == k.Owner && o.outcome[k.Seq] == wire.NotRun {
			w.t.Fatalf("%v ran after it was reported as not run", k)
		}
	}
}

func (w *world) owner() *fakeOwner { return rapid.SampledFrom(w.owners).Draw(w.t, "owner") }

func (w *world) send(o *fakeOwner, f *wire.ToAgent) {
	f.Settled = o.settled()
	w.pipes[o.conn].toAgent = append(w.pipes[o.conn].toAgent, f)
}

// connect dials anew: always without a connection, now and then beside one.
func (w *world) connect(t *rapid.T) {
	if o := w.owner(); o.conn == 0 || rapid.IntRange(0, 4).Draw(t, "beside") == 4 {
		w.dial(o)
	}
}

func (w *world) dial(o *fakeOwner) {
	w.last++
	o.conn = w.last
	o.granted, o.spent, o.returned = 0, 0, 0
	w.pipes[o.conn] = &pipe{owner: o}
	w.send(o, &wire.ToAgent{Queries: slices.Sorted(maps.Keys(o.open))})
}

func (w *world) startTasks(t *rapid.T) {
	o := w.owner()
	f := &wire.ToAgent{Demand: &wire.Demand{
		Waiting: rapid.IntRange(0, 4).Draw(t, "waiting"), RankMs: int64(rapid.IntRange(0, 3).Draw(t, "rank")), Returned: o.returned,
	}}
	for (w.policy == attempt.Push || o.credits() > 0) && rapid.Bool().Draw(t, "another") {
		s := start(o.nextSeq)
		s.DeadlineMs = w.now.Add(time.Duration(rapid.SampledFrom([]int{9000, 900, 90, 0}).Draw(t, "deadline")) * time.Millisecond).UnixMilli()
		o.open[o.nextSeq] = true
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

func (w *world) cancel(t *rapid.T) {
	if o := w.owner(); o.conn != 0 {
		w.send(o, &wire.ToAgent{Cancels: slices.Sorted(maps.Keys(o.open))})
	}
}

// deliver moves some frames on an owner's present connection.
func (w *world) deliver(t *rapid.T) {
	o := w.owner()
	p := w.pipes[o.conn]
	for range rapid.IntRange(1, 6).Draw(t, "frames") {
		switch {
		case p != nil && len(p.toAgent) > 0 && (len(p.toOwner) == 0 || rapid.Bool().Draw(t, "down")):
			w.toAgent(o.conn, p, rapid.IntRange(0, 9).Draw(t, "repeat") == 7)
		case p != nil && len(p.toOwner) > 0:
			w.toOwner(o.conn, p)
		}
	}
}

// late delivers a frame of any connection, those given up long ago too.
func (w *world) late(t *rapid.T) {
	id, p := w.anyPipe(t)
	if len(p.toAgent) > 0 {
		w.toAgent(id, p, false)
	}
}

func (w *world) anyPipe(t *rapid.T) (attempt.ConnID, *pipe) {
	ids := slices.Sorted(maps.Keys(w.pipes))
	if len(ids) == 0 {
		t.Skip("no connection")
	}
	id := rapid.SampledFrom(ids).Draw(t, "pipe")
	return id, w.pipes[id]
}

func (w *world) toAgent(id attempt.ConnID, p *pipe, repeated bool) {
	f := p.toAgent[0]
	if !repeated {
		p.toAgent = p.toAgent[1:]
	}
	if !p.welcome {
		p.welcome = true
		w.table.Connect(w.now, id, &wire.Welcome{Incarnation: p.owner.id})
	}
	if err := w.table.Receive(w.now, id, f); err != nil {
		w.t.Fatalf("a correct owner was refused: %v", err)
	}
	w.table.Flush()
}

func (w *world) toOwner(id attempt.ConnID, p *pipe) {
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
		w.settle(o, &f.Reports[i])
		if f.Reports[i].State.Final() {
			ack.Acks = append(ack.Acks, f.Reports[i].Seq)
		}
	}
	w.send(o, ack)
}

func (w *world) settle(o *fakeOwner, r *wire.Report) {
	ran := w.began[attempt.Key{Owner: o.id, Seq: r.Seq}]
	if r.State == wire.NotRun && ran || r.State == wire.Succeeded && !ran {
		w.t.Fatalf("untrue report %+v, ran %v", r, ran)
	}
	if !r.State.Final() || !o.open[r.Seq] {
		return
	}
	delete(o.open, r.Seq)
	o.outcome[r.Seq] = r.State
}

func (w *world) cut(t *rapid.T) {
	id, p := w.anyPipe(t)
	w.table.Disconnect(w.now, id)
	w.table.Flush()
	if p.owner.conn == id && rapid.Bool().Draw(t, "noticed") {
		p.owner.conn = 0
		p.owner.granted, p.owner.spent, p.owner.returned = 0, 0, 0
	}
}

func (w *world) finish(t *rapid.T) {
	if len(w.active) == 0 {
		t.Skip("nothing runs")
	}
	at := rapid.IntRange(0, len(w.active)-1).Draw(t, "call")
	k := w.active[at]
	w.active = slices.Delete(w.active, at, at+1)
	state := rapid.SampledFrom([]wire.AttemptState{wire.Succeeded, wire.FailedRun, wire.Unknown}).Draw(t, "state")
	w.table.CompleteCall(w.now, k, attempt.Outcome{State: state})
	w.table.Flush()
}

func (w *world) wait(t *rapid.T) {
	steps := []int{1, 300, 1500, 40000}
	w.now = w.now.Add(time.Duration(rapid.SampledFrom(steps).Draw(t, "ms")) * time.Millisecond)
	w.table.Tick(w.now)
	w.table.Flush()
}

func (w *world) changeTarget(t *rapid.T) {
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

func (w *world) replaceOwner(t *rapid.T) {
	if rapid.IntRange(0, 5).Draw(t, "spared") != 5 {
		t.Skip("lives on")
	}
	at := rapid.IntRange(0, len(w.owners)-1).Draw(t, "dies")
	w.table.Disconnect(w.now, w.owners[at].conn)
	w.owners[at] = w.newOwner()
}

// calm ends all faults and lets everything arrive. Then nothing may be left over.
func (w *world) calm() {
	for id := range w.pipes {
		w.table.Disconnect(w.now, id)
	}
	w.pipes = map[attempt.ConnID]*pipe{}
	w.table.SetTarget(w.now, wire.Target{Name: "t", Slots: w.slots})
	for _, o := range w.owners {
		w.dial(o)
	}
	for busy := true; busy; {
		busy = len(w.active) > 0
		for len(w.active) > 0 {
			k := w.active[0]
			w.active = w.active[1:]
			w.table.CompleteCall(w.now, k, attempt.Outcome{State: wire.Succeeded})
			w.table.Flush()
		}
		for _, id := range slices.Sorted(maps.Keys(w.pipes)) {
			for p := w.pipes[id]; len(p.toAgent) > 0 || len(p.toOwner) > 0; busy = true {
				if len(p.toAgent) > 0 {
					w.toAgent(id, p, false)
				} else {
					w.toOwner(id, p)
				}
			}
		}
	}
}

// Over any order of cuts, late and repeated frames, dying owners, cancellations
// and changes of the target: no attempt begins twice or after it was called not
// run, slots are never exceeded, and once it is calm no attempt, credit or slot is
// lost. A user would notice a doubled effect, or a target that stays partly idle.
func TestRandomSchedules(t *testing.T) {
	invariant.SetCrashOnBreach(true)
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"connect": w.connect, "start": w.startTasks, "start2": w.startTasks, "cancel": w.cancel,
			"deliver": w.deliver, "deliver2": w.deliver, "deliver3": w.deliver, "late": w.late, "finish": w.finish,
			"finish2": w.finish, "cut": w.cut, "wait": w.wait, "target": w.changeTarget, "replace": w.replaceOwner,
		})
		w.calm()
		s := w.table.Status()
		if s.Running != 0 || s.Waiting != 0 || w.policy == attempt.Grants && s.UnspentCredits != w.slots {
			t.Fatalf("slots lost: %+v", s)
		}
		for _, o := range w.owners {
			if len(o.open) > 0 {
				t.Fatalf("owner %s never heard of %v", o.id, o.open)
			}
		}
		for _, o := range s.Owners {
			if o.Connected && o.RememberedAttempts > 0 {
				t.Fatalf("attempts remembered after all were settled: %+v", o)
			}
		}
	})
}
