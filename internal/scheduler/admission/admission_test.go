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

// queueModel simulates a first-come, first-served queue with a fixed service rate, to which
// Decide admits jobs.
type queueModel struct {
	capacity    float64 // milliseconds of work per millisecond
	now         time.Duration
	queue       []queuedJob
	queuedMs    map[string]float64
	idleMs      float64
	refused     map[string]int
	admitted    map[string]int
	longestWait time.Duration // from arrival to completion
}

type queuedJob struct {
	team    string
	workMs  float64
	arrived time.Duration
}

func newQueueModel() *queueModel {
	return &queueModel{capacity: 100, queuedMs: map[string]float64{}, refused: map[string]int{}, admitted: map[string]int{}}
}

func (m *queueModel) totalMs() float64 {
	sum := 0.0
	for _, ms := range m.queuedMs {
		sum += ms
	}
	return sum
}

func (m *queueModel) offer(team string, workMs float64) Decision {
	teams := len(m.queuedMs)
	if m.queuedMs[team] == 0 {
		teams++
	}
	got := Decide(View{
		QueuedMs: m.totalMs(), AheadMs: m.totalMs(), CapacityMsPerMs: m.capacity, FastestSpeed: 3,
		RemainingMs: workMs, LongestMs: min(workMs, 1000), DeadlineIn: 10 * time.Second,
		TeamQueuedMs: m.queuedMs[team], Teams: teams,
	})
	if !got.Admit {
		m.refused[team]++
		return got
	}
	m.admitted[team]++
	m.queue = append(m.queue, queuedJob{team, workMs, m.now})
	m.queuedMs[team] += workMs
	return got
}

// advance serves the queue for one step of 10 ms.
func (m *queueModel) advance() {
	const step = 10 * time.Millisecond
	m.now += step
	budget := m.capacity * 10
	for budget > 0 && len(m.queue) > 0 {
		j := &m.queue[0]
		done := min(budget, j.workMs)
		budget -= done
		j.workMs -= done
		if m.queuedMs[j.team] -= done; m.queuedMs[j.team] < 1e-6 {
			delete(m.queuedMs, j.team)
		}
		if j.workMs == 0 {
			m.longestWait = max(m.longestWait, m.now-j.arrived)
			m.queue = m.queue[1:]
		}
	}
	m.idleMs += budget
}

var _ = Describe("admission", func() {
	// Guards against congestion collapse: the offered load is 1.5 times the capacity for a
	// minute. If everything were admitted, every job would complete after its deadline, until
	// half a minute after the burst.
	It("keeps the targets busy and every answer in time under saturation", func() {
		m := newQueueModel()
		r := rand.New(rand.NewPCG(3, 4))
		var retries []time.Duration
		for range 6000 {
			for offered := 0.0; offered < 1.5*m.capacity*10; {
				workMs := []float64{500, 500, 500, 2000, 8000, 32000}[r.IntN(6)] * r.ExpFloat64()
				offered += workMs
				if got := m.offer("t", workMs); !got.Admit {
					retries = append(retries, got.RetryAfter)
				}
			}
			m.advance()
		}
		Expect(m.idleMs).To(BeNumerically("<", 0.03*m.capacity*60_000))
		Expect(m.longestWait).To(BeNumerically("<", 10*time.Second))
		Expect(retries).NotTo(BeEmpty())
		Expect(retries).To(HaveEach(And(BeNumerically(">=", MinRetry), BeNumerically("<", 5*time.Second))))
		// After the burst the queue drains completely and the next job is admitted.
		for range 500 {
			m.advance()
		}
		Expect(m.offer("t", 500).Admit).To(BeTrue())
		Expect(m.totalMs()).To(BeNumerically("==", 500))
	})

	// One team sends 90 % of an offered load of twice the capacity. Refusals regardless of the
	// team would also hit small teams that are well within their share.
	It("refuses only the team that exceeds its share", func() {
		m := newQueueModel()
		for range 3000 {
			for range 9 {
				m.offer("flood", 200)
			}
			m.offer("small", 200)
			m.advance()
		}
		Expect(m.refused["small"]).To(BeZero())
		Expect(m.refused["flood"]).To(BeNumerically(">", 3000))
		Expect(m.admitted["flood"]).To(BeNumerically(">", 10000))
	})

	// Large jobs with distant deadlines fill the queue when a small job arrives that is due in
	// 150 ms and ranks ahead of all of them. Guards against refusing it for the length of a
	// queue that it does not wait in: a safety check, such as that of a valve, would be missed.
	It("admits an urgent small job despite a long queue of large ones", func() {
		urgent := View{QueuedMs: 20_000, CapacityMsPerMs: 100, FastestSpeed: 3, RemainingMs: 60, LongestMs: 60,
			DeadlineIn: 150 * time.Millisecond, TeamQueuedMs: 10, Teams: 2}
		Expect(Decide(urgent).Admit).To(BeTrue())
		urgent.AheadMs = 20_000
		Expect(Decide(urgent).Admit).To(BeFalse())
	})

	// A job that misses its deadline however it is served would take slots from jobs that
	// can meet theirs.
	It("refuses a job that can't meet its deadline", func() {
		v := View{CapacityMsPerMs: 100, FastestSpeed: 2, RemainingMs: 4000, LongestMs: 4000, DeadlineIn: time.Second}
		Expect(Decide(v).Reason).To(Equal(TooLate))
		v.LongestMs = 1000
		Expect(Decide(v).Admit).To(BeTrue())
		v.AheadMs = 200_000
		Expect(Decide(v).Reason).To(Equal(TooLate))
	})

	It("reports a full job table and a fleet without targets", func() {
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
