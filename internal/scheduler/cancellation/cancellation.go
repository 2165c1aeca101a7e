// Package cancellation remembers which jobs were cancelled.
//
// It answers the following load: hundreds of callers cancel their jobs at once, and seconds later copies of the
// requests arrive, also at entries that never had the jobs. A full set forgets the oldest first.
package cancellation

import (
	"iter"
	"time"

	"github.com/elliotchance/orderedmap/v3"
)

// Retention is how long a cancellation is kept: copies of a request arrive within seconds.
const Retention = 30 * time.Second

// maxIDs bounds a Set: 1 MB of ids and times.
const maxIDs = 1 << 14

// Set is a set of the ids of cancelled jobs. It is not safe for concurrent use.
type Set struct {
	retention time.Duration
	addedAt   *orderedmap.OrderedMap[string, time.Time] // in the order in which they were added
}

// NewSet returns an empty set that keeps each id for the retention.
func NewSet(retention time.Duration) Set {
	return Set{retention: retention, addedAt: orderedmap.NewOrderedMap[string, time.Time]()}
}

// Add adds an id, and returns false if the set has it already.
func (s *Set) Add(now time.Time, id string) bool {
	s.expire(now)
	if s.addedAt.Has(id) {
		return false
	}
	if s.addedAt.Len() >= maxIDs {
		s.addedAt.Delete(s.addedAt.Front().Key)
	}
	s.addedAt.Set(id, now)
	return true
}

// Has reports whether the set has an id.
func (s *Set) Has(now time.Time, id string) bool {
	at, known := s.addedAt.Get(id)
	return known && now.Sub(at) < s.retention
}

// IDs returns the ids in the order in which they were added.
func (s *Set) IDs(now time.Time) iter.Seq[string] {
	s.expire(now)
	return s.addedAt.Keys()
}

func (s *Set) expire(now time.Time) {
	for first := s.addedAt.Front(); first != nil && now.Sub(first.Value) >= s.retention; first = s.addedAt.Front() {
		s.addedAt.Delete(first.Key)
	}
}
