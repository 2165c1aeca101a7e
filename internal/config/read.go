package config

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/platformlog"
)

// Batch is what one read of the log brought.
type Batch struct {
	From      uint64
	Records   []platformlog.Record
	Results   []Result
	More      bool // the end of the log was not reached
	Truncated bool // records that the fold had not seen were dropped
}

// Read does one bounded read of the log and folds it. The error is one of the
// log's, or a *FormatError.
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
	verdicts, err := f.Apply(from, records, next)
	return Batch{From: from, Records: records, Results: verdicts, More: len(records) > 0}, err
}

// ReadToEnd folds the log up to its end and returns every verdict.
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
