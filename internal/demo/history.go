package demo

import (
	"slices"
	"sync"
	"time"

	"github.com/camphorrack/camphorrack/internal/job"
)

// callOutcome is the outcome of one call for a submission.
type callOutcome struct {
	entry        int // index of the entry that was called first
	answer       *job.Answer
	err          error // set if there was no final answer
	receivedAt   time.Time
	responseTime time.Duration
}

// trackedSubmission is a submission and the outcomes of all calls for it.
type trackedSubmission struct {
	plan *plan
	id   string

	mu             sync.Mutex
	firstCallEnded bool // the first call has ended, with or without an answer
	outcomes       []callOutcome
}

func (s *trackedSubmission) record(outcome callOutcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes = append(s.outcomes, outcome)
}

// outcomesByTime returns the outcomes in the order in which they were received.
func (s *trackedSubmission) outcomesByTime() []callOutcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.SortedStableFunc(slices.Values(s.outcomes), func(a, b callOutcome) int { return a.receivedAt.Compare(b.receivedAt) })
}

func (s *trackedSubmission) markFirstCallEnded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.firstCallEnded = true
}

// pending reports whether the first call has not ended.
func (s *trackedSubmission) pending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.firstCallEnded
}

// history holds all submissions of a run.
type history struct {
	mu          sync.Mutex
	submissions []*trackedSubmission
}

func (h *history) add(s *trackedSubmission) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.submissions = append(h.submissions, s)
}

func (h *history) list() []*trackedSubmission {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]*trackedSubmission(nil), h.submissions...)
}

// pending returns the submissions whose first call has not ended.
func (h *history) pending() []*trackedSubmission {
	var open []*trackedSubmission
	for _, s := range h.list() {
		if s.pending() {
			open = append(open, s)
		}
	}
	return open
}
