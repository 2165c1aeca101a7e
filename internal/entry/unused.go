package entry

import (
	"net"
	"net/http"
	"sync"
)

// unusedConns holds the connections on which no request has come yet. Clients open
// some in reserve. The graceful shutdown of net/http waits five seconds for each of
// them, and a drain that had finished everything would end as a failed one.
type unusedConns struct {
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

func newUnusedConns() *unusedConns { return &unusedConns{conns: map[net.Conn]struct{}{}} }

// note follows the state of the server's connections.
func (u *unusedConns) note(c net.Conn, state http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if state == http.StateNew {
		u.conns[c] = struct{}{}
	} else {
		delete(u.conns, c)
	}
}

// close closes them. A request that is just arriving on one gets no reply, as on an
// idle connection that is closed; its caller sends it again under the same id.
func (u *unusedConns) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for c := range u.conns {
		_ = c.Close() // the peer may have closed it already
	}
}
