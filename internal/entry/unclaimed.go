package entry

import (
	"sync"
	"time"
)

// unclaimed holds the ids of submissions whose callers got the answer "pending", or whose
// callers' connections broke, and whose final answer was not delivered since. These callers ask again
// within moments; an entry that ended as soon as its last job did would turn their finished
// jobs into unknown outcomes. A draining entry therefore keeps running until they have their
// answers, or until their deadlines, after which no complete answer is given.
type unclaimed struct {
	mu        sync.Mutex
	deadlines map[string]time.Time // by submission id
	lastSweep time.Time
}

// sweepInterval is the least time between two removals of expired ids by add. It limits the
// cost of callers that never ask again.
const sweepInterval = 5 * time.Second

func newUnclaimed() *unclaimed { return &unclaimed{deadlines: map[string]time.Time{}} }

// add records that a caller is expected to ask for an answer again, until the deadline.
func (u *unclaimed) add(now time.Time, id string, deadline time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.deadlines[id] = deadline
	if now.Sub(u.lastSweep) > sweepInterval {
		u.sweep(now)
	}
}

// remove removes a submission whose answer was delivered.
func (u *unclaimed) remove(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.deadlines, id)
}

// len returns how many submissions are still unclaimed, after removing the expired ones.
func (u *unclaimed) len(now time.Time) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sweep(now)
	return len(u.deadlines)
}

func (u *unclaimed) sweep(now time.Time) {
	u.lastSweep = now
	for id, deadline := range u.deadlines {
		if now.After(deadline) {
			delete(u.deadlines, id)
		}
	}
}
