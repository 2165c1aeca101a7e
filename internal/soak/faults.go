package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/standin/relay"
	"github.com/camphorrack/camphorrack/platform/standin"
)

const (
	// Faults begin so long after each other, and last so long: from well below to well
	// above the silence that ends a session, so that they overlap.
	leastGap, mostGap   = 50 * time.Millisecond, 900 * time.Millisecond
	leastLast, mostLast = 100 * time.Millisecond, 4 * time.Second
	// graceful is how long a process may take to end after SIGTERM: its grace, and the
	// time that a loaded machine adds.
	graceful = 6*time.Second + 4*time.Second
)

// fault is one thing that goes wrong. It begins at once and returns what ends it, or nil.
type fault struct {
	name string
	do   func(r *run, x *rand.Rand, lasting time.Duration) (undo func())
}

var faults = []fault{
	{"entry killed", onProcess(entries, (*run).killed)},
	{"entry paused", onProcess(entries, (*run).paused)},
	{"entry ended", onProcess(entries, (*run).ended)},
	{"runner killed", onProcess(runners, (*run).killed)},
	{"runner paused", onProcess(runners, (*run).paused)},
	{"runner ended", onProcess(runners, (*run).ended)},
	{"settings read again", onProcess(runners, (*run).reload)},
	{"path to an entry", onPath(func(r *run, x *rand.Rand) *relay.Relay { return pick(x, r.fleet.CallerPaths) })},
	{"path to a target", onPath(func(r *run, x *rand.Rand) *relay.Relay { return pick(x, r.fleet.TargetPaths) })},
	{"path between processes", onPath(func(r *run, x *rand.Rand) *relay.Relay { return pick(x, pick(x, r.fleet.SessionPaths)) })},
	{"runner cut off", runnerCutOff},
	{"entry cut off", entryCutOff},
	{"target crashes", targetCrashes},
	{"target crashes behind a cut", targetCrashesBehindCut},
	{"target loses orders and answers", targetMisbehaves},
	{"target leaves", targetLeaves},
	{"target slow", targetSlow},
	{"store", storeMisbehaves},
	{"store for one host", storeForOne},
	{"store forgets", storeForgets},
	{"configuration changes", configurationChanges},
	{"configurations in a storm", configurationStorm},
	{"data centre evacuated", dataCentreEvacuated},
	{"capacity changes", capacityChanges},
}

// inject begins faults by the seed until the time is over, and waits for their ends.
func (r *run) inject(ctx context.Context) {
	x := r.random(1)
	var all sync.WaitGroup
	for until := time.Now().Add(r.Duration); time.Now().Before(until) && ctx.Err() == nil; {
		f := pick(x, faults)
		lasting := between(x, leastLast, mostLast)
		own := rand.New(rand.NewPCG(x.Uint64(), 0))
		r.faults++
		fmt.Fprintf(r.Out, "%s fault %d: %s for %s\n", time.Now().Format(time.StampMilli), r.faults, f.name, lasting.Round(time.Millisecond))
		all.Go(func() {
			undo := f.do(r, own, lasting)
			if undo == nil {
				return
			}
			clock.Sleep(ctx, lasting)
			undo()
		})
		clock.Sleep(ctx, between(x, leastGap, mostGap))
	}
	all.Wait()
}

// heal undoes what faults that were cut short may have left behind.
func (r *run) heal() {
	r.fleet.Store.SetMode("", standin.StoreNormal)
	r.fleet.Store.SetDelay(0)
	for _, t := range r.fleet.Targets {
		t.SetCapacity(standin.DefaultCPUMilli)
	}
	for n := range dataCentres {
		r.fleet.Restore(r.fleet.DataCentre(n))
	}
	for _, p := range append(append([]*standin.Process(nil), r.fleet.Entries...), r.fleet.Runners...) {
		p.Signal(syscall.SIGCONT)
	}
}

func pick[T any](x *rand.Rand, list []T) T { return list[x.IntN(len(list))] }

func between(x *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(x.Int64N(int64(most-least)))
}

func entries(r *run) []*slot { return r.slots(r.fleet.Entries) }
func runners(r *run) []*slot { return r.slots(r.fleet.Runners) }

// slot is a process with a lock: two faults must not stop and start the same one.
type slot struct {
	*standin.Process
	mu *sync.Mutex
}

var slotLocks sync.Map // *standin.Process to *sync.Mutex

func (r *run) slots(processes []*standin.Process) []*slot {
	list := make([]*slot, len(processes))
	for i, p := range processes {
		mu, _ := slotLocks.LoadOrStore(p, &sync.Mutex{})
		list[i] = &slot{p, mu.(*sync.Mutex)}
	}
	return list
}

// onProcess picks a process that no other fault has.
func onProcess(of func(*run) []*slot, do func(*run, *slot, *rand.Rand, time.Duration) func()) func(*run, *rand.Rand, time.Duration) func() {
	return func(r *run, x *rand.Rand, lasting time.Duration) func() {
		p := pick(x, of(r))
		if !p.mu.TryLock() {
			return nil
		}
		undo := do(r, p, x, lasting)
		return func() {
			defer p.mu.Unlock()
			undo()
		}
	}
}

func (r *run) start(p *slot) {
	if err := p.Start(); err != nil {
		r.breach("process", p.Name, "it does not start: "+err.Error())
	}
}

func (r *run) killed(p *slot, _ *rand.Rand, _ time.Duration) func() {
	r.exited(p)
	p.Kill()
	return func() { r.start(p) }
}

// exited notes a process that has ended by itself.
func (r *run) exited(p *slot) {
	select {
	case <-p.Exited():
		r.breach("process", p.Name, "it ended by itself")
	default:
	}
}

func (r *run) paused(p *slot, _ *rand.Rand, _ time.Duration) func() {
	p.Signal(syscall.SIGSTOP)
	return func() { p.Signal(syscall.SIGCONT) }
}

func (r *run) ended(p *slot, _ *rand.Rand, _ time.Duration) func() {
	r.exited(p)
	p.Signal(syscall.SIGTERM)
	return func() {
		select {
		case <-p.Exited():
			if code := p.Wait(); code != 0 {
				r.breach("process", p.Name, fmt.Sprintf("SIGTERM ends it with %d", code))
			}
		case <-time.After(graceful):
			r.breach("process", p.Name, "it does not end after SIGTERM")
			p.Kill()
		}
		r.start(p)
	}
}

func (r *run) reload(p *slot, _ *rand.Rand, _ time.Duration) func() {
	p.Signal(syscall.SIGHUP)
	return func() {}
}

// onPath makes a path slow, silent, one way or broken.
func onPath(path func(*run, *rand.Rand) *relay.Relay) func(*run, *rand.Rand, time.Duration) func() {
	return func(r *run, x *rand.Rand, _ time.Duration) func() {
		p := path(r, x)
		switch x.IntN(5) {
		case 0:
			p.SetDelay(time.Duration(1+x.IntN(60)) * time.Millisecond)
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

// darken cuts paths for old and new connections alike.
func darken(paths []*relay.Relay) func() {
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

func runnerCutOff(r *run, x *rand.Rand, _ time.Duration) func() {
	i := x.IntN(len(r.fleet.Runners))
	r.fleet.Store.SetMode(r.fleet.Runners[i].IP(), standin.StoreUnresponsive)
	light := darken(r.fleet.SessionPaths[i])
	return func() {
		light()
		r.fleet.Store.SetMode(r.fleet.Runners[i].IP(), standin.StoreNormal)
	}
}

func entryCutOff(r *run, x *rand.Rand, _ time.Duration) func() {
	e := x.IntN(r.Entries)
	paths := []*relay.Relay{r.fleet.CallerPaths[e]}
	for _, inner := range r.fleet.SessionPaths {
		paths = append(paths, inner[e])
	}
	r.fleet.Store.SetMode(r.fleet.Entries[e].IP(), standin.StoreUnresponsive)
	light := darken(paths)
	return func() {
		light()
		r.fleet.Store.SetMode(r.fleet.Entries[e].IP(), standin.StoreNormal)
	}
}

// up begins another life of a target; a port that is not free yet is tried again.
func (r *run) up(t *standin.Target) {
	var err error
	for range 50 {
		if err = t.Start(); err == nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	r.breach("stand-in", "", err.Error())
}

func targetCrashes(r *run, x *rand.Rand, _ time.Duration) func() {
	return r.crash(x.IntN(len(r.fleet.Targets)))
}

// crash ends a target's life, unless another fault has it.
func (r *run) crash(i int) func() {
	t := r.fleet.Targets[i]
	mu, _ := slotLocks.LoadOrStore(t, &sync.Mutex{})
	if !mu.(*sync.Mutex).TryLock() {
		return nil
	}
	t.Stop()
	return func() {
		defer mu.(*sync.Mutex).Unlock()
		r.up(t)
	}
}

// targetCrashesBehindCut lets a target begin another life under its name while its
// runner can't see it.
func targetCrashesBehindCut(r *run, x *rand.Rand, _ time.Duration) func() {
	i := x.IntN(len(r.fleet.Targets))
	again := r.crash(i)
	if again == nil {
		return nil
	}
	light := darken(r.fleet.TargetPaths[i : i+1])
	again()
	return light
}

func targetMisbehaves(r *run, x *rand.Rand, _ time.Duration) func() {
	t := pick(x, r.fleet.Targets)
	t.SetFaults(x.Float64()*0.3, x.Float64()*0.3, x.IntN(4) == 0)
	return func() { t.SetFaults(0, 0, false) }
}

func targetLeaves(r *run, x *rand.Rand, _ time.Duration) func() {
	i := x.IntN(len(r.fleet.Targets))
	t := r.fleet.Targets[i]
	t.Drain()
	return func() {
		if again := r.crash(i); again != nil {
			again()
		}
	}
}

func targetSlow(r *run, x *rand.Rand, _ time.Duration) func() {
	t := pick(x, r.fleet.Targets)
	t.SetSlowdown(1 + x.Float64()*20)
	return func() { t.SetSlowdown(1) }
}

var storeModes = []standin.StoreMode{standin.StoreUnresponsive, standin.StoreUnavailable, standin.StoreReset, standin.StoreAnswerLost}

func storeMisbehaves(r *run, x *rand.Rand, _ time.Duration) func() {
	if x.IntN(3) == 0 {
		r.fleet.Store.SetDelay(time.Duration(x.IntN(700)) * time.Millisecond)
		return func() { r.fleet.Store.SetDelay(0) }
	}
	r.fleet.Store.SetMode("", pick(x, storeModes))
	return func() { r.fleet.Store.SetMode("", standin.StoreNormal) }
}

func storeForOne(r *run, x *rand.Rand, _ time.Duration) func() {
	host := pick(x, append(append([]*standin.Process(nil), r.fleet.Entries...), r.fleet.Runners...)).IP()
	r.fleet.Store.SetMode(host, pick(x, storeModes))
	return func() { r.fleet.Store.SetMode(host, standin.StoreNormal) }
}

func storeForgets(r *run, x *rand.Rand, _ time.Duration) func() {
	r.fleet.TruncateConfigurations()
	if x.IntN(2) == 0 {
		r.fleet.TruncateEntryRecords()
	}
	return nil
}

// evacuationBound is when nothing starts any more in a data centre, with whatever other faults
// under way: a process that hears nothing of it for so long has no session over which orders
// come, or one that brings it the word.
const evacuationBound = mostLast + 2*time.Second

// dataCentreEvacuated evacuates a data centre for longer than other faults last.
func dataCentreEvacuated(r *run, x *rand.Rand, lasting time.Duration) func() {
	name := r.fleet.TargetDataCentre(x.IntN(len(r.fleet.Targets)))
	r.fleet.Evacuate(name)
	r.fleet.Checker.ForbidStarts(name, time.Now().Add(evacuationBound))
	time.Sleep(lasting) // and again as long
	return func() {
		r.fleet.Checker.ForbidStarts(name, time.Time{})
		r.fleet.Restore(name)
	}
}

// capacityChanges lets a target shrink, and grow again, while it runs.
func capacityChanges(r *run, x *rand.Rand, _ time.Duration) func() {
	t := pick(x, r.fleet.Targets)
	t.SetCapacity(1000 * (1 + x.IntN(8)))
	return func() { t.SetCapacity(standin.DefaultCPUMilli) }
}

func (r *run) configure() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	r.fleet.Configure(r.version, 2)
}

func configurationChanges(r *run, _ *rand.Rand, _ time.Duration) func() {
	r.configure()
	return nil
}

func configurationStorm(r *run, x *rand.Rand, _ time.Duration) func() {
	for range 3 + x.IntN(8) {
		r.configure()
		time.Sleep(time.Duration(x.IntN(80)) * time.Millisecond)
	}
	return nil
}
