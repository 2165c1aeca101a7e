// Package retryafter schedules the retries of refused callers: it determines the Retry-After of
// each refusal.
//
// In a burst beyond the capacity of the targets, callers that are all given the same short
// Retry-After return together with the new arrivals of the next second. Most are refused again,
// each answer takes its caller several attempts, and a caller that observes the Retry-After is
// served no better than one that doesn't.
//
// Each refused caller is assigned a second for its retry. The number of callers per second is
// limited to a share of the recent admission rate, which leaves the rest to first attempts. Less
// urgent callers can only use part of that share, so that more urgent ones get an earlier second.
// No caller is asked to retry before the queue that refused it is expected to have capacity.
package retryafter

import "time"

const (
	// retryShare is the share of the admission rate that is assigned to retries. Each step of
	// priority below the most urgent multiplies it by priorityFactor.
	retryShare     = 0.4
	priorityFactor = 0.7
	// minPerSecond is the number of retries per second that are scheduled even if no job was
	// admitted recently.
	minPerSecond = 2
	// rateWeight is the weight of the latest second in the moving average of the admission rate.
	rateWeight = 0.5
	// minWait and maxWait bound the result of RetryAfter.
	minWait = time.Second
	maxWait = 10 * time.Second
)

// Schedule counts the retries assigned to each of the next seconds. The zero Schedule is empty.
type Schedule struct {
	currentSecond int64         // Unix time
	admitted      float64       // jobs admitted in currentSecond
	admissionRate float64       // moving average of jobs admitted per second
	scheduled     map[int64]int // number of retries by Unix second
}

// RecordAdmission counts a job admitted at now.
func (s *Schedule) RecordAdmission(now time.Time) {
	s.advance(now)
	s.admitted++
}

// RetryAfter returns how long a caller that is refused at now should wait, and schedules its
// retry. The queue that refused it is expected to have capacity after lag; priority 0 is the most
// urgent. The result is from minWait to maxWait.
func (s *Schedule) RetryAfter(now time.Time, lag time.Duration, priority int) time.Duration {
	s.advance(now)
	limit := s.limit(priority)
	first, last := now.Add(max(lag, minWait)).Unix(), now.Add(maxWait).Unix()
	at := first
	for at < last && s.scheduled[at] >= limit {
		at++
	}
	s.scheduled[at]++
	return min(max(lag, minWait)+time.Duration(at-first)*time.Second, maxWait)
}

// limit returns the number of retries in a second up to which callers of the priority can be
// scheduled in it.
func (s *Schedule) limit(priority int) int {
	share := retryShare
	for range min(priority, 3) {
		share *= priorityFactor
	}
	return max(minPerSecond, int(share*max(s.admissionRate, s.admitted)))
}

// advance moves to the second of now: it updates the admission rate with the seconds that have
// passed and drops their retries.
func (s *Schedule) advance(now time.Time) {
	second := now.Unix()
	if s.scheduled == nil {
		s.scheduled = map[int64]int{}
	}
	if second <= s.currentSecond {
		return
	}
	for at := s.currentSecond; at < second && at-s.currentSecond < 2*int64(maxWait/time.Second); at++ {
		s.admissionRate += rateWeight * (s.admitted - s.admissionRate)
		s.admitted = 0
	}
	s.currentSecond = second
	for at := range s.scheduled {
		if at < second {
			delete(s.scheduled, at)
		}
	}
}
