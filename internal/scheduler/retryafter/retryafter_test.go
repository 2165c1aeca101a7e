package retryafter

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The simulation in this file: callers arrive at 0.8 of the capacity, and for some seconds at 2.5
// times that rate. A refused caller retries after the Retry-After it was given, up to three times.

const (
	capacity    = 100 // jobs per second
	usualRate   = 80  // arrivals per second
	burstStart  = 5   // seconds, as are the next two
	burstEnd    = 9
	arrivalsEnd = 15
	maxTries    = 4
)

var startTime = time.Unix(1_800_000_000, 0)

type caller struct {
	tries    int
	priority int
}

// outcome counts callers and attempts of a simulation.
type outcome struct {
	callers, served, servedSecondTry, tries int
	servedUrgent, urgent                    int
}

// simulate runs the simulation. It reports each admission to recordAdmission, and takes the wait
// of each refused caller, given its priority, from retryAfter.
func simulate(recordAdmission func(time.Time), retryAfter func(time.Time, int) time.Duration) outcome {
	x := rand.New(rand.NewPCG(1, 1))
	var got outcome
	due := map[int][]caller{}
	const perSecond = 50 // steps
	tokens := 0.0        // of a token bucket that is filled at the capacity
	for step := range (arrivalsEnd + 60) * perSecond {
		now := startTime.Add(time.Duration(step) * time.Second / perSecond)
		second := step / perSecond
		tokens = min(tokens+capacity/float64(perSecond), capacity/10)
		arriving := due[step]
		delete(due, step)
		for range arrivals(x, second, perSecond) {
			c := caller{priority: x.IntN(3)}
			got.callers++
			if c.priority == 0 {
				got.urgent++
			}
			arriving = append(arriving, c)
		}
		x.Shuffle(len(arriving), func(i, j int) { arriving[i], arriving[j] = arriving[j], arriving[i] })
		for _, c := range arriving {
			c.tries++
			got.tries++
			if tokens >= 1 {
				tokens--
				recordAdmission(now)
				got.served++
				if c.tries == 2 {
					got.servedSecondTry++
				}
				if c.priority == 0 {
					got.servedUrgent++
				}
				continue
			}
			if c.tries < maxTries {
				seconds := (retryAfter(now, c.priority) + time.Second - 1) / time.Second
				due[step+int(seconds)*perSecond] = append(due[step+int(seconds)*perSecond], c)
			}
		}
	}
	return got
}

// arrivals returns a random number of first attempts in a step.
func arrivals(x *rand.Rand, second, perSecond int) int {
	rate := float64(usualRate)
	switch {
	case second >= arrivalsEnd:
		return 0
	case second >= burstStart && second < burstEnd:
		rate *= 2.5
	}
	mean := rate / float64(perSecond)
	n := int(mean)
	if x.Float64() < mean-float64(n) {
		n++
	}
	return n
}

// Guards against refused callers that all retry at once and are refused again.
func TestScheduledRetriesAreServed(t *testing.T) {
	g := NewWithT(t)
	constant := simulate(func(time.Time) {}, func(time.Time, int) time.Duration { return time.Second })
	var s Schedule
	scheduled := simulate(s.RecordAdmission, func(now time.Time, priority int) time.Duration { return s.RetryAfter(now, 0, priority) })
	t.Logf("constant  %+v", constant)
	t.Logf("scheduled %+v", scheduled)
	perAnswer := func(o outcome) float64 { return float64(o.tries) / float64(o.served) }
	g.Expect(scheduled.served).To(BeNumerically(">", constant.served))
	g.Expect(perAnswer(scheduled)).To(BeNumerically("<", 0.9*perAnswer(constant)))
	g.Expect(float64(scheduled.servedUrgent) / float64(scheduled.urgent)).To(BeNumerically(">=", float64(scheduled.served)/float64(scheduled.callers)))
}

// Guards against a Retry-After that ends before the queue that refused the caller has capacity.
func TestRetryWaitCoversQueueDelay(t *testing.T) {
	var s Schedule
	NewWithT(t).Expect(s.RetryAfter(startTime, 4*time.Second, 0)).To(BeNumerically(">=", 4*time.Second))
}

// Guards against a Retry-After that grows without bound while nothing is admitted.
func TestWaitsAreBounded(t *testing.T) {
	g := NewWithT(t)
	var s Schedule
	for range 10_000 {
		g.Expect(s.RetryAfter(startTime, 0, 2)).To(And(BeNumerically(">=", minWait), BeNumerically("<=", maxWait)))
	}
}
