// Package routing holds the operator's configuration of queues: which requests
// belong to which queue, which service's targets run its tasks, and by when its
// callers want their answers.
//
// A Table is immutable. A process replaces it as a whole with one of a higher
// version, so a request is judged by one version from beginning to end.
package routing

import (
	"slices"
	"strings"
	"time"
)

// Queue is one queue of jobs.
type Queue struct {
	Name        string
	Host        string // of the request; compared without case and port
	PathPrefix  string
	Service     string // whose targets run the tasks
	Priority    int    // 0 is the most urgent
	MaxAttempts int    // ends "failed" of one task that fail its job
	// Stretch and Latency give the time by which a job should be answered: Stretch
	// times its longest chain of work, and Latency more.
	Stretch          float64
	LatencyAllowance time.Duration
	Timeout          time.Duration // longest time of a request; 0: none
	// EnforcesCapacity says that the service's targets turn away what exceeds their capacity.
	EnforcesCapacity bool
	// RequiresAdvice queues may run a step only on targets that a service outside names.
	RequiresAdvice bool
}

// Objective returns the time by which a job with the given chain of work should be
// answered.
func (q *Queue) Objective(chain time.Duration) time.Duration {
	return time.Duration(q.Stretch*float64(chain)) + q.LatencyAllowance
}

// Service is a pool of targets.
type Service struct {
	Name             string
	EnforcesCapacity bool // its targets turn away what exceeds their capacity
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the configuration.
type Table struct {
	Version  uint64
	Services []Service
	Limits   Limits

	byHost map[string][]*Queue // longest prefix first
	count  int
}

// New returns the table of the queues.
func New(version uint64, queues []*Queue, services []Service, limits Limits) *Table {
	t := &Table{Version: version, Services: services, Limits: limits, byHost: map[string][]*Queue{}, count: len(queues)}
	for _, q := range queues {
		q.EnforcesCapacity = slices.ContainsFunc(services, func(s Service) bool { return s.Name == q.Service && s.EnforcesCapacity })
		host := CanonicalHost(q.Host)
		t.byHost[host] = append(t.byHost[host], q)
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b *Queue) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	return t
}

// Len returns the number of queues.
func (t *Table) Len() int { return t.count }

// Match returns the queue of a request, by its host and the longest prefix that its
// path begins with, or nil.
func (t *Table) Match(host, path string) *Queue {
	for _, q := range t.byHost[CanonicalHost(host)] {
		if strings.HasPrefix(path, q.PathPrefix) {
			return q
		}
	}
	return nil
}

// CanonicalHost returns a host name in the form in which it is compared.
func CanonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
