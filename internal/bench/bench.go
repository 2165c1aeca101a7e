// Package bench measures the scheduling policies with real processes on the loopback
// interface: entries, agents and stand-in targets, sized like the deployments of both first
// users (ten targets of 8 slots; the fastest is three times as fast as the slowest). Several
// callers submit jobs through every entry. Response times and outcomes are measured at the
// callers, and CPU times are read from /proc; the system's own counters provide only the
// number of start messages.
//
// The load is open-loop: jobs arrive at scheduled times whether or not earlier ones were
// answered. A closed loop would slow down with the system and so hide queueing.
package bench

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/camphorrack/camphorrack/internal/owner"
)

// Options configures a series of runs.
type Options struct {
	BinDir    string // directory of the built programs
	LogDir    string // existing directory for the processes' logs; empty: logs are discarded
	Scenarios []Scenario
	Policies  []owner.Policy
	Seeds     int           // runs per scenario and policy
	Duration  time.Duration // how long jobs arrive in a run
	// TimeScale, above 0 and up to 1, multiplies the run times and deadlines, so that as many
	// jobs fit in a shorter run. The overhead of the request path then is a larger part of
	// the response times.
	TimeScale float64
	Parallel  int       // number of concurrent runs, each with its own fleet
	Wide      bool      // also print a table with all measurements
	Out       io.Writer // receives the report
}

// runSpec identifies a run by its scenario, policy and random seed.
type runSpec struct {
	scenario Scenario
	policy   owner.Policy
	seed     uint64
}

// Run performs all runs and prints a line for each scenario and policy. The policies
// alternate, so that a temporary slowdown of the machine affects all of them. The first
// error cancels the remaining runs and is returned; nothing is printed then.
func Run(ctx context.Context, o Options) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	runs := plan(o)
	results := make([]*Result, len(runs))
	var (
		group    sync.WaitGroup
		once     sync.Once
		firstErr error
	)
	semaphore := make(chan struct{}, max(o.Parallel, 1))
	for i, r := range runs {
		semaphore <- struct{}{}
		if ctx.Err() != nil {
			break
		}
		group.Go(func() {
			defer func() { <-semaphore }()
			result, err := runOne(ctx, o, r)
			if err != nil {
				once.Do(func() { firstErr = fmt.Errorf("%s %s: %w", r.scenario.Name, r.policy, err); stop() })
				return
			}
			results[i] = result
		})
	}
	group.Wait()
	if firstErr != nil {
		return firstErr
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	printReport(o, runs, results)
	return nil
}

// plan returns the runs ordered by seed, then scenario, then policy.
func plan(o Options) []runSpec {
	var runs []runSpec
	for seed := range max(o.Seeds, 1) {
		for _, s := range o.Scenarios {
			for _, p := range o.Policies {
				runs = append(runs, runSpec{s, p, uint64(seed + 1)})
			}
		}
	}
	return runs
}

// runOne starts a fleet, applies the scenario to it, and returns the measurements.
func runOne(ctx context.Context, o Options, r runSpec) (*Result, error) {
	f, err := startFleet(ctx, o, r.policy)
	defer f.killAll()
	if err != nil {
		return nil, err
	}
	before, err := f.cpuTime()
	if err != nil {
		return nil, err
	}
	c, err := newLoadGenerator(ctx, o, r, f)
	if err != nil {
		return nil, err
	}
	defer c.close()
	c.run(ctx)
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	after, err := f.cpuTime()
	if err != nil {
		return nil, err
	}
	counts, err := f.counts(ctx)
	if err != nil {
		return nil, err
	}
	result := summarise(o, r, c)
	result.addMessages(counts)
	result.addCPUTime(before, after)
	return result, nil
}
