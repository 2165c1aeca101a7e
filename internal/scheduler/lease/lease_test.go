package lease

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const resendDelay = 1300 * time.Millisecond

var start = time.Unix(1_800_000_000, 0)

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Guards against a lease that outlasts the delay after which a job is sent again, with any clock that
// the target may have, any age of its readings, and calls that are carried out late or not answered.
func TestNoLeaseOutlastsTheResendDelay(t *testing.T) {
	for _, grantLimit := range []time.Duration{300 * time.Millisecond, time.Second, 15 * time.Second} {
		rapid.Check(t, func(t *rapid.T) {
			terms, safe := NewTerms(grantLimit, resendDelay)
			l := Lease{Terms: terms}
			rate := 1 - float64(rapid.IntRange(0, 20).Draw(t, "slow by thousandths"))/1000
			clockMs := func(at time.Time) int64 { return 5000 + int64(rate*float64(at.Sub(start).Microseconds())/1000) }
			now, wantedAt := start, start
			var targetEnd time.Time
			for range rapid.IntRange(1, 60).Draw(t, "calls") {
				now = now.Add(ms(rapid.IntRange(1, 200).Draw(t, "pause")))
				if rapid.Bool().Draw(t, "answered") {
					l.Clock.Set(now, clockMs(now.Add(-ms(rapid.IntRange(0, 100).Draw(t, "transit")))))
				}
				if rapid.IntRange(0, 3).Draw(t, "heard") == 0 {
					if at := now.Add(-ms(rapid.IntRange(0, 600).Draw(t, "age"))); at.After(wantedAt) {
						wantedAt = at
					}
				}
				until := l.Request(now, wantedAt.Add(terms.RunLimit))
				arrival := now.Add(ms(rapid.IntRange(0, 2000).Draw(t, "delay")))
				left := min(time.Duration(float64(until-clockMs(arrival))/rate)*time.Millisecond, time.Duration(float64(grantLimit)/rate))
				if end := arrival.Add(left); until > 0 && left > 0 && end.After(targetEnd) {
					targetEnd = end
				}
				if targetEnd.After(l.End().Add(2 * time.Millisecond)) {
					t.Fatalf("the lease ends at %s, later than expected: %s", targetEnd, l.End())
				}
				if safe && targetEnd.After(wantedAt.Add(resendDelay-ms(100))) {
					t.Fatalf("the lease ends %s after the last proof", targetEnd.Sub(wantedAt))
				}
			}
		})
	}
}

// Guards against terms that leave a usual proof too little time for a lease, and against a deployment
// whose short resend delay goes unnoticed.
func TestTerms(t *testing.T) {
	g := NewWithT(t)
	terms, safe := NewTerms(15*time.Second, resendDelay)
	g.Expect(safe).To(BeTrue())
	g.Expect(terms.Limit).To(Equal(600 * time.Millisecond))
	g.Expect(terms.RunLimit + StopTime).To(BeNumerically("<", resendDelay))
	terms, safe = NewTerms(time.Second, 500*time.Millisecond)
	g.Expect(safe).To(BeFalse())
	g.Expect(terms.Limit).To(BeNumerically(">=", minLimit))
}

// Guards against counting on an entry that was suspended: after it runs again, its acknowledgements
// reach the agent before the recalls of the runs whose callers left meanwhile.
func TestAcknowledgementCountsOnceARecallWouldHaveArrived(t *testing.T) {
	g := NewWithT(t)
	var p Proof
	g.Expect(p.Time(start).IsZero()).To(BeTrue())
	p.Acknowledge(start, start.Add(-ms(5)))
	g.Expect(p.Time(start)).To(Equal(start.Add(-ms(5))), "a new session has no runs that could be recalled")
	resumed := start.Add(ms(500))
	for i := range 10 { // the frames that were sent meanwhile
		p.Acknowledge(resumed.Add(ms(i)), start.Add(ms(50*i)))
	}
	g.Expect(p.Time(resumed.Add(recallTime - ms(1)))).To(Equal(start.Add(-ms(5))))
	g.Expect(p.Time(resumed.Add(recallTime))).To(Equal(start))
	p.Acknowledge(resumed.Add(ms(150)), resumed.Add(ms(20)))
	p.Acknowledge(resumed.Add(ms(300)), resumed.Add(ms(170)))
	g.Expect(p.Time(resumed.Add(ms(300)))).To(Equal(resumed.Add(ms(20))))
}

// Guards against a proof that grows older, or waits although the entry has verified its callers.
func TestConfirmationCountsAtOnce(t *testing.T) {
	g := NewWithT(t)
	var p Proof
	p.Confirm(start)
	g.Expect(p.Time(start.Add(ms(1)))).To(Equal(start))
	p.Confirm(start.Add(ms(100)))
	p.Confirm(start.Add(ms(50)))
	g.Expect(p.Time(start.Add(ms(101)))).To(Equal(start.Add(ms(100))))
	g.Expect(p.Time(start.Add(time.Minute))).To(Equal(start.Add(ms(100))))
}

// Guards against a run under a lease that is too long for it, or too short to be renewed.
func TestMayStart(t *testing.T) {
	g := NewWithT(t)
	l := Lease{Terms: Terms{Limit: 600 * time.Millisecond, RunLimit: time.Second}}
	g.Expect(l.MayStart(start, start.Add(MinStart), time.Time{})).To(BeTrue())
	g.Expect(l.MayStart(start, start.Add(time.Second), start.Add(MinStart/2))).To(BeFalse(), "another run must end soon")
	l.Clock.Set(start, 5000)
	l.Request(start, start.Add(time.Second))
	g.Expect(l.MayStart(start, start.Add(MinStart), time.Time{})).To(BeFalse(), "the lease in force ends later")
}
