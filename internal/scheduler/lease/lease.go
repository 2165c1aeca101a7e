// Package lease decides until when the lease of a target may last.
//
// It answers the following load: an entry or the path to it fails while its tasks run, the callers
// send their jobs again to other entries after a fixed pause, and at the same time the calls that
// would stop the first runs are lost, refused or late. Then only the end of the lease stops a run.
// A lease therefore never lasts longer than the first moment at which a caller may have sent a job
// again, whichever messages get through. It is bounded from the last Proof that the entry wanted the
// run, so that an entry that is late, or does not know that a caller has left, extends nothing.
//
// A lease applies to everything that runs on a target, and a longer one can't be shortened. Runs of
// an entry that was heard of less recently than others therefore start only once the lease in force
// ends in time for them, too.
package lease

import "time"

const (
	// StopTime is the time that a target takes to stop its runs when the lease ends, 50 ms at most,
	// and the rounding to milliseconds of its clock.
	StopTime = 60 * time.Millisecond
	// recallTime is how long a caller that has left may seem to wait: the time until the end of its
	// connection arrives at the entry. For an entry that confirms nothing, it is also how long one that
	// was paused may take, once it runs again, to notice that a caller has left and to send the recall;
	// meanwhile its acknowledgements prove nothing.
	recallTime = 100 * time.Millisecond
	// maxProofAge is the usual limit of the age of a Proof: the heartbeat intervals of both ends,
	// a round trip, and the interval at which an entry verifies its callers, or recallTime. An entry that
	// takes jobs of others adds the age of their confirmations.
	maxProofAge = 540 * time.Millisecond
	// minLimit is the shortest Terms.Limit, below which a lease ends between two renewals.
	minLimit = 400 * time.Millisecond
	// MinStart is the shortest lease with which a run is started: long enough for two renewals.
	MinStart = 300 * time.Millisecond
	// maxClockDrift is the share by which a target's clock may be slow.
	maxClockDrift = 0.02
)

// Terms are the limits of leases in a deployment.
type Terms struct {
	// GrantLimit is the longest lease that a target grants, on its clock.
	GrantLimit time.Duration
	// Limit is the longest lease that is requested.
	Limit time.Duration
	// RunLimit is the time after the last proof that an entry wants a run by which the lease of the
	// run must end.
	RunLimit time.Duration
	// SettleLimit is the time after the end of a session by which its runs have certainly ended.
	SettleLimit time.Duration
}

// NewTerms returns the terms for targets that grant leases up to grantLimit, and callers that send a
// job again resendDelay after they left or got no result. With a resendDelay so short that runs can't
// end in time, safe is false: then runs can overlap if their stops are lost.
func NewTerms(grantLimit, resendDelay time.Duration) (terms Terms, safe bool) {
	runLimit := resendDelay - recallTime - StopTime
	safe = runLimit >= maxProofAge+minLimit
	runLimit = max(runLimit, maxProofAge+minLimit)
	return Terms{GrantLimit: grantLimit, Limit: min(grantLimit, runLimit-maxProofAge), RunLimit: runLimit, SettleLimit: runLimit + StopTime}, safe
}

// Proof is the evidence that the entry of a session still wanted its runs. It is the time at which
// the newest frame was sent that the entry has confirmed: after it had received that frame, it
// verified on their connections that the callers of all these runs wait, and the recalls of others
// were sent before the confirmation. That holds however late the entry is.
//
// An entry without session.ConfirmingProtocol confirms nothing. For it, the frame is the newest that it has
// acknowledged as of recallTime ago: by now, it would have recalled a run that it had given up by
// then, if it is not late. The zero Proof is that of a new session.
type Proof struct {
	settled, pending time.Time
	pendingAt        time.Time // when the frame with the acknowledgement arrived
}

// Acknowledge records a received frame, by which a frame sent at sentAt is acknowledged.
func (p *Proof) Acknowledge(now, sentAt time.Time) {
	p.settle(now)
	if p.settled.IsZero() {
		p.settled = sentAt // a new session has no runs yet
		return
	}
	if p.pending.IsZero() && sentAt.After(p.settled) {
		p.pending, p.pendingAt = sentAt, now
	}
}

// Confirm records that a frame sent at sentAt is confirmed. All frames up to the one with the
// confirmation must have been handled: a recall among them is older than the confirmation.
func (p *Proof) Confirm(sentAt time.Time) {
	if sentAt.After(p.settled) {
		p.settled = sentAt
	}
}

// Time returns the time up to which the entry is known to have wanted its runs; zero: there is no
// evidence yet.
func (p *Proof) Time(now time.Time) time.Time {
	p.settle(now)
	return p.settled
}

func (p *Proof) settle(now time.Time) {
	if !p.pending.IsZero() && now.Sub(p.pendingAt) >= recallTime {
		p.settled, p.pending = p.pending, time.Time{}
	}
}

// Clock is a target's clock, known from a reading. It may be slow by maxClockDrift. The zero Clock
// is unknown.
type Clock struct {
	readingMs int64
	readAt    time.Time // when the reading arrived; it was taken no later
}

// Set records a reading that arrived now, in milliseconds. Readings that are not positive are ignored.
func (c *Clock) Set(now time.Time, readingMs int64) {
	if readingMs > 0 {
		c.readingMs, c.readAt = readingMs, now
	}
}

// Known reports whether there is a reading.
func (c *Clock) Known() bool { return c.readingMs > 0 }

// Ms returns the estimated reading at a time, in milliseconds.
func (c *Clock) Ms(at time.Time) int64 { return c.readingMs + at.Sub(c.readAt).Milliseconds() }

// minMs returns the reading that the clock has certainly reached at a time.
func (c *Clock) minMs(at time.Time) int64 {
	since := at.Sub(c.readAt)
	return c.readingMs + time.Duration(float64(since)*(1-maxClockDrift)).Milliseconds()
}

// reachedBy returns the time by which the clock has certainly reached a reading.
func (c *Clock) reachedBy(ms int64) time.Time {
	left := time.Duration(ms-c.readingMs) * time.Millisecond
	return c.readAt.Add(time.Duration(float64(left) / (1 - maxClockDrift)))
}

// Lease is the lease of one target. It counts leases as granted from the call on that requests them:
// a call without an answer may have been carried out.
type Lease struct {
	Terms Terms
	Clock Clock
	end   time.Time
}

// End returns the time by which every lease requested so far has ended; zero: there was none.
func (l *Lease) End() time.Time { return l.end }

// Over reports whether every lease requested so far has ended and the runs under it with it.
func (l *Lease) Over(now time.Time) bool {
	return !l.end.IsZero() && !now.Before(l.end.Add(StopTime))
}

// Restarted records that the target has started again, with another clock. Calls for the earlier incarnation
// may still be carried out.
func (l *Lease) Restarted() { l.Clock = Clock{} }

// GrantedByOtherClock records that by now the target has carried out a call for an earlier incarnation. The time
// that it named is of another clock, so that the lease may be as long as the target grants any.
func (l *Lease) GrantedByOtherClock(now time.Time) {
	if end := now.Add(l.LongestGrant()); end.After(l.end) {
		l.end = end
	}
}

// LongestGrant returns how long a lease may last, whatever time a call has named.
func (l *Lease) LongestGrant() time.Duration {
	return time.Duration(float64(l.Terms.GrantLimit) / (1 - maxClockDrift))
}

// Request returns the end of the longest lease, on the target's clock, that ends by the given time.
// It returns 0 if that time has come, or for an unknown clock.
func (l *Lease) Request(now, by time.Time) int64 {
	if !l.Clock.Known() {
		return 0
	}
	until := min(l.Clock.Ms(now)+l.Terms.Limit.Milliseconds(), l.Clock.minMs(by))
	if until <= l.Clock.Ms(now) {
		return 0
	}
	if end := l.Clock.reachedBy(until); end.After(l.end) {
		l.end = end
	}
	return until
}

// MayStart reports whether a run may start that must end by a time, while all other runs must end by
// othersBy; a zero othersBy means that there are none.
func (l *Lease) MayStart(now, by, othersBy time.Time) bool {
	if l.end.After(by) {
		return false // the lease in force is too long, and can't be shortened
	}
	if !othersBy.IsZero() && othersBy.Before(by) {
		by = othersBy
	}
	return by.Sub(now) >= MinStart
}
