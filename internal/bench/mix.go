package bench

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"strconv"

	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/standin/target"
)

// jobSizes lists the numbers of tasks per job. Each element is equally likely.
var jobSizes = []int{1, 1, 1, 4, 16, 64}

// Mix is a distribution of task run times, in milliseconds at speed 1: uniform from LongMinMs
// to LongMaxMs for a fraction of LongShare of the tasks, and from MinMs to MaxMs for the rest.
type Mix struct {
	MinMs, MaxMs         float64
	LongShare            float64
	LongMinMs, LongMaxMs float64
}

var (
	defaultMix = Mix{MinMs: 50, MaxMs: 1000, LongShare: 0.03, LongMinMs: 2000, LongMaxMs: 5000}
	// longAmongShort has tasks of 50 to 100 ms mixed with tasks of about 5 s, which make up
	// three quarters of the work.
	longAmongShort = Mix{MinMs: 50, MaxMs: 100, LongShare: 0.05, LongMinMs: 4500, LongMaxMs: 5500}
)

// drawTaskMs returns a random run time.
func (m Mix) drawTaskMs(r *rand.Rand) float64 {
	low, high := m.MinMs, m.MaxMs
	if r.Float64() < m.LongShare {
		low, high = m.LongMinMs, m.LongMaxMs
	}
	return low + (high-low)*r.Float64()
}

// meanJobMs returns the mean work of a job: the sum of its tasks' run times at speed 1.
func (m Mix) meanJobMs() float64 {
	task := (1-m.LongShare)*(m.MinMs+m.MaxMs)/2 + m.LongShare*(m.LongMinMs+m.LongMaxMs)/2
	tasks := 0
	for _, n := range jobSizes {
		tasks += n
	}
	return task * float64(tasks) / float64(len(jobSizes))
}

// EstimateError is the kind of error in the run times that callers declare.
type EstimateError int

// Kinds of estimate errors.
const (
	ExactEstimate     EstimateError = iota
	LogNormalError                  // multiplied by a log-normal factor with a standard deviation of a factor of e
	TenfoldClassError               // ten times too short in one class, exact in the next, ten times too long in the last
)

// classes lists the job classes, which are equally likely.
var classes = []string{"short", "true", "long"}

// estimateMs returns the declared run time for a real one, both in milliseconds. class is an
// index of classes.
func (d EstimateError) estimateMs(r *rand.Rand, class int, ms float64) int64 {
	switch d {
	case LogNormalError:
		ms *= math.Exp(r.NormFloat64())
	case TenfoldClassError:
		ms *= math.Pow(10, float64(class-1))
	}
	return int64(max(math.Round(ms), 1))
}

// jobSpec is a job to submit, with the real run times of its tasks.
type jobSpec struct {
	submission *job.Submission
	totalMs    float64 // sum of the tasks' run times at speed 1
	longestMs  float64 // longest run time of a task at speed 1
}

// newJobSpec returns a random job. All run times are multiplied by scale.
func newJobSpec(r *rand.Rand, s Scenario, scale float64) jobSpec {
	class := r.IntN(len(classes))
	spec := jobSpec{submission: &job.Submission{Team: s.drawTeam(r), Class: classes[class]}}
	for n := range jobSizes[r.IntN(len(jobSizes))] {
		ms := s.Mix.drawTaskMs(r) * scale
		spec.totalMs += ms
		spec.longestMs = max(spec.longestMs, ms)
		// Encoding can't fail: the struct has only two plain fields.
		payload, _ := json.Marshal(target.Workload{RunMs: ms, Echo: strconv.Itoa(n)})
		spec.submission.Tasks = append(spec.submission.Tasks, job.Task{Payload: payload, EstimateMs: s.EstimateError.estimateMs(r, class, ms)})
	}
	return spec
}

// matches reports whether the results are those of the job's tasks, in order.
func (spec jobSpec) matches(results [][]byte) bool {
	if len(results) != len(spec.submission.Tasks) {
		return false
	}
	for n, result := range results {
		if string(result) != strconv.Itoa(n) {
			return false
		}
	}
	return true
}
