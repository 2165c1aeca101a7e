// Package cancellation remembers which jobs were cancelled.
//
// It answers the following load: a caller cancels its job, and seconds later a copy of the request for it arrives, at
// an entry that may never have had the job, or the order for a task of it at an agent. Cancellations come in bursts of
// hundreds; a set is bounded, and then forgets the oldest first.
package cancellation

import (
	"iter"
	"time"

	"github.com/elliotchance/orderedmap/v3"
)

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
