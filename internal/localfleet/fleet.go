// Package localfleet starts a small fleet of real processes on loopback, for the
// demonstration and the benchmarks. Every process listens on a port that the
// system chose and tells it in its log, and every process that was started is
// stopped by its id when the fleet is closed.
package localfleet

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"sync"
)

// Names of the programs in the bin directory.
const (
	entryProgram  = "camphorrack-entry"
	agentProgram  = "camphorrack-agent"
	targetProgram = "camphorrack-standin-target"
	logProgram    = "camphorrack-standin-log"
)

// anyPort lets the system choose the port.
const anyPort = "127.0.0.1:0"

// Options of a fleet.
type Options struct {
	BinDir string // directory of the programs
	LogDir string // where each process's log goes; empty: nowhere
	Key    string // the secret that all daemons of the fleet share
}

// Fleet is the processes that were started, and stops them.
type Fleet struct {
	options Options
	pauses  pauses // of all processes at once

	mu        sync.Mutex
	processes []*Process
}

// New returns an empty fleet.
func New(o Options) *Fleet { return &Fleet{options: o} }

func (f *Fleet) add(p *Process) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes = append(f.processes, p)
}

// Processes returns every process that was started, in that order.
func (f *Fleet) Processes() []*Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Process(nil), f.processes...)
}

// Crashed returns the processes that ended although nobody asked them to.
func (f *Fleet) Crashed() []*Process {
	var crashed []*Process
	for _, p := range f.Processes() {
		if p.Crashed() {
			crashed = append(crashed, p)
		}
	}
	return crashed
}

// stopOrder is the order in which an operator takes a whole fleet down: workers
// settle what they have with the entries, which need the log last.
var stopOrder = [][]string{{targetProgram, agentProgram}, {entryProgram}, {logProgram}}

// Close stops every process and returns those that did not end gracefully: they
// had to be killed or ended with an error.
func (f *Fleet) Close() []*Process {
	var bad []*Process
	for _, programs := range stopOrder {
		bad = append(bad, f.stopAll(programs)...)
	}
	return bad
}

// stopAll stops the processes of the programs, all at a time.
func (f *Fleet) stopAll(programs []string) []*Process {
	var bad []*Process
	var mu sync.Mutex
	var stops sync.WaitGroup
	for _, p := range f.Processes() {
		if !slices.Contains(programs, p.program) {
			continue
		}
		stops.Go(func() {
			if p.Stop() {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			bad = append(bad, p)
		})
	}
	stops.Wait()
	return bad
}

// StartLog starts the stand-in of the platform's log.
func (f *Fleet) StartLog(ctx context.Context, extra ...string) (*Process, error) {
	return f.start(ctx, "log", logProgram, append([]string{"-listen", anyPort}, extra...)...)
}

// StartEntry starts an entry. listen may be empty; peers are entries it knows.
func (f *Fleet) StartEntry(ctx context.Context, name, listen string, peers []string, extra ...string) (*Process, error) {
	if listen == "" {
		listen = anyPort
	}
	args := []string{"-listen", listen, "-entries", strings.Join(peers, ","), "-crash-on-breach"}
	return f.start(ctx, name, entryProgram, append(args, extra...)...)
}

// StartAgent starts an agent. listen may be empty; a restarted agent takes its
// predecessor's address, which its target announces itself to.
func (f *Fleet) StartAgent(ctx context.Context, name, listen string, entries []string, extra ...string) (*Process, error) {
	if listen == "" {
		listen = anyPort
	}
	args := []string{"-listen", listen, "-worker", name, "-entries", strings.Join(entries, ",")}
	return f.start(ctx, name, agentProgram, append(args, extra...)...)
}

// TargetOptions of a stand-in target.
type TargetOptions struct {
	Name  string
	Agent string // address of the agent beside it
	Slots int
	Speed float64 // run times are divided by it
}

// StartTarget starts a stand-in target.
func (f *Fleet) StartTarget(ctx context.Context, o TargetOptions, extra ...string) (*Process, error) {
	args := []string{
		"-listen", anyPort,
		"-name", o.Name,
		"-agent", o.Agent,
		"-slots", strconv.Itoa(o.Slots),
		"-speed", strconv.FormatFloat(o.Speed, 'g', -1, 64),
	}
	return f.start(ctx, o.Name, targetProgram, append(args, extra...)...)
}
