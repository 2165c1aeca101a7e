package demo

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/client"
	"github.com/camphorrack/camphorrack/internal/config"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/localfleet"
	"github.com/camphorrack/camphorrack/platform/store"
)

const (
	changeEvery = 700 * time.Millisecond
	watchEvery  = 50 * time.Millisecond
	// watchTimeout is short, so that a frozen daemon does not hold up the watch
	// over the others.
	watchTimeout = 300 * time.Millisecond
	// inForceWithin is the users' own figure for a change to be in force everywhere.
	inForceWithin = 13 * time.Second
	// changedKey is a setting that no healthy target notices.
	changedKey = config.Key("health.last_trial_ms")
	firstValue = 30_000
	// nobody stands for a version where no daemon answered.
	nobody = uint64(math.MaxUint64)
)

// operators change the configuration all the time, two at once on the same base,
// and watch what every daemon has in force.
type operators struct {
	deployment *deployment
	publisher  *config.Publisher

	mu        sync.Mutex
	accepted  []change
	conflicts int
	notTaken  int
	undecided int
	seen      map[*localfleet.Process]uint64 // highest version that each process had
	inForce   map[string]uint64              // the same by name, across restarts
	// without counts sightings of a daemon that had come up and not yet learned the
	// configuration that its predecessor had in force.
	without  int
	breaches []Breach
	longest  time.Duration // until a change was in force everywhere
}

// change is an accepted change and whether every daemon has it.
type change struct {
	version    uint64
	at         time.Time
	everywhere bool
}

func newOperators(d *deployment) *operators {
	log := store.New(d.logURL())
	return &operators{
		deployment: d, publisher: config.NewPublisher(log, 0), seen: map[*localfleet.Process]uint64{}, inForce: map[string]uint64{},
	}
}

// start begins to change and to watch; the function that it returns ends the
// changes, waits until the last is in force everywhere, and ends the watch.
func (o *operators) start(ctx context.Context) (stop func()) {
	changing, endChanges := context.WithCancel(ctx)
	watching, endWatch := context.WithCancel(ctx)
	var changes, watch sync.WaitGroup
	changes.Go(func() { o.changeAlways(ctx, changing) })
	watch.Go(func() { o.watchAlways(watching) })
	return func() {
		endChanges()
		changes.Wait()
		o.settle(ctx)
		endWatch()
		watch.Wait()
	}
}

func (o *operators) changeAlways(ctx, until context.Context) {
	for value := int64(firstValue); until.Err() == nil; value += 2 {
		o.race(ctx, value)
		pause(until, changeEvery)
	}
}

// race makes two changes on one base; at most one may be accepted.
func (o *operators) race(ctx context.Context, value int64) {
	fold, _, err := o.publisher.Load(ctx)
	if err != nil {
		o.note(nil, err)
		return
	}
	base := fold.State().Version
	states := make([]*config.State, 2)
	var both sync.WaitGroup
	for i := range states {
		both.Go(func() {
			var err error
			states[i], err = o.publisher.Publish(ctx, &config.Change{
				Base: base, Author: fmt.Sprintf("operator-%d", i+1), Reason: "demonstration", AtMs: time.Now().UnixMilli(),
				Set: []config.Setting{{Key: changedKey, Value: value + int64(i)}},
			})
			o.note(states[i], err)
		})
	}
	both.Wait()
	if states[0] != nil && states[1] != nil {
		o.breach(RuleOneWinner, "version "+fmt.Sprint(base), "two changes on one base were both accepted")
	}
}

// note counts how an attempt to change ended.
func (o *operators) note(accepted *config.State, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var f *fault.Fault
	switch {
	case err == nil:
		o.accepted = append(o.accepted, change{version: accepted.Version, at: time.Now()})
	case !errors.As(err, &f):
	case f.Code == fault.ConfigConflict:
		o.conflicts++
	case f.Code == fault.ConfigNotTaken:
		o.notTaken++
	case f.Code == fault.ConfigUndecided:
		o.undecided++
	}
}

func (o *operators) breach(rule Rule, id, detail string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.breaches = append(o.breaches, Breach{Rule: rule, Subject: id, Detail: detail})
}

func (o *operators) watchAlways(until context.Context) {
	for until.Err() == nil {
		if lowest, _ := o.look(until); lowest != nobody {
			o.reached(lowest)
		}
		pause(until, watchEvery)
	}
}

// look asks every daemon for its version. It returns the lowest of those that
// answered, or nobody, and whether all did: one that is down or frozen enforces nothing.
func (o *operators) look(ctx context.Context) (lowest uint64, all bool) {
	daemons := o.deployment.daemons()
	versions := make([]*uint64, len(daemons))
	var asked sync.WaitGroup
	for i, p := range daemons {
		asked.Go(func() { versions[i] = o.versionOf(ctx, p) })
	}
	asked.Wait()
	lowest, all = nobody, true
	for _, v := range versions {
		if v == nil {
			all = false
			continue
		}
		lowest = min(lowest, *v)
	}
	return lowest, all
}

// versionOf returns the version in force at a daemon; nil where it can't be asked.
func (o *operators) versionOf(ctx context.Context, p *localfleet.Process) *uint64 {
	c, err := client.New(client.Options{Entries: []string{p.Addr}, CallTimeout: watchTimeout})
	if err != nil {
		return nil
	}
	defer c.Close()
	had := o.had(p)
	state, err := c.Config(ctx)
	if err != nil || p.Exited() {
		return nil // a reply may have come from its successor
	}
	o.saw(p, state.Version, had)
	return &state.Version
}

// had returns the highest version that a process was seen with.
func (o *operators) had(p *localfleet.Process) uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.seen[p]
}

// saw checks a version against what the process had when it was asked, since answers to
// calls that overlap may be read in any order, and against what its predecessors at the
// same address had in force. A process that is behind its predecessor is one breach,
// however long it lasts.
func (o *operators) saw(p *localfleet.Process, version, had uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	own, known := o.seen[p]
	before := o.inForce[p.Name]
	o.seen[p] = max(own, version)
	o.inForce[p.Name] = max(before, version)
	detail := fmt.Sprintf("version %d after version %d", version, before)
	switch {
	case version < had:
		o.breaches = append(o.breaches, Breach{RuleConfigReverts, p.Name, detail})
	case version == 0 && before > 0:
		o.without++
	case version < before && (!known || own == 0):
		o.breaches = append(o.breaches, Breach{RuleConfigBehind, p.Name, detail})
	}
}

// reached notes the changes that every daemon has now.
func (o *operators) reached(lowest uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := range o.accepted {
		c := &o.accepted[i]
		if c.everywhere || c.version > lowest {
			continue
		}
		c.everywhere = true
		o.longest = max(o.longest, time.Since(c.at))
	}
}

func (o *operators) missing() (version uint64, missing bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, c := range o.accepted {
		if !c.everywhere {
			return c.version, true
		}
	}
	return 0, false
}

// settle waits until every accepted change is in force on every daemon.
func (o *operators) settle(ctx context.Context) {
	limit := time.Now().Add(inForceWithin)
	for ctx.Err() == nil {
		version, missing := o.missing()
		if _, all := o.look(ctx); all && !missing {
			return
		}
		if time.Now().After(limit) {
			o.breach(RuleConfigLate, "version "+fmt.Sprint(version), "not in force everywhere "+inForceWithin.String()+" after the last change")
			return
		}
		pause(ctx, watchEvery)
	}
}
