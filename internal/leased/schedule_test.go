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
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/routing"
	"github.com/camphorrack/camphorrack/internal/runs"
	"github.com/camphorrack/camphorrack/internal/scheduler/lease"
	"github.com/camphorrack/camphorrack/internal/scheduler/reservation"
)

// This file simulates the control states of entries and runners with targets, sessions and
// callers. Random schedules lose and delay orders, end sessions at different times at their
// two ends, kill and suspend entries, kill runners, crash targets, start a second target of a host beside
// the first, and make callers disconnect and
// resubmit. In half of the schedules the targets are small, so that tasks wait and are reserved.
// Answers are checked against what the simulated targets executed.

const (
	step              = 5 * time.Millisecond
	resendDelay       = 1300 * time.Millisecond
	maxDetectionDelay = 750 * time.Millisecond // until an end detects the loss of the other
	entryCount        = 2
	hostCount         = 3
	maxLease          = time.Second
	heartbeatInterval = 150 * time.Millisecond
	verifyInterval    = 100 * time.Millisecond
)

var terms, _ = lease.NewTerms(maxLease, resendDelay)

// simWorld is the state of one simulated schedule.
type simWorld struct {
	t          *testing.T
	seed       uint64
	random     *rand.Rand
	trace      map[string][]string
	now        time.Time
	scheduled  map[time.Duration][]func() // actions by simulated time since the start
	elapsed    time.Duration
	entries    []*simEntry
	hosts      []*simHost
	log        simLog
	sessions   map[uint64]*simSession
	lastID     uint64
	activeRuns map[runs.Task]map[int]uint64 // runs by target
	starts     map[string]int               // by job
	done       map[runs.Task]int
	jobs       []*simJob
	crashes    map[runs.Task]int
	// applyingLateStart is set while a target executes a call that was sent seconds before.
	applyingLateStart bool
}

// simJob is a job and its caller.
type simJob struct {
	id            string
	tasks         int
	callerWaiting bool
	caller        *dispatch.Caller // of the last attempt
	entry         int
	attempt       int
	refused       bool // all attempts so far were answered "not run"
	complete      bool
	finished      bool
}

// draw returns a random number below n.
func (w *simWorld) draw(n int) int { return w.random.IntN(n) }

// logf adds an event to the trace of a job, which is printed if the test fails. Events of no
// particular job have the empty id.
func (w *simWorld) logf(job, format string, args ...any) {
	w.trace[job] = append(w.trace[job], fmt.Sprintf("%8s ", w.elapsed)+fmt.Sprintf(format, args...))
}

func (w *simWorld) fail(job, format string, args ...any) {
	w.t.Fatalf("seed %d: %s\n%s", w.seed, fmt.Sprintf(format, args...), strings.Join(append(w.trace[job], w.trace[""]...), "\n"))
}

// schedule runs an action after a simulated delay, at the earliest in the next step.
func (w *simWorld) schedule(delay time.Duration, action func()) {
	due := w.elapsed + max(delay, step)
	due -= due % step
	w.scheduled[due] = append(w.scheduled[due], action)
}

// taskStarted checks a start on a target: the task must not run on another one, its data
// centre must not be evacuated, and its job must not have been refused.
func (w *simWorld) taskStarted(id runs.RunID, target int) {
	w.starts[id.Task.Job]++
	w.logf(id.Task.Job, "task %d run %d starts on target %d", id.Task.Index, id.Number, target)
	if w.activeRuns[id.Task] == nil {
		w.activeRuns[id.Task] = map[int]uint64{}
	}
	w.activeRuns[id.Task][target] = id.Number
	if len(w.activeRuns[id.Task]) > 1 {
		w.fail(id.Task.Job, "task %v runs on two targets at once: %v", id.Task, w.activeRuns[id.Task])
	}
	w.checkEvacuated(id, target%hostCount)
	for _, j := range w.jobs {
		if j.id == id.Task.Job && j.finished && j.refused {
			w.fail(j.id, "task %v starts after its job was refused", id.Task)
		}
	}
}

func (w *simWorld) taskEnded(id runs.RunID, target int) {
	if w.activeRuns[id.Task][target] == id.Number {
		delete(w.activeRuns[id.Task], target)
		w.logf(id.Task.Job, "task %d run %d ends on target %d", id.Task.Index, id.Number, target)
	}
}

// waiting returns the mode of the entries: late binding, since the fleet is seldom short of capacity for
// long enough, and in every eighth schedule the one that follows the reports.
func (w *simWorld) waiting() reservation.Mode {
	if w.seed%8 == 7 {
		return reservation.WhileShort
	}
	return reservation.LateBinding
}

func (w *simWorld) newEntry(n int) *simEntry {
	e := &simEntry{Core: dispatch.New(dispatch.Options{Log: logr.Discard(), Outbox: entryOutbox{w, n}, LostRunLimit: terms.SettleLimit, RemoteFactor: 1.5, Waiting: w.waiting(),
		Now: func() time.Time { return w.now.Add(time.Duration(n) * time.Millisecond) }}), needsSnapshot: true}
	e.resetEvacuations()
	return e
}

func (w *simWorld) newTable(h *simHost) {
	h.table = runs.New(runs.Options{Log: logr.Discard(), Target: h, Outbox: hostOutbox{w}, DataCentre: dataCentre(h.n), Lease: terms})
	h.resetEvacuations()
	h.restore()
}

var simQueue = &routing.Queue{Name: "q", Service: "s", MaxAttempts: 2, Stretch: 2, LatencyAllowance: 900 * time.Millisecond}

// submit submits a job to an entry on behalf of its caller.
func (w *simWorld) submit(j *simJob, entry int) {
	j.callerWaiting, j.entry = true, entry
	j.attempt++
	attempt := j.attempt
	w.logf(j.id, "submitted to entry %d", entry)
	deadline := w.now.Add(time.Duration(1500+w.draw(4000)) * time.Millisecond)
	caller := &dispatch.Caller{WaitingAt: func(now time.Time) (time.Time, bool) {
		return now, j.attempt != attempt || !j.callerWaiting
	}}
	j.caller = caller
	w.command(entry, func(e *simEntry) {
		if j.attempt != attempt || !j.callerWaiting {
			return
		}
		e.Submit(w.now, &dispatch.Job{ID: j.id, Queue: simQueue, Deadline: deadline,
			Steps: []dispatch.Step{{Count: j.tasks, Demand: job.Demand{CPUMilli: taskCPUMilli}, Estimate: 150 * time.Millisecond}}}, caller,
			func(a dispatch.Answer) {
				if j.attempt == attempt && j.callerWaiting {
					w.handleAnswer(j, a)
				}
			})
	})
}

// command runs a command on an entry once its control state runs.
func (w *simWorld) command(entry int, run func(*simEntry)) {
	if paused := w.entries[entry].pausedFor(w); paused > 0 {
		w.schedule(paused, func() { w.command(entry, run) })
		return
	}
	run(w.entries[entry])
}

// handleAnswer checks an answer against what the targets executed.
func (w *simWorld) handleAnswer(j *simJob, a dispatch.Answer) {
	j.callerWaiting = false
	w.logf(j.id, "answer %d %v", a.Kind, a.Fault)
	switch a.Kind {
	case dispatch.AnswerComplete:
		for i := range j.tasks {
			if w.done[runs.Task{Job: j.id, Index: i}] == 0 {
				w.fail(j.id, "job %s is answered as complete, but task %d never completed", j.id, i)
			}
		}
		j.complete, j.finished, j.refused = true, true, false
	case dispatch.AnswerFailed:
		j.finished, j.refused = true, false
	case dispatch.AnswerNotRun:
		j.finished = true
		if j.refused && w.starts[j.id] > 0 {
			w.fail(j.id, "job %s is answered as not run, but %d of its tasks were started", j.id, w.starts[j.id])
		}
	default:
		w.resubmitLater(j)
	}
}

// resubmitLater makes the caller resubmit its job to any entry after resendDelay. After three
// attempts it gives up.
func (w *simWorld) resubmitLater(j *simJob) {
	j.callerWaiting, j.refused = false, false
	if j.attempt >= 3 {
		j.finished = true
		return
	}
	entry := w.draw(entryCount)
	w.schedule(resendDelay, func() { w.submit(j, entry) })
}

// injectFault injects one random fault or change.
func (w *simWorld) injectFault() {
	switch w.draw(15) {
	case 14: // a second target starts on a host, and one of the two ends later
		w.hosts[w.draw(hostCount)].succeed()
	case 13: // the control state of an entry is late, and its sessions go on acknowledging frames
		if !w.confirms() {
			return
		}
		e := w.entries[w.draw(entryCount)]
		e.lateUntil = w.elapsed + time.Duration(w.draw(2500))*time.Millisecond
		w.logf("", "an entry is late until %s", e.lateUntil)
	case 12: // the calls that start and stop runs on a target are lost, and renewals get through
		h := w.hosts[w.draw(hostCount)]
		h.ordersLostUntil = w.elapsed + time.Duration(1000+w.draw(4000))*time.Millisecond
		w.logf("", "orders to target %d are lost until %s", h.n, h.ordersLostUntil)
	case 11: // an entry is suspended, for less time than its agents take to detect that
		w.entries[w.draw(entryCount)].suspendedUntil = w.elapsed + time.Duration(w.draw(300))*time.Millisecond
	case 10: // a target's capacity changes and is announced
		h := w.hosts[w.draw(hostCount)]
		h.target.capacityMilli = taskCPUMilli * (1 + w.draw(5))
		w.logf("", "target %d has a capacity of %d", h.n, h.target.capacityMilli)
		w.schedule(time.Duration(w.draw(300))*time.Millisecond, h.announce)
	case 7: // an operator evacuates a data centre, or lifts an evacuation
		w.log.appendRecord(w, dataCentre(w.draw(hostCount)), w.draw(2) == 0)
	case 8: // the log drops its history
		w.log.firstOffset = len(w.log.records)
	case 9: // the log rejects one entry for a while, or none
		rejected := w.draw(2 * entryCount)
		for n, e := range w.entries {
			e.logUnavailable = n == rejected
		}
	case 0: // a session breaks
		for _, s := range w.sessionsByAge() {
			if !s.broken && w.draw(4) == 0 {
				w.disconnect(s, time.Duration(w.draw(int(maxDetectionDelay/time.Millisecond)))*time.Millisecond, time.Duration(w.draw(int(maxDetectionDelay/time.Millisecond)))*time.Millisecond)
				return
			}
		}
	case 1: // an entry is killed: its connections close at once
		n := w.draw(entryCount)
		for _, s := range w.sessionsByAge() {
			if s.entry == n && s.entryUp {
				s.entryUp = false
				w.disconnect(s, 0, step)
			}
		}
		w.entries[n] = w.newEntry(n)
		for _, j := range w.jobs {
			if j.callerWaiting && j.entry == n {
				w.resubmitLater(j)
			}
		}
	case 2: // a runner is killed and restarts; its target continues
		h := w.hosts[w.draw(hostCount)]
		for _, s := range w.sessionsByAge() {
			if s.host == h.n && s.hostUp {
				s.hostUp = false
				w.disconnect(s, step, 0)
			}
		}
		w.newTable(h)
		w.logf("", "runner %d restarts", h.n)
	case 3: // a target crashes and restarts under the same name
		h := w.hosts[w.draw(hostCount)]
		h.target.restart()
		w.schedule(time.Duration(w.draw(500))*time.Millisecond, h.announce)
	case 4: // a runner selects another entry: a session is retired
		for _, s := range w.sessionsByAge() {
			if s.hostUp && !s.broken && w.draw(4) == 0 {
				w.logf("", "session of entry %d and host %d is retired", s.entry, s.host)
				w.hosts[s.host].table.Retire(w.now, runs.ConnID(s.id))
				return
			}
		}
	default: // a caller disconnects
		for _, j := range w.jobs {
			if j.callerWaiting {
				w.logf(j.id, "its caller disconnects")
				j.callerWaiting = false // a later answer is ignored
				caller := j.caller
				w.command(j.entry, func(e *simEntry) { e.Abandon(w.now, caller) })
				w.resubmitLater(j)
				return
			}
		}
	}
}

// advance advances the simulated time by one step.
func (w *simWorld) advance() {
	w.elapsed += step
	w.now = w.now.Add(step)
	due := w.scheduled[w.elapsed]
	delete(w.scheduled, w.elapsed)
	for _, action := range due {
		action()
	}
	if w.elapsed%heartbeatInterval == 0 {
		for _, s := range w.sessionsByAge() {
			s.heartbeat(w)
		}
	}
	for _, h := range w.hosts {
		h.target.advance()
		if second := h.succession.second; second != nil {
			second.advance()
		}
		h.table.Tick(w.now)
		if w.elapsed%(6*step) == time.Duration(h.n)*step {
			h.renew()
		}
		h.table.Flush(w.now)
	}
	for n, e := range w.entries {
		if e.pausedFor(w) > 0 {
			continue
		}
		e.Tick(w.now)
		if w.elapsed%verifyInterval == 0 {
			e.verify(w, n)
		}
		if w.elapsed%(10*step) == time.Duration(n)*step {
			e.readLog(w)
		}
		e.Flush()
	}
}

// defaultSchedules is the number of schedules; the environment variable SCHEDULES overrides it.
const defaultSchedules = 60

// Guards against violated guarantees under combined faults: sessions break, processes are killed,
// targets crash or are at work beside their successors, orders are lost or late, callers disconnect and
// resubmit. No task runs twice at
// once, no job is answered as "not run" whose tasks ran or as "complete" whose tasks did not
// complete, every job gets an answer, nothing starts in an evacuated data centre or beyond the
// capacity that a target announced, and no task crashes target after target.
func TestSchedules(t *testing.T) {
	n := uint64(defaultSchedules)
	if override, err := strconv.ParseUint(os.Getenv("SCHEDULES"), 10, 64); err == nil {
		n = override
	}
	for seed := range n {
		runSchedule(t, seed)
	}
}

// runSchedule submits jobs and injects faults, and then checks that all replicas agree with the
// log and that all jobs are answered.
func runSchedule(t *testing.T, seed uint64) {
	w := &simWorld{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 3)), trace: map[string][]string{},
		now: time.Unix(1_800_000_000, 0), scheduled: map[time.Duration][]func(){}, sessions: map[uint64]*simSession{},
		activeRuns: map[runs.Task]map[int]uint64{}, starts: map[string]int{}, done: map[runs.Task]int{}, crashes: map[runs.Task]int{}}
	w.build()
	for n := range 150 {
		if w.draw(3) == 0 {
			prefix := "j"
			if w.draw(20) == 0 {
				prefix = crasherPrefix
			}
			j := &simJob{id: fmt.Sprint(prefix, n), tasks: 1 + w.draw(4), refused: true}
			w.jobs = append(w.jobs, j)
			w.submit(j, w.draw(entryCount))
		}
		if w.draw(6) == 0 {
			w.injectFault()
		}
		for range 1 + w.draw(6) {
			w.advance()
		}
	}
	for h := range hostCount {
		w.log.appendRecord(w, dataCentre(h), h != w.draw(hostCount))
	}
	for range 4000 {
		w.advance()
	}
	w.checkReplicas()
	for _, j := range w.jobs {
		if !j.finished {
			w.fail(j.id, "job %s has no answer", j.id)
		}
	}
}

// build starts the entries, hosts and sessions.
func (w *simWorld) build() {
	for n := range entryCount {
		w.entries = append(w.entries, w.newEntry(n))
	}
	for n := range hostCount {
		h := &simHost{w: w, n: n}
		h.target = &simTarget{w: w, host: h, n: n, capacityMilli: w.defaultCPUMilli()}
		h.target.restart()
		w.newTable(h)
		w.hosts = append(w.hosts, h)
	}
	for e := range entryCount {
		for h := range hostCount {
			w.connect(e, h)
		}
	}
	for range 20 {
		w.advance()
	}
}
