// Package comeback tells refused callers when to come back.
//
// The load it answers: a burst beyond what the targets can do, whose refused callers all come
// back when they are told to.
//
// What goes wrong without it: told the same short time, everybody who was refused meets the next
// second's callers, most are refused again, and each answer costs its caller several tries. A
// caller that waits as told fares no better than one that doesn't.
//
// Callers are given seconds to come back in, no more a second than a part of what was let in
// lately. The rest is left to callers that come for the first time. Less urgent callers may fill
// a second only in part, so that more urgent ones find an earlier one. No caller is asked before
// the queue that refused it is expected to have room.
package comeback

import "time"

const (
	// returnShare is the part of a second's jobs that callers who were refused may be given, and
	// lessShare is how much of that the less urgent may fill, for each step of priority.
	returnShare = 0.4
	lessShare   = 0.7
	// leastPerSecond lets callers come back where nothing was let in lately.
	leastPerSecond = 2
	// rateWeight is the weight of the last second in the rate of jobs let in.
	rateWeight = 0.5
	// least and most bound what a caller is told.
	least = time.Second
	most  = 10 * time.Second
)

// Schedule has the seconds that callers were given. The zero Schedule is empty.
type Schedule struct {
	second  int64 // that is counted now, in Unix seconds
	letIn   float64
	rate    float64       // jobs let in a second
	planned map[int64]int // callers given each second
}

// RecordAdmission takes a job that was let in.
func (p *Schedule) RecordAdmission(now time.Time) {
	p.pass(now)
	p.letIn++
}

// RetryAfter returns how long a caller that is refused now should wait. The queue that refused it is
// expected to have room after lag; priority 0 is the most urgent.
func (p *Schedule) RetryAfter(now time.Time, lag time.Duration, priority int) time.Duration {
	p.pass(now)
	limit := p.limit(priority)
	first, last := now.Add(max(lag, least)).Unix(), now.Add(most).Unix()
	at := first
	for at < last && p.planned[at] >= limit {
		at++
	}
	p.planned[at]++
	return min(max(lag, least)+time.Duration(at-first)*time.Second, most)
}

// limit is how many callers of that urgency a second may be given to.
func (p *Schedule) limit(priority int) int {
	share := returnShare
	for range min(priority, 3) {
		share *= lessShare
	}
	return max(leastPerSecond, int(share*max(p.rate, p.letIn)))
}

// pass begins another second.
func (p *Schedule) pass(now time.Time) {
	second := now.Unix()
	if p.planned == nil {
		p.planned = map[int64]int{}
	}
	if second <= p.second {
		return
	}
	for at := p.second; at < second && at-p.second < 2*int64(most/time.Second); at++ {
		p.rate += rateWeight * (p.letIn - p.rate)
		p.letIn = 0
	}
	p.second = second
	for at := range p.planned {
		if at < second {
			delete(p.planned, at)
		}
	}
}
