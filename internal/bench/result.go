package bench

import (
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/owner"
)

// Response over ideal is kept in thousandths, from the ideal to 10,000 times it,
// to three significant digits.
const (
	thousandth = 1000
	mostRatio  = 10_000 * thousandth
	digits     = 3
)

// Result is what callers, targets and processes saw in one run, or in several
// after merging.
type Result struct {
	ratios    *hdrhistogram.Histogram            // of complete jobs
	byTeam    map[string]*hdrhistogram.Histogram // the same by team
	jobs      int                                // measured
	complete  int
	refused   int // turned away at the door, not run
	noReturn  int // of these, without a time to come back
	missed    int // accepted and not answered complete by the deadline
	failed    int // ended as failed for another reason, cancelled ones apart
	unknown   int // without a final answer in time
	mixedUp   int // complete with results that are not the job's own
	goodMs    float64
	windowMs  float64
	sentMsgs  uint64 // start messages of the entries, warm-up included
	usedMsgs  uint64 // tasks of complete jobs, warm-up included
	notRun    uint64
	entryMs   float64 // processor time
	agentMs   float64
	networkMs float64
	runs      int
	errs      []error
}

func newResult() *Result {
	return &Result{ratios: newHistogram(), byTeam: map[string]*hdrhistogram.Histogram{}}
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, mostRatio, digits) }

// summarise reads what the callers saw.
func summarise(o Options, r one, c *callers) *Result {
	result := newResult()
	result.runs = 1
	result.networkMs = c.networkMs
	result.windowMs = (r.scenario.MeasureUntil - r.scenario.MeasureFrom) * clock.Millis(o.Duration)
	result.errs = c.errs
	for _, s := range c.sent {
		result.add(r.scenario, s, c.networkMs)
	}
	return result
}

func (r *Result) add(scenario Scenario, s *sent, networkMs float64) {
	complete := s.answer != nil && s.answer.State == job.Complete
	if complete {
		r.usedMsgs += uint64(len(s.work.submission.Tasks))
		if s.endedAt >= scenario.MeasureFrom && s.endedAt < scenario.MeasureUntil {
			r.goodMs += s.work.totalMs
		}
		if !s.work.whole(s.answer.Results) {
			r.mixedUp++
		}
	}
	if !s.measured || s.cancelled.Load() {
		return
	}
	r.jobs++
	if !complete {
		r.addEnd(s)
		return
	}
	r.complete++
	ideal := s.work.longestMs/fastest + networkMs
	ratio := min(int64(clock.Millis(s.response)/ideal*thousandth), mostRatio)
	// The value lies within the histogram's bounds, so it can't fail.
	_ = r.ratios.RecordValue(ratio)
	_ = r.team(s.work.submission.Team).RecordValue(ratio)
}

func (r *Result) team(name string) *hdrhistogram.Histogram {
	h := r.byTeam[name]
	if h == nil {
		h = newHistogram()
		r.byTeam[name] = h
	}
	return h
}

// addEnd counts a job that did not complete.
func (r *Result) addEnd(s *sent) {
	f := s.failure()
	switch {
	case f == nil:
		r.unknown++
	case f.NotRun && f.Code < fault.TaskFailed:
		r.refused++
		if f.RetryAfterMs <= 0 {
			r.noReturn++
		}
	case f.Code == fault.DeadlineExceeded || f.Code == fault.Overloaded:
		r.missed++
	default:
		r.failed++
	}
}

func (r *Result) addMessages(c owner.Counts) {
	r.sentMsgs += c.Starts
	r.notRun += c.NotRun
}

func (r *Result) addProcessorTime(before, after processorTime) {
	r.entryMs += after.entryMs - before.entryMs
	r.agentMs += after.agentMs - before.agentMs
}

// merge adds another run's figures.
func (r *Result) merge(o *Result) {
	r.ratios.Merge(o.ratios)
	for name, h := range o.byTeam {
		r.team(name).Merge(h)
	}
	r.jobs += o.jobs
	r.complete += o.complete
	r.refused += o.refused
	r.noReturn += o.noReturn
	r.missed += o.missed
	r.failed += o.failed
	r.unknown += o.unknown
	r.mixedUp += o.mixedUp
	r.goodMs += o.goodMs
	r.windowMs += o.windowMs
	r.sentMsgs += o.sentMsgs
	r.usedMsgs += o.usedMsgs
	r.notRun += o.notRun
	r.entryMs += o.entryMs
	r.agentMs += o.agentMs
	r.networkMs += o.networkMs
	r.runs += o.runs
	r.errs = append(r.errs, o.errs...)
}

// ratio returns a percentile of response over ideal.
func (r *Result) ratio(percent float64) float64 {
	return float64(r.ratios.ValueAtPercentile(percent)) / thousandth
}

func (r *Result) mean() float64 { return r.ratios.Mean() / thousandth }

// wasted is the share of start messages whose outcome was not used.
func (r *Result) wasted() float64 {
	if r.sentMsgs == 0 {
		return 0
	}
	return float64(int64(r.sentMsgs)-int64(r.usedMsgs)) / float64(r.sentMsgs)
}

// goodput is the work of answers given in the window, as a share of capacity.
func (r *Result) goodput() float64 { return r.goodMs / (r.windowMs * capacity()) }

// unfairness is the highest mean response over ideal of a team over the lowest.
func (r *Result) unfairness() float64 {
	var means []float64
	for _, h := range r.byTeam {
		means = append(means, h.Mean())
	}
	if len(means) < 2 {
		return 1
	}
	return slices.Max(means) / slices.Min(means)
}

// percentile returns the value at a share of the sorted values.
func percentile(values []float64, share float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(share*float64(len(sorted)-1))]
}
