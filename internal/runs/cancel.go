package runs

import (
	"time"

	"github.com/camphorrack/camphorrack/internal/wire"
)

// cancellationDelay is how long a cancellation may wait for the next frame to an entry. An entry that has the job
// stops it; the delay lets a burst of cancellations share a frame.
const cancellationDelay = 50 * time.Millisecond

// receiveCancellations passes the cancellations of jobs that an entry reports on to the others. The runs of such a job
// are recalled by the entry that has ordered them.
func (t *Table) receiveCancellations(from *session, ids []string) {
	for _, id := range ids {
		if !t.cancelled.Add(t.now, id) {
			continue
		}
		for s := range t.sessions.Values() {
			if s != from {
				t.queueCancellation(s, id)
			}
		}
	}
}

func (t *Table) queueCancellation(s *session, id string) {
	if s.features < wire.DescribedFeatures {
		return
	}
	if len(s.cancellations) == 0 {
		s.cancellationsSince = t.now
	}
	s.cancellations = append(s.cancellations, id)
}

// cancellationsDue reports whether a session is due a frame for its cancellations alone.
func (t *Table) cancellationsDue(s *session) bool {
	return len(s.cancellations) > 0 && t.now.Sub(s.cancellationsSince) >= cancellationDelay
}

// nextCancellations returns the cancellations for the next frame to a session.
func (s *session) nextCancellations() []string {
	n := min(len(s.cancellations), wire.MaxCancellations)
	next := s.cancellations[:n:n]
	s.cancellations = s.cancellations[n:]
	return next
}
