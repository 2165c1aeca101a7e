// Package demo drives a small fleet of real processes on loopback: it submits
// jobs and single requests through every entry, sends some of them twice, cancels
// some, kills an agent and restarts it, and then compares what the callers saw
// with what the targets counted. None of its figures comes from the system's own
// counters.
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// Options of a run.
type Options struct {
	BinDir   string
	LogDir   string
	Duration time.Duration // for which work is submitted
	Load     float64       // share of the targets' capacity
	Seed     uint64
	Chaos    bool   // disturb entries, agents and targets at random all the time
	Listen   string // of the first entry; empty: any port
	Out      io.Writer
}

// What happens in a run, as shares of its duration.
const (
	killAt   = 0.3
	cancelAt = 0.7

	restartAfter = 500 * time.Millisecond
	cancelWave   = 10
	lookUps      = 100
	// settleTime lets starts that are still under way reach their targets before
	// these are counted.
	settleTime = 500 * time.Millisecond
)

// entries is how many entries the fleet has. A chaos run takes up to two away
// at a time, and one is left for callers to ask.
func (o Options) entries() int {
	if o.Chaos {
		return entryCount + 1
	}
	return entryCount
}

// ErrInvariantBroken says that an invariant did not hold; the breaches were printed.
var ErrInvariantBroken = errors.New("an invariant was broken")

// Run starts a fleet, drives it, prints the table and stops everything. The error
// is ErrInvariantBroken where the run found a breach.
func Run(ctx context.Context, o Options) error {
	f, err := start(ctx, o)
	if err != nil {
		return err
	}
	defer f.fleet.Close() // harmless after the close below
	run, err := f.drive(ctx, o)
	if err != nil {
		return err
	}
	verdict, err := run.judge(ctx)
	if err != nil {
		return err
	}
	verdict.judgeProcesses(f.fleet.Crashed(), f.fleet.Close())
	verdict.Breaches = append(verdict.Breaches, run.operators.breaches...)
	run.print(o.Out, verdict)
	if len(verdict.Breaches) > 0 {
		return ErrInvariantBroken
	}
	return nil
}

// RunIdleFleet starts a fleet and leaves it running until ctx ends.
func RunIdleFleet(ctx context.Context, o Options) error {
	f, err := start(ctx, o)
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
