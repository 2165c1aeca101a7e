// Package httpconn follows the connections of the daemons' HTTP servers.
package httpconn

import (
	"net"
	"net/http"
	"sync"
)

// UnusedConns holds the connections on which no request has come yet. Clients open
// some in reserve. The graceful shutdown of net/http waits five seconds for each of
// them, and a drain that had finished everything would end as a failed one.
type UnusedConns struct {
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// NewUnusedConns returns an empty set.
func NewUnusedConns() *UnusedConns { return &UnusedConns{conns: map[net.Conn]struct{}{}} }

// Track is the server's ConnState.
func (u *UnusedConns) Track(c net.Conn, state http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if state == http.StateNew {
		u.conns[c] = struct{}{}
	} else {
		delete(u.conns, c)
	}
}

// Close closes them; call it once the listener is closed. A request that is just arriving on one gets no reply, as on an
// idle connection that is closed; its sender sends it again.
func (u *UnusedConns) Close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for c := range u.conns {
		_ = c.Close() // the peer may have closed it already
	}
}
