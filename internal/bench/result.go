package bench

import (
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/owner"
)

// The slowdown of a job is its response time divided by the ideal one. Histograms hold it in
// thousandths, with three significant digits; larger ones than 10,000 count as 10,000.
const (
	slowdownScale     = 1000
	maxSlowdown       = 10_000 * slowdownScale
	significantDigits = 3
)

// Result holds the measurements of one run, or of several after merging.
type Result struct {
	slowdowns       *hdrhistogram.Histogram            // of completed jobs
	slowdownsByTeam map[string]*hdrhistogram.Histogram // the same, by team
	jobs            int                                // measured jobs
	completed       int
	refused         int     // refused before acceptance, not run
	noRetryAfter    int     // refused without a retry-after time
	missedDeadline  int     // accepted but not completed by the deadline
	failed          int     // failed for another reason; jobs cancelled by a step are not measured
	noAnswer        int     // no final answer in time
	wrongResults    int     // completed with results that don't match the job's tasks
	goodputMs       float64 // work of jobs completed within the measured window, at speed 1
	windowMs        float64 // length of the measured window
	startMsgs       uint64  // start messages that entries sent, one per task; includes the warm-up
	usedStartMsgs   uint64  // tasks of completed jobs; includes the warm-up
	notRun          uint64  // attempts that agents reported as not run
	entriesCPUMs    float64 // CPU time of all entries
	agentsCPUMs     float64 // CPU time of all agents
	roundTripMs     float64 // of a call without work, summed over the runs
	runs            int     // merged runs
	errs            []error // from steps
}

func newResult() *Result {
	return &Result{slowdowns: newHistogram(), slowdownsByTeam: map[string]*hdrhistogram.Histogram{}}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxSlowdown, significantDigits)
}

// summarise returns the result of a run as the callers observed it.
func summarise(o Options, r runSpec, c *loadGenerator) *Result {
	result := newResult()
	result.runs = 1
	result.roundTripMs = c.roundTripMs
	result.windowMs = (r.scenario.MeasureUntil - r.scenario.MeasureFrom) * clock.Millis(o.Duration)
	result.errs = c.stepErrs
	for _, s := range c.jobs {
		result.add(r.scenario, s, c.roundTripMs)
	}
	return result
}

// add counts a job. A job that was cancelled or arrived outside the measured window only
// counts for start messages, goodput and wrong results. The ideal response time is the longest
// task's run time on the fastest target plus a round trip.
func (r *Result) add(scenario Scenario, s *submittedJob, roundTripMs float64) {
	complete := s.answer != nil && s.answer.State == job.Complete
	if complete {
		r.usedStartMsgs += uint64(len(s.spec.submission.Tasks))
		if s.endedAt >= scenario.MeasureFrom && s.endedAt < scenario.MeasureUntil {
			r.goodputMs += s.spec.totalMs
		}
		if !s.spec.matches(s.answer.Results) {
			r.wrongResults++
		}
	}
	if !s.measured || s.cancelled.Load() {
		return
	}
	r.jobs++
	if !complete {
		r.addIncomplete(s)
		return
	}
	r.completed++
	ideal := s.spec.longestMs/fastestSpeed + roundTripMs
	ratio := min(int64(clock.Millis(s.responseTime)/ideal*slowdownScale), maxSlowdown)
	// RecordValue can't fail: the value lies within the histogram's bounds.
	_ = r.slowdowns.RecordValue(ratio)
	_ = r.teamSlowdowns(s.spec.submission.Team).RecordValue(ratio)
}

// teamSlowdowns returns the histogram of a team, and creates it if needed.
func (r *Result) teamSlowdowns(name string) *hdrhistogram.Histogram {
	h := r.slowdownsByTeam[name]
	if h == nil {
		h = newHistogram()
		r.slowdownsByTeam[name] = h
	}
	return h
}

// addIncomplete counts a job that did not complete, by its failure.
func (r *Result) addIncomplete(s *submittedJob) {
	f := s.failure()
	switch {
	case f == nil:
		r.noAnswer++
	case f.NotRun && f.Code < fault.TaskFailed:
		r.refused++
		if f.RetryAfterMs <= 0 {
			r.noRetryAfter++
		}
	case f.Code == fault.DeadlineExceeded || f.Code == fault.Overloaded:
		r.missedDeadline++
	default:
		r.failed++
	}
}

// addMessages adds counters of entries.
func (r *Result) addMessages(c owner.Counts) {
	r.startMsgs += c.Starts
	r.notRun += c.NotRun
}

// addCPUTime adds the CPU time used between two readings.
func (r *Result) addCPUTime(before, after cpuTime) {
	r.entriesCPUMs += after.entriesMs - before.entriesMs
	r.agentsCPUMs += after.agentsMs - before.agentsMs
}

// merge adds the measurements of other runs.
func (r *Result) merge(o *Result) {
	r.slowdowns.Merge(o.slowdowns)
	for name, h := range o.slowdownsByTeam {
		r.teamSlowdowns(name).Merge(h)
	}
	r.jobs += o.jobs
	r.completed += o.completed
	r.refused += o.refused
	r.noRetryAfter += o.noRetryAfter
	r.missedDeadline += o.missedDeadline
	r.failed += o.failed
	r.noAnswer += o.noAnswer
	r.wrongResults += o.wrongResults
	r.goodputMs += o.goodputMs
	r.windowMs += o.windowMs
	r.startMsgs += o.startMsgs
	r.usedStartMsgs += o.usedStartMsgs
	r.notRun += o.notRun
	r.entriesCPUMs += o.entriesCPUMs
	r.agentsCPUMs += o.agentsCPUMs
	r.roundTripMs += o.roundTripMs
	r.runs += o.runs
	r.errs = append(r.errs, o.errs...)
}

// slowdown returns a percentile, from 0 to 100, of the jobs' slowdowns.
func (r *Result) slowdown(percent float64) float64 {
	return float64(r.slowdowns.ValueAtPercentile(percent)) / slowdownScale
}

func (r *Result) meanSlowdown() float64 { return r.slowdowns.Mean() / slowdownScale }

// wastedShare returns the fraction of start messages that did not contribute to a completed
// job.
func (r *Result) wastedShare() float64 {
	if r.startMsgs == 0 {
		return 0
	}
	return float64(int64(r.startMsgs)-int64(r.usedStartMsgs)) / float64(r.startMsgs)
}

// goodput returns the work of the jobs completed within the measured window, as a fraction of
// what all targets can do in it.
func (r *Result) goodput() float64 { return r.goodputMs / (r.windowMs * capacity()) }

// unfairness returns the highest mean slowdown of a team divided by the lowest.
func (r *Result) unfairness() float64 {
	var means []float64
	for _, h := range r.slowdownsByTeam {
		means = append(means, h.Mean())
	}
	if len(means) < 2 {
		return 1
	}
	return slices.Max(means) / slices.Min(means)
}

// percentile returns the value at a quantile, from 0 to 1, of the values.
func percentile(values []float64, share float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(share*float64(len(sorted)-1))]
}
