package dispatch

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/scheduler/earliest"
	"github.com/camphorrack/camphorrack/internal/scheduler/reservation"
	"github.com/camphorrack/camphorrack/internal/wire"
)

const (
	// reservationBytes is the size on the link of a reservation.
	reservationBytes = 70
	// reservationGrace is how much longer than its agent the entry keeps a reservation: the round
	// trip to an agent in another data centre. Then the agent has dropped it or its offer is here.
	reservationGrace = remoteHopMs * time.Millisecond
)

// taskReservation is a reservation of a task at one agent.
type taskReservation struct {
	seq       uint64 // in the agent's session
	agent     *agent
	job       *liveJob
	task      *task
	expiresAt time.Time
}

// reservedTask is the state of a task while it is reserved.
type reservedTask struct {
	list        []*taskReservation
	latestStart time.Time // none of them can be in time after it
	level       float64   // of the estimate that they were made by
}

// reserve reserves a waiting task that no target can start at once. It returns the task and its
// hosts for the log, or "" if the task is to be ordered at the target chosen.
func (c *Core) reserve(l *liveJob, t *task, request earliest.Task, chosen earliest.Choice) string {
	if chosen.FitsNow && t.crowdedReturns == 0 {
		return "" // as Plan decides; here nothing is allocated for it
	}
	if request.MaxPerTarget > 0 {
		return "" // the limit applies to orders, and the first offers may all be of one target
	}
	targets := reservation.Plan(c.options.Waiting.Applied(c.fairness.short[l.Queue.Service]), request, t.crowdedReturns > 0, chosen, c.candidates, c.takesReservations)
	list := targets.List()
	if len(list) == 0 {
		return ""
	}
	t.state, t.reserved = taskReserved, &reservedTask{list: make([]*taskReservation, 0, len(list)), level: l.level}
	l.reserved++
	line := append(strconv.AppendInt(append(strconv.AppendInt(make([]byte, 0, 96), int64(t.step), 10), '.'), int64(t.index), 10), '@')
	for _, choice := range list {
		a := c.candidateAgents[choice.Index]
		c.sendReservation(l, t, a, request, choice.Index)
		c.candidates[choice.Index].AddWait(request, choice.Index, reservation.BoundShare)
		line = append(append(line, a.host...), ',')
	}
	return string(line[:len(line)-1])
}

// takesReservations reports whether the candidate with index i understands reservations.
func (c *Core) takesReservations(i int) bool {
	return c.candidateAgents[i].features >= wire.ExtendedFeatures
}

// sendReservation queues a reservation for the agent, which is the candidate with index i.
func (c *Core) sendReservation(l *liveJob, t *task, a *agent, request earliest.Task, i int) {
	s := &l.Steps[t.step]
	a.nextSeq++
	slackMs, giveUpMs := c.waitLimits(l, clock.Millis(l.criticalPaths[t.step])/max(a.load.Speed, minSpeed))
	latestStart := c.now.Add(clock.FromMillis(giveUpMs))
	if latestStart.After(t.reserved.latestStart) {
		t.reserved.latestStart = latestStart
	}
	r := &taskReservation{seq: a.nextSeq, agent: a, job: l, task: t, expiresAt: latestStart.Add(reservationGrace)}
	if a.reservations == nil {
		a.reservations = map[uint64]*taskReservation{}
	}
	a.reservations[r.seq] = r
	t.reserved.list = append(t.reserved.list, r)
	a.uncounted = append(a.uncounted, uncountedOrder{seq: r.seq, task: earliest.Task{Demand: request.Demand, EstimateMs: request.EstimateMs}, index: i, reserved: true})
	reserved := wire.Reservation{
		Seq: r.seq, Job: l.ID, Step: t.step, Index: t.index, Demand: s.Demand, EstimateMs: request.EstimateMs,
		SlackMs: int64(slackMs), MaxWaitMs: int64(giveUpMs), Queue: l.Queue.Name, Priority: l.Queue.Priority, Width: len(l.tasks),
	}
	if a.features >= wire.DescribedFeatures {
		reserved.Description = a.target.Number
	}
	a.outgoing.Reservations = append(a.outgoing.Reservations, reserved)
	a.hasOutgoing = true
	c.link.Enqueue(c.now, reservationBytes)
	c.counts.Reservations++
}

// count includes the order or the reservation in the state of its agent's target.
func (u *uncountedOrder) count(cand *earliest.Candidate) {
	if u.reserved {
		cand.AddWait(u.task, u.index, reservation.BoundShare)
		return
	}
	cand.Reserve(u.task, u.index)
}

// handleOffers answers the offers of an agent: with an order for each task that is still
// reserved, and with a release otherwise.
func (c *Core) handleOffers(a *agent, offers []wire.Offer) {
	for i := range offers {
		c.counts.Offers++
		r := a.reservations[offers[i].Seq]
		if r != nil && c.bind(r) {
			continue
		}
		c.counts.OffersUnused++
		if r == nil {
			c.sendRelease(a, offers[i].Seq)
		}
	}
}

// bind orders a reserved task at the agent that offers capacity for it, and releases its other
// reservations. If the task can't run there it only releases this one. It reports whether it has
// sent the order.
func (c *Core) bind(r *taskReservation) bool {
	l, t, a := r.job, r.task, r.agent
	if c.now.After(t.reserved.latestStart) && !l.mayHaveBegun() {
		c.refuseLate(l)
		return false
	}
	request, choice := c.offeredChoice(r)
	if choice.Index == earliest.None {
		c.releaseReservation(r)
		c.replaceIfUnreserved(l, t)
		return false
	}
	c.releaseTask(l, t, r)
	t.state = taskWaiting
	if c.endIfCrashLoop(l) {
		c.sendRelease(a, r.seq)
		return false
	}
	c.sendOrder(l, t, a, request, choice)
	a.outgoing.Orders[len(a.outgoing.Orders)-1].Reservation = r.seq
	// The load that came with the offer includes the capacity held for it.
	a.uncounted = a.uncounted[:len(a.uncounted)-1]
	event.Log(c.log, event.TaskPlaced, "job", l.ID, "queue", l.Queue.Name, "tasks", strconv.Itoa(t.step)+"."+strconv.Itoa(t.index)+"@"+a.host,
		"runs", strconv.FormatUint(t.attempt.run, 10), "left_ms", clock.Millis(l.objective.Sub(c.now)), "offered", true)
	return true
}

// offeredChoice returns the placement of a reserved task on the target that offers capacity; its
// Index is None if the target is not usable any more.
func (c *Core) offeredChoice(r *taskReservation) (earliest.Task, earliest.Choice) {
	a := r.agent
	if !a.usable() || a.target.Service != r.job.Queue.Service {
		return earliest.Task{}, earliest.Choice{Index: earliest.None}
	}
	if _, isEvacuated := c.evacuated[a.targetDataCentre()]; isEvacuated {
		return earliest.Task{}, earliest.Choice{Index: earliest.None}
	}
	cand := c.candidate(a, r.job)
	cand.RoundTripMs += c.link.WaitMs(c.now)
	cand.BodyTransmitMs = c.link.TransmitMs(frameBytes + len(r.job.Spec))
	c.candidates, c.candidateAgents = append(c.candidates[:0], cand), append(c.candidateAgents[:0], a)
	request := c.placementTask(r.job, r.task)
	choice := earliest.Choose(request, c.candidates)
	choice.EndMs -= choice.StartMs
	choice.StartMs, choice.FitsNow = 0, true
	return request, choice
}

// sendRelease queues the release of a reservation.
func (c *Core) sendRelease(a *agent, seq uint64) {
	a.outgoing.Releases, a.hasOutgoing = append(a.outgoing.Releases, seq), true
}

// forgetReservation removes a reservation that its agent has dropped.
func (c *Core) forgetReservation(r *taskReservation) {
	delete(r.agent.reservations, r.seq)
	r.task.reserved.list = slices.DeleteFunc(r.task.reserved.list, func(o *taskReservation) bool { return o == r })
}

// releaseReservation removes a reservation and releases it at its agent.
func (c *Core) releaseReservation(r *taskReservation) {
	c.forgetReservation(r)
	c.sendRelease(r.agent, r.seq)
}

// releaseTask ends the reserved state of a task. It releases its reservations, except for bound,
// which an order follows; bound may be nil.
func (c *Core) releaseTask(l *liveJob, t *task, bound *taskReservation) {
	if t.reserved == nil {
		return
	}
	for _, r := range t.reserved.list {
		delete(r.agent.reservations, r.seq)
		if r != bound {
			c.sendRelease(r.agent, r.seq)
		}
	}
	t.reserved = nil
	l.reserved--
}

// releaseReservations releases all reservations of a job that has ended or is given up.
func (c *Core) releaseReservations(l *liveJob) {
	for i := 0; i < len(l.tasks) && l.reserved > 0; i++ {
		if t := &l.tasks[i]; t.state == taskReserved {
			c.releaseTask(l, t, nil)
			t.state = taskWaiting
		}
	}
}

// replaceIfUnreserved places a reserved task again if it has lost its last reservation.
func (c *Core) replaceIfUnreserved(l *liveJob, t *task) {
	if t.state != taskReserved || len(t.reserved.list) > 0 || l.answered || l.givingUp {
		return
	}
	c.releaseTask(l, t, nil)
	c.placeTaskAgain(l, t)
}

// handleReservationOutcome handles an agent's report that it has dropped a reservation.
func (c *Core) handleReservationOutcome(r *taskReservation, out *wire.RunOutcome) {
	event.Log(c.log.V(1), event.TaskReplaced, "job", r.job.ID, "step", r.task.step, "task", r.task.index, "host", r.agent.host,
		"reason", int(out.Reason), "reserved", true)
	c.forgetReservation(r)
	c.replaceIfUnreserved(r.job, r.task)
}

// dropSessionReservations forgets the reservations of a session that has ended.
func (c *Core) dropSessionReservations(a *agent) {
	for _, seq := range slices.Sorted(maps.Keys(a.reservations)) {
		if r := a.reservations[seq]; r != nil { // not released for another task of its job
			c.forgetReservation(r)
			c.replaceIfUnreserved(r.job, r.task)
		}
	}
}

// expireReservations forgets the reservations of a job that their agents have dropped by now, and
// places tasks again whose estimate has been revised since they were reserved: their latest starts
// and the waits predicted behind them have changed. It refuses the job if nothing of it has begun
// and one of its tasks can't be in time any more.
func (c *Core) expireReservations(l *liveJob) {
	for i := 0; i < len(l.tasks) && l.reserved > 0 && !l.answered && !l.givingUp; i++ {
		t := &l.tasks[i]
		if t.state != taskReserved {
			continue
		}
		if t.reserved.level != l.level {
			c.releaseTask(l, t, nil)
			c.placeTaskAgain(l, t)
			continue
		}
		if c.now.After(t.reserved.latestStart) && !l.mayHaveBegun() {
			c.refuseLate(l)
			return
		}
		for _, r := range slices.Clone(t.reserved.list) {
			if c.now.After(r.expiresAt) {
				c.forgetReservation(r)
			}
		}
		c.replaceIfUnreserved(l, t)
	}
}

// refuseLate gives up a job that has not begun and can't be in time any more.
func (c *Core) refuseLate(l *liveJob) {
	c.giveUp(l, fault.New(fault.Overloaded, "it can't be done in time any more"))
}
