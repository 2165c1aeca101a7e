package leased

import (
	"bytes"
	"context"
	"slices"
	"time"

	"github.com/go-logr/logr"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/platformlog"
	"github.com/camphorrack/camphorrack/internal/scheduler/membership"
)

const (
	// recordSettleDelay is the mean time from writing a record to the next look at its list. In a first
	// start all dispatchers write within 0.3 s, and the list may have to be split.
	recordSettleDelay = 600 * time.Millisecond
	// recordCheckInterval is the mean time between two looks at the list.
	recordCheckInterval = 5 * time.Minute
)

// PublishForEarlierBuilds writes a dispatcher's record to membership.CommonList, which runners of earlier
// builds read.
func PublishForEarlierBuilds(ctx context.Context, log logr.Logger, store platformlog.KeyedLog, host string, r Record) {
	list := membership.Shard{DataCentre: membership.CommonList}
	platformlog.PutWithRetry(ctx, log, store, list.Partition(store.Partitions()), host, r.Encode())
}

// publisher keeps the record of a dispatcher in the store's list of its data centre.
type publisher struct {
	log    logr.Logger
	store  platformlog.KeyedLog
	host   string
	record Record
	known  func([]membership.Peer)
}

// PublishRecord keeps a dispatcher's record in the store's list of its data centre until ctx ends. It is
// written only if the list has another one: each write ends a read of every runner that follows the list.
// Later looks find that the list was split, or that a runner took the dispatcher for gone. known receives
// the entries after each look.
func PublishRecord(ctx context.Context, log logr.Logger, store platformlog.KeyedLog, host string, r Record, known func([]membership.Peer)) {
	p := &publisher{log, store, host, r, known}
	retry := platformlog.NewBackOff()
	for ctx.Err() == nil {
		written, err := p.look(ctx)
		switch {
		case err != nil:
			event.Log(log, event.LogUnreachable, "topic", "entries", "error", err.Error())
			clock.Sleep(ctx, retry.NextBackOff())
			continue
		case written:
			clock.Sleep(ctx, clock.Jitter(recordSettleDelay))
		default:
			clock.Sleep(ctx, clock.Jitter(recordCheckInterval))
		}
		retry.Reset()
	}
}

// look reads the list, and writes the record if it is not there. If it is, and its shard has too many
// records, look splits the list. Otherwise others may still be writing, as in a first start.
func (p *publisher) look(ctx context.Context) (written bool, err error) {
	root := membership.Root(p.record.DataCentre)
	rootEntries, err := p.read(ctx, root)
	if err != nil {
		return false, err
	}
	entries := rootEntries
	depth := DepthOf(p.record.DataCentre, rootEntries)
	shards := membership.ShardsOf(p.record.DataCentre, p.host, depth)
	if shards[0] != root {
		if entries, err = p.read(ctx, shards[0]); err != nil {
			return false, err
		}
	}
	p.known(peersOf(p.log, shards[0], entries))
	if !p.listed(entries) {
		return true, p.move(ctx, shards, rootEntries)
	}
	size := p.size(shards[0], depth, entries)
	deeper := membership.SplitDepth(depth, size)
	if deeper == depth {
		return false, nil
	}
	event.Log(p.log, event.ListSplit, "data_centre", p.record.DataCentre, "depth", deeper, "was", depth, "records", size)
	return true, p.put(ctx, root, membership.DepthKey(p.record.DataCentre), membership.EncodeDepth(deeper))
}

func (p *publisher) read(ctx context.Context, s membership.Shard) ([]platformlog.Entry, error) {
	entries, _, err := p.store.Newest(ctx, p.partition(s))
	return entries, err
}

// size returns the number of records that belong to a shard at a depth. Those of other lists may be in
// the same partition, and others have not moved since a split.
func (p *publisher) size(s membership.Shard, depth int, entries []platformlog.Entry) (n int) {
	for _, e := range entries {
		record, err := ParseRecord(e.Value)
		if err == nil && record.DataCentre == s.DataCentre && membership.ShardOf(s.DataCentre, e.Key, depth) == s {
			n++
		}
	}
	return n
}

func (p *publisher) partition(s membership.Shard) platformlog.Partition {
	return s.Partition(p.store.Partitions())
}

// listed reports whether the record is among the entries of its shard.
func (p *publisher) listed(entries []platformlog.Entry) bool {
	value := p.record.Encode()
	return slices.ContainsFunc(entries, func(e platformlog.Entry) bool { return e.Key == p.host && bytes.Equal(e.Value, value) })
}

// put writes the value of a key in a shard; an empty one deletes its record.
func (p *publisher) put(ctx context.Context, s membership.Shard, key string, value []byte) error {
	err := p.store.Put(ctx, p.partition(s), key, value)
	if err == nil {
		event.Log(p.log, event.RecordWritten, "topic", p.partition(s).Topic, "key", key, "shard", s.Index, "bytes", len(value))
	}
	return err
}

// move writes the record to the first shard, and deletes it from the others, where it was before a split.
// The last one is the root, whose entries are known.
func (p *publisher) move(ctx context.Context, shards []membership.Shard, rootEntries []platformlog.Entry) (err error) {
	if err := p.put(ctx, shards[0], p.host, p.record.Encode()); err != nil {
		return err
	}
	for i, s := range shards[1:] {
		entries := rootEntries
		if i+2 < len(shards) {
			if entries, err = p.read(ctx, s); err != nil {
				return err
			}
		}
		if slices.ContainsFunc(entries, func(e platformlog.Entry) bool { return e.Key == p.host }) {
			if err := p.put(ctx, s, p.host, nil); err != nil {
				return err
			}
		}
	}
	return nil
}

// DepthOf returns the depth of the list of a data centre, given the entries of its root; it is 0 until the
// list is split.
func DepthOf(dataCentre string, root []platformlog.Entry) int {
	for _, e := range root {
		if e.Key == membership.DepthKey(dataCentre) {
			return membership.ParseDepth(e.Value)
		}
	}
	return 0
}

// peersOf returns the dispatchers in a shard. Invalid records are logged and left out.
func peersOf(log logr.Logger, s membership.Shard, entries []platformlog.Entry) []membership.Peer {
	var peers []membership.Peer
	for _, e := range entries {
		if membership.IsDepthKey(e.Key) {
			continue
		}
		record, err := ParseRecord(e.Value)
		if err != nil {
			event.Log(log, event.BadFrame, "data_centre", s.DataCentre, "shard", s.Index, "key", e.Key, "error", err.Error())
			continue
		}
		peers = append(peers, membership.Peer{Addr: record.Addr, DataCentre: record.DataCentre})
	}
	return peers
}
