// Package platformlog is what the rest of the code knows of the platform's store: Log,
// streams of records with rising offsets that are kept for a limited time, and Keyed,
// topics that keep the newest value of each key. The client behind both is
// platform/store.
package platformlog

import "context"

// Limits of the service. A read is bounded so that neither end holds a whole
// stream in memory; a reader that is behind reads again.
const (
	MaxRecordBytes = 256 << 10
	MaxReadRecords = 1024
	MaxReadBytes   = 1 << 20
)

// Record is one entry of a stream.
type Record struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// Log is the platform's log.
type Log interface {
	// Append adds a record and returns its offset. The error is an *UnavailableError
	// (certainly not written), an *UndecidedError (may have been written, now or
	// still to come) or a *RefusedError.
	Append(ctx context.Context, stream string, record []byte) (offset uint64, err error)
	// Read returns records from offset `from` on, in order and with none left out,
	// at most max of them (0: as many as fit), and the offset to read from next.
	// At the end of the stream it returns no records and next == from. The error
	// is an *UnavailableError, a *TruncatedError, a *PastEndError or a *RefusedError.
	Read(ctx context.Context, stream string, from uint64, max int) (records []Record, next uint64, err error)
}

// Opener returns a client of the log at a base URL, such as "http://10.0.0.7:7000".
type Opener func(base string) Log
