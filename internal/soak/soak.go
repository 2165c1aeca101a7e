// Package soak runs the real programs as processes on loopback and injects faults from
// outside them, by a seed: relays that are slow, cut, one way or broken; processes that
// are killed, paused, ended and started again; a store that is silent, busy, forgets or
// loses answers; targets that crash, fail, stand, leave and carry orders out late. Faults
// come in series and overlap. While they do, callers send jobs and send them again as
// real ones do, and what targets and callers see is held against the promises.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/platform/standin"
)

// Options of one run.
type Options struct {
	BinDir   string // directory of the programs
	Dir      string // for settings and logs
	Seed     uint64
	Duration time.Duration // with faults
	Entries  int
	Targets  int
	Callers  int
	Out      io.Writer // a line for each fault
}

// The usual size: some tens of processes with their relays.
const (
	DefaultEntries = 3
	DefaultTargets = 6
	DefaultCallers = 8
)

const (
	// dataCentres is how many the hosts are spread over, and crashFor how long a target that a
	// task has crashed is down.
	dataCentres = 3
	crashFor    = 2 * time.Second
	// settleWait bounds the time until every entry serves, at the start and after the
	// last fault. A loaded machine takes its time; the run ends as soon as they do.
	settleWait = 60 * time.Second
	// healQuiet is how long after the last fault what was under way may still end.
	healQuiet = 3 * time.Second
	// checkedJobs are sent at the end, to each entry; all must be answered complete.
	checkedJobs = 5
)

// Result is what a run came to.
type Result struct {
	Seed     uint64
	Faults   int
	Jobs     JobCounts
	Breaches []standin.Breach
}

// JobCounts counts how jobs ended.
type JobCounts struct {
	Sent, Complete, Failed, NotRun, Unknown, Unanswered, GaveUp int
}

// String returns the result as a line.
func (r Result) String() string {
	return fmt.Sprintf("seed=%d faults=%d jobs=%d complete=%d failed=%d not_run=%d unknown=%d broken=%d gave_up=%d breaches=%d",
		r.Seed, r.Faults, r.Jobs.Sent, r.Jobs.Complete, r.Jobs.Failed, r.Jobs.NotRun, r.Jobs.Unknown, r.Jobs.Unanswered, r.Jobs.GaveUp, len(r.Breaches))
}

// run is one run.
type run struct {
	Options
	fleet *standin.Fleet
	own   *ownStalls

	mu      sync.Mutex
	tally   JobCounts
	faults  int
	broken  []standin.Breach
	version int // newest configuration that was written
}

// Run plays one seed. An error means that the run could not be made.
func Run(ctx context.Context, o Options) (Result, error) {
	fleet, err := standin.NewFleet(standin.FleetOptions{
		BinDir: o.BinDir, Dir: o.Dir, Entries: o.Entries, Targets: o.Targets, Relays: true, Seed: o.Seed,
		DataCentres: dataCentres, CrashDowntime: crashFor,
	})
	if err != nil {
		return Result{}, err
	}
	defer fleet.Close()
	r := &run{Options: o, fleet: fleet, own: newOwnStalls(), version: 1}
	if err := r.settle(ctx); err != nil {
		return Result{}, err
	}
	r.underFaults(ctx)
	r.heal()
	clock.Sleep(ctx, healQuiet)
	if err := r.settle(ctx); err != nil {
		r.breach("recovery", "", err.Error())
	} else {
		r.checkServed(ctx)
		r.checkConfiguration(ctx)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return Result{Seed: o.Seed, Faults: r.faults, Jobs: r.tally, Breaches: append(r.broken, fleet.Checker.Breaches()...)}, nil
}

// settle waits until every entry is ready.
func (r *run) settle(ctx context.Context) error {
	until := time.Now().Add(settleWait)
	for i := range r.Entries {
		for r.fleet.ReadyStatus(i) != 200 {
			if time.Now().After(until) || ctx.Err() != nil {
				return errors.Newf("entry %d is not ready", i)
			}
			clock.Sleep(ctx, 20*time.Millisecond)
		}
	}
	return nil
}

// underFaults lets callers send and watchers look while faults come.
func (r *run) underFaults(ctx context.Context) {
	calling, stop := context.WithCancel(ctx)
	var all sync.WaitGroup
	for i := range r.Callers {
		all.Go(func() { r.call(calling, i) })
	}
	for i := range r.Entries {
		all.Go(func() { r.watchConfiguration(calling, i) })
	}
	all.Go(func() { r.own.watch(calling) })
	var standing sync.WaitGroup
	standing.Go(func() { r.standstills(ctx) })
	r.inject(ctx)
	standing.Wait()
	stop()
	all.Wait()
}

// checkServed sends jobs to each entry after the faults. A refusal for load is taken
// with the pause that it names; anything else that is not complete is a breach.
func (r *run) checkServed(ctx context.Context) {
	for e := range r.Entries {
		for i := range checkedJobs {
			id := fmt.Sprintf("%016x", 0xffff000000000000+uint64(e)<<16+uint64(i))
			if reply := r.serve(ctx, e, id); reply.Status != 200 {
				r.breach("recovery", id, fmt.Sprintf("entry %d answers %d %s", e, reply.Status, reply.Body))
			}
		}
	}
}

func (r *run) serve(ctx context.Context, entry int, id string) (reply standin.Reply) {
	for until := time.Now().Add(settleWait); time.Now().Before(until); clock.Sleep(ctx, 300*time.Millisecond) {
		reply = r.fleet.Call(ctx, "POST", r.fleet.URL(entry, "/q0/"+id), standin.JobBody(standin.Work, 3, 30), 10*time.Second)
		if reply.Status == 200 {
			return reply
		}
	}
	return reply
}

// checkConfiguration sees that every entry has the newest configuration in the end.
func (r *run) checkConfiguration(ctx context.Context) {
	for e := range r.Entries {
		until := time.Now().Add(settleWait)
		for r.inForce(ctx, e, r.version) != 200 {
			if time.Now().After(until) {
				r.breach("configuration", "", fmt.Sprintf("entry %d does not follow version %d", e, r.version))
				break
			}
			clock.Sleep(ctx, 100*time.Millisecond)
		}
	}
}

// inForce asks an entry, without a relay, for the queue that only one version has.
func (r *run) inForce(ctx context.Context, entry, version int) int {
	return r.fleet.Call(ctx, "GET", r.fleet.DirectURL(entry, fmt.Sprintf("/v%d/", version)), "", time.Second).Status
}

func (r *run) breach(what, task, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, standin.Breach{Invariant: what, Subject: task, Detail: detail})
}

func (r *run) count(change func(*JobCounts)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.tally)
}

// random returns a generator of its own for a part of the run.
func (r *run) random(part uint64) *rand.Rand { return rand.New(rand.NewPCG(r.Seed, part)) }
