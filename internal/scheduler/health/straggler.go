package health

// overdueFactor is how many times its estimate a task may take before its target
// counts as slower than measured. Estimates are off by a factor of e in the usual
// case, so nothing below that says anything.
const overdueFactor = 3

// StragglerSpeed returns the speed to reckon with for a target whose oldest
// running task has taken elapsedMs of an expected expectedMs. Measured speeds
// come from tasks that ended; a target that slows down tenfold, or hangs, would
// keep its good name until they do, and be given new work as the fastest.
func StragglerSpeed(measured, elapsedMs, expectedMs float64) float64 {
	if expectedMs <= 0 || elapsedMs <= overdueFactor*expectedMs {
		return measured
	}
	return measured * expectedMs / elapsedMs
}
