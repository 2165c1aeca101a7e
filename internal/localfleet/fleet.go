// Package localfleet runs a small fleet of real processes on the loopback interface, for the
// demonstration, the benchmarks and tests. Unless given an address, a process listens on a port
// chosen by the operating system, which is read from its log. Closing the fleet stops every
// process that it started, by process id.
package localfleet

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"sync"
)

// File names of the programs in Options.BinDir.
const (
	entryProgram  = "camphorrack-entry"
	agentProgram  = "camphorrack-agent"
	targetProgram = "camphorrack-standin-target"
	logProgram    = "camphorrack-standin-log"
)

// anyPort lets the operating system choose the port.
const anyPort = "127.0.0.1:0"

// Options configures a fleet.
type Options struct {
	BinDir string // directory of the programs
	LogDir string // existing directory for the processes' logs; empty: logs are discarded
	Key    string // secret shared by all daemons of the fleet
}

// Fleet starts processes and keeps track of them until Close stops them.
type Fleet struct {
	options Options
	pauses  pauseTracker // of the whole fleet

	mu        sync.Mutex
	processes []*Process
}

// New returns an empty fleet.
func New(o Options) *Fleet { return &Fleet{options: o} }

// add records a process for Processes and Close.
func (f *Fleet) add(p *Process) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes = append(f.processes, p)
}

// Processes returns every process that was started, also those that exited, in order of start.
func (f *Fleet) Processes() []*Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Process(nil), f.processes...)
}

// Crashed returns the processes that exited without a stop request.
func (f *Fleet) Crashed() []*Process {
	var crashed []*Process
	for _, p := range f.Processes() {
		if p.Crashed() {
			crashed = append(crashed, p)
		}
	}
	return crashed
}

// stopOrder is the order in which an operator shuts down a whole fleet: while targets and agents
// drain, they still need the entries, and the entries need the log.
var stopOrder = [][]string{{targetProgram, agentProgram}, {entryProgram}, {logProgram}}

// Close stops every process and returns those that did not exit gracefully: they had to be
// killed or exited with an error.
func (f *Fleet) Close() []*Process {
	var unclean []*Process
	for _, programs := range stopOrder {
		unclean = append(unclean, f.stopAll(programs)...)
	}
	return unclean
}

// stopAll stops the processes of the programs concurrently and returns those that did not exit
// gracefully.
func (f *Fleet) stopAll(programs []string) []*Process {
	var unclean []*Process
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
			unclean = append(unclean, p)
		})
	}
	stops.Wait()
	return unclean
}

// StartLog starts the stand-in for the platform's log.
func (f *Fleet) StartLog(ctx context.Context, extra ...string) (*Process, error) {
	return f.start(ctx, "log", logProgram, append([]string{"-listen", anyPort}, extra...)...)
}

// StartEntry starts an entry that crashes on a broken invariant. An empty listen address chooses
// a free port; peers are the addresses of other entries. Like all Start methods, it waits until
// the process is ready to serve, and returns a StartError if it does not become ready.
func (f *Fleet) StartEntry(ctx context.Context, name, listen string, peers []string, extra ...string) (*Process, error) {
	if listen == "" {
		listen = anyPort
	}
	args := []string{"-listen", listen, "-entries", strings.Join(peers, ","), "-crash-on-breach"}
	return f.start(ctx, name, entryProgram, append(args, extra...)...)
}

// StartAgent starts an agent for the worker with the name. An empty listen address chooses a free
// port; a restarted agent needs its previous address, because its target sends announcements
// there.
func (f *Fleet) StartAgent(ctx context.Context, name, listen string, entries []string, extra ...string) (*Process, error) {
	if listen == "" {
		listen = anyPort
	}
	args := []string{"-listen", listen, "-worker", name, "-entries", strings.Join(entries, ",")}
	return f.start(ctx, name, agentProgram, append(args, extra...)...)
}

// TargetOptions configures a stand-in target.
type TargetOptions struct {
	Name  string
	Agent string // address of the agent that serves the target
	Slots int
	Speed float64 // divides the tasks' run times
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
