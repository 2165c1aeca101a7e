// Package logfake is the platform's log in memory, with the faults of the real
// one: slow, down, answers lost after the write, appends that land late, records
// dropped by retention. Tests use it directly; the stand-in service serves it.
package logfake

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/platformlog"
)

// Faults says how the log misbehaves.
type Faults struct {
	Unavailable      bool          // appends and reads fail and nothing is written
	ReadsUnavailable bool          // only reads fail
	LoseAnswers      bool          // appends are written and the answer is lost
	DelayAppends     bool          // appends are held back, and land at the next Land
	Delay            time.Duration // added to every call
}

// Causes carried by the errors.
var (
	ErrUnavailable = errors.New("service unavailable")
	ErrAnswerLost  = errors.New("connection reset before the answer")
)

type stream struct {
	lowest  uint64
	records []kept
	late    [][]byte
}

type kept struct {
	data []byte
	at   time.Time
}

// Log is the fake. It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	streams map[string]*stream
	faults  Faults
	appends uint64
}

var _ platformlog.Log = (*Log)(nil)

// New returns an empty log without faults.
func New() *Log { return &Log{streams: map[string]*stream{}} }

// SetFaults replaces the faults in force.
func (l *Log) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Faults returns the faults in force.
func (l *Log) Faults() Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

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
		s.late = append(s.late, data)
		return 0, &platformlog.UndecidedError{Stream: name, Cause: ErrAnswerLost}
	}
	offset := l.write(s, data)
	if l.faults.LoseAnswers {
		return 0, &platformlog.UndecidedError{Stream: name, Cause: ErrAnswerLost}
	}
	return offset, nil
}

func (l *Log) write(s *stream, data []byte) uint64 {
	s.records = append(s.records, kept{data, time.Now()})
	l.appends++
	return s.end() - 1
}

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
	var out []platformlog.Record
	size := 0
	for next := from; next < s.end() && len(out) < max; next++ {
		data := s.records[next-s.lowest].data
		size += len(data)
		if len(out) > 0 && size > platformlog.MaxReadBytes {
			break
		}
		out = append(out, platformlog.Record{Offset: next, Data: data})
	}
	return out, from + uint64(len(out)), nil
}

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

// ApplyDelayed writes the appends that were held back and returns how many there were.
func (l *Log) ApplyDelayed(name string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	for _, data := range s.late {
		l.write(s, data)
	}
	n := len(s.late)
	s.late = nil
	return n
}

// Truncate drops records below the offset, at most up to the end.
func (l *Log) Truncate(name string, below uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	below = min(below, s.end())
	if below <= s.lowest {
		return
	}
	s.records = append([]kept(nil), s.records[below-s.lowest:]...)
	s.lowest = below
}

// Expire drops the records of every stream that are older than age, also while
// the log is down, as retention does.
func (l *Log) Expire(age time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	cut := time.Now().Add(-age)
	for _, s := range l.streams {
		n := 0
		for n < len(s.records) && s.records[n].at.Before(cut) {
			n++
		}
		s.records = append([]kept(nil), s.records[n:]...)
		s.lowest += uint64(n)
	}
}

// Bounds returns the lowest kept offset and the end of a stream.
func (l *Log) Bounds(name string) (lowest, end uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	return s.lowest, s.end()
}

// AppendCount returns how many records were written in all.
func (l *Log) AppendCount() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}
