// Package fleet_test simulates a fleet: it runs the control state of entries and agents together
// under random schedules of kills, cuts, freezes, lost and late frames, and checks the answers to
// callers and the task starts at targets. It uses no network and a simulated clock.
package fleet_test

import (
	"bytes"
	"flag"
	"fmt"
	"net/netip"
	"time"

	"github.com/go-logr/logr"
	"pgregory.net/rapid"

	"github.com/camphorrack/camphorrack/internal/attempt"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/invariant"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/owner"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// Number of schedules, and of steps per schedule. Schedules run fast, and the defaults of rapid are
// too low to reach rare orders of events.
const (
	defaultChecks = "2000"
	defaultSteps  = "80"
)

func init() {
	invariant.SetCrashOnBreach(true)
	// The errors are ignored because both values are numbers. Flags on the command line are parsed
	// later and take precedence.
	_ = flag.Set("rapid.checks", defaultChecks)
	_ = flag.Set("rapid.steps", defaultSteps)
}

var idKey = job.Key("0123456789abcdef")

// simulation is a fleet in which the control state of entries and agents is real, and processes,
// connections, targets and time are simulated.
type simulation struct {
	t       *rapid.T
	now     time.Time
	entries []*entry
	agents  []*agent
	links   []*link
	lastID  uint64

	submissions     []*submission
	byID            map[string]*submission
	startCounts     map[string]int        // "job/task" -> starts at targets, less those reported as not run
	taskByAttempt   map[attemptID]taskRef // the task that each attempt has started
	successReported map[taskRef]bool      // tasks whose success has been reported to the owner
	counts          scheduleCounts
}

// entry is one process of an entry. A restart replaces it by another with the same index.
type entry struct {
	simulation   *simulation
	index        int
	core         *owner.Core
	owner        job.Owner
	frozen       bool
	heldRequests []func() // requests that arrived while it was frozen
}

// agent is one process of an agent, with its target. A restart replaces it by another with the
// same index.
type agent struct {
	simulation   *simulation
	index        int
	incarnation  job.Incarnation
	table        *attempt.Table
	target       wire.Target
	frozen       bool
	clockAhead   time.Duration // offset of its clock from the simulation's
	leavingSince time.Time     // since when its target has been leaving; zero if it is not
	running      []runningCall
}

// runningCall is a task that runs at a target.
type runningCall struct {
	key   attempt.Key
	start wire.Start
}

// link is one connection. While a direction is cut, its frames are queued; they arrive late, or
// never if the connection is closed before.
type link struct {
	id         uint64
	entry      *entry
	agent      *agent
	toEntry    [][]byte
	toAgent    [][]byte
	entryOpen  bool
	agentOpen  bool
	toEntryCut bool
	toAgentCut bool
	// A side that closes the connection itself is closing until it is notified of the end. Frames
	// that were read before may still be delivered to it.
	entryClosing bool
	agentClosing bool
	retired      bool // the agent has retired the session and recalled its credits
}

// submission is one submission and the answers that its callers have received.
type submission struct {
	request            *job.Submission
	owner              *entry
	accepted           bool
	finalAnswers       []job.Answer
	faults             []*fault.Fault
	reportedNotRun     bool     // a caller received the answer that nothing was run
	failedByOtherEntry bool     // an entry that is not the owner reported a failure, which is final
	answerLost         bool     // a complete answer did not reach its caller
	stopWaits          []func() // end the waits of callers that are still connected
	// lateResult is set if the result of a task reached the owner after the deadline.
	lateResult bool
}

// attemptID identifies an attempt in the whole fleet.
type attemptID struct {
	entry job.Incarnation
	seq   uint64
}

// taskRef identifies a task of a submission.
type taskRef struct {
	sub   *submission
	index int
}

// newSimulation starts entries and agents, all connected and past their start-up.
func newSimulation(t *rapid.T, entries, agents int) *simulation {
	sim := &simulation{t: t, now: time.UnixMilli(1_800_000_000_000), byID: map[string]*submission{}, startCounts: map[string]int{},
		taskByAttempt: map[attemptID]taskRef{}, successReported: map[taskRef]bool{}}
	for i := range entries {
		sim.entries = append(sim.entries, nil)
		sim.startEntry(i)
	}
	for i := range agents {
		sim.agents = append(sim.agents, nil)
		sim.startAgent(i)
		for j := range entries {
			sim.dial(sim.agents[i], sim.entries[j])
		}
	}
	sim.deliverAll()
	sim.advance(5 * time.Second) // longer than a new entry waits for its agents to connect
	return sim
}

func (sim *simulation) nextID() uint64 {
	sim.lastID++
	return sim.lastID
}

// startEntry starts a new process as the entry with the index; an earlier one has ended.
func (sim *simulation) startEntry(index int) {
	e := &entry{simulation: sim, index: index}
	e.owner = job.Owner{
		Incarnation: job.Incarnation(1000 + sim.nextID()),
		Addr:        netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(7000+index)),
	}
	e.core = owner.New(owner.Options{Owner: e.owner, Outbox: e, Log: logr.Discard()})
	e.core.Tick(sim.now)
	sim.entries[index] = e
}

// startAgent starts a new process as the agent with the index; an earlier one has ended.
func (sim *simulation) startAgent(index int) {
	a := &agent{simulation: sim, index: index, incarnation: job.Incarnation(2000 + sim.nextID())}
	a.target = wire.Target{Name: fmt.Sprintf("target-%d", index), Slots: 2, Speed: float64(index + 1), Capacity: job.Demand{MemoryMB: 4}}
	a.table = attempt.New(attempt.Options{Incarnation: a.incarnation, Log: logr.Discard(), Outbox: a})
	a.table.SetTarget(sim.now, a.target)
	sim.agents[index] = a
}

// Send implements owner.Outbox.
func (e *entry) Send(conn owner.ConnID, f *wire.ToAgent) {
	b, err := wire.Encode(f)
	if err != nil {
		e.simulation.t.Fatalf("encode: %v", err)
	}
	if l := e.simulation.link(uint64(conn)); l.entryOpen {
		l.toAgent = append(l.toAgent, b)
	}
}

// Close implements owner.Outbox.
func (e *entry) Close(conn owner.ConnID) {
	l := e.simulation.link(uint64(conn))
	l.entryOpen, l.entryClosing = false, true
}

// now returns the time by the agent's clock.
func (a *agent) now() time.Time { return a.simulation.now.Add(a.clockAhead) }

// Send implements attempt.Outbox.
func (a *agent) Send(conn attempt.ConnID, f *wire.ToEntry) {
	b, err := wire.Encode(f)
	if err != nil {
		a.simulation.t.Fatalf("encode: %v", err)
	}
	if l := a.simulation.link(uint64(conn)); l.agentOpen {
		l.toEntry = append(l.toEntry, b)
	}
}

// Close implements attempt.Outbox.
func (a *agent) Close(conn attempt.ConnID) {
	l := a.simulation.link(uint64(conn))
	l.agentOpen, l.agentClosing = false, true
}

// Run implements attempt.Outbox. The target starts the task.
func (a *agent) Run(k attempt.Key, s wire.Start) {
	a.running = append(a.running, runningCall{k, s})
	a.simulation.taskByAttempt[attemptID{k.Owner, k.Seq}] = taskRef{a.simulation.byID[s.Job], s.Task}
	a.simulation.checkStart(a, s)
}

// Abort implements attempt.Outbox. It does nothing, because a target may ignore an abort; the call
// ends with a random outcome like any other.
func (a *agent) Abort(attempt.Key) {}

func (sim *simulation) link(id uint64) *link {
	for _, l := range sim.links {
		if l.id == id {
			return l
		}
	}
	sim.t.Fatalf("no link %d", id)
	return nil
}

// dial opens a connection from an agent to an entry and sends the Hello frame.
func (sim *simulation) dial(a *agent, e *entry) {
	l := &link{id: sim.nextID(), entry: e, agent: a, entryOpen: true, agentOpen: true}
	hello := &wire.ToEntry{Hello: &wire.Hello{
		Version: wire.Version, Incarnation: a.incarnation, Worker: fmt.Sprintf("worker-%d", a.index), Target: a.target,
	}}
	b, err := wire.Encode(hello)
	if err != nil {
		sim.t.Fatalf("encode: %v", err)
	}
	l.toEntry = append(l.toEntry, b)
	sim.links = append(sim.links, l)
}

// deliverToEntry delivers the next frame of a connection to the entry. It reports whether there
// was one that could be delivered.
func (sim *simulation) deliverToEntry(l *link) bool {
	if len(l.toEntry) == 0 || !l.entryOpen && !l.entryClosing || l.toEntryCut || l.entry.frozen || !sim.isCurrent(l.entry) {
		return false
	}
	f, err := wire.Decode[wire.ToEntry](l.toEntry[0])
	l.toEntry = l.toEntry[1:]
	if err != nil {
		sim.t.Fatalf("decode: %v", err)
	}
	sim.recordLateResults(l.entry, f.Reports)
	core := l.entry.core
	if f.Hello != nil {
		core.Connect(sim.now, owner.ConnID(l.id), f.Hello)
	} else if err := core.Receive(sim.now, owner.ConnID(l.id), f); err != nil && !l.entryClosing {
		sim.t.Fatalf("entry refused a frame: %v", err)
	}
	core.Flush()
	return true
}

// recordLateResults marks the submissions of tasks whose first result reaches the owner after the
// deadline.
func (sim *simulation) recordLateResults(e *entry, reports []wire.Report) {
	for _, r := range reports {
		task, begun := sim.taskByAttempt[attemptID{e.owner.Incarnation, r.Seq}]
		if r.State != wire.Succeeded || !begun || sim.successReported[task] {
			continue
		}
		sim.successReported[task] = true
		task.sub.lateResult = task.sub.lateResult || !sim.now.Before(task.sub.request.ID.Deadline)
	}
}

// deliverToAgent delivers the next frame of a connection to the agent. It reports whether there
// was one that could be delivered.
func (sim *simulation) deliverToAgent(l *link) bool {
	if len(l.toAgent) == 0 || !l.agentOpen && !l.agentClosing || l.toAgentCut || l.agent.frozen || sim.agents[l.agent.index] != l.agent {
		return false
	}
	f, err := wire.Decode[wire.ToAgent](l.toAgent[0])
	l.toAgent = l.toAgent[1:]
	if err != nil {
		sim.t.Fatalf("decode: %v", err)
	}
	table := l.agent.table
	if f.Welcome != nil {
		table.Connect(l.agent.now(), attempt.ConnID(l.id), f.Welcome)
	}
	if err := table.Receive(l.agent.now(), attempt.ConnID(l.id), f); err != nil && !l.agentClosing {
		sim.t.Fatalf("agent refused a frame: %v", err)
	}
	table.Flush()
	return true
}

// maxFrames limits the frames that are delivered without time passing. A larger number means that
// an entry and an agent reply to each other's frames endlessly.
const maxFrames = 5000

// deliverAll delivers frames, including those sent in reply, until none can be delivered.
func (sim *simulation) deliverAll() {
	frames := 0
	for progress := true; progress; {
		progress = false
		for _, l := range sim.links {
			for sim.deliverToEntry(l) || sim.deliverToAgent(l) {
				progress = true
				if frames++; frames > maxFrames {
					sim.t.Fatalf("entry %d and agent %d exchange frames endlessly", l.entry.index, l.agent.index)
				}
				if frames > maxFrames-20 {
					sim.t.Logf("entry %d agent %d: toEntry %x toAgent %x", l.entry.index, l.agent.index, l.toEntry, l.toAgent)
				}
			}
		}
	}
}

// isCurrent reports whether the entry's process has not been replaced by a restart.
func (sim *simulation) isCurrent(e *entry) bool { return sim.entries[e.index] == e }

// closeEntrySide notifies the entry that a connection has ended.
func (sim *simulation) closeEntrySide(l *link) {
	if !l.entryOpen && !l.entryClosing || l.entry.frozen || !sim.isCurrent(l.entry) {
		return
	}
	l.entryOpen, l.entryClosing = false, false
	l.entry.core.Disconnect(sim.now, owner.ConnID(l.id))
	l.entry.core.Flush()
}

// closeAgentSide notifies the agent that a connection has ended.
func (sim *simulation) closeAgentSide(l *link) {
	if !l.agentOpen && !l.agentClosing || l.agent.frozen || sim.agents[l.agent.index] != l.agent {
		return
	}
	l.agentOpen, l.agentClosing = false, false
	l.agent.table.Disconnect(l.agent.now(), attempt.ConnID(l.id))
	l.agent.table.Flush()
}

// checkStart checks a start at a target: the task, its payload and deadline, the number of starts,
// and the slots and state of the target.
func (sim *simulation) checkStart(a *agent, s wire.Start) {
	sub := sim.byID[s.Job]
	if sub == nil {
		sim.t.Fatalf("a task of the unknown job %s started", s.Job)
	}
	name := fmt.Sprintf("%s/%d", s.Job, s.Task)
	sim.startCounts[name]++
	if sub.reportedNotRun {
		sim.t.Fatalf("%s started after it was reported as not run", name)
	}
	maxStarts := 1
	if sub.request.Idempotent {
		maxStarts = owner.MaxStarts
	}
	if sim.startCounts[name] > maxStarts {
		sim.t.Fatalf("%s started %d times", name, sim.startCounts[name])
	}
	if !bytes.Equal(s.Payload, taskPayload(s.Job, s.Task)) {
		sim.t.Fatalf("%s got another task's payload", name)
	}
	if len(a.running) > a.target.Slots {
		sim.t.Fatalf("%s runs %d tasks on %d slots", a.target.Name, len(a.running), a.target.Slots)
	}
	if !a.leavingSince.IsZero() && sim.now.Sub(a.leavingSince) > 3*time.Second {
		sim.t.Fatalf("%s got a new task %v after it began to leave", a.target.Name, sim.now.Sub(a.leavingSince))
	}
	if s.DeadlineMs <= sim.now.UnixMilli() {
		sim.t.Fatalf("%s started after its deadline", name)
	}
}

// taskPayload returns the payload of a task, which is unique to it.
func taskPayload(job string, task int) []byte { return fmt.Appendf(nil, "payload %s/%d", job, task) }

// taskResult returns the result of a task, which is unique to it.
func taskResult(job string, task int) []byte { return fmt.Appendf(nil, "result %s/%d", job, task) }

// finish ends the i-th running call of the agent's target with an outcome.
func (sim *simulation) finish(a *agent, i int, state wire.AttemptState) {
	c := a.running[i]
	a.running = append(a.running[:i:i], a.running[i+1:]...)
	out := attempt.Outcome{State: state, RunMs: 1}
	switch state {
	case wire.Succeeded:
		out.Result = taskResult(c.start.Job, c.start.Task)
	case wire.NotRun:
		out.Reason = wire.ReasonTargetUnavailable
		sim.startCounts[fmt.Sprintf("%s/%d", c.start.Job, c.start.Task)]--
	}
	a.table.CompleteCall(a.now(), c.key, out)
	a.table.Flush()
}
