// Package quota limits how many tasks of a team run at a time, without a store
// that the entries share.
//
// The pattern of load: 140 teams share the targets through many entries, and one
// of them sends 90 % of the work. Without a limit the others wait behind it;
// with a counter in a shared store each start would cost a round trip to it, and
// its outage would stop all work.
//
// Why this works: each entry enforces its part of a team's quota, the quota
// divided by the number of entries, which it learns from the targets' credits. A
// balancer spreads a team's jobs over the entries, so the parts fill alike. The
// part is rounded down, so that the parts together stay within the quota, but is
// at least one: a quota smaller than the number of entries is exceeded at worst
// by one task an entry, and a team is never shut out.
//
// A team without a quota may use every slot, until the owner says that the queue
// is long (SetContended) and other teams wait: then it is held to FairShareFactor times
// its equal share. In a short queue the order by work already lets small teams
// through, and a share would only leave slots idle that a large job could use.
package quota

import "math"

// FairShareFactor is how far above its equal share a team without a quota may go while
// others wait. At 1 a team with long tasks idles slots each time a small team
// passes by; at 2 half of the slots change hands soon enough.
const FairShareFactor = 2

type team struct {
	running int
	waiting int
}

// Limiter enforces one entry's part of the quotas. It is not safe for concurrent
// use.
type Limiter struct {
	limits  map[string]int // fleet-wide; absent: usual
	usual   int            // quota of the other teams; 0: none
	owners  int
	slots   int
	crowded bool // the queue is long
	teams   map[string]*team
	waiting int // teams with waiting tasks
}

// New returns a limiter without quotas.
func New() *Limiter {
	return &Limiter{limits: map[string]int{}, owners: 1, teams: map[string]*team{}}
}

// SetLimits replaces the fleet-wide quotas; the map is not kept.
func (l *Limiter) SetLimits(limits map[string]int) {
	l.limits = make(map[string]int, len(limits))
	for name, n := range limits {
		l.limits[name] = n
	}
}

// SetDefault sets the fleet-wide quota of teams without one of their own; 0 means
// no quota.
func (l *Limiter) SetDefault(n int) { l.usual = n }

// SetOwners sets how many entries share the quotas.
func (l *Limiter) SetOwners(n int) { l.owners = max(n, 1) }

// SetSlots sets how many tasks this entry can run at a time.
func (l *Limiter) SetSlots(n int) { l.slots = max(n, 0) }

// SetContended says whether the queue is long, so that shares matter.
func (l *Limiter) SetContended(yes bool) { l.crowded = yes }

// SetWaiting sets how many tasks of the team wait.
func (l *Limiter) SetWaiting(name string, n int) {
	t := l.team(name)
	if t.waiting == 0 && n > 0 {
		l.waiting++
	}
	if t.waiting > 0 && n <= 0 {
		l.waiting--
	}
	t.waiting = max(n, 0)
	l.forget(name, t)
}

// Started counts a task of the team as running.
func (l *Limiter) Started(name string) { l.team(name).running++ }

// Finished counts a running task of the team as ended.
func (l *Limiter) Finished(name string) {
	t := l.team(name)
	t.running = max(t.running-1, 0)
	l.forget(name, t)
}

// Running returns how many tasks of the team run.
func (l *Limiter) Running(name string) int {
	if t := l.teams[name]; t != nil {
		return t.running
	}
	return 0
}

// Limit returns how many tasks of the team may run here now, and whether that is
// a quota rather than a fair share.
func (l *Limiter) Limit(name string) (limit int, isQuota bool) {
	quota, ok := l.limits[name]
	if !ok && l.usual > 0 {
		quota, ok = l.usual, true
	}
	if ok {
		if quota <= 0 {
			return 0, true
		}
		return max(quota/l.owners, 1), true
	}
	if !l.crowded || l.othersWaiting(name) == 0 {
		return math.MaxInt, false
	}
	return max(FairShareFactor*l.slots/len(l.teams), 1), false
}

// MayStart reports whether one more task of the team may start.
func (l *Limiter) MayStart(name string) bool {
	limit, _ := l.Limit(name)
	return l.Running(name) < limit
}

func (l *Limiter) othersWaiting(name string) int {
	if t := l.teams[name]; t != nil && t.waiting > 0 {
		return l.waiting - 1
	}
	return l.waiting
}

func (l *Limiter) team(name string) *team {
	t := l.teams[name]
	if t == nil {
		t = &team{}
		l.teams[name] = t
	}
	return t
}

// forget drops a team with nothing running or waiting, which bounds the memory.
func (l *Limiter) forget(name string, t *team) {
	if t.running == 0 && t.waiting == 0 {
		delete(l.teams, name)
	}
}
