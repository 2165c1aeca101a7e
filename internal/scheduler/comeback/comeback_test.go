package comeback

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The load of this file: callers come at 0.8 of what can be served, for some seconds at 2.5 times
// as many, and who is refused comes back as told, up to three times.

const (
	capacity   = 100 // jobs a second
	usual      = 80
	burstFrom  = 5
	burstTo    = 9
	lastCaller = 15
	mostTries  = 4
)

var begin = time.Unix(1_800_000_000, 0)

type caller struct {
	tries    int
	priority int
}

// outcome is what callers got.
type outcome struct {
	callers, served, secondTry, tries int
	servedUrgent, urgent              int
}

// play lets callers come, and asks after for how long a refused one waits.
func play(letIn func(time.Time), after func(time.Time, int) time.Duration) outcome {
	x := rand.New(rand.NewPCG(1, 1))
	var got outcome
	due := map[int][]caller{}
	const perSecond = 50 // turns
	room := 0.0
	for turn := range (lastCaller + 60) * perSecond {
		now := begin.Add(time.Duration(turn) * time.Second / perSecond)
		second := turn / perSecond
		room = min(room+capacity/float64(perSecond), capacity/10)
		coming := due[turn]
		delete(due, turn)
		for range arrivals(x, second, perSecond) {
			c := caller{priority: x.IntN(3)}
			got.callers++
			if c.priority == 0 {
				got.urgent++
			}
			coming = append(coming, c)
		}
		x.Shuffle(len(coming), func(i, j int) { coming[i], coming[j] = coming[j], coming[i] })
		for _, c := range coming {
			c.tries++
			got.tries++
			if room >= 1 {
				room--
				letIn(now)
				got.served++
				if c.tries == 2 {
					got.secondTry++
				}
				if c.priority == 0 {
					got.servedUrgent++
				}
				continue
			}
			if c.tries < mostTries {
				seconds := (after(now, c.priority) + time.Second - 1) / time.Second
				due[turn+int(seconds)*perSecond] = append(due[turn+int(seconds)*perSecond], c)
			}
		}
	}
	return got
}

// arrivals draws how many callers come for the first time in a turn.
func arrivals(x *rand.Rand, second, perSecond int) int {
	rate := float64(usual)
	switch {
	case second >= lastCaller:
		return 0
	case second >= burstFrom && second < burstTo:
		rate *= 2.5
	}
	mean := rate / float64(perSecond)
	n := int(mean)
	if x.Float64() < mean-float64(n) {
		n++
	}
	return n
}

// Guards against refused callers who all come back at once and are refused again.
func TestCallersWhoComeBackAsToldAreServed(t *testing.T) {
	g := NewWithT(t)
	constant := play(func(time.Time) {}, func(time.Time, int) time.Duration { return time.Second })
	var p Schedule
	planned := play(p.RecordAdmission, func(now time.Time, priority int) time.Duration { return p.RetryAfter(now, 0, priority) })
	t.Logf("constant %+v", constant)
	t.Logf("planned  %+v", planned)
	perAnswer := func(o outcome) float64 { return float64(o.tries) / float64(o.served) }
	g.Expect(planned.served).To(BeNumerically(">", constant.served))
	g.Expect(perAnswer(planned)).To(BeNumerically("<", 0.9*perAnswer(constant)))
	g.Expect(float64(planned.servedUrgent) / float64(planned.urgent)).To(BeNumerically(">=", float64(planned.served)/float64(planned.callers)))
}

// Guards against callers who are asked back before the queue that refused them has room.
func TestNobodyIsAskedBackBeforeThereIsRoom(t *testing.T) {
	var p Schedule
	NewWithT(t).Expect(p.RetryAfter(begin, 4*time.Second, 0)).To(BeNumerically(">=", 4*time.Second))
}

// Guards against callers who are told to wait for ever while nothing is let in.
func TestWaitsAreBounded(t *testing.T) {
	g := NewWithT(t)
	var p Schedule
	for range 10_000 {
		g.Expect(p.RetryAfter(begin, 0, 2)).To(And(BeNumerically(">=", least), BeNumerically("<=", most)))
	}
}
