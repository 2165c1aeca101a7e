package runner

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/leased"
	"github.com/camphorrack/camphorrack/internal/platformlog"
	"github.com/camphorrack/camphorrack/internal/scheduler/membership"
)

const (
	// initialLists is the number of lists that are followed from the start.
	initialLists = 2
	// emptyListDelay is how long the runner waits after an empty list before it follows further ones.
	emptyListDelay = time.Second
	// firstStartDelay is how long it waits when the whole deployment starts for the first time: the
	// lists that are read then are incomplete, and are read again after platformlog.PatientPace.Pause.
	firstStartDelay = 4 * time.Second
	// seedDelay is the time without any session after which the runner dials an address of the
	// settings. Reads of the store and dials take some tens of milliseconds.
	seedDelay = 400 * time.Millisecond
	// trimDelay is the time from the start after which lists that are not needed are no longer
	// followed: the first lists that a starting fleet reads are incomplete.
	trimDelay = 10 * time.Second
)

// SetSeeds sets addresses that may be those of dispatchers. They are dialled only while the runner
// has no session.
func (r *Runner) SetSeeds(addrs []string) {
	r.dialers.setSeeds(addrs)
}

// discovery follows the store's lists of dispatchers and dials the addresses in the settings. All
// fields but progress belong to the goroutine of run.
type discovery struct {
	*Runner
	startedAt time.Time
	lists     []*entryList  // of the data centres in the order of dialers.lists
	progress  chan struct{} // has an element after a list was read for the first time
}

// entryList follows the records of the dispatchers of a data centre. It implements
// platformlog.Observer.
type entryList struct {
	*discovery
	topic  string
	cancel context.CancelFunc
	readAt atomic.Pointer[time.Time] // when it was first read; nil: not yet
	empty  atomic.Bool               // it had no record then
}

// discoverEntries learns of dispatchers until the context ends.
func (r *Runner) discoverEntries(ctx context.Context) {
	d := &discovery{Runner: r, startedAt: time.Now(), progress: make(chan struct{}, 1)}
	ticker := time.NewTicker(seedDelay)
	defer ticker.Stop()
	for ctx.Err() == nil {
		d.trim()
		for dataCentre, ok := d.next(); ok; dataCentre, ok = d.next() {
			d.follow(ctx, dataCentre)
		}
		select {
		case <-ctx.Done():
		case <-d.progress:
		case <-ticker.C:
			if !r.dialers.connected() {
				r.dialers.dialNextSeed()
			}
		}
	}
}

// trim ends the following of lists that are not needed.
func (d *discovery) trim() {
	needed := max(len(d.dialers.lists()), min(initialLists, len(d.lists)))
	for time.Since(d.startedAt) > trimDelay && len(d.lists) > needed {
		d.lists[len(d.lists)-1].cancel()
		d.lists = d.lists[:len(d.lists)-1]
	}
}

// next returns the data centre whose list is to be followed now. ok is false if no further one is
// needed, or if those before it are still incomplete.
func (d *discovery) next() (dataCentre string, ok bool) {
	n, needed := len(d.lists), d.dialers.lists()
	switch {
	case n >= len(needed):
		return "", false
	case n < initialLists:
	case d.options.FirstStart && time.Since(d.startedAt) < firstStartDelay:
		return "", false
	case slices.ContainsFunc(d.lists, func(l *entryList) bool { return !l.settled() }):
		return "", false
	}
	return needed[n], true
}

// follow starts to follow the list of a data centre.
func (d *discovery) follow(ctx context.Context, dataCentre string) {
	ctx, cancel := context.WithCancel(ctx)
	list := &entryList{discovery: d, topic: membership.ListTopic(dataCentre), cancel: cancel}
	d.lists = append(d.lists, list)
	go platformlog.Watch(ctx, d.log, d.options.Store, platformlog.Partition{Topic: list.topic}, platformlog.PatientPace, list)
}

// settled reports whether the list was read, and if it was empty had time to fill.
func (l *entryList) settled() bool {
	readAt := l.readAt.Load()
	return readAt != nil && (!l.empty.Load() || time.Since(*readAt) >= emptyListDelay)
}

// OnSnapshot implements platformlog.Observer.
func (l *entryList) OnSnapshot(entries []platformlog.Entry, _ uint64) {
	for _, e := range entries {
		l.OnChange(e)
	}
	if l.readAt.Load() != nil {
		return
	}
	now := time.Now()
	l.empty.Store(len(entries) == 0)
	l.readAt.Store(&now)
	select {
	case l.progress <- struct{}{}:
	default:
	}
}

// OnChange implements platformlog.Observer.
func (l *entryList) OnChange(e platformlog.Entry) {
	if len(e.Value) == 0 {
		l.dialers.updateRecord(e.Key, membership.Peer{})
		return
	}
	record, err := leased.ParseRecord(e.Value)
	if err != nil {
		event.Log(l.log, event.BadFrame, "topic", l.topic, "key", e.Key, "error", err.Error())
		return
	}
	l.dialers.updateRecord(e.Key, membership.Peer{Addr: record.Addr, DataCentre: record.DataCentre})
}
