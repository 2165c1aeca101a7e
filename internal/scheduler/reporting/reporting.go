// Package reporting decides how often runners report the load of their targets to an entry.
//
// Each of some tens of runners reports every start and every end on its target, so the
// number of reports that an entry receives grows with the work of the whole fleet, not with
// its own. On a small host, reading all of them takes a third of the processor. Callers of
// that entry notice orders that are sent late, while large hosts beside it are idle.
//
// Instead, the entry spends a fixed share of its processor on reports and asks for as many as
// that share covers. Choices on a small host are based on older loads, but they are not
// delayed; the entry adds its own orders to the reported load, and each outcome carries a
// load as well.
package reporting

import "time"

const (
	// maxProcessorShare is the share of the host's processor that reading reports may use.
	maxProcessorShare = 0.1
	// reportCost is the processor time for reading one report, including wake-up and
	// decoding.
	reportCost = 15 * time.Microsecond
	// maxInterval is the age at which a load becomes worse than none for choosing a target:
	// the length of the shortest tasks.
	maxInterval = 60 * time.Millisecond
	// significantFactor is the factor between two intervals above which the new one is sent
	// to the runners.
	significantFactor = 1.5
)

// Interval returns the minimum time between two reports of one runner, for an entry with
// processorShare of a core and the given number of connected runners; 0: every change is
// reported.
func Interval(processorShare float64, runners int) time.Duration {
	if !(processorShare > 0) {
		return 0
	}
	interval := time.Duration(float64(runners) * float64(reportCost) / (maxProcessorShare * processorShare))
	return min(interval, maxInterval)
}

// SignificantChange reports whether an interval differs so much from the announced one that
// it justifies a frame to each runner.
func SignificantChange(interval, announced time.Duration) bool {
	return float64(interval) > significantFactor*float64(announced) || float64(announced) > significantFactor*float64(interval)
}
