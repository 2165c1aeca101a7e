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
	// first alone, most sessions would be moved a moment later. Entries that split a list do so within
	// this time.
	firstStartDelay = 1500 * time.Millisecond
	// seedDelay is the time without any session after which the runner dials an address of the
	// settings. Reads of the store and dials take some tens of milliseconds.
	seedDelay = 400 * time.Millisecond
	// trimDelay is the time from the start after which lists that are not needed are no longer
	// followed: those that were read first may have been incomplete.
	trimDelay = 10 * time.Second
	// depthInterval is the mean time between two reads of the depth of a list. An entry that has moved to
	// a shard that nobody follows yet is known to no runner for as long.
	depthInterval = 5 * time.Minute
)

// SetSeeds sets addresses that may be those of dispatchers. They are dialled only while the runner
// has no session.
func (r *Runner) SetSeeds(addrs []string) {
	r.dialers.setSeeds(addrs)
}

// discovery follows the store's lists of dispatchers and dials the addresses in the settings. All
// fields but progress belong to the goroutine of discoverEntries.
type discovery struct {
	*Runner
	startedAt  time.Time
	settled    int           // lists that count as read, the first ones
	lists      []*entryList  // of the data centres in the order of dialers.lists
	incomplete bool          // a part of them was not read yet
	progress   chan struct{} // has an element after a depth or a shard was read
}

// entryList follows the shards of the list of a data centre.
type entryList struct {
	*discovery
	dataCentre string
	ctx        context.Context
	cancel     context.CancelFunc
	root       atomic.Pointer[snapshot] // of the last read for the depth; nil: not read yet
	shards     map[membership.Shard]*entryShard
	rootUsed   bool // the root is or was followed
}

// snapshot is what a read of all records of a partition has returned.
type snapshot struct {
	entries []platformlog.Entry
	end     uint64 // offset from which changes follow
}

// entryShard follows the records of the dispatchers in a shard. It implements platformlog.Observer.
type entryShard struct {
	*entryList
	shard  membership.Shard
	cancel context.CancelFunc
	readAt atomic.Pointer[time.Time] // when it was first read; nil: not yet
	empty  atomic.Bool               // it had no record then
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
		d.update(ctx)
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

// update follows what is needed now, and ends the following of what is not.
func (d *discovery) update(ctx context.Context) {
	d.trim()
	settled := true
	for _, l := range d.lists {
		settled = l.update() && settled
	}
	if settled {
		d.settled = len(d.lists)
	}
	for needed := d.dialers.lists(d.settled); len(d.lists) < len(needed); {
		d.follow(ctx, needed[len(d.lists)])
	}
	wasIncomplete := d.incomplete
	d.incomplete = slices.ContainsFunc(d.lists, func(l *entryList) bool { return !l.complete() })
	if wasIncomplete && !d.incomplete {
		d.dialers.applySelection() // without the delay that collects changes
	}
}

// trim ends the following of lists that are not needed.
func (d *discovery) trim() {
	if time.Since(d.startedAt) <= trimDelay {
		return
	}
	for needed := len(d.dialers.lists(len(d.lists))); len(d.lists) > needed; {
		l := d.lists[len(d.lists)-1]
		l.cancel()
		for shard := range l.shards {
			d.dialers.dropShard(shard)
		}
		d.lists = d.lists[:len(d.lists)-1]
		d.settled = len(d.lists)
	}
}

// follow starts to follow the list of a data centre.
func (d *discovery) follow(ctx context.Context, dataCentre string) {
	l := &entryList{discovery: d, dataCentre: dataCentre, shards: map[membership.Shard]*entryShard{}}
	l.ctx, l.cancel = context.WithCancel(ctx)
	d.lists = append(d.lists, l)
	go l.watchDepth()
}

// watchDepth reads the root of the list for its depth, and again from time to time: lists are rarely split.
// If the list has no other shard, its root is followed from there on.
func (l *entryList) watchDepth() {
	retry := platformlog.NewBackOff()
	root := membership.Root(l.dataCentre)
	for l.ctx.Err() == nil {
		entries, end, err := l.options.Store.Newest(l.ctx, root.Partition(l.options.Store.Partitions()))
		if err != nil {
			event.Log(l.log, event.LogUnreachable, "data_centre", l.dataCentre, "error", err.Error())
			clock.Sleep(l.ctx, retry.NextBackOff())
			continue
		}
		retry.Reset()
		l.dialers.setDepth(l.dataCentre, leased.DepthOf(l.dataCentre, entries))
		l.root.Store(&snapshot{entries, end})
		l.notify()
		clock.Sleep(l.ctx, clock.Jitter(depthInterval))
	}
}

// notify wakes discoverEntries.
func (d *discovery) notify() {
	select {
	case d.progress <- struct{}{}:
	default:
	}
}

// update follows the shards that are needed and, once these are read, no others. It reports whether the
// list counts as read.
func (l *entryList) update() (settled bool) {
	if l.root.Load() == nil {
		return false
	}
	settled = true
	needed := l.dialers.shards(l.dataCentre, func(s membership.Shard) bool { return l.shards[s] != nil && l.shards[s].settled() })
	for _, s := range needed {
		if l.shards[s] == nil {
			l.follow(s)
		}
		settled = settled && l.shards[s].settled()
	}
	for s, followed := range l.shards {
		if settled && !slices.Contains(needed, s) {
			followed.cancel()
			delete(l.shards, s)
			l.dialers.dropShard(s)
		}
	}
	return settled
}

// complete reports whether the depth and all followed shards were read.
func (l *entryList) complete() bool {
	for _, s := range l.shards {
		if s.readAt.Load() == nil {
			return false
		}
	}
	return len(l.shards) > 0
}

// follow starts to follow a shard.
func (l *entryList) follow(shard membership.Shard) {
	ctx, cancel := context.WithCancel(l.ctx)
	s := &entryShard{entryList: l, shard: shard, cancel: cancel}
	l.shards[shard] = s
	partition := shard.Partition(l.options.Store.Partitions())
	root := l.root.Load()
	if shard != membership.Root(l.dataCentre) || l.rootUsed {
		go platformlog.Watch(ctx, l.log, l.options.Store, partition, platformlog.PatientPace, s)
		return
	}
	l.rootUsed = true
	s.OnSnapshot(root.entries, root.end)
	go platformlog.WatchFrom(ctx, l.log, l.options.Store, partition, root.end, platformlog.PatientPace, s)
}

// settled reports whether the shard was read, and if it was empty had time to fill.
func (s *entryShard) settled() bool {
	readAt := s.readAt.Load()
	return readAt != nil && (!s.empty.Load() || time.Since(*readAt) >= emptyListDelay)
}

// OnSnapshot implements platformlog.Observer.
func (s *entryShard) OnSnapshot(entries []platformlog.Entry, _ uint64) {
	hosts := map[string]struct{}{}
	for _, e := range entries {
		hosts[e.Key] = struct{}{}
		s.OnChange(e)
	}
	s.dialers.retainRecords(s.shard, hosts)
	if s.readAt.Load() != nil {
		return
	}
	now := time.Now()
	s.empty.Store(len(entries) == 0)
	s.readAt.Store(&now)
	s.notify()
}

// OnChange implements platformlog.Observer.
func (s *entryShard) OnChange(e platformlog.Entry) {
	if membership.IsDepthKey(e.Key) {
		if e.Key == membership.DepthKey(s.dataCentre) {
			s.dialers.setDepth(s.dataCentre, membership.ParseDepth(e.Value))
			s.notify()
		}
		return
	}
	if len(e.Value) == 0 {
		s.dialers.updateRecord(s.shard, e.Key, membership.Peer{})
		return
	}
	record, err := leased.ParseRecord(e.Value)
	if err != nil {
		event.Log(s.log, event.BadFrame, "data_centre", s.shard.DataCentre, "shard", s.shard.Index, "key", e.Key, "error", err.Error())
		return
	}
	s.dialers.updateRecord(s.shard, e.Key, membership.Peer{Addr: record.Addr, DataCentre: record.DataCentre})
}
