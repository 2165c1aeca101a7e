// Package client is the client of the entries' HTTP API. A submission gets its id before it is
// sent. If the connection is lost, it is sent again with the same id through another entry.
// This never runs a task twice, because only the process encoded in the id may start the
// submission.
//
// Every submission ends in one of four ways, distinguished by type: a complete answer, a failed
// one (job.Failed), a refusal of which nothing ran (job.Refused, or a *fault.Fault with NotRun),
// or an *UndecidedError, which means that the outcome is not known yet and can be queried again
// with the id.
package client

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/watchdog"
)

// Defaults of Options.
const (
	// DefaultCallTimeout limits a call, in addition to the time that it asks the entry to wait.
	// After it, a connection that is silent is abandoned and another entry is used.
	DefaultCallTimeout = 2 * time.Second
	// DefaultLongPollTimeout is how long one call waits for an answer. A call that waited until
	// the deadline would only then detect a silent connection. Most tasks end within a second
	// and so within the first call; a longer job costs one look-up per second.
	DefaultLongPollTimeout = time.Second
	// DefaultHedgeDelay is how long an entry may be silent beyond the wait of a call before a
	// hedged call is sent to the next entry. Both calls reach the same owner, so the second
	// one costs little; a caller that waited for CallTimeout would detect a frozen entry too
	// late for its deadline.
	DefaultHedgeDelay = 500 * time.Millisecond
	// DefaultRetryTimeout is how long calls that any entry can answer are retried. It is longer
	// than a restart of an entry and than a pause of some seconds.
	DefaultRetryTimeout = 10 * time.Second

	dialTimeout     = time.Second
	maxIdlePerEntry = 512 // so that a burst of calls reuses connections
	// idleConnTimeout closes idle connections before network devices drop their state.
	idleConnTimeout = 30 * time.Second
)

// Options configure a Client. A zero duration is replaced by its default.
type Options struct {
	// Entries are the addresses (host:port) of entries or of a balancer, in the order in which
	// they are tried.
	Entries         []string
	CallTimeout     time.Duration
	LongPollTimeout time.Duration
	HedgeDelay      time.Duration
	RetryTimeout    time.Duration
}

// Client calls the HTTP API of entries. It is safe for concurrent use.
type Client struct {
	options Options
	http    *http.Client
	// current is the index of the entry in use, modulo the number of entries. It is incremented
	// when that entry fails.
	current atomic.Uint32
}

// New returns a client. The error is a *fault.Fault if Entries is empty or contains an invalid
// address.
func New(o Options) (*Client, error) {
	if len(o.Entries) == 0 {
		return nil, fault.Input(fault.BadSetting, "entry", "no address of an entry")
	}
	for _, addr := range o.Entries {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return nil, fault.Input(fault.BadSetting, "entry", "want host:port, got "+addr)
		}
	}
	setDefault(&o.CallTimeout, DefaultCallTimeout)
	setDefault(&o.LongPollTimeout, DefaultLongPollTimeout)
	setDefault(&o.HedgeDelay, DefaultHedgeDelay)
	setDefault(&o.RetryTimeout, DefaultRetryTimeout)
	transport := &http.Transport{
		DialContext: watchdog.Dialer(dialTimeout), MaxIdleConnsPerHost: maxIdlePerEntry, IdleConnTimeout: idleConnTimeout,
	}
	return &Client{options: o, http: &http.Client{Transport: transport}}, nil
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// SplitAddrs splits a comma-separated list of addresses. Empty elements are dropped.
func SplitAddrs(list string) []string {
	var addrs []string
	for _, addr := range strings.Split(list, ",") {
		if addr = strings.TrimSpace(addr); addr != "" {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// currentEntry returns the index and the address of the entry in use.
func (c *Client) currentEntry() (uint32, string) {
	index := c.current.Load()
	return index, c.entryAddr(index)
}

// entryAddr returns the address of the entry at index, modulo the number of entries.
func (c *Client) entryAddr(index uint32) string {
	return c.options.Entries[index%uint32(len(c.options.Entries))]
}

// advanceFrom makes the next entry the one in use, unless another call has already replaced the
// one at index from.
func (c *Client) advanceFrom(from uint32) { c.current.CompareAndSwap(from, from+1) }
