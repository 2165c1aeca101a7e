// Package platformlog defines the interfaces to the platform's store and helpers for its use.
// A Log has streams of records with increasing offsets, which are retained for a limited time.
// A KeyedLog has topics that retain the newest value of each key. Package platform/store
// implements both.
package platformlog

import "context"

// Limits of the service. A read is limited so that neither side holds a whole stream in
// memory; a reader that lags behind reads repeatedly.
const (
	MaxRecordBytes = 256 << 10
	MaxReadRecords = 1024
	MaxReadBytes   = 1 << 20
)

// Record is a record of a stream.
type Record struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// Log is the platform's log.
type Log interface {
	// Append appends a record and returns its offset. The error is an *UnavailableError or
	// a *RefusedError if nothing was written, and an *UndecidedError if the record may have
	// been written or may be written later.
	Append(ctx context.Context, stream string, record []byte) (offset uint64, err error)
	// Read returns consecutive records in order, the first one at offset from, and the offset
	// to read from next. It returns at most max records; 0: as many as the limits of the
	// service allow. At the end of the stream it returns no records and next == from. The
	// error is an *UnavailableError, a *TruncatedError, a *PastEndError or a *RefusedError.
	Read(ctx context.Context, stream string, from uint64, max int) (records []Record, next uint64, err error)
}

// Opener returns a client of the log at the given base URL, such as "http://10.0.0.7:7000".
type Opener func(base string) Log
