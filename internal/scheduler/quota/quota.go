// Package quota limits how many tasks of a team run at a time, without a store shared by the
// entries.
//
// 140 teams share the targets through many entries, and one team may send 90 % of the work.
// Without a limit the others wait behind it. A counter in a shared store would cost a round
// trip for each start, and its outage would stop all work.
//
// Instead, each entry enforces its part of a team's quota: the quota divided by the number
// of entries, which the entry learns from the targets' credits. A load balancer spreads the
// jobs of a team over the entries, so the parts are used evenly. The part is rounded down,
// so that the parts together stay within the quota, but it is at least one: a quota smaller
// than the number of entries is exceeded by at most one task for each entry, and a team with
// a quota above zero may always run a task.
//
// A team without a quota may use every slot until the owner reports a long queue
// (SetContended) and other teams wait; then it is limited to FairShareFactor times its equal
// share. In a short queue the order by work already serves small teams early, and a share
// would only leave slots idle that a large job could use.
package quota

import "math"

// FairShareFactor is the multiple of its equal share that a team without a quota may use
// while others wait. At 1 a team with long tasks leaves slots idle each time a small team
// has some work; at 2 half of the slots become free for other teams soon enough.
const FairShareFactor = 2

// team counts the tasks of one team at this entry.
type team struct {
	running int
	waiting int
}

// Limiter enforces one entry's part of the quotas. It is not safe for concurrent use.
type Limiter struct {
	limits       map[string]int // fleet-wide quota by team; absent: defaultLimit
	defaultLimit int            // fleet-wide quota of the other teams; 0: none
	owners       int
	slots        int
	contended    bool // the queue is long
	teams        map[string]*team
	waitingTeams int // teams with waiting tasks
}

// New returns a limiter without quotas.
func New() *Limiter {
	return &Limiter{limits: map[string]int{}, owners: 1, teams: map[string]*team{}}
}

// SetLimits replaces the fleet-wide quotas, in tasks by team; the map is copied.
func (l *Limiter) SetLimits(limits map[string]int) {
	l.limits = make(map[string]int, len(limits))
	for name, n := range limits {
		l.limits[name] = n
	}
}

// SetDefault sets the fleet-wide quota of teams that are not in the map of SetLimits; 0
// means no quota.
func (l *Limiter) SetDefault(n int) { l.defaultLimit = n }

// SetOwners sets the number of owners (entries) that share the quotas.
func (l *Limiter) SetOwners(n int) { l.owners = max(n, 1) }

// SetSlots sets the number of tasks that this entry can run at a time.
func (l *Limiter) SetSlots(n int) { l.slots = max(n, 0) }

// SetContended sets whether the queue is so long that fair shares are enforced.
func (l *Limiter) SetContended(yes bool) { l.contended = yes }

// SetWaiting sets the number of waiting tasks of the team.
func (l *Limiter) SetWaiting(name string, n int) {
	t := l.ensureTeam(name)
	if t.waiting == 0 && n > 0 {
		l.waitingTeams++
	}
	if t.waiting > 0 && n <= 0 {
		l.waitingTeams--
	}
	t.waiting = max(n, 0)
	l.dropIfIdle(name, t)
}

// Started counts a task of the team as running.
func (l *Limiter) Started(name string) { l.ensureTeam(name).running++ }

// Finished counts a running task of the team as ended.
func (l *Limiter) Finished(name string) {
	t := l.ensureTeam(name)
	t.running = max(t.running-1, 0)
	l.dropIfIdle(name, t)
}

// Running returns the number of running tasks of the team.
func (l *Limiter) Running(name string) int {
	if t := l.teams[name]; t != nil {
		return t.running
	}
	return 0
}

// Limit returns how many tasks of the team this entry may run now, and whether the limit is
// a quota rather than a fair share.
func (l *Limiter) Limit(name string) (limit int, isQuota bool) {
	quota, ok := l.limits[name]
	if !ok && l.defaultLimit > 0 {
		quota, ok = l.defaultLimit, true
	}
	if ok {
		if quota <= 0 {
			return 0, true
		}
		return max(quota/l.owners, 1), true
	}
	if !l.contended || l.othersWaiting(name) == 0 {
		return math.MaxInt, false
	}
	return max(FairShareFactor*l.slots/len(l.teams), 1), false
}

// MayStart reports whether one more task of the team may start.
func (l *Limiter) MayStart(name string) bool {
	limit, _ := l.Limit(name)
	return l.Running(name) < limit
}

// othersWaiting returns the number of other teams with waiting tasks.
func (l *Limiter) othersWaiting(name string) int {
	if t := l.teams[name]; t != nil && t.waiting > 0 {
		return l.waitingTeams - 1
	}
	return l.waitingTeams
}

// ensureTeam returns the counts of the team, which it creates if necessary.
func (l *Limiter) ensureTeam(name string) *team {
	t := l.teams[name]
	if t == nil {
		t = &team{}
		l.teams[name] = t
	}
	return t
}

// dropIfIdle removes a team without running or waiting tasks, which bounds the memory.
func (l *Limiter) dropIfIdle(name string, t *team) {
	if t.running == 0 && t.waiting == 0 {
		delete(l.teams, name)
	}
}
