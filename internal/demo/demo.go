// Package demo tests a small fleet of real processes on loopback from the outside. It submits
// jobs and single requests through every entry, sends some of them twice, cancels some, kills
// an agent and restarts it, and then compares what the callers received with the starts that
// the targets counted. The checks don't rely on the system's own counters.
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// Options configures a run.
type Options struct {
	BinDir   string        // directory of the built programs
	LogDir   string        // existing directory for the processes' logs; empty: logs are discarded
	Duration time.Duration // how long jobs are submitted
	Load     float64       // submitted work as a share of the targets' capacity
	Seed     uint64
	Chaos    bool      // inject random failures throughout the run
	Listen   string    // address of the first entry; empty for any free port
	Out      io.Writer // receives the results
}

// Scheduled failures of a run without chaos, and limits of a run. killAtShare and cancelAtShare
// are shares of the duration.
const (
	killAtShare   = 0.3
	cancelAtShare = 0.7

	restartDelay   = 500 * time.Millisecond
	maxCancelBatch = 10
	maxLookUps     = 100
	// settleDelay lets starts that are under way reach their targets before the starts are counted.
	settleDelay = 500 * time.Millisecond
)

// entries returns the number of entries of the fleet. A chaos run can stop two of them at a
// time; a third keeps the fleet reachable for callers.
func (o Options) entries() int {
	if o.Chaos {
		return entryCount + 1
	}
	return entryCount
}

// ErrInvariantBroken is returned when an invariant was violated; the breaches have been printed.
var ErrInvariantBroken = errors.New("an invariant was broken")

// Run starts a fleet, submits work to it, checks the invariants, prints the results to o.Out and
// stops the fleet. It returns ErrInvariantBroken if it found a breach.
func Run(ctx context.Context, o Options) error {
	f, err := startDeployment(ctx, o)
	if err != nil {
		return err
	}
	defer f.fleet.Close() // has no effect after the Close below
	run, err := f.drive(ctx, o)
	if err != nil {
		return err
	}
	result, err := run.verify(ctx)
	if err != nil {
		return err
	}
	result.checkProcesses(f.fleet.Crashed(), f.fleet.Close())
	result.Breaches = append(result.Breaches, run.operators.breaches...)
	run.print(o.Out, result)
	if len(result.Breaches) > 0 {
		return ErrInvariantBroken
	}
	return nil
}

// RunIdleFleet starts a fleet, prints its addresses to o.Out, and leaves it running without load
// until ctx ends.
func RunIdleFleet(ctx context.Context, o Options) error {
	f, err := startDeployment(ctx, o)
	if err != nil {
		return err
	}
	defer f.fleet.Close()
	for _, p := range f.fleet.Processes() {
		fmt.Fprintf(o.Out, "%-10s %s\n", p.Name, p.Addr)
	}
	fmt.Fprintln(o.Out, "the fleet runs until ^C")
	<-ctx.Done()
	return nil
}
