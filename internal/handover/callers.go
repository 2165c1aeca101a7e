package handover

import (
	"slices"
	"time"
)

// confirm records the time up to which the callers of the session's submissions have waited.
func (s *servingSession) confirm(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
}

// waitingAt implements dispatch.Caller.WaitingAt for the submission with a number. The clock of now may
// be another one than that of the sessions.
func (s *servingSession) waitingAt(now time.Time, number uint64) (at time.Time, left bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.jobs[number]
	if j == nil || j.lost || s.conn.Err() != nil {
		return time.Time{}, true
	}
	if !s.conn.Confirms() {
		return now, false // it confirms nothing: waiting until its session ends
	}
	return now.Add(-time.Since(s.confirmedAt)), false
}

// CallersKnownAt returns the time up to which the callers of all jobs taken from peers are known to have
// waited; zero if there is no such peer. The callers of a peer that has confirmed nothing for maxCallerAge
// count as left from now on. See behind for submissions of a peer whose last confirmation is older.
func (e *Endpoint) CallersKnownAt() time.Time {
	v := &e.serving
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	known, found := now, false
	for s := range v.sessions {
		if s.conn == nil || !s.conn.Confirms() || s.conn.Err() != nil {
			continue
		}
		at, fresh := s.knownAt(now)
		found = found || fresh
		if fresh && at.Before(known) {
			known = at
		}
	}
	if known.After(v.verifiedTo) {
		v.verifiedTo = known
	}
	if !found {
		return time.Time{}
	}
	return known
}

// knownAt returns the time of the last confirmation. If that is too old, it marks the jobs of the
// session as lost and returns false.
func (s *servingSession) knownAt(now time.Time) (at time.Time, fresh bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.confirmedAt) <= maxCallerAge {
		return s.confirmedAt, true
	}
	for _, j := range s.jobs {
		j.lost = true
	}
	return time.Time{}, false
}

// behind reports whether the last confirmation of the session is older than what has been confirmed to
// agents. The lease of a run for its callers would last too long.
func (s *servingSession) behind() bool {
	v := &s.endpoint.serving
	v.mu.Lock()
	verifiedTo := v.verifiedTo
	v.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conn.Confirms() && s.confirmedAt.Before(verifiedTo)
}

// Watch makes the endpoint end the flight when callerLeft, of the request that called Begin or Attach,
// and those of all other requests report that their callers have left. callerLeft must not block.
// A request without Watch counts as waiting.
func (f *Flight) Watch(callerLeft func() bool) {
	f.endpoint.mu.Lock()
	defer f.endpoint.mu.Unlock()
	f.callers = append(f.callers, callerLeft)
}

// abandoned reports whether all callers have left. The caller holds the lock.
func (f *Flight) abandoned() bool {
	return len(f.callers) == f.joined && !slices.ContainsFunc(f.callers, func(left func() bool) bool { return !left() })
}

// verifyCallers cancels the jobs at peers whose callers have left, and confirms to the peers that those
// of the others wait. The caller holds the lock.
func (e *Endpoint) verifyCallers(now time.Time) {
	for _, p := range e.peers {
		if !p.open {
			continue
		}
		received := p.conn.ReceivedSeq() // before the callers are verified
		for _, f := range p.flights {
			if f.abandoned() {
				e.cancelAtPeer(now, f)
				e.finishLocked(now, f, verdict{taken: true, answer: disconnected()})
			}
		}
		p.conn.Confirm(received)
	}
}
