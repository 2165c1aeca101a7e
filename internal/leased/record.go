package leased

import (
	"bytes"
	"context"

	"github.com/go-logr/logr"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/platformlog"
	"github.com/camphorrack/camphorrack/internal/scheduler/membership"
)

// PublishForEarlierBuilds writes a dispatcher's record to membership.CommonList, which runners of earlier
// builds read.
func PublishForEarlierBuilds(ctx context.Context, log logr.Logger, store platformlog.KeyedLog, host string, r Record) {
	platformlog.PutWithRetry(ctx, log, store, membership.List(membership.CommonList, store.Partitions()), host, r.Encode())
}

// PublishRecord writes a dispatcher's record to the store's list of its data centre, unless it is there
// already: each write ends a read of every runner that follows the list, and most starts are restarts
// at the same address. It retries until it succeeds or ctx ends. known receives the entries of the list
// before that, those with invalid records excepted.
func PublishRecord(ctx context.Context, log logr.Logger, store platformlog.KeyedLog, host string, r Record, known func([]membership.Peer)) {
	list := membership.List(r.DataCentre, store.Partitions())
	entries, err := readList(ctx, log, store, list)
	if err != nil {
		return
	}
	known(peersOf(log, list, entries))
	value := r.Encode()
	for _, e := range entries {
		if e.Key == host && bytes.Equal(e.Value, value) {
			return
		}
	}
	platformlog.PutWithRetry(ctx, log, store, list, host, value)
}

// readList reads a list, and retries until it succeeds. The error is that of the context.
func readList(ctx context.Context, log logr.Logger, store platformlog.KeyedLog, list platformlog.Partition) ([]platformlog.Entry, error) {
	retry := platformlog.NewBackOff()
	for ctx.Err() == nil {
		entries, _, err := store.Newest(ctx, list)
		if err == nil {
			return entries, nil
		}
		event.Log(log, event.LogUnreachable, "topic", list.Topic, "error", err.Error())
		clock.Sleep(ctx, retry.NextBackOff())
	}
	return nil, ctx.Err()
}

// peersOf returns the dispatchers in a list. Invalid records are logged and left out.
func peersOf(log logr.Logger, list platformlog.Partition, entries []platformlog.Entry) []membership.Peer {
	var peers []membership.Peer
	for _, e := range entries {
		record, err := ParseRecord(e.Value)
		if err != nil {
			event.Log(log, event.BadFrame, "topic", list.Topic, "key", e.Key, "error", err.Error())
			continue
		}
		peers = append(peers, membership.Peer{Addr: record.Addr, DataCentre: record.DataCentre})
	}
	return peers
}
