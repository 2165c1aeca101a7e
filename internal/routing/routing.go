// Package routing holds the operator's configuration of queues: which requests belong to a
// queue, which service's targets run its tasks, and within which time its callers want their
// answers.
//
// A Table is immutable. A process replaces it as a whole with a table of a higher version, so
// that one version applies to a request from beginning to end.
package routing

import (
	"slices"
	"strings"
	"time"
)

// Queue is the configuration of one queue of jobs.
type Queue struct {
	Name       string
	Host       string // of the request; case and port are ignored
	PathPrefix string
	Service    string // name of the service whose targets run the tasks
	Priority   int    // 0 is the most urgent
	// Weight determines the share of the capacity that the queue is guaranteed while capacity is
	// short. A value that is not a number over 0 counts as 1.
	Weight      float64
	MaxAttempts int // number of failed runs of one task at which its job fails
	// Stretch and LatencyAllowance determine the response time objective of a job: Stretch
	// times its critical path, plus LatencyAllowance.
	Stretch          float64
	LatencyAllowance time.Duration
	Timeout          time.Duration // maximum duration of a request; 0: unlimited
	// EnforcesCapacity is set if the service's targets reject tasks beyond their capacity.
	EnforcesCapacity bool
	// RequiresAdvice is set if the steps of a job may run only on targets that an external
	// service names.
	RequiresAdvice bool
}

// Objective returns the time within which a job with the given critical path should be
// answered.
func (q *Queue) Objective(criticalPath time.Duration) time.Duration {
	return time.Duration(q.Stretch*float64(criticalPath)) + q.LatencyAllowance
}

// Service is a pool of targets.
type Service struct {
	Name             string
	EnforcesCapacity bool // its targets reject tasks beyond their capacity
}

// Limits are the limits on the requests of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the configuration of all queues.
type Table struct {
	Version  uint64
	Services []Service
	Limits   Limits

	byHost map[string][]*Queue // queues by host, longest path prefix first
	count  int                 // number of queues
}

// New returns a table of the queues, and sets EnforcesCapacity of each from its service.
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

// Match returns the queue of a request: the one of its host with the longest prefix of its
// path; nil if there is none.
func (t *Table) Match(host, path string) *Queue {
	for _, q := range t.byHost[CanonicalHost(host)] {
		if strings.HasPrefix(path, q.PathPrefix) {
			return q
		}
	}
	return nil
}

// CanonicalHost returns a host name in lower case and without a port, for comparison.
func CanonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
