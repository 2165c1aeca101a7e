package demo

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/client"
	"github.com/camphorrack/camphorrack/internal/localfleet"
	"github.com/camphorrack/camphorrack/internal/owner"
)

// run is one run of the demonstration: the work submitted to a deployment, the failures injected
// meanwhile, and their counts.
type run struct {
	deployment *deployment
	callers    *callers
	operators  *operators
	// disrupted is set for each entry that was stopped or frozen on purpose.
	disrupted []atomic.Bool

	startsPerTarget []int        // starts counted by each target
	entryCounts     owner.Counts // sum of the entries' own counters

	injections    map[string]int // number of injections by name
	killedAgent   string         // name of the killed agent
	killedPID     int
	resubmissions int // calls repeated after the agent was killed
	cancelBatch   int // number of jobs cancelled with one call
	lookUps       int // number of answers fetched again
}

// drive submits work for o.Duration while failures are injected. It returns when every caller
// has an answer or has given up.
func (s *deployment) drive(ctx context.Context, o Options) (*run, error) {
	callers, err := newCallers(ctx, s.entryAddrs())
	if err != nil {
		return nil, err
	}
	defer callers.close()
	callers.withTimeout = s.withRunningTimeout
	r := &run{
		deployment: s, callers: callers, operators: newOperators(s),
		disrupted: make([]atomic.Bool, len(s.entries)), injections: map[string]int{},
	}
	stopOperators := r.operators.start(ctx)
	failures := &schedule{}
	stop := func() error { return nil }
	if o.Chaos {
		stop = r.startChaos(ctx, o.Seed)
	} else {
		failures = r.failureSchedule(ctx, o.Duration)
	}
	err = r.submitAll(ctx, o, failures)
	err = errors.CombineErrors(err, stop())
	callers.calls.Wait()
	stopOperators()
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		return nil, err
	}
	r.lookUpLatest(ctx)
	return r, nil
}

// submitAll submits work for o.Duration and runs the steps of the schedule when they are due.
func (r *run) submitAll(ctx context.Context, o Options, failures *schedule) error {
	generator := newGenerator(o.Seed, len(r.deployment.entries), capacity(), o.Load)
	startedAt := time.Now()
	for time.Since(startedAt) < o.Duration && ctx.Err() == nil {
		if err := failures.runDue(time.Since(startedAt)); err != nil {
			return err
		}
		next := generator.nextPlan()
		sleep(ctx, next.interArrival)
		r.callers.submitPlan(ctx, next)
	}
	return nil
}

// step is an action that runs once, at an offset from the start of the run.
type step struct {
	offset time.Duration
	action func() error
}

// schedule holds the steps that have not run yet, ordered by offset.
type schedule struct{ remaining []step }

// runDue runs the steps that are due after the elapsed time.
func (s *schedule) runDue(elapsed time.Duration) error {
	for len(s.remaining) > 0 && elapsed >= s.remaining[0].offset {
		due := s.remaining[0]
		s.remaining = s.remaining[1:]
		if err := due.action(); err != nil {
			return err
		}
	}
	return nil
}

// failureSchedule returns the scheduled failures of a run without chaos. It kills the last agent,
// whose target is slow, so that the fast targets, on which the ideal response time is based,
// stay available.
func (r *run) failureSchedule(ctx context.Context, d time.Duration) *schedule {
	killTime := time.Duration(killAtShare * float64(d))
	victim := len(r.deployment.agents) - 1
	return &schedule{remaining: []step{
		{killTime, func() error { r.killAgent(ctx, victim); return nil }},
		{killTime + restartDelay, func() error { return r.deployment.restartAgent(ctx, victim) }},
		{time.Duration(cancelAtShare * float64(d)), func() error { r.cancelPending(ctx); return nil }},
	}}
}

// killAgent kills an agent. Every caller that still waits then assumes that its job is lost and
// submits it again through another entry.
func (r *run) killAgent(ctx context.Context, victim int) {
	agent := r.deployment.agents[victim]
	r.killedAgent, r.killedPID = agent.Name, agent.PID()
	agent.Kill()
	for _, submission := range r.callers.history.pending() {
		r.resubmissions++
		r.callers.resubmit(ctx, submission)
	}
}

// cancelPending cancels up to maxCancelBatch of the pending submissions with one call.
func (r *run) cancelPending(ctx context.Context) {
	batch := r.callers.history.pending()
	batch = batch[:min(len(batch), maxCancelBatch)]
	r.cancelBatch = len(batch)
	r.callers.calls.Go(func() { r.callers.cancel(ctx, 0, batch) })
}

// lookUpLatest fetches the most recent answers again, through another entry.
func (r *run) lookUpLatest(ctx context.Context) {
	all := r.callers.history.list()
	for _, submission := range all[max(0, len(all)-maxLookUps):] {
		r.lookUps++
		r.callers.lookUp(ctx, submission, r.callers.otherEntry(submission.plan.entry))
	}
}

// verify fetches the start counts of the targets and compares them with what callers received.
func (r *run) verify(ctx context.Context) (*Result, error) {
	sleep(ctx, settleDelay)
	counted, perTarget, err := countStarts(ctx, addrsOf(r.deployment.targets))
	if err != nil {
		return nil, err
	}
	r.startsPerTarget = perTarget
	if r.entryCounts, err = sumCounts(ctx, r.deployment.entryAddrs()); err != nil {
		return nil, err
	}
	return verify(r.callers.history.list(), counted, fastestSpeed(), func(owner int) bool { return r.disrupted[owner].Load() }), nil
}

// sumCounts returns the sum of the entries' own counters. They are only displayed; no check uses
// them.
func sumCounts(ctx context.Context, entries []string) (owner.Counts, error) {
	var sum owner.Counts
	for _, entry := range entries {
		c, err := client.New(client.Options{Entries: []string{entry}})
		if err != nil {
			return sum, err
		}
		page, err := c.Status(ctx)
		if err != nil {
			return sum, err
		}
		var status owner.Status
		if err := json.Unmarshal(page, &status); err != nil {
			return sum, errors.Wrapf(err, "status of %s", entry)
		}
		sum.Accepted += status.Counts.Accepted
		sum.Starts += status.Counts.Starts
		sum.NotRun += status.Counts.NotRun
		sum.Cancels += status.Counts.Cancels
	}
	return sum, nil
}

// checkProcesses adds a breach for each process that crashed or did not stop gracefully.
func (r *Result) checkProcesses(crashed, unclean []*localfleet.Process) {
	for _, p := range crashed {
		r.addBreach(RuleProcessExit, p.Name, "ended by itself; its last log lines: %q", p.LogTail())
	}
	for _, p := range unclean {
		r.addBreach(RuleProcessExit, p.Name, "did not end gracefully after SIGTERM; its last log lines: %q", p.LogTail())
	}
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
