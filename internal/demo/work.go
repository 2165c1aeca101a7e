package demo

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/camphorrack/camphorrack/internal/job"
)

// The generated work consists of short tasks with a few long ones among them, in jobs of mixed
// sizes. The long tasks are the reason why the order of the queue matters.
const (
	minRunMs      = 20
	maxRunMs      = 300
	longShare     = 0.03
	minLongMs     = 1000
	maxLongMs     = 2000
	estimateSigma = 0.5 // sigma of the log-normal error of estimates

	singleShare        = 0.3
	idempotentShare    = 0.5 // among single requests
	duplicateShare     = 0.25
	cancelledShare     = 0.04
	tightDeadlineShare = 0.03

	defaultDeadline   = 10 * time.Second
	tightDeadline     = 150 * time.Millisecond
	maxDuplicateDelay = 200 * time.Millisecond
	maxCancelDelay    = 150 * time.Millisecond
)

var (
	jobSizes = []int{1, 1, 1, 4, 16}
	teams    = []string{"metering", "billing", "press"}
)

// taskClass is the class of every task; the stand-in targets serve all classes.
const taskClass = "check"

// workload is the payload for a stand-in target, which runs for RunMs divided by its speed and
// returns Echo.
type workload struct {
	RunMs int64  `json:"run_ms"`
	Echo  string `json:"echo"`
}

// plan is a submission and how it is to be sent, repeated and cancelled.
type plan struct {
	unique         string
	submission     *job.Submission
	longestMs      int64 // actual run time of the longest task at speed 1
	deadline       time.Duration
	interArrival   time.Duration // time to wait before this submission
	entry          int           // index of the entry to submit through
	tokenEntry     int           // index of the entry whose token is part of the id, which is the owner
	duplicated     bool          // also sent through another entry, after duplicateDelay
	duplicateDelay time.Duration
	cancelled      bool // cancelled after cancelDelay
	cancelDelay    time.Duration
}

// generator draws random plans; equal seeds give equal plans.
type generator struct {
	random           *rand.Rand
	entries          int
	meanInterArrival time.Duration
	planCount        int
}

// newGenerator returns a generator whose plans amount to the given share (load) of the capacity,
// which is in seconds of work at speed 1 per second.
func newGenerator(seed uint64, entries int, capacity, load float64) *generator {
	secondsPerJob := meanRunSeconds() * meanTasks()
	interArrival := time.Duration(secondsPerJob / (capacity * load) * float64(time.Second))
	return &generator{random: rand.New(rand.NewPCG(seed, 0)), entries: entries, meanInterArrival: interArrival}
}

// meanRunSeconds returns the mean run time of a task at speed 1.
func meanRunSeconds() float64 {
	short := float64(minRunMs+maxRunMs) / 2
	long := float64(minLongMs+maxLongMs) / 2
	return (short*(1-longShare) + long*longShare) / 1000
}

// meanTasks returns the mean number of tasks of a job.
func meanTasks() float64 {
	sum := 0
	for _, n := range jobSizes {
		sum += n
	}
	return singleShare + (1-singleShare)*float64(sum)/float64(len(jobSizes))
}

func (g *generator) nextPlan() *plan {
	g.planCount++
	p := &plan{
		unique:         fmt.Sprintf("demo.%d", g.planCount),
		deadline:       defaultDeadline,
		interArrival:   time.Duration(g.random.ExpFloat64() * float64(g.meanInterArrival)),
		entry:          g.random.IntN(g.entries),
		tokenEntry:     g.random.IntN(g.entries),
		duplicated:     g.drawBool(duplicateShare),
		duplicateDelay: g.drawDuration(maxDuplicateDelay),
		cancelled:      g.drawBool(cancelledShare),
		cancelDelay:    g.drawDuration(maxCancelDelay),
	}
	if g.drawBool(tightDeadlineShare) {
		p.deadline = tightDeadline
	}
	p.submission = g.submission(p)
	return p
}

// submission returns a random submission and sets p.longestMs.
func (g *generator) submission(p *plan) *job.Submission {
	s := &job.Submission{Team: teams[g.random.IntN(len(teams))], Class: taskClass}
	tasks := jobSizes[g.random.IntN(len(jobSizes))]
	if g.drawBool(singleShare) {
		tasks = 1
		s.Single = true
		s.Idempotent = g.drawBool(idempotentShare)
	}
	for i := range tasks {
		runMs := g.drawRunMs()
		p.longestMs = max(p.longestMs, runMs)
		s.Tasks = append(s.Tasks, job.Task{Payload: payload(runMs, expectedEcho(p.unique, i)), EstimateMs: g.estimateMs(runMs)})
	}
	return s
}

// drawRunMs draws the run time of a task at speed 1.
func (g *generator) drawRunMs() int64 {
	if g.drawBool(longShare) {
		return minLongMs + g.random.Int64N(maxLongMs-minLongMs)
	}
	return minRunMs + g.random.Int64N(maxRunMs-minRunMs)
}

// estimateMs returns an estimate of a run time with a log-normal error.
func (g *generator) estimateMs(runMs int64) int64 {
	return max(1, int64(float64(runMs)*math.Exp(estimateSigma*g.random.NormFloat64())))
}

// drawBool returns true with probability p.
func (g *generator) drawBool(p float64) bool { return g.random.Float64() < p }

// drawDuration returns a random duration of at least 0 and less than d.
func (g *generator) drawDuration(d time.Duration) time.Duration {
	return time.Duration(g.random.Int64N(int64(d)))
}

// expectedEcho returns the result that a target must return for a task. It identifies the task,
// so that a result delivered to another task or caller is detected.
func expectedEcho(unique string, task int) string { return fmt.Sprintf("%s/%d", unique, task) }

func payload(runMs int64, echo string) []byte {
	b, err := json.Marshal(workload{RunMs: runMs, Echo: echo})
	if err != nil {
		panic(err) // a struct of a number and a string always encodes
	}
	return b
}
