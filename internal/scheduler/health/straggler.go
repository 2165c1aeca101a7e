package health

// overdueFactor is the multiple of its estimate that a task may run before its target
// counts as slower than measured. Estimates are typically off by a factor of e, so a
// smaller multiple is no evidence.
const overdueFactor = 3

// StragglerSpeed returns the speed to assume for a target whose oldest running task has
// run for elapsedMs and was expected to take expectedMs. Speeds are measured on tasks that
// have ended: without this correction a target that slows down tenfold, or hangs, would
// keep its measured speed until they end, and get new work as the fastest target.
func StragglerSpeed(measured, elapsedMs, expectedMs float64) float64 {
	if expectedMs <= 0 || elapsedMs <= overdueFactor*expectedMs {
		return measured
	}
	return measured * expectedMs / elapsedMs
}
