package runner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/platformlog"
)

// simStore is a store that answers within 4 ms, and counts calls and the bytes of its responses.
type simStore struct {
	mu         sync.Mutex
	partitions map[platformlog.Partition]*simPartition
	calls      int
	bytes      int
	down       bool
}

type simPartition struct {
	records []platformlog.Entry
	newest  map[string]platformlog.Entry
	written chan struct{} // closed by the next record
}

const (
	storeAnswerTime = 4 * time.Millisecond
	// newestItemBytes and readRecordBytes are the sizes beside key and value of a record in the
	// responses of the platform's store.
	newestItemBytes = 40
	readRecordBytes = 5
	simPartitions   = 24
)

func newSimStore() *simStore {
	return &simStore{partitions: map[platformlog.Partition]*simPartition{}}
}

// Partitions implements platformlog.KeyedLog.
func (s *simStore) Partitions() int { return simPartitions }

// call counts a call, and returns the partition with the lock held.
func (s *simStore) call(ctx context.Context, p platformlog.Partition) (*simPartition, error) {
	clock.Sleep(ctx, storeAnswerTime)
	s.mu.Lock()
	s.calls++
	if s.down || ctx.Err() != nil {
		s.mu.Unlock()
		return nil, &platformlog.UnavailableError{Op: "call", Cause: errRefused}
	}
	part := s.partitions[p]
	if part == nil {
		part = &simPartition{newest: map[string]platformlog.Entry{}, written: make(chan struct{})}
		s.partitions[p] = part
	}
	return part, nil
}

// Put implements platformlog.KeyedLog.
func (s *simStore) Put(ctx context.Context, p platformlog.Partition, key string, value []byte) error {
	part, err := s.call(ctx, p)
	if err != nil {
		return err
	}
	defer s.mu.Unlock()
	e := platformlog.Entry{Key: key, Value: value, Offset: uint64(len(part.records))}
	part.records, part.newest[key] = append(part.records, e), e
	if len(value) == 0 {
		delete(part.newest, key)
	}
	close(part.written)
	part.written = make(chan struct{})
	return nil
}

// Newest implements platformlog.KeyedLog.
func (s *simStore) Newest(ctx context.Context, p platformlog.Partition) ([]platformlog.Entry, uint64, error) {
	part, err := s.call(ctx, p)
	if err != nil {
		return nil, 0, err
	}
	defer s.mu.Unlock()
	var entries []platformlog.Entry
	for _, e := range part.newest {
		entries = append(entries, e)
		s.bytes += newestItemBytes + len(e.Key) + len(e.Value)*4/3
	}
	slices.SortFunc(entries, func(a, b platformlog.Entry) int { return int(a.Offset) - int(b.Offset) })
	return entries, uint64(len(part.records)), nil
}

// Follow implements platformlog.KeyedLog.
func (s *simStore) Follow(ctx context.Context, p platformlog.Partition, from uint64, wait time.Duration) ([]platformlog.Entry, uint64, error) {
	part, err := s.call(ctx, p)
	if err != nil {
		return nil, from, err
	}
	if written := part.written; int(from) == len(part.records) {
		s.mu.Unlock()
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-written:
		case <-timer.C:
		case <-ctx.Done():
		}
		s.mu.Lock()
	}
	defer s.mu.Unlock()
	entries := slices.Clone(part.records[from:])
	for _, e := range entries {
		s.bytes += readRecordBytes + len(e.Key) + len(e.Value)
	}
	return entries, uint64(len(part.records)), nil
}

func (s *simStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}
