// Package reporting decides how often an entry wants to hear of the load of each target.
//
// The load it answers: an entry on a small host, with some tens of runners that each report
// with every start and every end on their target. What an entry hears grows with the work
// of the whole fleet and not with its own.
//
// What goes wrong without it: hearing reports takes a third of a small host's processor.
// Its callers notice it as orders that leave late, while large hosts beside it are idle.
//
// Why this works: the entry spends a fixed part of its processor on reports and asks for as
// many as that pays for. Choices on a small host are made on older loads, but they are made
// at once; it counts its own orders in, and each outcome brings a load with it.
package reporting

import "time"

const (
	// share is the part of the host's processor that reports may take.
	share = 0.1
	// frameCost is the processor time of reading one report, wake-up and decoding
	// included.
	frameCost = 15 * time.Microsecond
	// longest is how old a load may become before choices by it are worse than none: the
	// length of the shortest tasks.
	longest = 60 * time.Millisecond
	// noticed is by how much the period must differ for runners to be told.
	noticed = 1.5
)

// Interval returns the shortest time between two reports of one runner, for a host with that
// part of a core and so many runners.
func Interval(processorShare float64, runners int) time.Duration {
	if !(processorShare > 0) {
		return 0
	}
	period := time.Duration(float64(runners) * float64(frameCost) / (share * processorShare))
	return min(period, longest)
}

// SignificantChange reports whether a period is another one than what runners were told, so far that it
// is worth a frame to each.
func SignificantChange(period, told time.Duration) bool {
	return float64(period) > noticed*float64(told) || float64(told) > noticed*float64(period)
}
