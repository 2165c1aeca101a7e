package forward

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/watchdog"
)

const (
	// maxIdlePerPeer lets bursts reuse connections: each waiting request occupies one.
	maxIdlePerPeer  = 256
	idleConnTimeout = 30 * time.Second
	// peerIdleTimeout is how long a peer is kept without requests to it. Entries are replaced
	// frequently and their addresses are not reused.
	peerIdleTimeout = 10 * time.Minute
	// maxReplyBytes limits the size of a reply; a larger one counts as a failed call.
	maxReplyBytes = 64 << 20
)

var (
	// errAnotherIncarnation is returned for a reply of another incarnation of an entry from
	// the owner's address.
	errAnotherIncarnation = errors.New("another incarnation replied from the owner's address")
	// errNoIncarnation is returned for a reply that was not written by an entry.
	errNoIncarnation = errors.New("reply has no valid incarnation header")
	// errReplyTooLarge is returned for a reply larger than maxReplyBytes.
	errReplyTooLarge = errors.New("reply exceeds the size limit")
)

// peers holds one peer per address. Each has its own connection pool, so that closing the idle
// connections to one owner does not affect those to others.
type peers struct {
	clock clock.Clock

	mu     sync.Mutex
	byAddr map[netip.AddrPort]*peer
}

func newPeers(c clock.Clock) *peers {
	return &peers{clock: c, byAddr: map[netip.AddrPort]*peer{}}
}

// get returns the peer at an address, and creates it if needed.
func (ps *peers) get(addr netip.AddrPort) *peer {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	now := ps.clock.Now()
	p, ok := ps.byAddr[addr]
	if !ok {
		ps.evictUnused(now)
		p = newPeer(addr)
		ps.byAddr[addr] = p
	}
	p.lastUsed = now
	return p
}

// evictUnused removes the peers that were not used for peerIdleTimeout. The caller holds the lock.
func (ps *peers) evictUnused(now time.Time) {
	for addr, p := range ps.byAddr {
		if now.Sub(p.lastUsed) > peerIdleTimeout {
			p.closeIdle()
			delete(ps.byAddr, addr)
		}
	}
}

// peer is the HTTP client for one other entry.
type peer struct {
	addr     netip.AddrPort
	lastUsed time.Time // guarded by peers.mu
	client   *http.Client
}

func newPeer(addr netip.AddrPort) *peer {
	return &peer{addr: addr, client: &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{}).DialContext, // bounded by the watchdog of the call
			MaxIdleConnsPerHost: maxIdlePerPeer,
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,
		},
		// A redirect would lead to a process that is not the owner.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

func (p *peer) closeIdle() { p.client.CloseIdleConnections() }

// call sends one request and reads the reply. It closes the connection and fails with
// watchdog.ErrSilent if no byte is transferred for silenceTimeout; the transfer of a large body
// over a slow network may take longer in total.
func (p *peer) call(ctx context.Context, r Request, wait, silenceTimeout time.Duration) (*Reply, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := watchdog.NewWatchdog(silenceTimeout, cancel)
	defer watch.Stop()
	request, err := p.request(ctx, r, wait, watch)
	if err != nil {
		return nil, err
	}
	response, err := p.client.Do(request)
	if err != nil {
		return nil, callError(ctx, err)
	}
	defer response.Body.Close()
	if err := checkIncarnation(response, r); err != nil {
		return nil, err
	}
	watch.RecordProgress()
	body, err := io.ReadAll(io.LimitReader(&progressReader{response.Body, watch}, maxReplyBytes+1))
	if err != nil {
		return nil, callError(ctx, err)
	}
	if len(body) > maxReplyBytes {
		return nil, errReplyTooLarge
	}
	return &Reply{Status: response.StatusCode, RetryAfter: response.Header.Get("Retry-After"), Body: body}, nil
}

func (p *peer) request(ctx context.Context, r Request, wait time.Duration, watch *watchdog.Watchdog) (*http.Request, error) {
	requestURL := url.URL{Scheme: "http", Host: p.addr.String(), Path: r.Path}
	if r.AcceptsWait {
		requestURL.RawQuery = waitQuery(wait)
	}
	var body io.Reader
	if r.Body != nil {
		body = &progressReader{bytes.NewReader(r.Body), watch}
	}
	request, err := http.NewRequestWithContext(ctx, r.Method, requestURL.String(), body)
	if err != nil {
		return nil, errors.Wrap(err, "create the request to the owner")
	}
	request.Header.Set(HeaderForwarded, "1")
	if r.Withheld {
		request.Header.Set(HeaderWithheld, "1")
	}
	if r.Body != nil {
		request.ContentLength = int64(len(r.Body))
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}

// checkIncarnation returns nil if the owner wrote the reply and errAnotherIncarnation if another
// incarnation of an entry did. A reply without a valid incarnation was not written by an entry
// and does not prove that the owner has ended; the error is then errNoIncarnation.
func checkIncarnation(response *http.Response, r Request) error {
	header := response.Header.Get(HeaderIncarnation)
	if header == r.Owner.Incarnation.String() {
		return nil
	}
	n, err := strconv.ParseUint(header, 16, 64)
	if err != nil || len(header) != 16 || n == 0 {
		return errNoIncarnation
	}
	return errAnotherIncarnation
}

// callError returns the error of a failed call, watchdog.ErrSilent if the watchdog cancelled it.
func callError(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), watchdog.ErrSilent) {
		return watchdog.ErrSilent
	}
	return errors.Wrap(err, "call the owner")
}

// progressReader reports each read of data to the watchdog of a call.
type progressReader struct {
	io.Reader
	watch *watchdog.Watchdog
}

// Read implements io.Reader.
func (r *progressReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if n > 0 {
		r.watch.RecordProgress()
	}
	return n, err
}
