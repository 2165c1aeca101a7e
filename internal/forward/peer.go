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
	"github.com/camphorrack/camphorrack/internal/silence"
)

const (
	// idlePerPeer lets a burst reuse connections: each waiting request takes one.
	idlePerPeer = 256
	idleTimeout = 30 * time.Second
	// forgetPeer drops the connections of an entry that nobody named for so long;
	// entries are replaced all the time and their addresses don't come back.
	forgetPeer = 10 * time.Minute
	// maxReplyBytes caps a reply; a larger one counts as lost.
	maxReplyBytes = 64 << 20
)

var (
	// errAnotherIncarnation is a reply from the owner's address that another run of
	// an entry gave.
	errAnotherIncarnation = errors.New("another incarnation answers at the owner's address")
	// errForeignReply is a reply that no entry gave.
	errForeignReply = errors.New("the reply names no incarnation")
	// errReplyTooLarge is a reply beyond maxReplyBytes.
	errReplyTooLarge = errors.New("the reply is too large")
)

// peers holds one peer per address, each with connections of its own: giving up
// one owner's connections must not cost the others theirs.
type peers struct {
	clock clock.Clock

	mu     sync.Mutex
	byAddr map[netip.AddrPort]*peer
}

func newPeers(c clock.Clock) *peers {
	return &peers{clock: c, byAddr: map[netip.AddrPort]*peer{}}
}

func (ps *peers) get(addr netip.AddrPort) *peer {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	now := ps.clock.Now()
	p, ok := ps.byAddr[addr]
	if !ok {
		ps.forget(now)
		p = newPeer(addr)
		ps.byAddr[addr] = p
	}
	p.lastUsed = now
	return p
}

func (ps *peers) forget(now time.Time) {
	for addr, p := range ps.byAddr {
		if now.Sub(p.lastUsed) > forgetPeer {
			p.closeIdle()
			delete(ps.byAddr, addr)
		}
	}
}

// peer is another entry.
type peer struct {
	addr     netip.AddrPort
	lastUsed time.Time // guarded by peers.mu
	client   *http.Client
}

func newPeer(addr netip.AddrPort) *peer {
	return &peer{addr: addr, client: &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{}).DialContext, // bounded by the call's silence
			MaxIdleConnsPerHost: idlePerPeer,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
		// A redirect would lead to a process that the id does not name.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

func (p *peer) closeIdle() { p.client.CloseIdleConnections() }

// call makes one request. It gives up, and closes the connection, when no byte
// moved for as long as limit; a large body on a slow path may take longer.
func (p *peer) call(ctx context.Context, r Request, wait, limit time.Duration) (*Reply, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := silence.NewWatchdog(limit, cancel)
	defer watch.Stop()
	request, err := p.request(ctx, r, wait, watch)
	if err != nil {
		return nil, err
	}
	response, err := p.client.Do(request)
	if err != nil {
		return nil, lost(ctx, err)
	}
	defer response.Body.Close()
	if err := checkIncarnation(response, r); err != nil {
		return nil, err
	}
	watch.RecordProgress()
	body, err := io.ReadAll(io.LimitReader(&watchedReader{response.Body, watch}, maxReplyBytes+1))
	if err != nil {
		return nil, lost(ctx, err)
	}
	if len(body) > maxReplyBytes {
		return nil, errReplyTooLarge
	}
	return &Reply{Status: response.StatusCode, RetryAfter: response.Header.Get("Retry-After"), Body: body}, nil
}

func (p *peer) request(ctx context.Context, r Request, wait time.Duration, w *silence.Watchdog) (*http.Request, error) {
	target := url.URL{Scheme: "http", Host: p.addr.String(), Path: r.Path}
	if r.AcceptsWait {
		target.RawQuery = waitQuery(wait)
	}
	var body io.Reader
	if r.Body != nil {
		body = &watchedReader{bytes.NewReader(r.Body), w}
	}
	request, err := http.NewRequestWithContext(ctx, r.Method, target.String(), body)
	if err != nil {
		return nil, errors.Wrap(err, "make the request to the owner")
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

// checkIncarnation tells the owner's own replies from those of others. A reply
// that names no incarnation comes from no entry and proves nothing.
func checkIncarnation(response *http.Response, r Request) error {
	text := response.Header.Get(HeaderIncarnation)
	if text == r.Owner.Incarnation.String() {
		return nil
	}
	n, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != 16 || n == 0 {
		return errForeignReply
	}
	return errAnotherIncarnation
}

func lost(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), silence.ErrSilent) {
		return silence.ErrSilent
	}
	return errors.Wrap(err, "call the owner")
}

type watchedReader struct {
	io.Reader
	watch *silence.Watchdog
}

// Read implements io.Reader.
func (r *watchedReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if n > 0 {
		r.watch.RecordProgress()
	}
	return n, err
}
