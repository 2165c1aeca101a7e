// Package client is a caller's side of the entries' HTTP API. A submission has an
// id before it is sent, and is sent again under that id, through another entry,
// when a connection is lost: the id lets only one process start it, so sending it
// again never runs anything twice.
//
// Every call ends in one of four ways, told apart by type: a complete answer, a
// failed one (job.Failed), a refusal of which nothing ran (job.Refused or a
// *fault.Fault with NotRun), or *UndecidedError, which means that the outcome
// could not be learned yet and the id can be asked for again.
package client

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/silence"
)

// Defaults of Options.
const (
	// DefaultCallTimeout bounds a call that waits for nothing. A connection
	// that went silent for good is given up after it and another entry is used.
	DefaultCallTimeout = 2 * time.Second
	// DefaultLongPollTimeout is how long one call waits for an answer. A caller that
	// waited for the whole deadline on one call would notice a silent
	// connection only then. Most tasks end within a second and so within the
	// first call; a longer job costs one look-up a second.
	DefaultLongPollTimeout = time.Second
	// DefaultHedgeDelay is how much longer than its wait an entry may be silent before the
	// next one is asked beside it. Both ways lead to the same owner, so a second call costs
	// little; a caller that waited for CallTimeout would learn of a frozen entry too late
	// for its deadline.
	DefaultHedgeDelay = 500 * time.Millisecond
	// DefaultRetryTimeout is how long calls that any entry can answer are tried again. It
	// outlasts a restart of an entry and a pause of some seconds.
	DefaultRetryTimeout = 10 * time.Second

	dialTimeout  = time.Second
	idlePerEntry = 512 // so that a burst of calls reuses connections
	// idleTimeout drops idle connections before a device on the way forgets them.
	idleTimeout = 30 * time.Second
)

// Options of a Client.
type Options struct {
	// Entries are the addresses of entries or of a balancer, host:port, in the
	// order in which they are tried.
	Entries         []string
	CallTimeout     time.Duration
	LongPollTimeout time.Duration
	HedgeDelay      time.Duration
	RetryTimeout    time.Duration
}

// Client calls entries. It is safe for concurrent use.
type Client struct {
	options Options
	http    *http.Client
	// current is the index of the entry in use; a lost connection moves it on.
	current atomic.Uint32
}

// New returns a client. The error is a *fault.Fault about the entries.
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
		DialContext: silence.Dialer(dialTimeout), MaxIdleConnsPerHost: idlePerEntry, IdleConnTimeout: idleTimeout,
	}
	return &Client{options: o, http: &http.Client{Transport: transport}}, nil
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// SplitAddrs splits a comma separated list of addresses.
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

func (c *Client) entry() (uint32, string) {
	at := c.current.Load()
	return at, c.addr(at)
}

func (c *Client) addr(at uint32) string { return c.options.Entries[at%uint32(len(c.options.Entries))] }

// leave moves on from the entry at index from, unless another call already did.
func (c *Client) leave(from uint32) { c.current.CompareAndSwap(from, from+1) }
