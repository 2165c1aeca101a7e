package leased_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/camphorrack/camphorrack/internal/dispatch"
	"github.com/camphorrack/camphorrack/internal/evacuation"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/routing"
	"github.com/camphorrack/camphorrack/internal/runs"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// The control states of entries and runners, with targets and sessions of a simulated
// world: random schedules of lost and late orders, sessions that end at different times at
// their two ends, killed entries and runners, targets that crash, and callers that leave
// and ask again. What targets saw decides whether an answer was true.

const (
	step       = 5 * time.Millisecond
	resend     = 1300 * time.Millisecond
	silentMost = 750 * time.Millisecond // until an end notices that the other is gone
	entryCount = 2
	hostCount  = 3
	lease      = time.Second
)

// simSession is a session between an entry and a host; each end may be gone for itself.
type simSession struct {
	id              uint64
	entry, host     int
	entryUp, hostUp bool
	lossy           bool // cut: nothing gets through any more
}

// simWorld is everything.
type simWorld struct {
	t        *testing.T
	seed     uint64
	random   *rand.Rand
	trace    map[string][]string
	now      time.Time
	later    map[time.Duration][]func() // by time since the start
	passed   time.Duration
	entries  []*simEntry
	hosts    []*simHost
	log      simLog
	sessions map[uint64]*simSession
	lastID   uint64
	active   map[runs.Task]map[int]uint64 // runs by target
	starts   map[string]int               // by job
	done     map[runs.Task]int
	jobs     []*simJob
	crashes  map[runs.Task]int
	// carriedOutLate is set while a target carries out a call of seconds before.
	carriedOutLate bool
}

// simJob is one job and its caller.
type simJob struct {
	id       string
	tasks    int
	open     bool // the caller waits
	entry    int
	attempt  int
	refused  bool // all attempts so far were answered "not run"
	complete bool
	over     bool
}

func (w *simWorld) draw(n int) int { return w.random.IntN(n) }

// note keeps what happened to a job, for the report of a failure.
func (w *simWorld) note(job, format string, args ...any) {
	w.trace[job] = append(w.trace[job], fmt.Sprintf("%8s ", w.passed)+fmt.Sprintf(format, args...))
}

func (w *simWorld) fail(job, format string, args ...any) {
	w.t.Fatalf("seed %d: %s\n%s", w.seed, fmt.Sprintf(format, args...), strings.Join(append(w.trace[job], w.trace[""]...), "\n"))
}

func (w *simWorld) at(after time.Duration, do func()) {
	due := w.passed + max(after, step)
	due -= due % step
	w.later[due] = append(w.later[due], do)
}

func (w *simWorld) began(id runs.RunID, target int) {
	w.starts[id.Task.Job]++
	w.note(id.Task.Job, "task %d run %d begins on %d", id.Task.Index, id.Number, target)
	if w.active[id.Task] == nil {
		w.active[id.Task] = map[int]uint64{}
	}
	w.active[id.Task][target] = id.Number
	if len(w.active[id.Task]) > 1 {
		w.fail(id.Task.Job, "task %v runs twice at once: %v", id.Task, w.active[id.Task])
	}
	w.checkEvacuated(id, target)
	for _, j := range w.jobs {
		if j.id == id.Task.Job && j.over && j.refused {
			w.fail(j.id, "task %v starts after its job was refused", id.Task)
		}
	}
}

func (w *simWorld) over(id runs.RunID, target int) {
	if w.active[id.Task][target] == id.Number {
		delete(w.active[id.Task], target)
		w.note(id.Task.Job, "task %d run %d is over on %d", id.Task.Index, id.Number, target)
	}
}

// entryOutbox and hostOutbox carry frames; what is sent into a cut is lost.
type entryOutbox struct {
	w     *simWorld
	entry int
}

func (o entryOutbox) Send(id dispatch.ConnID, f *wire.ToAgent) {
	s := o.w.sessions[uint64(id)]
	o.w.at(step, func() {
		if s.hostUp && !s.lossy {
			h := o.w.hosts[s.host]
			h.belief.MergeFromPeer(o.w.now, evacuation.PeerID(s.id), f.Leased.Evacuations)
			h.table.Receive(o.w.now, runs.ConnID(s.id), f.Leased)
		}
	})
}
func (o entryOutbox) Close(id dispatch.ConnID) { o.w.cut(o.w.sessions[uint64(id)], 0, 0) }

type hostOutbox struct{ w *simWorld }

func (o hostOutbox) Send(id runs.ConnID, f *wire.ToEntry) {
	s := o.w.sessions[uint64(id)]
	o.w.at(step, func() {
		if s.entryUp && !s.lossy {
			e := o.w.entries[s.entry]
			e.belief.MergeFromPeer(o.w.now, evacuation.PeerID(s.id), f.Leased.Evacuations)
			e.Receive(o.w.now, dispatch.ConnID(s.id), f.Leased)
		}
	})
}
func (o hostOutbox) Close(id runs.ConnID) { o.w.cut(o.w.sessions[uint64(id)], 0, 0) }

func (w *simWorld) connect(entry, host int) {
	w.lastID++
	s := &simSession{id: w.lastID, entry: entry, host: host, entryUp: true, hostUp: true}
	w.sessions[s.id] = s
	w.entries[entry].Connect(w.now, dispatch.ConnID(s.id), &wire.Hello{Worker: fmt.Sprint(host), DataCentre: dataCentre(host)})
	w.entries[entry].belief.PeerUp(evacuation.PeerID(s.id))
	w.hosts[host].table.Connect(w.now, runs.ConnID(s.id))
	w.hosts[host].belief.PeerUp(evacuation.PeerID(s.id))
}

// cut ends a session; each end notices after a time of its own, and a new session follows.
func (w *simWorld) cut(s *simSession, entryAfter, hostAfter time.Duration) {
	if s.lossy {
		return
	}
	s.lossy = true
	w.note("", "session of entry %d and host %d is cut; noticed after %s and %s", s.entry, s.host, entryAfter, hostAfter)
	w.at(entryAfter, func() {
		if s.entryUp {
			s.entryUp = false
			w.entries[s.entry].Disconnect(w.now, dispatch.ConnID(s.id))
			w.entries[s.entry].belief.PeerDown(evacuation.PeerID(s.id))
		}
	})
	w.at(hostAfter, func() {
		if s.hostUp {
			s.hostUp = false
			w.hosts[s.host].table.Disconnect(w.now, runs.ConnID(s.id))
			w.hosts[s.host].belief.PeerDown(evacuation.PeerID(s.id))
		}
	})
	w.at(max(entryAfter, hostAfter)+50*time.Millisecond, func() { w.connect(s.entry, s.host) })
}

func (w *simWorld) newEntry(n int) *simEntry {
	e := &simEntry{Core: dispatch.New(dispatch.Options{Log: logr.Discard(), Outbox: entryOutbox{w, n}, LeaseLimit: lease, RemoteFactor: 1.5,
		Now: func() time.Time { return w.now.Add(time.Duration(n) * time.Millisecond) }}), reread: true}
	e.believe()
	return e
}

func (w *simWorld) newTable(h *simHost) {
	h.table = runs.New(runs.Options{Log: logr.Discard(), Target: h, Outbox: hostOutbox{w}, DataCentre: dataCentre(h.n), LeaseLimit: lease})
	h.believe()
	h.announce()
}

var simQueue = &routing.Queue{Name: "q", Service: "s", MaxAttempts: 2, Stretch: 2, LatencyAllowance: 900 * time.Millisecond}

// submit hands a job in, as its caller does.
func (w *simWorld) submit(j *simJob, entry int) {
	j.open, j.entry = true, entry
	j.attempt++
	attempt := j.attempt
	w.note(j.id, "handed in at entry %d", entry)
	w.entries[entry].Submit(w.now, &dispatch.Job{ID: j.id, Queue: simQueue, Deadline: w.now.Add(time.Duration(1500+w.draw(4000)) * time.Millisecond),
		Steps: []dispatch.Step{{Count: j.tasks, Demand: job.Demand{CPUMilli: taskMilli}, Estimate: 150 * time.Millisecond}}},
		func(a dispatch.Answer) {
			if j.attempt == attempt && j.open {
				w.answered(j, a)
			}
		})
}

func (w *simWorld) answered(j *simJob, a dispatch.Answer) {
	j.open = false
	w.note(j.id, "answer %d %v", a.Kind, a.Fault)
	switch a.Kind {
	case dispatch.AnswerComplete:
		for i := range j.tasks {
			if w.done[runs.Task{Job: j.id, Index: i}] == 0 {
				w.fail(j.id, "job %s is complete, and task %d was never done", j.id, i)
			}
		}
		j.complete, j.over, j.refused = true, true, false
	case dispatch.AnswerFailed:
		j.over, j.refused = true, false
	case dispatch.AnswerNotRun:
		j.over = true
		if j.refused && w.starts[j.id] > 0 {
			w.fail(j.id, "job %s was refused, and %d tasks of it were started", j.id, w.starts[j.id])
		}
	default:
		w.lost(j)
	}
}

// lost lets the caller ask again, at any entry, after its pause.
func (w *simWorld) lost(j *simJob) {
	j.open, j.refused = false, false
	if j.attempt >= 3 {
		j.over = true
		return
	}
	entry := w.draw(entryCount)
	w.at(resend, func() { w.submit(j, entry) })
}

// trouble does one thing that goes wrong.
func (w *simWorld) trouble() {
	switch w.draw(11) {
	case 10: // a target's capacity changes, and it says so
		h := w.hosts[w.draw(hostCount)]
		h.target.capacityMilli = taskMilli * (1 + w.draw(5))
		w.note("", "target %d has %d", h.n, h.target.capacityMilli)
		w.at(time.Duration(w.draw(300))*time.Millisecond, h.announce)
	case 7: // an operator evacuates a data centre, or lifts that
		w.log.write(w, dataCentre(w.draw(hostCount)), w.draw(2) == 0)
	case 8: // the log forgets its history
		w.log.first = len(w.log.records)
	case 9: // the log turns one entry away for a while, and serves the other
		away := w.draw(2 * entryCount)
		for n, e := range w.entries {
			e.turnedAway = n == away
		}
	case 0: // a session is cut
		for _, s := range w.sessions {
			if !s.lossy && w.draw(4) == 0 {
				w.cut(s, time.Duration(w.draw(int(silentMost/time.Millisecond)))*time.Millisecond, time.Duration(w.draw(int(silentMost/time.Millisecond)))*time.Millisecond)
				return
			}
		}
	case 1: // an entry is killed: its connections end at once
		n := w.draw(entryCount)
		for _, s := range w.sessions {
			if s.entry == n && s.entryUp {
				s.entryUp = false
				w.cut(s, 0, step)
			}
		}
		w.entries[n] = w.newEntry(n)
		for _, j := range w.jobs {
			if j.open && j.entry == n {
				w.lost(j)
			}
		}
	case 2: // a runner is killed and starts again beside its target
		h := w.hosts[w.draw(hostCount)]
		for _, s := range w.sessions {
			if s.host == h.n && s.hostUp {
				s.hostUp = false
				w.cut(s, step, 0)
			}
		}
		w.newTable(h)
		w.note("", "runner %d starts again", h.n)
	case 3: // a target crashes and comes back under its name
		h := w.hosts[w.draw(hostCount)]
		h.target.reborn()
		w.at(time.Duration(w.draw(500))*time.Millisecond, h.announce)
	case 4: // a runner changes to another entry: a session runs out
		for _, s := range w.sessions {
			if s.hostUp && !s.lossy && w.draw(4) == 0 {
				w.note("", "session of entry %d and host %d is retired", s.entry, s.host)
				w.hosts[s.host].table.Retire(w.now, runs.ConnID(s.id))
				return
			}
		}
	default: // a caller leaves
		for _, j := range w.jobs {
			if j.open {
				w.note(j.id, "its caller leaves")
				j.open = false // its answer is not heard any more
				w.entries[j.entry].Abandon(w.now, j.id)
				w.lost(j)
				return
			}
		}
	}
}

func (w *simWorld) pass() {
	w.passed += step
	w.now = w.now.Add(step)
	due := w.later[w.passed]
	delete(w.later, w.passed)
	for _, do := range due {
		do()
	}
	for _, h := range w.hosts {
		h.target.pass()
		h.table.Tick(w.now)
		if w.passed%(6*step) == time.Duration(h.n)*step {
			h.renew()
		}
		h.table.Flush(w.now)
	}
	for n, e := range w.entries {
		e.Tick(w.now)
		if w.passed%(10*step) == time.Duration(n)*step {
			e.read(w)
		}
		e.Flush()
	}
}

// schedules is how many are played; SCHEDULES in the environment plays another number.
const schedules = 60

// Sessions end, processes are killed, targets crash, orders are lost and late, callers leave
// and ask again, at any moment and together. No task runs twice at a time, "not run" is
// never said of what ran, "complete" only of what is done, every job gets an answer, and
// nothing starts in an evacuated data centre or over what a target said that it has, and no
// task crashes target after target.
func TestSchedules(t *testing.T) {
	n := uint64(schedules)
	if more, err := strconv.ParseUint(os.Getenv("SCHEDULES"), 10, 64); err == nil {
		n = more
	}
	for seed := range n {
		play(t, seed)
	}
}

func play(t *testing.T, seed uint64) {
	w := &simWorld{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 3)), trace: map[string][]string{},
		now: time.Unix(1_800_000_000, 0), later: map[time.Duration][]func(){}, sessions: map[uint64]*simSession{},
		active: map[runs.Task]map[int]uint64{}, starts: map[string]int{}, done: map[runs.Task]int{}, crashes: map[runs.Task]int{}}
	w.build()
	for n := range 150 {
		if w.draw(3) == 0 {
			kind := "j"
			if w.draw(20) == 0 {
				kind = crasher
			}
			j := &simJob{id: fmt.Sprint(kind, n), tasks: 1 + w.draw(4), refused: true}
			w.jobs = append(w.jobs, j)
			w.submit(j, w.draw(entryCount))
		}
		if w.draw(6) == 0 {
			w.trouble()
		}
		for range 1 + w.draw(6) {
			w.pass()
		}
	}
	for h := range hostCount {
		w.log.write(w, dataCentre(h), h != w.draw(hostCount))
	}
	for range 4000 {
		w.pass()
	}
	w.checkBeliefs()
	for _, j := range w.jobs {
		if !j.over {
			w.fail(j.id, "job %s has no answer", j.id)
		}
	}
}

// build starts everything.
func (w *simWorld) build() {
	for n := range entryCount {
		w.entries = append(w.entries, w.newEntry(n))
	}
	for n := range hostCount {
		h := &simHost{w: w, n: n}
		h.target = &simTarget{w: w, n: n, capacityMilli: usualMilli}
		h.target.reborn()
		w.newTable(h)
		w.hosts = append(w.hosts, h)
	}
	for e := range entryCount {
		for h := range hostCount {
			w.connect(e, h)
		}
	}
	for range 20 {
		w.pass()
	}
}
