package demo

import (
	"slices"
	"sync"
	"time"

	"github.com/camphorrack/camphorrack/internal/job"
)

// sighting is what one call for a submission came back with.
type sighting struct {
	entry    int // through which the call went first
	answer   *job.Answer
	err      error // set where no final answer came
	at       time.Time
	response time.Duration
}

// observed is one submission and everything its callers saw of it.
type observed struct {
	order *order
	id    string

	mu        sync.Mutex
	first     bool // whether the first caller's answer is there
	sightings []sighting
}

func (o *observed) see(s sighting) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sightings = append(o.sightings, s)
}

// inOrder returns the sightings by the time at which they came.
func (o *observed) inOrder() []sighting {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.SortedStableFunc(slices.Values(o.sightings), func(a, b sighting) int { return a.at.Compare(b.at) })
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

// book is all submissions of a run.
type book struct {
	mu  sync.Mutex
	all []*observed
}

func (b *book) add(o *observed) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.all = append(b.all, o)
}

func (b *book) list() []*observed {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]*observed(nil), b.all...)
}

// pending returns the submissions whose first caller still waits.
func (b *book) pending() []*observed {
	var open []*observed
	for _, o := range b.list() {
		if o.pending() {
			open = append(open, o)
		}
	}
	return open
}
