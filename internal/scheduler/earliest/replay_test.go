package earliest

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
)

// fleet is targets in virtual time: what runs on each, and until when.
type fleet struct {
	speeds []float64
	cores  []int
	runs   [][]run
}

type run struct {
	cores        int
	fromMs, toMs float64
}

// load is jobs that come at random and what their callers bear.
type load struct {
	tasks, taskCores int
	workMs           float64
	stretch          float64
	share            float64 // of what the fleet can do
}

// free returns the cores without work at a time.
func (f *fleet) free(i int, atMs float64) int {
	free := f.cores[i]
	for _, r := range f.runs[i] {
		if r.fromMs <= atMs && atMs < r.toMs {
			free -= r.cores
		}
	}
	return free
}

// start returns the first time from which a task has room on the target.
func (f *fleet) start(i int, nowMs float64, need int) float64 {
	at := nowMs
	for f.free(i, at) < need {
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

func (f *fleet) view(nowMs float64, need int) []Candidate {
	view := make([]Candidate, len(f.speeds))
	for i := range view {
		f.runs[i] = slices.DeleteFunc(f.runs[i], func(r run) bool { return r.toMs <= nowMs })
		view[i] = Candidate{Free: cores(max(f.free(i, nowMs), 0)), Total: cores(f.cores[i]), Speed: f.speeds[i],
			WaitMs: f.start(i, nowMs, need) - nowMs}
	}
	return view
}

// play returns the part of the jobs that ended by their callers' objective. Work and
// estimates are each off by two fifths at random.
func (f *fleet) play(l load, jobs int) float64 {
	random := rand.New(rand.NewPCG(1, 2))
	f.runs = make([][]run, len(f.speeds))
	capacity := 0.0
	for i := range f.speeds {
		capacity += f.speeds[i] * float64(f.cores[i])
	}
	perJob := float64(l.tasks*l.taskCores) * l.workMs * math.Exp(0.08)
	nowMs, inTime := 0.0, 0
	for range jobs {
		nowMs += random.ExpFloat64() * perJob / (capacity * l.share)
		workMs := l.workMs * math.Exp(0.4*random.NormFloat64())
		estimateMs := workMs * math.Exp(0.3*random.NormFloat64())
		task := Task{Demand: cores(l.taskCores), EstimateMs: estimateMs, RemainingMs: l.stretch*estimateMs + 60}
		view := f.view(nowMs, l.taskCores)
		endMs := nowMs
		for range l.tasks {
			k := Choose(task, view).Index
			view[k].Reserve(task, k)
			from := f.start(k, nowMs, l.taskCores)
			to := from + workMs/f.speeds[k]
			f.runs[k] = append(f.runs[k], run{l.taskCores, from, to})
			endMs = max(endMs, to)
		}
		if endMs-nowMs <= l.stretch*workMs+60 {
			inTime++
		}
	}
	return float64(inTime) / float64(jobs)
}

func fleetOf(n int, speed func(i int) float64, size func(i int) int) *fleet {
	f := &fleet{}
	for i := range n {
		f.speeds = append(f.speeds, speed(i))
		f.cores = append(f.cores, size(i))
	}
	return f
}

// Fleets and loads differ from any that the constants were chosen on: speeds from 1 to 10,
// one large target among small ones, tasks of seconds, jobs of 30 tasks. At half to three
// quarters of what a fleet can do nearly every caller must be served in time; a rule that
// fits one fleet only would leave room idle here and callers waiting.
func TestOtherFleetsAndLoads(t *testing.T) {
	same := func(n int) func(int) int { return func(int) int { return n } }
	for name, c := range map[string]struct {
		fleet *fleet
		load  load
	}{
		"speeds 1 to 10": {fleetOf(20, func(i int) float64 { return 1 + float64(i%10) }, same(16)), load{4, 2, 300, 1.6, 0.7}},
		"one large": {fleetOf(12, func(int) float64 { return 1 }, func(i int) int {
			if i == 0 {
				return 256
			}
			return 8
		}), load{4, 2, 200, 1.6, 0.7}},
		"tasks of seconds": {fleetOf(16, func(i int) float64 { return []float64{1.5, 0.8}[i%2] }, same(32)), load{3, 4, 4000, 1.6, 0.7}},
		"30 tasks a job":   {fleetOf(30, func(i int) float64 { return []float64{1.8, 0.85, 0.85}[i%3] }, same(32)), load{30, 2, 150, 1.6, 0.5}},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(c.fleet.play(c.load, 4000)).To(BeNumerically(">=", 0.97))
		})
	}
}
