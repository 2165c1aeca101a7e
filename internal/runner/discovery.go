package runner

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/leased"
	"github.com/camphorrack/camphorrack/internal/platformlog"
	"github.com/camphorrack/camphorrack/internal/scheduler/membership"
)

const (
	// emptyListDelay is how long the runner waits after an empty list before it follows further ones.
	emptyListDelay = time.Second
	// firstStartDelay is how long the runner waits before it reads a list when the whole deployment
	// starts for the first time. Until then the lists are incomplete: with the entries that start
	// first alone, most sessions would be moved a moment later.
	firstStartDelay = time.Second
	// seedDelay is the time without any session after which the runner dials an address of the
	// settings. Reads of the store and dials take some tens of milliseconds.
	seedDelay = 400 * time.Millisecond
	// trimDelay is the time from the start after which lists that are not needed are no longer
	// followed: those that were read first may have been incomplete.
	trimDelay = 10 * time.Second
)

// SetSeeds sets addresses that may be those of dispatchers. They are dialled only while the runner
// has no session.
func (r *Runner) SetSeeds(addrs []string) {
	r.dialers.setSeeds(addrs)
}

// discovery follows the store's lists of dispatchers and dials the addresses in the settings. All
// fields but progress and unread belong to the goroutine of discoverEntries.
type discovery struct {
	*Runner
	startedAt time.Time
	read      int           // lists that count as read, the first ones
	lists     []*entryList  // of the data centres in the order of dialers.lists
	progress  chan struct{} // has an element after a list was read for the first time
	unread    atomic.Int32  // followed lists that were not read yet
}

// entryList follows the records of the dispatchers of a data centre. It implements
// platformlog.Observer.
type entryList struct {
	*discovery
	partition platformlog.Partition
	cancel    context.CancelFunc
	readAt    atomic.Pointer[time.Time] // when it was first read; nil: not yet
	empty     atomic.Bool               // it had no record then
}

// discoverEntries learns of dispatchers until the context ends.
func (r *Runner) discoverEntries(ctx context.Context) {
	if r.options.FirstStart {
		clock.Sleep(ctx, firstStartDelay)
	}
	d := &discovery{Runner: r, startedAt: time.Now(), progress: make(chan struct{}, 1)}
	ticker := time.NewTicker(seedDelay)
	defer ticker.Stop()
	for ctx.Err() == nil {
		d.trim()
		d.updateRead()
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
	if time.Since(d.startedAt) <= trimDelay {
		return
	}
	for needed := len(d.dialers.lists(len(d.lists))); len(d.lists) > needed; {
		d.lists[len(d.lists)-1].cancel()
		d.lists = d.lists[:len(d.lists)-1]
		d.read = len(d.lists)
	}
}

// next returns the data centre whose list is to be followed now. ok is false if no further one is
// needed, or if those before it are still incomplete.
func (d *discovery) next() (dataCentre string, ok bool) {
	needed := d.dialers.lists(d.read)
	if len(d.lists) >= len(needed) {
		return "", false
	}
	return needed[len(d.lists)], true
}

// updateRead sets read to the number of followed lists once all of them are complete.
func (d *discovery) updateRead() {
	if !slices.ContainsFunc(d.lists, func(l *entryList) bool { return !l.settled() }) {
		d.read = len(d.lists)
	}
}

// follow starts to follow the list of a data centre.
func (d *discovery) follow(ctx context.Context, dataCentre string) {
	ctx, cancel := context.WithCancel(ctx)
	list := &entryList{discovery: d, partition: membership.List(dataCentre, d.options.Store.Partitions()), cancel: cancel}
	d.lists = append(d.lists, list)
	d.unread.Add(1)
	go platformlog.Watch(ctx, d.log, d.options.Store, list.partition, platformlog.PatientPace, list)
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
	if l.unread.Add(-1) == 0 {
		l.dialers.applySelection()
	}
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
		event.Log(l.log, event.BadFrame, "topic", l.partition.Topic, "key", e.Key, "error", err.Error())
		return
	}
	l.dialers.updateRecord(e.Key, membership.Peer{Addr: record.Addr, DataCentre: record.DataCentre})
}
