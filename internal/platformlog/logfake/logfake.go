// Package logfake implements platformlog.Log in memory and injects the faults of the real log:
// slow calls, outages, responses lost after the write, delayed appends and records dropped by
// retention.
package logfake

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/platformlog"
)

// Faults are the faults that the log injects.
type Faults struct {
	Unavailable      bool          // appends and reads fail; nothing is written
	ReadsUnavailable bool          // reads fail
	LoseAnswers      bool          // appends are written, but return an *UndecidedError
	DelayAppends     bool          // appends are undecided, and written by the next ApplyDelayed
	Delay            time.Duration // added to every call
}

// Causes of the returned errors.
var (
	ErrUnavailable = errors.New("service unavailable")
	ErrAnswerLost  = errors.New("connection reset before the answer")
)

type stream struct {
	lowest  uint64 // offset of the first retained record
	records []storedRecord
	delayed [][]byte // appends that ApplyDelayed writes
}

type storedRecord struct {
	data      []byte
	writtenAt time.Time
}

// Log is an in-memory log. It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	streams map[string]*stream
	faults  Faults
	appends uint64
}

var _ platformlog.Log = (*Log)(nil)

// New returns an empty log without faults.
func New() *Log { return &Log{streams: map[string]*stream{}} }

// SetFaults replaces the injected faults.
func (l *Log) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Faults returns the injected faults.
func (l *Log) Faults() Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// stream returns a stream, which it creates if necessary. The caller holds the lock.
func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{}
		l.streams[name] = s
	}
	return s
}

// Append implements platformlog.Log.
func (l *Log) Append(ctx context.Context, name string, record []byte) (uint64, error) {
	if err := l.wait(ctx); err != nil {
		return 0, &platformlog.UndecidedError{Stream: name, Cause: err}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Unavailable {
		return 0, &platformlog.UnavailableError{Op: "append", Cause: ErrUnavailable}
	}
	if len(record) > platformlog.MaxRecordBytes {
		return 0, &platformlog.RefusedError{Status: 413, Detail: "record too large"}
	}
	s := l.stream(name)
	data := append([]byte(nil), record...)
	if l.faults.DelayAppends {
		s.delayed = append(s.delayed, data)
		return 0, &platformlog.UndecidedError{Stream: name, Cause: ErrAnswerLost}
	}
	offset := l.write(s, data)
	if l.faults.LoseAnswers {
		return 0, &platformlog.UndecidedError{Stream: name, Cause: ErrAnswerLost}
	}
	return offset, nil
}

// write appends a record and returns its offset. The caller holds the lock.
func (l *Log) write(s *stream, data []byte) uint64 {
	s.records = append(s.records, storedRecord{data, time.Now()})
	l.appends++
	return s.end() - 1
}

// end returns the offset of the next record.
func (s *stream) end() uint64 { return s.lowest + uint64(len(s.records)) }

// Read implements platformlog.Log.
func (l *Log) Read(ctx context.Context, name string, from uint64, max int) ([]platformlog.Record, uint64, error) {
	if err := l.wait(ctx); err != nil {
		return nil, from, &platformlog.UnavailableError{Op: "read", Cause: err}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Unavailable || l.faults.ReadsUnavailable {
		return nil, from, &platformlog.UnavailableError{Op: "read", Cause: ErrUnavailable}
	}
	s := l.stream(name)
	if from < s.lowest {
		return nil, from, &platformlog.TruncatedError{From: from, Lowest: s.lowest}
	}
	if from > s.end() {
		return nil, from, &platformlog.PastEndError{From: from, End: s.end()}
	}
	if max <= 0 || max > platformlog.MaxReadRecords {
		max = platformlog.MaxReadRecords
	}
	var records []platformlog.Record
	size := 0
	for next := from; next < s.end() && len(records) < max; next++ {
		data := s.records[next-s.lowest].data
		size += len(data)
		if len(records) > 0 && size > platformlog.MaxReadBytes {
			break
		}
		records = append(records, platformlog.Record{Offset: next, Data: data})
	}
	return records, from + uint64(len(records)), nil
}

// wait delays a call by Faults.Delay. It returns an error if ctx ends first.
func (l *Log) wait(ctx context.Context) error {
	delay := l.Faults().Delay
	if delay <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(delay)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ApplyDelayed writes the delayed appends of a stream and returns how many there were.
func (l *Log) ApplyDelayed(name string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	for _, data := range s.delayed {
		l.write(s, data)
	}
	n := len(s.delayed)
	s.delayed = nil
	return n
}

// Truncate drops the records of a stream below the offset. An offset past the end drops all.
func (l *Log) Truncate(name string, below uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	below = min(below, s.end())
	if below <= s.lowest {
		return
	}
	s.records = append([]storedRecord(nil), s.records[below-s.lowest:]...)
	s.lowest = below
}

// Expire drops the records of every stream that are older than age, also during an outage, like
// the retention of the real log.
func (l *Log) Expire(age time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	cutoff := time.Now().Add(-age)
	for _, s := range l.streams {
		n := 0
		for n < len(s.records) && s.records[n].writtenAt.Before(cutoff) {
			n++
		}
		s.records = append([]storedRecord(nil), s.records[n:]...)
		s.lowest += uint64(n)
	}
}

// Bounds returns the lowest retained offset of a stream and the offset of its next record.
func (l *Log) Bounds(name string) (lowest, end uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	return s.lowest, s.end()
}

// AppendCount returns the number of records written to all streams.
func (l *Log) AppendCount() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}
