package demo

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/camphorrack/camphorrack/internal/job"
)

// The mix of the work: short tasks with a few long ones among them, in jobs of
// mixed sizes. Long tasks are what makes the order of the queue matter.
const (
	minRunMs      = 20
	maxRunMs      = 300
	longShare     = 0.03
	minLongMs     = 1000
	maxLongMs     = 2000
	estimateSigma = 0.5 // declared times are off by a log-normal factor

	singleShare     = 0.3
	idempotentShare = 0.5 // of the single requests
	doubledShare    = 0.25
	cancelledShare  = 0.04
	tightShare      = 0.03

	usualDeadline = 10 * time.Second
	tightDeadline = 150 * time.Millisecond
	maxDoubleLag  = 200 * time.Millisecond
	maxCancelLag  = 150 * time.Millisecond
)

var (
	jobSizes = []int{1, 1, 1, 4, 16}
	teams    = []string{"metering", "billing", "press"}
)

// taskClass is the class of every task; the stand-in targets serve all classes.
const taskClass = "check"

// workload is the payload of a stand-in target: it works for RunMs divided by its
// speed and returns Echo.
type workload struct {
	RunMs int64  `json:"run_ms"`
	Echo  string `json:"echo"`
}

// plan is one submission to make and what else is to be done with it.
type plan struct {
	unique     string
	submission *job.Submission
	longestMs  int64 // real run time of its longest task at speed 1
	deadline   time.Duration
	gap        time.Duration // since the one before
	entry      int           // through which it goes first
	owner      int           // the entry whose token its id is made of
	doubled    bool          // sent again through another entry
	doubleLag  time.Duration
	cancelled  bool // cancelled after cancelLag
	cancelLag  time.Duration
}

// generator draws plans; the same seed draws the same ones.
type generator struct {
	random  *rand.Rand
	entries int
	meanGap time.Duration
	next    int
}

// newGenerator draws work that takes the given share of the capacity, which is in
// seconds of work at speed 1 that the targets do in a second.
func newGenerator(seed uint64, entries int, capacity, load float64) *generator {
	perJob := meanRunSeconds() * meanTasks()
	gap := time.Duration(perJob / (capacity * load) * float64(time.Second))
	return &generator{random: rand.New(rand.NewPCG(seed, 0)), entries: entries, meanGap: gap}
}

func meanRunSeconds() float64 {
	short := float64(minRunMs+maxRunMs) / 2
	long := float64(minLongMs+maxLongMs) / 2
	return (short*(1-longShare) + long*longShare) / 1000
}

func meanTasks() float64 {
	sum := 0
	for _, n := range jobSizes {
		sum += n
	}
	return singleShare + (1-singleShare)*float64(sum)/float64(len(jobSizes))
}

func (g *generator) plan() *plan {
	g.next++
	o := &plan{
		unique:    fmt.Sprintf("demo.%d", g.next),
		deadline:  usualDeadline,
		gap:       time.Duration(g.random.ExpFloat64() * float64(g.meanGap)),
		entry:     g.random.IntN(g.entries),
		owner:     g.random.IntN(g.entries),
		doubled:   g.chance(doubledShare),
		doubleLag: g.upTo(maxDoubleLag),
		cancelled: g.chance(cancelledShare),
		cancelLag: g.upTo(maxCancelLag),
	}
	if g.chance(tightShare) {
		o.deadline = tightDeadline
	}
	o.submission = g.submission(o)
	return o
}

func (g *generator) submission(o *plan) *job.Submission {
	s := &job.Submission{Team: teams[g.random.IntN(len(teams))], Class: taskClass}
	tasks := jobSizes[g.random.IntN(len(jobSizes))]
	if g.chance(singleShare) {
		tasks = 1
		s.Single = true
		s.Idempotent = g.chance(idempotentShare)
	}
	for i := range tasks {
		runMs := g.runMs()
		o.longestMs = max(o.longestMs, runMs)
		s.Tasks = append(s.Tasks, job.Task{Payload: payload(runMs, echoOf(o.unique, i)), EstimateMs: g.declare(runMs)})
	}
	return s
}

func (g *generator) runMs() int64 {
	if g.chance(longShare) {
		return minLongMs + g.random.Int64N(maxLongMs-minLongMs)
	}
	return minRunMs + g.random.Int64N(maxRunMs-minRunMs)
}

func (g *generator) declare(runMs int64) int64 {
	return max(1, int64(float64(runMs)*math.Exp(estimateSigma*g.random.NormFloat64())))
}

func (g *generator) chance(p float64) bool { return g.random.Float64() < p }

func (g *generator) upTo(d time.Duration) time.Duration {
	return time.Duration(g.random.Int64N(int64(d)))
}

// echoOf is what the target must return for a task: it names the task, so that a
// result that got to another task or caller shows.
func echoOf(unique string, task int) string { return fmt.Sprintf("%s/%d", unique, task) }

func payload(runMs int64, echo string) []byte {
	b, err := json.Marshal(workload{RunMs: runMs, Echo: echo})
	if err != nil {
		panic(err) // a struct of a number and a string always encodes
	}
	return b
}
