package agent

import (
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/cockroachdb/errors"
)

// errSealed ends a write that comes after its call was judged.
var errSealed = errors.New("the call was given up")

// countedConn counts the writes that were begun on a connection to the target.
type countedConn struct {
	net.Conn

	mu     sync.Mutex
	writes uint64
	sealed bool
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(b)
}

func (c *countedConn) begun() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal stops all later writes and returns how many were begun before.
func (c *countedConn) seal() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes
}

// proof tells whether any byte of a request may have left this process.
//
// The transport's errors don't say that reliably: a connection that the target
// has just closed, a cancelled call and a lost answer look alike. Calling a task
// "not run" that the target got would let it run twice; calling one "unknown" that
// never left would fail jobs for nothing whenever a target restarts. So writes are
// counted, and after a failure the connection is sealed: the transport writes in
// another goroutine, which could still begin after the judgement.
type proof struct {
	mu        sync.Mutex
	connected bool
	conn      *countedConn
	mark      uint64
	written   bool
}

func (p *proof) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { p.gotConn(info.Conn) }}
}

func (p *proof) gotConn(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.judge()
	p.connected = true
	counted, ok := conn.(*countedConn)
	if !ok {
		p.written = true // can't be told, so assume the worse
		return
	}
	p.conn, p.mark = counted, counted.begun()
}

func (p *proof) judge() {
	if p.conn != nil && p.conn.seal() != p.mark {
		p.written = true
	}
	p.conn = nil
}

// nothingWritten reports, after the call has failed, whether the target can't
// have got any of it.
func (p *proof) nothingWritten() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.judge()
	return !p.written
}

// gotNone reports whether the call never had a connection.
func (p *proof) gotNone() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.connected
}
