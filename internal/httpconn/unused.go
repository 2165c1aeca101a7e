// Package httpconn observes the connections of the daemons' HTTP servers.
package httpconn

import (
	"net"
	"net/http"
	"sync"
)

// UnusedConns is the set of connections that have carried no request yet. Clients open
// some in advance. The graceful shutdown of net/http waits five seconds for each of
// them, so a drain that had finished all work would be reported as failed.
type UnusedConns struct {
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// NewUnusedConns returns an empty set.
func NewUnusedConns() *UnusedConns { return &UnusedConns{conns: map[net.Conn]struct{}{}} }

// Track updates the set when a connection changes its state. It is the ConnState hook of
// an http.Server.
func (u *UnusedConns) Track(c net.Conn, state http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if state == http.StateNew {
		u.conns[c] = struct{}{}
	} else {
		delete(u.conns, c)
	}
}

// Close closes the unused connections. Call it after the listener is closed. A request
// that is just arriving on one of them gets no response, as on an idle connection that
// is closed, and its sender retries it.
func (u *UnusedConns) Close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for c := range u.conns {
		_ = c.Close() // the peer may have closed it already
	}
}
