package fairshare

import "math"

// maxMilli bounds the processor figures of a report, so that sums over agents don't overflow.
const maxMilli = 1 << 40

// ReportError is the reason why a report was rejected.
type ReportError struct {
	Queue  string // empty: the report as a whole
	Reason string
}

// Error implements error.
func (e *ReportError) Error() string {
	if e.Queue == "" {
		return "queue loads: " + e.Reason
	}
	return "load of queue " + e.Queue + ": " + e.Reason
}

// validate returns a *ReportError if a report can't be a measurement.
func validate(loads []Load) error {
	if len(loads) > MaxQueues {
		return &ReportError{Reason: "too many queues"}
	}
	seen := make(map[string]struct{}, len(loads))
	for i := range loads {
		l := &loads[i]
		if reason := l.invalid(); reason != "" {
			return &ReportError{Queue: l.Queue, Reason: reason}
		}
		if _, repeated := seen[l.Queue]; repeated {
			return &ReportError{Queue: l.Queue, Reason: "repeated"}
		}
		seen[l.Queue] = struct{}{}
	}
	return nil
}

// invalid returns why a load can't be a measurement, or "".
func (l *Load) invalid() string {
	switch {
	case l.Queue == "":
		return "no name"
	case math.IsNaN(l.LateShare) || l.LateShare < 0 || l.LateShare > 1:
		return "late share not between 0 and 1"
	case l.InUseMilli < 0 || l.QueuedMilli < 0 || l.Tasks < 0:
		return "negative"
	case l.InUseMilli > maxMilli || l.QueuedMilli > maxMilli || l.Tasks > maxMilli:
		return "too large"
	}
	return ""
}
