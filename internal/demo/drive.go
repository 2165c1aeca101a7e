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

// run is one pass of work over a deployment, and what was done meanwhile.
type run struct {
	deployment *deployment
	callers    *callers
	operators  *operators
	// disturbed says of each entry whether it was ended or frozen on purpose.
	disturbed []atomic.Bool

	perTarget []int        // starts that each target counted
	counts    owner.Counts // the entries' own, summed

	injections map[string]int // how often each was done
	killed     string         // name of the agent
	killedPID  int
	resubmits  int // calls made while the agent was gone
	cancelWave int
	lookUps    int
}

// drive submits work for the duration, with the failures on the way, and returns
// when every caller has its answer or gave up.
func (s *deployment) drive(ctx context.Context, o Options) (*run, error) {
	callers, err := newCallers(ctx, s.entryAddrs())
	if err != nil {
		return nil, err
	}
	defer callers.close()
	callers.within = s.within
	r := &run{
		deployment: s, callers: callers, operators: newOperators(s),
		disturbed: make([]atomic.Bool, len(s.entries)), injections: map[string]int{},
	}
	stopOperators := r.operators.start(ctx)
	script := &steps{}
	stop := func() error { return nil }
	if o.Chaos {
		stop = r.start(ctx, o.Seed)
	} else {
		script = r.steps(ctx, o.Duration)
	}
	err = r.submitAll(ctx, o, script)
	err = errors.CombineErrors(err, stop())
	callers.calls.Wait()
	stopOperators()
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		return nil, err
	}
	r.lookUpSome(ctx)
	return r, nil
}

// submitAll submits for the duration and does the script's steps on the way.
func (r *run) submitAll(ctx context.Context, o Options, script *steps) error {
	generator := newGenerator(o.Seed, len(r.deployment.entries), capacity(), o.Load)
	begun := time.Now()
	for time.Since(begun) < o.Duration && ctx.Err() == nil {
		if err := script.run(time.Since(begun)); err != nil {
			return err
		}
		next := generator.plan()
		pause(ctx, next.gap)
		r.callers.place(ctx, next)
	}
	return nil
}

// step is something that happens once, at a time after the begin.
type step struct {
	at time.Duration
	do func() error
}

type steps struct{ left []step }

// run does what is due.
func (s *steps) run(elapsed time.Duration) error {
	for len(s.left) > 0 && elapsed >= s.left[0].at {
		due := s.left[0]
		s.left = s.left[1:]
		if err := due.do(); err != nil {
			return err
		}
	}
	return nil
}

// steps lists the failures of a run. The slowest agent but one is killed, so that
// the fast targets, which set the ideal, stay.
func (r *run) steps(ctx context.Context, d time.Duration) *steps {
	kill := time.Duration(killAt * float64(d))
	victim := len(r.deployment.agents) - 1
	return &steps{left: []step{
		{kill, func() error { r.kill(ctx, victim); return nil }},
		{kill + restartAfter, func() error { return r.deployment.restartAgent(ctx, victim) }},
		{time.Duration(cancelAt * float64(d)), func() error { r.cancelSome(ctx); return nil }},
	}}
}

// kill ends an agent at once; every caller that still waits takes its job for
// lost and submits it again through another entry.
func (r *run) kill(ctx context.Context, victim int) {
	agent := r.deployment.agents[victim]
	r.killed, r.killedPID = agent.Name, agent.PID()
	agent.Kill()
	for _, o := range r.callers.history.pending() {
		r.resubmits++
		r.callers.again(ctx, o)
	}
}

func (r *run) cancelSome(ctx context.Context) {
	wave := r.callers.history.pending()
	wave = wave[:min(len(wave), cancelWave)]
	r.cancelWave = len(wave)
	r.callers.calls.Go(func() { r.callers.cancel(ctx, 0, wave) })
}

// lookUpSome asks again, through the other entry, for the answers given last.
func (r *run) lookUpSome(ctx context.Context) {
	all := r.callers.history.list()
	for _, o := range all[max(0, len(all)-lookUps):] {
		r.lookUps++
		r.callers.lookUp(ctx, o, r.callers.other(o.plan.entry))
	}
}

// judge counts at the targets and compares.
func (r *run) judge(ctx context.Context) (*Result, error) {
	pause(ctx, settleTime)
	counted, perTarget, err := countStarts(ctx, addrs(r.deployment.targets))
	if err != nil {
		return nil, err
	}
	r.perTarget = perTarget
	if r.counts, err = sumCounts(ctx, r.deployment.entryAddrs()); err != nil {
		return nil, err
	}
	return judge(r.callers.history.list(), counted, fastest(), func(owner int) bool { return r.disturbed[owner].Load() }), nil
}

// sumCounts adds up the entries' own counters, which are shown beside the figures
// and judge nothing.
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

func (v *Result) judgeProcesses(crashed, unclean []*localfleet.Process) {
	for _, p := range crashed {
		v.breach(RuleProcessExit, p.Name, "ended by itself; its last log lines: %q", p.LogTail())
	}
	for _, p := range unclean {
		v.breach(RuleProcessExit, p.Name, "did not end gracefully after SIGTERM; its last log lines: %q", p.LogTail())
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
