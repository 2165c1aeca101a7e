// Package soak runs the real programs as processes on loopback and injects faults from
// outside, drawn from a seed: relays that delay data, drop it in one or both directions or
// reset connections; processes that are killed, paused, terminated and restarted; a store
// that hangs, is unavailable, is truncated or loses answers; targets that crash, fail, slow
// down, drain, are replaced and carry out orders late. Faults overlap. Meanwhile callers submit jobs and
// resend them as real ones do, and the run checks the platform's guarantees by what targets
// and callers observe.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/platform/standin"
)

// Options configures a run.
type Options struct {
	BinDir   string // directory of the program binaries
	Dir      string // directory for settings files and logs
	Seed     uint64
	Duration time.Duration // time during which faults are injected
	Entries  int
	Targets  int
	Callers  int
	Out      io.Writer // receives a line for each fault
	Groups   []string  // of faults, beside those of every run
	Scenario string    // if set, plays this one in place of random faults; see ScenarioNames
}

// Default size of a run: some tens of processes with their relays.
const (
	DefaultEntries = 3
	DefaultTargets = 6
	DefaultCallers = 16
)

const (
	// dataCentres is the number of data centres that the hosts are spread over, and crashDowntime
	// the time from a target's crash by a task to its restart.
	dataCentres   = 3
	crashDowntime = 2 * time.Second
	// readyTimeout bounds the time until every entry serves, at the start and after the last
	// fault. It allows for a loaded machine; the run continues as soon as all entries serve.
	readyTimeout = 60 * time.Second
	// recoveryGrace is the time after the last fault that requests in progress have to end.
	recoveryGrace = 3 * time.Second
	// recoveryJobsPerEntry is the number of jobs sent to each entry after the faults; all must be
	// answered complete.
	recoveryJobsPerEntry = 5
)

// Result is the outcome of a run.
type Result struct {
	Seed     uint64
	Faults   int
	Jobs     JobCounts
	Breaches []standin.Breach
}

// JobCounts counts submitted jobs, and the answers to them by kind. A job that is resent may
// get several.
type JobCounts struct {
	Sent, Complete, Failed, NotRun, Unknown, Unanswered, GaveUp int
}

// String returns the result as one line.
func (r Result) String() string {
	return fmt.Sprintf("seed=%d faults=%d jobs=%d complete=%d failed=%d not_run=%d unknown=%d broken=%d gave_up=%d breaches=%d",
		r.Seed, r.Faults, r.Jobs.Sent, r.Jobs.Complete, r.Jobs.Failed, r.Jobs.NotRun, r.Jobs.Unknown, r.Jobs.Unanswered, r.Jobs.GaveUp, len(r.Breaches))
}

// run is the state of a run.
type run struct {
	Options
	fleet      *standin.Fleet
	selfStalls *selfStallCounter

	mu            sync.Mutex
	jobCounts     JobCounts
	faults        int // number of injected faults
	breaches      []standin.Breach
	configVersion int // version of the newest configuration written
	faultBegins   chan struct{}
}

// Run executes one run, which its seed determines but for timing, and waits until its
// processes have stopped. Violated guarantees are in the result; an error means that the run
// could not be started.
func Run(ctx context.Context, o Options) (Result, error) {
	if o.Scenario != "" {
		chosen, known := scenarios[o.Scenario]
		if !known {
			return Result{}, errors.Newf("no scenario %q", o.Scenario)
		}
		o.Entries, o.Targets = chosen.entries, chosen.targets
	}
	memoryMB, maxFDs := o.hostLimits()
	fleet, err := standin.NewFleet(standin.FleetOptions{
		BinDir: o.BinDir, Dir: o.Dir, Entries: o.Entries, Targets: o.Targets, Relays: true, Seed: o.Seed,
		DataCentres: o.dataCentres(), CrashDowntime: crashDowntime, MemoryMB: memoryMB, MaxFDs: maxFDs,
	})
	if err != nil {
		return Result{}, err
	}
	defer fleet.Close()
	r := &run{Options: o, fleet: fleet, selfStalls: newSelfStallCounter(), configVersion: 1, faultBegins: make(chan struct{})}
	if err := r.waitReady(ctx); err != nil {
		return Result{}, err
	}
	if o.Scenario != "" {
		r.playScenario(ctx)
		r.clearFaults()
		return Result{Seed: o.Seed, Faults: r.faults, Jobs: r.jobCounts, Breaches: append(r.breaches, fleet.Checker.Breaches()...)}, nil
	}
	r.runWithFaults(ctx)
	r.clearFaults()
	clock.Sleep(ctx, recoveryGrace)
	if err := r.waitReady(ctx); err != nil {
		r.addBreach("recovery", "", err.Error())
	} else {
		if slices.Contains(o.Groups, GroupClients) {
			for _, p := range fleet.Entries {
				r.checkHostLimits(p)
			}
		}
		r.checkRecovery(ctx)
		r.checkConfigVersions(ctx)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return Result{Seed: o.Seed, Faults: r.faults, Jobs: r.jobCounts, Breaches: append(r.breaches, fleet.Checker.Breaches()...)}, nil
}

// dataCentres returns the number of data centres: one in a scenario, so that any entry may use any
// target.
func (o Options) dataCentres() int {
	if o.Scenario != "" {
		return 1
	}
	return dataCentres
}

// hostLimits returns the limits of the hosts; 0: those of any other fleet.
func (o Options) hostLimits() (memoryMB, maxFDs int) {
	if slices.Contains(o.Groups, GroupClients) {
		return crowdedMemoryMB, crowdedMaxFDs
	}
	return 0, 0
}

// waitReady waits until every entry is ready; it returns an error after readyTimeout.
func (r *run) waitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for i := range r.Entries {
		for r.fleet.ReadyStatus(i) != 200 {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return errors.Newf("entry %d is not ready", i)
			}
			clock.Sleep(ctx, 20*time.Millisecond)
		}
	}
	return nil
}

// runWithFaults runs callers and configuration watchers while faults are injected.
func (r *run) runWithFaults(ctx context.Context) {
	callersCtx, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for i := range r.Callers {
		wg.Go(func() { r.runCaller(callersCtx, i) })
	}
	for i := range r.Entries {
		wg.Go(func() { r.watchConfigVersion(callersCtx, i) })
	}
	wg.Go(func() { r.selfStalls.watch(callersCtx) })
	var suspensions sync.WaitGroup
	suspensions.Go(func() { r.suspendPeriodically(ctx) })
	r.injectFaults(ctx)
	suspensions.Wait()
	stop()
	wg.Wait()
}

// checkRecovery sends jobs to each entry after the faults. An entry may still refuse one for
// load, so each is resent every 300 ms for up to readyTimeout; one that isn't answered complete
// by then is a breach.
func (r *run) checkRecovery(ctx context.Context) {
	for e := range r.Entries {
		for i := range recoveryJobsPerEntry {
			id := fmt.Sprintf("%016x", 0xffff000000000000+uint64(e)<<16+uint64(i))
			if reply := r.sendUntilComplete(ctx, e, id); reply.Status != 200 {
				r.addBreach("recovery", id, fmt.Sprintf("entry %d answers %d %s", e, reply.Status, reply.Body))
			}
		}
	}
}

// sendUntilComplete returns the first complete answer to a job, or the last answer if there is none
// within readyTimeout; see checkRecovery.
func (r *run) sendUntilComplete(ctx context.Context, entry int, id string) (reply standin.Reply) {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); clock.Sleep(ctx, 300*time.Millisecond) {
		reply = r.fleet.Call(ctx, "POST", r.fleet.URL(entry, "/q0/"+id), standin.JobBody(standin.Work, 3, 30), 10*time.Second)
		if reply.Status == 200 {
			return reply
		}
	}
	return reply
}

// checkConfigVersions checks that every entry applies the newest configuration within
// readyTimeout.
func (r *run) checkConfigVersions(ctx context.Context) {
	for e := range r.Entries {
		deadline := time.Now().Add(readyTimeout)
		for r.configVersionStatus(ctx, e, r.configVersion) != 200 {
			if time.Now().After(deadline) {
				r.addBreach("configuration", "", fmt.Sprintf("entry %d does not follow version %d", e, r.configVersion))
				break
			}
			clock.Sleep(ctx, 100*time.Millisecond)
		}
	}
}

// configVersionStatus requests, bypassing relays, the queue that only one configuration
// version has. It returns the HTTP status: 200 if the entry has that version in force, 0 if
// it didn't answer.
func (r *run) configVersionStatus(ctx context.Context, entry, version int) int {
	return r.fleet.Call(ctx, "GET", r.fleet.DirectURL(entry, fmt.Sprintf("/v%d/", version)), "", time.Second).Status
}

func (r *run) addBreach(invariant, subject, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breaches = append(r.breaches, standin.Breach{Invariant: invariant, Subject: subject, Detail: detail})
}

func (r *run) updateCounts(change func(*JobCounts)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.jobCounts)
}

// newRand returns the random generator for one part of the run, so that parts don't affect
// each other's draws.
func (r *run) newRand(part uint64) *rand.Rand { return rand.New(rand.NewPCG(r.Seed, part)) }
