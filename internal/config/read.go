package config

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/platformlog"
)

// Batch is the result of one read of the log.
type Batch struct {
	From      uint64
	Records   []platformlog.Record
	Results   []Result
	More      bool // the end of the log has not been reached yet
	Truncated bool // the log has dropped records that the fold had not seen
}

// Read does one read of the log, of a size that the log limits, and applies the records
// to the fold. If the log has dropped records that come next, the fold continues at the
// lowest one kept, and Truncated is set. The error is one of the log's, or a
// *FormatError.
func Read(ctx context.Context, log platformlog.Log, f *Fold) (Batch, error) {
	from := f.NextOffset()
	records, next, err := log.Read(ctx, Stream, from, 0)
	var truncated *platformlog.TruncatedError
	if errors.As(err, &truncated) && truncated.Lowest > from {
		f.HandleTruncation(truncated.Lowest)
		return Batch{From: from, More: true, Truncated: true}, nil
	}
	if err != nil {
		return Batch{From: from}, err
	}
	results, err := f.Apply(from, records, next)
	return Batch{From: from, Records: records, Results: results, More: len(records) > 0}, err
}

// ReadToEnd reads the log to its end, applies the records to the fold and returns all
// results. The error is as for Read.
func ReadToEnd(ctx context.Context, log platformlog.Log, f *Fold) ([]Result, error) {
	var all []Result
	for {
		b, err := Read(ctx, log, f)
		all = append(all, b.Results...)
		if err != nil || !b.More {
			return all, err
		}
	}
}
