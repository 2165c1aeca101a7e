package earliest

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
)

// fleet is a simulation of targets in virtual time, with the runs on each.
type fleet struct {
	speeds []float64
	cores  []int
	runs   [][]run
}

type run struct {
	cores        int
	fromMs, toMs float64
}

// workload describes jobs that arrive at random.
type workload struct {
	tasks, taskCores int     // per job, per task
	workMs           float64 // median run time at speed 1
	stretch          float64 // of the objective: run time times stretch, plus 60 ms
	utilization      float64 // offered load as a share of the fleet's capacity
}

// freeCores returns the number of idle cores of target i at a time.
func (f *fleet) freeCores(i int, atMs float64) int {
	free := f.cores[i]
	for _, r := range f.runs[i] {
		if r.fromMs <= atMs && atMs < r.toMs {
			free -= r.cores
		}
	}
	return free
}

// earliestStart returns the first time at which need cores of target i are idle.
func (f *fleet) earliestStart(i int, nowMs float64, need int) float64 {
	at := nowMs
	for f.freeCores(i, at) < need {
		next := math.Inf(1)
		for _, r := range f.runs[i] {
			if r.toMs > at {
				next = min(next, r.toMs)
			}
			if r.fromMs > at {
				next = min(next, r.fromMs)
			}
		}
		at = next
	}
	return at
}

func (f *fleet) candidates(nowMs float64, need int) []Candidate {
	candidates := make([]Candidate, len(f.speeds))
	for i := range candidates {
		f.runs[i] = slices.DeleteFunc(f.runs[i], func(r run) bool { return r.toMs <= nowMs })
		candidates[i] = Candidate{Free: cores(max(f.freeCores(i, nowMs), 0)), Total: cores(f.cores[i]), Speed: f.speeds[i],
			WaitMs: f.earliestStart(i, nowMs, need) - nowMs}
	}
	return candidates
}

// simulate returns the share of the jobs that met their callers' objective. Run times and the
// errors of estimates are random, with standard deviations of 0.4 and 0.3 of their logarithms.
func (f *fleet) simulate(w workload, jobs int) float64 {
	random := rand.New(rand.NewPCG(1, 2))
	f.runs = make([][]run, len(f.speeds))
	capacity := 0.0
	for i := range f.speeds {
		capacity += f.speeds[i] * float64(f.cores[i])
	}
	perJob := float64(w.tasks*w.taskCores) * w.workMs * math.Exp(0.08)
	nowMs, inTime := 0.0, 0
	for range jobs {
		nowMs += random.ExpFloat64() * perJob / (capacity * w.utilization)
		workMs := w.workMs * math.Exp(0.4*random.NormFloat64())
		estimateMs := workMs * math.Exp(0.3*random.NormFloat64())
		task := Task{Demand: cores(w.taskCores), EstimateMs: estimateMs, RemainingMs: w.stretch*estimateMs + 60}
		candidates := f.candidates(nowMs, w.taskCores)
		endMs := nowMs
		for range w.tasks {
			k := Choose(task, candidates).Index
			candidates[k].Reserve(task, k)
			from := f.earliestStart(k, nowMs, w.taskCores)
			to := from + workMs/f.speeds[k]
			f.runs[k] = append(f.runs[k], run{w.taskCores, from, to})
			endMs = max(endMs, to)
		}
		if endMs-nowMs <= w.stretch*workMs+60 {
			inTime++
		}
	}
	return float64(inTime) / float64(jobs)
}

func newFleet(n int, speed func(i int) float64, size func(i int) int) *fleet {
	f := &fleet{}
	for i := range n {
		f.speeds = append(f.speeds, speed(i))
		f.cores = append(f.cores, size(i))
	}
	return f
}

// Guards against constants that fit only the fleets and loads they were chosen for, and leave
// capacity idle and callers waiting elsewhere: speeds from 1 to 10, one large target among
// small ones, tasks of seconds, jobs of 30 tasks. At half to three quarters of the capacity of
// the fleet, nearly every job must meet its objective.
func TestOtherFleetsAndLoads(t *testing.T) {
	same := func(n int) func(int) int { return func(int) int { return n } }
	for name, c := range map[string]struct {
		fleet    *fleet
		workload workload
	}{
		"speeds 1 to 10": {newFleet(20, func(i int) float64 { return 1 + float64(i%10) }, same(16)), workload{4, 2, 300, 1.6, 0.7}},
		"one large": {newFleet(12, func(int) float64 { return 1 }, func(i int) int {
			if i == 0 {
				return 256
			}
			return 8
		}), workload{4, 2, 200, 1.6, 0.7}},
		"tasks of seconds": {newFleet(16, func(i int) float64 { return []float64{1.5, 0.8}[i%2] }, same(32)), workload{3, 4, 4000, 1.6, 0.7}},
		"30 tasks a job":   {newFleet(30, func(i int) float64 { return []float64{1.8, 0.85, 0.85}[i%3] }, same(32)), workload{30, 2, 150, 1.6, 0.5}},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(c.fleet.simulate(c.workload, 4000)).To(BeNumerically(">=", 0.97))
		})
	}
}
