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
	changeInterval = 700 * time.Millisecond
	pollInterval   = 50 * time.Millisecond
	// pollTimeout is short, so that a frozen daemon does not delay polling the others.
	pollTimeout = 300 * time.Millisecond
	// propagationTimeout is the users' requirement for a change to be in force everywhere.
	propagationTimeout = 13 * time.Second
	// changedKey is a setting that does not affect healthy targets.
	changedKey = config.Key("health.last_trial_ms")
	firstValue = 30_000
	// noVersion is the lowest version if no daemon answered.
	noVersion = uint64(math.MaxUint64)
)

// operators simulates operators that publish configuration changes continuously, two at a time
// on the same base, and polls the version that each daemon has in force.
type operators struct {
	deployment *deployment
	publisher  *config.Publisher

	mu            sync.Mutex
	accepted      []change
	conflicts     int
	notAccepted   int
	undecided     int
	highestSeen   map[*localfleet.Process]uint64 // highest version received from each process
	highestByName map[string]uint64              // the same by process name, across restarts
	// unconfigured counts polls of a restarted daemon that had no configuration yet although its
	// predecessor had one in force.
	unconfigured   int
	breaches       []Breach
	maxPropagation time.Duration // longest time until a change was in force everywhere
}

// change is an accepted change. inForce is set once every daemon that answers has it.
type change struct {
	version    uint64
	acceptedAt time.Time
	inForce    bool
}

func newOperators(d *deployment) *operators {
	log := store.New(d.logURL())
	return &operators{
		deployment: d, publisher: config.NewPublisher(log, 0), highestSeen: map[*localfleet.Process]uint64{}, highestByName: map[string]uint64{},
	}
}

// start begins to publish changes and to poll in the background. The returned function stops
// the changes, waits until the last is in force everywhere, and stops polling.
func (o *operators) start(ctx context.Context) (stop func()) {
	publishing, stopPublishing := context.WithCancel(ctx)
	polling, stopPolling := context.WithCancel(ctx)
	var changes, polls sync.WaitGroup
	changes.Go(func() { o.changeLoop(ctx, publishing) })
	polls.Go(func() { o.pollLoop(polling) })
	return func() {
		stopPublishing()
		changes.Wait()
		o.awaitInForce(ctx)
		stopPolling()
		polls.Wait()
	}
}

// changeLoop publishes pairs of changes until the context until ends. A pair in progress is
// completed with ctx.
func (o *operators) changeLoop(ctx, until context.Context) {
	for value := int64(firstValue); until.Err() == nil; value += 2 {
		o.publishConcurrently(ctx, value)
		sleep(until, changeInterval)
	}
}

// publishConcurrently publishes two changes on one base at the same time. That both are accepted
// is a breach.
func (o *operators) publishConcurrently(ctx context.Context, value int64) {
	fold, _, err := o.publisher.Load(ctx)
	if err != nil {
		o.recordAttempt(nil, err)
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
			o.recordAttempt(states[i], err)
		})
	}
	both.Wait()
	if states[0] != nil && states[1] != nil {
		o.addBreach(RuleOneWinner, "version "+fmt.Sprint(base), "two changes on one base were both accepted")
	}
}

// recordAttempt counts the result of an attempt to publish a change.
func (o *operators) recordAttempt(accepted *config.State, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var f *fault.Fault
	switch {
	case err == nil:
		o.accepted = append(o.accepted, change{version: accepted.Version, acceptedAt: time.Now()})
	case !errors.As(err, &f):
	case f.Code == fault.ConfigConflict:
		o.conflicts++
	case f.Code == fault.ConfigNotTaken:
		o.notAccepted++
	case f.Code == fault.ConfigUndecided:
		o.undecided++
	}
}

func (o *operators) addBreach(rule Rule, subject, detail string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.breaches = append(o.breaches, Breach{Rule: rule, Subject: subject, Detail: detail})
}

// pollLoop polls all daemons and marks the changes that are in force everywhere, until the context
// ends.
func (o *operators) pollLoop(until context.Context) {
	for until.Err() == nil {
		if lowest, _ := o.pollVersions(until); lowest != noVersion {
			o.markInForce(lowest)
		}
		sleep(until, pollInterval)
	}
}

// pollVersions queries every daemon for its version. It returns the lowest of the versions
// received, or noVersion, and whether all daemons answered. A daemon that is down or frozen
// enforces nothing, so it may be left out.
func (o *operators) pollVersions(ctx context.Context) (lowest uint64, allAnswered bool) {
	daemons := o.deployment.daemons()
	versions := make([]*uint64, len(daemons))
	var queries sync.WaitGroup
	for i, p := range daemons {
		queries.Go(func() { versions[i] = o.pollVersion(ctx, p) })
	}
	queries.Wait()
	lowest, allAnswered = noVersion, true
	for _, v := range versions {
		if v == nil {
			allAnswered = false
			continue
		}
		lowest = min(lowest, *v)
	}
	return lowest, allAnswered
}

// pollVersion returns the version in force at a daemon, or nil if the daemon did not answer.
func (o *operators) pollVersion(ctx context.Context, p *localfleet.Process) *uint64 {
	c, err := client.New(client.Options{Entries: []string{p.Addr}, CallTimeout: pollTimeout})
	if err != nil {
		return nil
	}
	defer c.Close()
	highestBefore := o.highestVersion(p)
	state, err := c.Config(ctx)
	if err != nil || p.Exited() {
		return nil // the reply may be that of its successor
	}
	o.recordVersion(p, state.Version, highestBefore)
	return &state.Version
}

// highestVersion returns the highest version received from a process.
func (o *operators) highestVersion(p *localfleet.Process) uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.highestSeen[p]
}

// recordVersion compares a version with highestBefore, the highest version received from the
// process before it was queried, since answers to overlapping calls may be read in any order. It
// also compares it with the highest version of the earlier processes of the same name. A process
// that is behind its predecessor counts as one breach, however long that lasts.
func (o *operators) recordVersion(p *localfleet.Process, version, highestBefore uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	own, known := o.highestSeen[p]
	highest := o.highestByName[p.Name]
	o.highestSeen[p] = max(own, version)
	o.highestByName[p.Name] = max(highest, version)
	detail := fmt.Sprintf("version %d after version %d", version, highest)
	switch {
	case version < highestBefore:
		o.breaches = append(o.breaches, Breach{RuleConfigReverts, p.Name, detail})
	case version == 0 && highest > 0:
		o.unconfigured++
	case version < highest && (!known || own == 0):
		o.breaches = append(o.breaches, Breach{RuleConfigBehind, p.Name, detail})
	}
}

// markInForce marks the changes up to version lowest as in force everywhere and records the
// longest propagation time.
func (o *operators) markInForce(lowest uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := range o.accepted {
		c := &o.accepted[i]
		if c.inForce || c.version > lowest {
			continue
		}
		c.inForce = true
		o.maxPropagation = max(o.maxPropagation, time.Since(c.acceptedAt))
	}
}

// notInForce returns the first accepted change that is not in force everywhere yet.
func (o *operators) notInForce() (version uint64, missing bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, c := range o.accepted {
		if !c.inForce {
			return c.version, true
		}
	}
	return 0, false
}

// awaitInForce waits until every accepted change is in force on every daemon and all daemons
// answer. Exceeding propagationTimeout is a breach.
func (o *operators) awaitInForce(ctx context.Context) {
	deadline := time.Now().Add(propagationTimeout)
	for ctx.Err() == nil {
		version, missing := o.notInForce()
		if _, allAnswered := o.pollVersions(ctx); allAnswered && !missing {
			return
		}
		if time.Now().After(deadline) {
			o.addBreach(RuleConfigLate, "version "+fmt.Sprint(version), "not in force everywhere "+propagationTimeout.String()+" after the last change")
			return
		}
		sleep(ctx, pollInterval)
	}
}
