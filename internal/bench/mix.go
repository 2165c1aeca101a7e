package bench

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"strconv"

	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/standin/target"
)

// jobSizes are the numbers of tasks in a job, each as likely as the others.
var jobSizes = []int{1, 1, 1, 4, 16, 64}

// Mix is the run times of tasks, in milliseconds at speed 1: uniform from Low to
// High, and for a share of LongShare uniform from LongLow to LongHigh.
type Mix struct {
	MinMs, MaxMs         float64
	LongShare            float64
	LongMinMs, LongMaxMs float64
}

var (
	usualMix = Mix{MinMs: 50, MaxMs: 1000, LongShare: 0.03, LongMinMs: 2000, LongMaxMs: 5000}
	// longAmongShort is checks of 50 to 100 ms with tasks of 5 s in between, which
	// take three quarters of the time.
	longAmongShort = Mix{MinMs: 50, MaxMs: 100, LongShare: 0.05, LongMinMs: 4500, LongMaxMs: 5500}
)

func (m Mix) draw(r *rand.Rand) float64 {
	low, high := m.MinMs, m.MaxMs
	if r.Float64() < m.LongShare {
		low, high = m.LongMinMs, m.LongMaxMs
	}
	return low + (high-low)*r.Float64()
}

// meanJobMs is the mean work of a job.
func (m Mix) meanJobMs() float64 {
	task := (1-m.LongShare)*(m.MinMs+m.MaxMs)/2 + m.LongShare*(m.LongMinMs+m.LongMaxMs)/2
	tasks := 0
	for _, n := range jobSizes {
		tasks += n
	}
	return task * float64(tasks) / float64(len(jobSizes))
}

// EstimateError says how declared run times relate to real ones.
type EstimateError int

// Ways to declare.
const (
	ExactEstimate     EstimateError = iota
	LogNormalError                  // at random, with a standard deviation of a factor of e
	TenfoldClassError               // a third of the classes ten times too short, a third ten times too long
)

// classes that jobs are spread over.
var classes = []string{"short", "true", "long"}

func (d EstimateError) declare(r *rand.Rand, class int, ms float64) int64 {
	switch d {
	case LogNormalError:
		ms *= math.Exp(r.NormFloat64())
	case TenfoldClassError:
		ms *= math.Pow(10, float64(class-1))
	}
	return int64(max(math.Round(ms), 1))
}

// work is one job to be submitted, and what is known of it.
type work struct {
	submission *job.Submission
	totalMs    float64 // at speed 1
	longestMs  float64 // at speed 1
}

// newWork draws a job. All times are multiplied by scale.
func newWork(r *rand.Rand, s Scenario, scale float64) work {
	class := r.IntN(len(classes))
	w := work{submission: &job.Submission{Team: s.team(r), Class: classes[class]}}
	for n := range jobSizes[r.IntN(len(jobSizes))] {
		ms := s.Mix.draw(r) * scale
		w.totalMs += ms
		w.longestMs = max(w.longestMs, ms)
		// A struct of two plain fields always encodes.
		payload, _ := json.Marshal(target.Workload{RunMs: ms, Echo: strconv.Itoa(n)})
		w.submission.Tasks = append(w.submission.Tasks, job.Task{Payload: payload, EstimateMs: s.EstimateError.declare(r, class, ms)})
	}
	return w
}

// whole reports whether the results are those of the job's own tasks in order.
func (w work) whole(results [][]byte) bool {
	if len(results) != len(w.submission.Tasks) {
		return false
	}
	for n, result := range results {
		if string(result) != strconv.Itoa(n) {
			return false
		}
	}
	return true
}
