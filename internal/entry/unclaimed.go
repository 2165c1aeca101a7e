package entry

import (
	"sync"
	"time"
)

// unclaimed remembers the submissions whose callers were told "pending", or whose
// connections broke, and who have not had the answer since. They ask again within
// moments; an entry that ended as soon as its last job did would turn their
// finished jobs into unknown outcomes. A draining entry therefore stays until they
// have been, or until their deadlines, after which no complete answer is given.
type unclaimed struct {
	mu        sync.Mutex
	deadlines map[string]time.Time // by submission id
	swept     time.Time
}

// sweepEvery spreads the cost of forgetting callers that never came back.
const sweepEvery = 5 * time.Second

func newUnclaimed() *unclaimed { return &unclaimed{deadlines: map[string]time.Time{}} }

// add notes that a caller will come back for an answer.
func (u *unclaimed) add(now time.Time, id string, deadline time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.deadlines[id] = deadline
	if now.Sub(u.swept) > sweepEvery {
		u.sweep(now)
	}
}

// claimed notes that the answer was delivered.
func (u *unclaimed) claimed(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.deadlines, id)
}

// len returns how many callers may still come back.
func (u *unclaimed) len(now time.Time) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sweep(now)
	return len(u.deadlines)
}

func (u *unclaimed) sweep(now time.Time) {
	u.swept = now
	for id, deadline := range u.deadlines {
		if now.After(deadline) {
			delete(u.deadlines, id)
		}
	}
}
