package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/standin/relay"
	"github.com/camphorrack/camphorrack/platform/standin"
)

const (
	// Bounds of the intervals between the starts of faults, and of their durations. Durations
	// reach from well below to well above the silence timeout of sessions, so that faults overlap.
	minFaultGap, maxFaultGap           = 50 * time.Millisecond, 900 * time.Millisecond
	minFaultDuration, maxFaultDuration = 100 * time.Millisecond, 4 * time.Second
	// terminationTimeout is how long a process may take to exit after SIGTERM: its grace period of
	// 6 s, and 4 s for a loaded machine.
	terminationTimeout = 6*time.Second + 4*time.Second
)

// fault is a kind of fault. inject starts it and returns the function that undoes it after its
// duration, or nil if there is nothing to undo.
type fault struct {
	name   string
	inject func(r *run, rnd *rand.Rand, duration time.Duration) (undo func())
}

// Groups of faults; see Options.Groups.
const (
	GroupRebirth    = "rebirth"    // targets that are back under the same name within milliseconds
	GroupSlow       = "slow"       // processes without processor time, for milliseconds to seconds
	GroupLoss       = "loss"       // many runners killed at once, lost answers, silent connections
	GroupSuccessors = "successors" // hosts with two targets at once, under different names
	GroupClients    = "clients"    // crowds of clients that stand still, at hosts with lower limits
)

var faultGroups = map[string][]fault{
	GroupClients: {
		{"bodies that stop short", crowdEntry(stopShort)},
		{"bodies of one byte", crowdEntry(stopAfterOneByte)},
		{"chunks that stop short", crowdEntry(stopShortInChunks)},
		{"bodies in pieces", crowdEntry(inPieces)},
		{"bodies of many small steps", crowdEntry(manySmallSteps)},
		{"connections without a request", crowdEntry(noRequest)},
		{"crowds at all entries", crowdEntries},
		{"limits of a host lowered", lowerHostLimits},
	},
	GroupSuccessors: {
		{"target replaced by another", replaceTarget},
		{"targets replaced by others", replaceTargets},
	},
	GroupRebirth: {
		{"target reborn", rebearTarget},
		{"targets of a data centre reborn", rebearDataCentre},
		{"target reborn beside calls under way", rebearWithCallsUnderWay},
	},
	GroupSlow: {
		{"entry throttled", processFault(entryProcesses, (*run).throttleProcess)},
		{"runner throttled", processFault(runnerProcesses, (*run).throttleProcess)},
		{"many throttled", throttleMany},
		{"short pauses", pauseMany},
	},
	GroupLoss: {
		{"runners of a data centre killed", killDataCentre},
		{"targets lose answers", loseAnswers},
		{"path between entries", pathFault(func(r *run, rnd *rand.Rand) *relay.Relay { return pick(rnd, r.fleet.PeerPaths) })},
		{"connections of a runner to its target go silent", silenceTarget},
	},
}

// selectFaults returns the faults of every run and those of some groups.
func selectFaults(groups []string) []fault {
	selected := slices.Clone(faults)
	for _, group := range groups {
		selected = append(selected, faultGroups[group]...)
	}
	return selected
}

var faults = []fault{
	{"entry killed", processFault(entryProcesses, (*run).killProcess)},
	{"entry paused", processFault(entryProcesses, (*run).pauseProcess)},
	{"entry ended", processFault(entryProcesses, (*run).terminateProcess)},
	{"runner killed", processFault(runnerProcesses, (*run).killProcess)},
	{"runner paused", processFault(runnerProcesses, (*run).pauseProcess)},
	{"runner ended", processFault(runnerProcesses, (*run).terminateProcess)},
	{"settings read again", processFault(runnerProcesses, (*run).reloadSettings)},
	{"path to an entry", pathFault(func(r *run, rnd *rand.Rand) *relay.Relay { return pick(rnd, r.fleet.CallerPaths) })},
	{"path to a target", pathFault(func(r *run, rnd *rand.Rand) *relay.Relay { return pick(rnd, r.fleet.TargetPaths) })},
	{"path between processes", pathFault(func(r *run, rnd *rand.Rand) *relay.Relay { return pick(rnd, pick(rnd, r.fleet.SessionPaths)) })},
	{"runner cut off", isolateRunner},
	{"connections of a runner go silent", silenceRunner},
	{"entry cut off", isolateEntry},
	{"target crashes", crashRandomTarget},
	{"target crashes behind a cut", restartTargetUnseen},
	{"target loses orders and answers", injectTargetFaults},
	{"target leaves", drainTarget},
	{"target slow", slowTarget},
	{"store", degradeStore},
	{"store for one host", degradeStoreForHost},
	{"store forgets", truncateStore},
	{"configuration changes", changeConfiguration},
	{"configurations in a storm", changeConfigurationRapidly},
	{"data centre evacuated", evacuateDataCentre},
	{"capacity changes", changeCapacity},
}

// injectFaults starts faults drawn from the seed until r.Duration has passed, and waits until
// all are undone.
func (r *run) injectFaults(ctx context.Context) {
	rnd := r.newRand(1)
	selected := selectFaults(r.Groups)
	var wg sync.WaitGroup
	for deadline := time.Now().Add(r.Duration); time.Now().Before(deadline) && ctx.Err() == nil; {
		f := pick(rnd, selected)
		duration := between(rnd, minFaultDuration, maxFaultDuration)
		faultRand := rand.New(rand.NewPCG(rnd.Uint64(), 0))
		r.faults++
		fmt.Fprintf(r.Out, "%s fault %d: %s for %s\n", time.Now().Format(time.StampMilli), r.faults, f.name, duration.Round(time.Millisecond))
		r.announceFault()
		wg.Go(func() {
			undo := f.inject(r, faultRand, duration)
			if undo == nil {
				return
			}
			clock.Sleep(ctx, duration)
			undo()
		})
		clock.Sleep(ctx, between(rnd, minFaultGap, maxFaultGap))
	}
	wg.Wait()
}

// nextFault returns a channel that is closed when the next fault begins.
func (r *run) nextFault() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faultBegins
}

func (r *run) announceFault() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.faultBegins)
	r.faultBegins = make(chan struct{})
}

// clearFaults undoes what interrupted faults may have left behind.
func (r *run) clearFaults() {
	r.fleet.Store.SetMode("", standin.StoreNormal)
	r.fleet.Store.SetDelay(0)
	for _, t := range slices.Concat(r.fleet.Targets, r.fleet.SecondTargets) {
		t.SetCapacity(standin.DefaultCPUMilli)
		t.SetFaults(standin.TargetFaults{})
	}
	for n := range dataCentres {
		r.fleet.Restore(r.fleet.DataCentre(n))
	}
	for _, p := range append(append([]*standin.Process(nil), r.fleet.Entries...), r.fleet.Runners...) {
		p.Signal(syscall.SIGCONT)
	}
}

func pick[T any](rnd *rand.Rand, list []T) T { return list[rnd.IntN(len(list))] }

func between(rnd *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(rnd.Int64N(int64(longest-shortest)))
}

func entryProcesses(r *run) []*lockableProcess  { return r.lockableProcesses(r.fleet.Entries) }
func runnerProcesses(r *run) []*lockableProcess { return r.lockableProcesses(r.fleet.Runners) }

// lockableProcess is a process with a lock, which prevents two faults from stopping and starting
// it at the same time.
type lockableProcess struct {
	*standin.Process
	mu *sync.Mutex
}

var faultLocks sync.Map // *standin.Process or *standin.Target to *sync.Mutex

func (r *run) lockableProcesses(processes []*standin.Process) []*lockableProcess {
	list := make([]*lockableProcess, len(processes))
	for i, p := range processes {
		mu, _ := faultLocks.LoadOrStore(p, &sync.Mutex{})
		list[i] = &lockableProcess{p, mu.(*sync.Mutex)}
	}
	return list
}

// processFault returns a fault that affects a random process and holds its lock for its
// duration. It does nothing if another fault has the process.
func processFault(processes func(*run) []*lockableProcess, inject func(*run, *lockableProcess, *rand.Rand, time.Duration) func()) func(*run, *rand.Rand, time.Duration) func() {
	return func(r *run, rnd *rand.Rand, duration time.Duration) func() {
		p := pick(rnd, processes(r))
		if !p.mu.TryLock() {
			return nil
		}
		undo := inject(r, p, rnd, duration)
		return func() {
			defer p.mu.Unlock()
			undo()
		}
	}
}

func (r *run) startProcess(p *lockableProcess) {
	if err := p.Start(); err != nil {
		r.addBreach("process", p.Name, "it does not start: "+err.Error())
	}
}

func (r *run) killProcess(p *lockableProcess, _ *rand.Rand, _ time.Duration) func() {
	r.checkStillRunning(p)
	p.Kill()
	return func() { r.startProcess(p) }
}

// checkStillRunning records a breach if a process has exited by itself.
func (r *run) checkStillRunning(p *lockableProcess) {
	select {
	case <-p.Exited():
		r.addBreach("process", p.Name, "it ended by itself")
	default:
	}
}

func (r *run) pauseProcess(p *lockableProcess, _ *rand.Rand, _ time.Duration) func() {
	p.Signal(syscall.SIGSTOP)
	return func() { p.Signal(syscall.SIGCONT) }
}

func (r *run) terminateProcess(p *lockableProcess, _ *rand.Rand, _ time.Duration) func() {
	r.checkStillRunning(p)
	p.Signal(syscall.SIGTERM)
	return func() {
		select {
		case <-p.Exited():
			if code := p.Wait(); code != 0 && p.HasServed() {
				r.addBreach("process", p.Name, fmt.Sprintf("SIGTERM ends it with %d", code))
			}
		case <-time.After(terminationTimeout):
			r.addBreach("process", p.Name, "it does not end after SIGTERM")
			p.Kill()
		}
		r.startProcess(p)
	}
}

func (r *run) reloadSettings(p *lockableProcess, _ *rand.Rand, _ time.Duration) func() {
	p.Signal(syscall.SIGHUP)
	return func() {}
}

// pathFault returns a fault that delays a path, drops the data of its open connections in one
// or both directions, or resets them.
func pathFault(path func(*run, *rand.Rand) *relay.Relay) func(*run, *rand.Rand, time.Duration) func() {
	return func(r *run, rnd *rand.Rand, _ time.Duration) func() {
		p := path(r, rnd)
		switch rnd.IntN(5) {
		case 0:
			p.SetDelay(time.Duration(1+rnd.IntN(60)) * time.Millisecond)
			return func() { p.SetDelay(0) }
		case 1:
			p.BlackholeOpen(true, true)
		case 2:
			p.BlackholeOpen(true, false)
		case 3:
			p.BlackholeOpen(false, true)
		default:
			p.Reset()
		}
		return nil
	}
}

// blackhole makes open and new connections on paths carry no data. The returned function ends
// this for new connections.
func blackhole(paths []*relay.Relay) func() {
	for _, p := range paths {
		p.SetBlackholeNew(true)
		p.BlackholeOpen(true, true)
	}
	return func() {
		for _, p := range paths {
			p.SetBlackholeNew(false)
		}
	}
}

// isolateRunner cuts a runner off from the store and from all entries.
func isolateRunner(r *run, rnd *rand.Rand, _ time.Duration) func() {
	i := rnd.IntN(len(r.fleet.Runners))
	r.fleet.Store.SetMode(r.fleet.Runners[i].IP(), standin.StoreUnresponsive)
	restore := blackhole(r.fleet.SessionPaths[i])
	return func() {
		restore()
		r.fleet.Store.SetMode(r.fleet.Runners[i].IP(), standin.StoreNormal)
	}
}

// silenceRunner drops the data of all open connections of a runner, to the entries and to its target.
// New ones work, so that its stops and renewals may be lost separately.
func silenceRunner(r *run, rnd *rand.Rand, _ time.Duration) func() {
	i := rnd.IntN(len(r.fleet.Runners))
	for _, p := range append([]*relay.Relay{r.fleet.TargetPaths[i]}, r.fleet.SessionPaths[i]...) {
		p.BlackholeOpen(true, true)
	}
	return nil
}

// isolateEntry cuts an entry off from the store, from its callers and from all runners.
func isolateEntry(r *run, rnd *rand.Rand, _ time.Duration) func() {
	e := rnd.IntN(r.Entries)
	paths := []*relay.Relay{r.fleet.CallerPaths[e], r.fleet.PeerPaths[e]}
	for _, sessionPaths := range r.fleet.SessionPaths {
		paths = append(paths, sessionPaths[e])
	}
	r.fleet.Store.SetMode(r.fleet.Entries[e].IP(), standin.StoreUnresponsive)
	restore := blackhole(paths)
	return func() {
		restore()
		r.fleet.Store.SetMode(r.fleet.Entries[e].IP(), standin.StoreNormal)
	}
}

// startTarget starts a target, and retries while its port is still in use: up to 50 times,
// every 50 ms.
func (r *run) startTarget(t *standin.Target) {
	var err error
	for range 50 {
		if err = t.Start(); err == nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	r.addBreach("stand-in", "", err.Error())
}

func crashRandomTarget(r *run, rnd *rand.Rand, _ time.Duration) func() {
	return r.crashTarget(rnd.IntN(len(r.fleet.Targets)))
}

// crashTarget stops a target and returns the function that starts it again; nil if another
// fault has stopped the target.
func (r *run) crashTarget(i int) func() {
	t := r.fleet.Targets[i]
	mu, _ := faultLocks.LoadOrStore(t, &sync.Mutex{})
	if !mu.(*sync.Mutex).TryLock() {
		return nil
	}
	t.Stop()
	return func() {
		defer mu.(*sync.Mutex).Unlock()
		r.startTarget(t)
	}
}

// restartTargetUnseen restarts a target while its runner can't reach it, so that the runner
// meets another incarnation under the same name.
func restartTargetUnseen(r *run, rnd *rand.Rand, _ time.Duration) func() {
	i := rnd.IntN(len(r.fleet.Targets))
	restart := r.crashTarget(i)
	if restart == nil {
		return nil
	}
	restore := blackhole(r.fleet.TargetPaths[i : i+1])
	restart()
	return restore
}

// injectTargetFaults makes a target carry out up to 30 % of its orders late and lose up to 30 % of
// its answers; one time in four, all tasks fail as well.
func injectTargetFaults(r *run, rnd *rand.Rand, _ time.Duration) func() {
	t := pick(rnd, r.fleet.Targets)
	t.SetFaults(standin.TargetFaults{LateOrderShare: rnd.Float64() * 0.3, LostAnswerShare: rnd.Float64() * 0.3, FailTasks: rnd.IntN(4) == 0})
	return func() { t.SetFaults(standin.TargetFaults{}) }
}

// drainTarget drains a target, and restarts it afterwards unless another fault has stopped it.
func drainTarget(r *run, rnd *rand.Rand, _ time.Duration) func() {
	i := rnd.IntN(len(r.fleet.Targets))
	t := r.fleet.Targets[i]
	t.Drain()
	return func() {
		if restart := r.crashTarget(i); restart != nil {
			restart()
		}
	}
}

func slowTarget(r *run, rnd *rand.Rand, _ time.Duration) func() {
	t := pick(rnd, r.fleet.Targets)
	t.SetSlowdown(1 + rnd.Float64()*20)
	return func() { t.SetSlowdown(1) }
}

// evacuationGrace is the time after which no run may start in an evacuated data centre, whatever
// other faults there are. A process that hasn't received the evacuation by then has no session
// that could carry orders, or has one that also delivers the evacuation.
const evacuationGrace = maxFaultDuration + 2*time.Second

// evacuateDataCentre evacuates a data centre for twice the drawn duration, and so for longer than
// other faults last.
func evacuateDataCentre(r *run, rnd *rand.Rand, duration time.Duration) func() {
	name := r.fleet.TargetDataCentre(rnd.IntN(len(r.fleet.Targets)))
	r.fleet.Evacuate(name)
	r.fleet.Checker.ForbidStarts(name, time.Now().Add(evacuationGrace))
	time.Sleep(duration) // the undo function is called after the same time again
	return func() {
		r.fleet.Checker.ForbidStarts(name, time.Time{})
		r.fleet.Restore(name)
	}
}

// changeCapacity changes a target's capacity while it runs, and restores it afterwards.
func changeCapacity(r *run, rnd *rand.Rand, _ time.Duration) func() {
	t := pick(rnd, r.fleet.Targets)
	t.SetCapacity(1000 * (1 + rnd.IntN(8)))
	return func() { t.SetCapacity(standin.DefaultCPUMilli) }
}

func (r *run) writeConfiguration() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.configVersion++
	r.fleet.Configure(r.configVersion, 2)
}

func changeConfiguration(r *run, _ *rand.Rand, _ time.Duration) func() {
	r.writeConfiguration()
	return nil
}

func changeConfigurationRapidly(r *run, rnd *rand.Rand, _ time.Duration) func() {
	for range 3 + rnd.IntN(8) {
		r.writeConfiguration()
		time.Sleep(time.Duration(rnd.IntN(80)) * time.Millisecond)
	}
	return nil
}
