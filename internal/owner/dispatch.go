package owner

import (
	"container/heap"
	"time"

	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// maxSetAside bounds how many jobs that can't start now are looked past for one
// that can: a head of the queue that waits for a rare class must not block the
// others, and a long queue of such jobs must not cost a scan on every event.
const maxSetAside = 64

// dispatch starts waiting tasks while there are credits that fit them.
func (c *Core) dispatch(now time.Time) {
	var aside []*liveJob
	for len(c.ready) > 0 && len(aside) < maxSetAside && c.anyRoom(now) {
		l := c.ready[0]
		c.startFrom(now, l)
		if len(l.waiting) > 0 {
			heap.Pop(&c.ready)
			aside = append(aside, l)
		}
	}
	for _, l := range aside {
		heap.Push(&c.ready, l)
	}
}

func (c *Core) anyRoom(now time.Time) bool {
	for _, a := range c.agents {
		if a.usable(now) && (c.opts.Policy.push() || a.credits() > 0) {
			return true
		}
	}
	return false
}

// startFrom starts as many tasks of the job as there is room for, longest first.
func (c *Core) startFrom(now time.Time, l *liveJob) {
	for len(l.waiting) > 0 {
		task := l.waiting[len(l.waiting)-1]
		a, reason := c.choose(now, l, task)
		if a == nil {
			return
		}
		l.waiting = l.waiting[:len(l.waiting)-1]
		c.waitingTasks[l.sub.Class]--
		c.start(now, l, task, a, reason)
	}
	c.enqueue(l)
}

func (c *Core) start(now time.Time, l *liveJob, task int, a *agent, reason string) {
	seq := c.nextSeq
	c.nextSeq++
	t := &l.sub.Tasks[task]
	l.tasks[task].state = taskSent
	l.tasks[task].tries++
	l.mayHaveRun = true
	at := &attempt{seq: seq, agent: a, live: l, task: task, sentAt: now}
	a.attempts[seq] = at
	l.tasks[task].attempt = at
	a.order = append(a.order, seq)
	if !c.opts.Policy.push() {
		a.spent++
	}
	c.counts.Starts++
	out := c.touch(a)
	out.Starts = append(out.Starts, wire.Start{
		Seq:        seq,
		Job:        l.sub.ID.String(),
		Task:       task,
		Class:      l.sub.Class,
		Payload:    t.Payload,
		DeadlineMs: l.sub.ID.Deadline.UnixMilli(),
		EstimateMs: t.EstimateMs,
		Demand:     t.Demand,
		Idempotent: l.sub.Idempotent,
	})
	event.Log(c.log.V(1), event.TaskPlaced, "job", l.sub.ID.String(), "task", task, "attempt", seq,
		"worker", a.worker, "target", a.target.Name, "reason", reason)
}
