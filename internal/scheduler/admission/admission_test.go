package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestAdmission(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "admission")
}

// door is a queue that is worked off in order at a fixed capacity, with Decide
// in front of it.
type door struct {
	capacity float64
	now      time.Duration
	queue    []queued
	queuedMs map[string]float64
	idleMs   float64
	refused  map[string]int
	admitted map[string]int
	longest  time.Duration // of all waits
}

type queued struct {
	team    string
	workMs  float64
	arrived time.Duration
}

func newDoor() *door {
	return &door{capacity: 100, queuedMs: map[string]float64{}, refused: map[string]int{}, admitted: map[string]int{}}
}

func (d *door) total() float64 {
	sum := 0.0
	for _, ms := range d.queuedMs {
		sum += ms
	}
	return sum
}

func (d *door) offer(team string, workMs float64) Decision {
	teams := len(d.queuedMs)
	if d.queuedMs[team] == 0 {
		teams++
	}
	got := Decide(View{
		QueuedMs: d.total(), AheadMs: d.total(), CapacityMsPerMs: d.capacity, FastestSpeed: 3,
		RemainingMs: workMs, LongestMs: min(workMs, 1000), DeadlineIn: 10 * time.Second,
		TeamQueuedMs: d.queuedMs[team], Teams: teams,
	})
	if !got.Admit {
		d.refused[team]++
		return got
	}
	d.admitted[team]++
	d.queue = append(d.queue, queued{team, workMs, d.now})
	d.queuedMs[team] += workMs
	return got
}

// run works the queue off for a step of 10 ms.
func (d *door) run() {
	const step = 10 * time.Millisecond
	d.now += step
	can := d.capacity * 10
	for can > 0 && len(d.queue) > 0 {
		j := &d.queue[0]
		done := min(can, j.workMs)
		can -= done
		j.workMs -= done
		if d.queuedMs[j.team] -= done; d.queuedMs[j.team] < 1e-6 {
			delete(d.queuedMs, j.team)
		}
		if j.workMs == 0 {
			d.longest = max(d.longest, d.now-j.arrived)
			d.queue = d.queue[1:]
		}
	}
	d.idleMs += can
}

var _ = Describe("admission", func() {
	// Callers bring 1.5 times the capacity for a minute. Let in, it all comes out
	// after its deadline, and for half a minute after the burst as well.
	It("keeps the targets busy and every answer in time under saturation", func() {
		d := newDoor()
		r := rand.New(rand.NewPCG(3, 4))
		var retries []time.Duration
		for range 6000 {
			for offered := 0.0; offered < 1.5*d.capacity*10; {
				workMs := []float64{500, 500, 500, 2000, 8000, 32000}[r.IntN(6)] * r.ExpFloat64()
				offered += workMs
				if got := d.offer("t", workMs); !got.Admit {
					retries = append(retries, got.RetryAfter)
				}
			}
			d.run()
		}
		Expect(d.idleMs).To(BeNumerically("<", 0.03*d.capacity*60_000))
		Expect(d.longest).To(BeNumerically("<", 10*time.Second))
		Expect(retries).NotTo(BeEmpty())
		Expect(retries).To(HaveEach(And(BeNumerically(">=", MinRetry), BeNumerically("<", 5*time.Second))))
		// Once the burst is over, the next job is served as if it had not been.
		for range 500 {
			d.run()
		}
		Expect(d.offer("t", 500).Admit).To(BeTrue())
		Expect(d.total()).To(BeNumerically("==", 500))
	})

	// One team sends 90 % of twice the capacity. Were refusals dealt out blindly,
	// the small teams, well within their share, would be refused like the flood.
	It("refuses the team that floods and not the others", func() {
		d := newDoor()
		for range 3000 {
			for range 9 {
				d.offer("flood", 200)
			}
			d.offer("small", 200)
			d.run()
		}
		Expect(d.refused["small"]).To(BeZero())
		Expect(d.refused["flood"]).To(BeNumerically(">", 3000))
		Expect(d.admitted["flood"]).To(BeNumerically(">", 10000))
	})

	// A job can't end before its deadline however it is served. Let in, it takes
	// slots from jobs that can.
	// Large jobs with much time fill the queue, and a check comes that is due in
	// 150 ms. It goes before all of them; turned away for the length of a queue that
	// it never stands in, it would leave a valve without its check.
	It("lets an urgent small job pass a long queue of large ones", func() {
		urgent := View{QueuedMs: 20_000, CapacityMsPerMs: 100, FastestSpeed: 3, RemainingMs: 60, LongestMs: 60,
			DeadlineIn: 150 * time.Millisecond, TeamQueuedMs: 10, Teams: 2}
		Expect(Decide(urgent).Admit).To(BeTrue())
		urgent.AheadMs = 20_000
		Expect(Decide(urgent).Admit).To(BeFalse())
	})

	It("refuses what can't be in time", func() {
		v := View{CapacityMsPerMs: 100, FastestSpeed: 2, RemainingMs: 4000, LongestMs: 4000, DeadlineIn: time.Second}
		Expect(Decide(v).Reason).To(Equal(TooLate))
		v.LongestMs = 1000
		Expect(Decide(v).Admit).To(BeTrue())
		v.AheadMs = 200_000
		Expect(Decide(v).Reason).To(Equal(TooLate))
	})

	It("names a full table and a fleet without targets", func() {
		Expect(Decide(View{Jobs: 5, MaxJobs: 5, CapacityMsPerMs: 1})).To(Equal(Decision{false, TableFull, MinRetry}))
		Expect(Decide(View{}).Reason).To(Equal(NoCapacity))
	})
})

func BenchmarkDecide(b *testing.B) {
	v := View{QueuedMs: 1e5, AheadMs: 1e4, CapacityMsPerMs: 100, FastestSpeed: 3, RemainingMs: 500, LongestMs: 500, DeadlineIn: time.Second, Teams: 9}
	b.ReportAllocs()
	for b.Loop() {
		Decide(v)
	}
}
