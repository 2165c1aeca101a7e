package runtimes

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"
)

// SummaryShares are the shares of runs whose quantiles a Summary contains. Half of them describe
// the tail, on which decisions depend.
var SummaryShares = [...]float64{0.1, 0.5, 0.75, 0.9, 0.95, 0.98, 0.99, 0.999}

const (
	// changedShare is the relative change of a quantile, or of a count below the full weight,
	// that makes a summary worth sending again.
	changedShare = 0.2
	// maxSummaryWeight is the largest number of completions that one summary counts as, so that
	// one agent out of many does not determine the distribution.
	maxSummaryWeight = 400
	// summaryHalfLife is the age at which a summary has lost half of its weight.
	summaryHalfLife = time.Minute
	// summarySamples is the number of values by which a summary is represented in a histogram.
	summarySamples = 100
)

// Summary is a distribution in a few numbers.
type Summary struct {
	Count     int64     // completions
	Quantiles []float64 // ratios, by SummaryShares
}

// errMalformed reports a summary that describes no distribution.
var errMalformed = errors.New("summary of run times is malformed")

// Summary returns the distribution in a few numbers. Quantiles are rounded to multiples of 1/64,
// which have short encodings.
func (d *Distribution) Summary() Summary {
	s := Summary{Count: d.current.TotalCount() + d.previous.TotalCount(), Quantiles: make([]float64, len(SummaryShares))}
	for i, share := range SummaryShares {
		s.Quantiles[i] = max(1, math.Round(64*d.Quantile(share))) / 64
	}
	return s
}

// Validate returns an error if a summary describes no distribution.
func (s Summary) Validate() error {
	if s.Count < 0 || len(s.Quantiles) != len(SummaryShares) {
		return errMalformed
	}
	last := 0.0
	for _, q := range s.Quantiles {
		if !(q > 0) || q < last || q > maxRatio {
			return errMalformed
		}
		last = q
	}
	return nil
}

// Differs reports whether a summary differs from one that was sent by changedShare or more.
func (s Summary) Differs(sent Summary) bool {
	if len(s.Quantiles) != len(sent.Quantiles) {
		return true
	}
	if differs(float64(min(s.Count, maxSummaryWeight)), float64(min(sent.Count, maxSummaryWeight))) {
		return true
	}
	for i := range s.Quantiles {
		if differs(s.Quantiles[i], sent.Quantiles[i]) {
			return true
		}
	}
	return false
}

func differs(a, b float64) bool { return math.Abs(a-b) > changedShare*max(a, b) }

// quantile interpolates the ratio that a share of the runs does not exceed.
func (s Summary) quantile(share float64) float64 {
	if share <= SummaryShares[0] {
		return s.Quantiles[0]
	}
	for i := 1; i < len(SummaryShares); i++ {
		if share <= SummaryShares[i] {
			fraction := (share - SummaryShares[i-1]) / (SummaryShares[i] - SummaryShares[i-1])
			return s.Quantiles[i-1] + fraction*(s.Quantiles[i]-s.Quantiles[i-1])
		}
	}
	return s.Quantiles[len(s.Quantiles)-1]
}

// AgedSummary is a valid summary and its age.
type AgedSummary struct {
	Summary
	Age time.Duration
}

// weight returns the number of completions that a summary counts as.
func (s AgedSummary) weight() float64 {
	return float64(min(s.Count, maxSummaryWeight)) * math.Exp2(-float64(max(s.Age, 0))/float64(summaryHalfLife))
}

// SetMerged replaces the completions reported by others. Each summary weighs as many completions
// as it was made from, less with its age.
func (d *Distribution) SetMerged(summaries []AgedSummary) {
	if len(summaries) == 0 {
		if d.merged != nil {
			d.merged = nil
			d.refresh()
		}
		return
	}
	if d.merged == nil {
		d.merged = newHistogram()
	}
	d.merged.Reset()
	carried := 0.0 // weight that did not make a whole value, so that small summaries count, too
	for _, s := range summaries {
		perSample := s.weight() / summarySamples
		for i := range summarySamples {
			carried += perSample
			if whole := math.Floor(carried); whole >= 1 {
				recordRatio(d.merged, s.quantile((float64(i)+0.5)/summarySamples), int64(whole))
				carried -= whole
			}
		}
	}
	d.refresh()
}
