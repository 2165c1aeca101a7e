package demo

import (
	"slices"
	"sync"
	"time"

	"github.com/camphorrack/camphorrack/internal/job"
)

// outcome is what one call for a submission came back with.
type outcome struct {
	entry    int // through which the call went first
	answer   *job.Answer
	err      error // set where no final answer came
	at       time.Time
	response time.Duration
}

// observed is one submission and everything its callers saw of it.
type observed struct {
	plan *plan
	id   string

	mu       sync.Mutex
	first    bool // whether the first caller's answer is there
	outcomes []outcome
}

func (o *observed) see(s outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.outcomes = append(o.outcomes, s)
}

// inOrder returns the outcomes by the time at which they came.
func (o *observed) inOrder() []outcome {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.SortedStableFunc(slices.Values(o.outcomes), func(a, b outcome) int { return a.at.Compare(b.at) })
}

func (o *observed) finish() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.first = true
}

func (o *observed) pending() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.first
}

// history is all submissions of a run.
type history struct {
	mu  sync.Mutex
	all []*observed
}

func (b *history) add(o *observed) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.all = append(b.all, o)
}

func (b *history) list() []*observed {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]*observed(nil), b.all...)
}

// pending returns the submissions whose first caller still waits.
func (b *history) pending() []*observed {
	var open []*observed
	for _, o := range b.list() {
		if o.pending() {
			open = append(open, o)
		}
	}
	return open
}
