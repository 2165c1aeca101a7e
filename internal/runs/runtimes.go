package runs

import (
	"time"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/scheduler/runtimes"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// Run time is a property of the job, and a few jobs in a hundred take several times their
// estimate. Their runs must not make a sound target look slow or stalled: entries would keep work
// away from it. One long job says little about its target, two at the same time say more. Where
// the queue has no tail, or the order names no queue, each run counts as before.
const (
	// usualEndsAfterLong is the number of usual ends after which an earlier long run is
	// attributed to its job. A target that hangs one task in three has a second one before.
	usualEndsAfterLong = 4
	// explainedShare is the least probability, for a sound target, of as many long jobs as are in
	// progress, at which they say nothing about the target.
	explainedShare = 0.001
	// summaryInterval is the shortest time between two summaries of a queue, and minSummaryCount
	// the least number of completions that one is made from.
	summaryInterval = time.Second
	minSummaryCount = 20
)

// queueRunTimes is the distribution of the run times of one queue.
type queueRunTimes struct {
	*runtimes.Distribution
	published runtimes.Summary // as last sent
	version   uint64           // summariesVersion when it was published; 0: it was not
}

// longJob is a job with long runs at the target that may be due to the job or to the target.
type longJob struct {
	job, queue        string
	ratios            []float64 // of its completed runs
	estimateMs, ranMs float64   // of its first run
	withheld          bool      // from the rating
	hung              bool      // its first run did not complete
	usualEndsAfter    int
}

// runTimesState is what the agent knows about run times.
type runTimesState struct {
	queues            *runtimes.ByQueue[*queueRunTimes]
	long              longJob // the last one; without job: none
	summariesVersion  uint64
	summariesChecked  time.Time
	overdue           []overdueJob // buffer of longJobsExplained
	recentJobs        []string     // buffer of longJobsExplained
	usualEnds         [recentEnds]usualEnd
	nextUsualEnd      int // index in usualEnds of the oldest one
	recordedSinceSent bool
}

// overdueJob is a job with a run that is past a limit.
type overdueJob struct {
	job   string
	share float64 // of the runs of its queue that are as long
}

// recentEnds is the number of ends that usualEnds holds: those of about half a second on a busy
// target.
const recentEnds = 32

// usualEnd is a completed run that was not long.
type usualEnd struct {
	job       string
	startedAt time.Time
}

// runTimesOf returns the distribution of a queue, and creates it if needed; nil for no queue.
func (t *Table) runTimesOf(queue string) *queueRunTimes {
	if queue == "" {
		return nil
	}
	q, known := t.runTimes.queues.Get(queue)
	if !known {
		q = &queueRunTimes{Distribution: runtimes.New()}
		t.runTimes.queues.Add(queue, q)
	}
	return q
}

// TailP99 returns the ratio that 99 in 100 runs of a queue don't exceed, for the queue where it is
// largest; 0 without queues.
func (t *Table) TailP99() float64 {
	p99 := 0.0
	for _, q := range t.runTimes.queues.Values() {
		p99 = max(p99, q.Quantile(0.99))
	}
	return p99
}

// recordEnd rates the target by a run that completed, or that was stopped and hung, and adds a
// completed one to the distribution of its queue. ranMs is 0 where its run time is not known.
func (t *Table) recordEnd(r *run, ranMs float64, completed bool) {
	q := t.runTimesOf(r.order.Queue)
	if q == nil || !(ranMs > 0) || !(r.order.EstimateMs > 0) {
		t.health.recordDone(r.order.EstimateMs, ranMs)
		return
	}
	ratio := ranMs * t.health.speed() / r.order.EstimateMs
	switch long := &t.runTimes.long; {
	case ratio < runtimes.LongRatio:
		t.health.recordDone(r.order.EstimateMs, ranMs)
		if completed {
			t.recordRatio(q, ratio)
			t.noteUsualEnd(r)
		}
	case long.job == r.id.Task.Job:
		t.recordSameLongJob(q, r, ranMs, ratio, completed)
	case long.job != "" && long.withheld:
		// Runs of two jobs are long, so that the target is more likely slow.
		t.health.recordDone(long.estimateMs, long.ranMs)
		t.health.recordDone(r.order.EstimateMs, ranMs)
		t.startLongJob(r, ranMs, ratio, completed, false)
	default:
		// An entry that names the queue stops a run only if it judges it hung.
		withheld, ratedMs := q.HasTail() && completed && long.job == "", ranMs
		if withheld {
			ratedMs = 0
		}
		t.health.recordDone(r.order.EstimateMs, ratedMs)
		t.startLongJob(r, ranMs, ratio, completed, withheld)
	}
}

// startLongJob remembers a job with a long run.
func (t *Table) startLongJob(r *run, ranMs, ratio float64, completed, withheld bool) {
	long := longJob{job: r.id.Task.Job, queue: r.order.Queue, ratios: t.runTimes.long.ratios[:0],
		estimateMs: r.order.EstimateMs, ranMs: ranMs, withheld: withheld, hung: !completed}
	if completed {
		long.ratios = append(long.ratios, ratio)
	}
	t.runTimes.long = long
}

// recordSameLongJob records a further long run of the same job. With a tail, all its runs count
// as one towards the rating.
func (t *Table) recordSameLongJob(q *queueRunTimes, r *run, ranMs, ratio float64, completed bool) {
	if completed {
		t.runTimes.long.ratios = append(t.runTimes.long.ratios, ratio)
	}
	if q.HasTail() {
		ranMs = 0
	}
	t.health.recordDone(r.order.EstimateMs, ranMs)
}

// noteUsualEnd remembers a completed run that was not long. Once enough of them have ended after the
// last long job, it attributes that job to its queue.
func (t *Table) noteUsualEnd(r *run) {
	t.runTimes.usualEnds[t.runTimes.nextUsualEnd] = usualEnd{r.id.Task.Job, r.startedAt}
	t.runTimes.nextUsualEnd = (t.runTimes.nextUsualEnd + 1) % recentEnds
	long := &t.runTimes.long
	if long.job == "" {
		return
	}
	long.usualEndsAfter++
	if long.usualEndsAfter < usualEndsAfterLong {
		return
	}
	if q := t.runTimesOf(long.queue); q != nil && !long.hung {
		for _, ratio := range long.ratios {
			t.recordRatio(q, ratio)
		}
	}
	t.forgetLongJob()
}

func (t *Table) forgetLongJob() { t.runTimes.long = longJob{ratios: t.runTimes.long.ratios[:0]} }

// forgetEnds forgets the ends of an incarnation that has ended.
func (t *Table) forgetEnds() {
	t.forgetLongJob()
	clear(t.runTimes.usualEnds[:])
}

func (t *Table) recordRatio(q *queueRunTimes, ratio float64) {
	q.Record(t.now, ratio)
	t.runTimes.recordedSinceSent = true
}

// longJobsExplained reports whether the jobs with a running task past a limit are explained by
// the run times of their queues, or with needTail by their tails. ratio returns the ratio of a
// running task, and whether it is past the limit. Several runs of one job are one piece of evidence. The jobs that started here as
// late as the first of them and ended as usual count as well: on a target that makes no progress
// there are none.
func (t *Table) longJobsExplained(needTail bool, ratio func(*run) (float64, bool)) bool {
	overdue, jobs := t.runTimes.overdue[:0], t.runTimes.recentJobs[:0]
	defer func() { t.runTimes.overdue, t.runTimes.recentJobs = overdue, jobs }()
	since := t.now
	for r := range t.runs.Values() {
		if r.state != running || r.order.EstimateMs <= 0 {
			continue
		}
		jobs = appendDistinct(jobs, r.id.Task.Job)
		runRatio, isOverdue := ratio(r)
		if !isOverdue {
			continue
		}
		q, known := t.runTimes.queues.Peek(r.order.Queue)
		if !known || needTail && !q.HasTail() {
			return false
		}
		overdue = noteOverdue(overdue, r.id.Task.Job, q.Survival(runRatio))
		if r.startedAt.Before(since) {
			since = r.startedAt
		}
	}
	if len(overdue) == 0 {
		return false
	}
	for i := range t.runTimes.usualEnds {
		if e := &t.runTimes.usualEnds[i]; e.startedAt.After(since) {
			jobs = appendDistinct(jobs, e.job)
		}
	}
	// The probability that these jobs are long on a sound target: that of each of them, times the
	// number of ways to choose them.
	p := 1.0
	for i, o := range overdue {
		p *= o.share * float64(len(jobs)-i) / float64(i+1)
	}
	return p >= explainedShare
}

func appendDistinct(jobs []string, job string) []string {
	for _, known := range jobs {
		if known == job {
			return jobs
		}
	}
	return append(jobs, job)
}

// noteOverdue adds a run past a limit to the overdue jobs. The least long run of a job counts.
func noteOverdue(overdue []overdueJob, job string, share float64) []overdueJob {
	for i := range overdue {
		if overdue[i].job == job {
			overdue[i].share = max(overdue[i].share, share)
			return overdue
		}
	}
	return append(overdue, overdueJob{job, share})
}

// slowRatio returns the ratio of a running task by a speed, and whether it counts as slow.
func (t *Table) slowRatio(speed float64) func(*run) (float64, bool) {
	return func(r *run) (float64, bool) {
		ratio := clock.Millis(t.now.Sub(r.startedAt)) * speed / r.order.EstimateMs
		return ratio, ratio > overdueFactor
	}
}

// stallRatio returns the ratio of a running task by the steady speed, and whether it counts as
// stalled.
func (t *Table) stallRatio(r *run) (float64, bool) {
	elapsed, expectedMs := t.now.Sub(r.startedAt), t.health.steadyRatio*r.order.EstimateMs
	return clock.Millis(elapsed) / expectedMs, elapsed > clock.FromMillis(stallFactor*expectedMs)+stallMargin
}

// remainingMs returns the expected remaining time of a started run on a target of the given
// speed; it is negative for a run past its expected end. A long run of a queue with a tail has as
// much before it as such runs have on average. Nothing is expected of a run without an estimate.
func (t *Table) remainingMs(r *run, speed float64) float64 {
	if r.order.EstimateMs <= 0 {
		return 0
	}
	expectedMs := r.order.EstimateMs / speed
	elapsedMs := clock.Millis(t.now.Sub(r.startCalledAt))
	if elapsedMs < runtimes.LongRatio*expectedMs || r.state != running {
		return expectedMs - elapsedMs
	}
	if q, known := t.runTimes.queues.Peek(r.order.Queue); known && q.HasTail() {
		return expectedMs * q.Remainder(elapsedMs/expectedMs)
	}
	return expectedMs - elapsedMs
}

// publishRunTimes updates the summaries that differ from those sent, at most once per
// summaryInterval.
func (t *Table) publishRunTimes() {
	if !t.runTimes.recordedSinceSent || t.now.Sub(t.runTimes.summariesChecked) < summaryInterval {
		return
	}
	t.runTimes.recordedSinceSent, t.runTimes.summariesChecked = false, t.now
	for _, q := range t.runTimes.queues.Values() {
		if q.Count() < minSummaryCount {
			continue
		}
		if s := q.Summary(); q.version == 0 || s.Differs(q.published) {
			t.runTimes.summariesVersion++
			q.published, q.version = s, t.runTimes.summariesVersion
		}
	}
}

// unsentRunTimes returns the summaries that a session has not been sent yet.
func (t *Table) unsentRunTimes(s *session) []wire.RunTimes {
	if s.features < wire.ExtendedFeatures || s.runTimesVersion == t.runTimes.summariesVersion {
		return nil
	}
	var unsent []wire.RunTimes
	for _, name := range t.runTimes.queues.Keys() {
		q, _ := t.runTimes.queues.Peek(name)
		if q.version <= s.runTimesVersion {
			continue
		}
		summary := wire.RunTimes{Queue: name, Count: q.published.Count, Quantiles: make([]float32, len(q.published.Quantiles))}
		for i, quantile := range q.published.Quantiles {
			summary.Quantiles[i] = float32(quantile)
		}
		unsent = append(unsent, summary)
	}
	s.runTimesVersion = t.runTimes.summariesVersion
	return unsent
}
