package agent

import (
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/cockroachdb/errors"
)

// errSealed is returned by writes on a sealed connection: its call has failed, or continued on
// another connection.
var errSealed = errors.New("the call was given up")

// trackedConn is a connection to the target that counts the writes begun on it and can be
// sealed.
type trackedConn struct {
	net.Conn

	mu     sync.Mutex
	writes uint64
	sealed bool
}

// Write implements net.Conn.
func (c *trackedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// writeCount returns how many writes have begun.
func (c *trackedConn) writeCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal makes all later writes fail, and returns how many had begun before.
func (c *trackedConn) seal() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes
}

// writeTracker determines whether any byte of a request may have left this process.
//
// The errors of the transport do not show that reliably: a connection that the target has just
// closed, a cancelled call and a lost answer look alike. If a task that the target received
// were reported as "not run", it could run twice. If one that was never sent were reported as
// "unknown", jobs would fail needlessly whenever a target restarts. So writes are counted, and
// after a failure the connection is sealed: the transport writes in another goroutine, which
// could still begin after the count was read.
type writeTracker struct {
	mu           sync.Mutex
	connected    bool
	conn         *trackedConn
	writesBefore uint64
	written      bool // bytes may have left the process
}

func (p *writeTracker) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { p.gotConn(info.Conn) }}
}

// gotConn records the connection that the transport uses now, after sealing a previous one.
func (p *writeTracker) gotConn(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sealCurrent()
	p.connected = true
	counted, ok := conn.(*trackedConn)
	if !ok {
		p.written = true // writes cannot be counted, so assume one
		return
	}
	p.conn, p.writesBefore = counted, counted.writeCount()
}

// sealCurrent seals the current connection and records whether the request was written to it.
func (p *writeTracker) sealCurrent() {
	if p.conn != nil && p.conn.seal() != p.writesBefore {
		p.written = true
	}
	p.conn = nil
}

// nothingWritten reports, after the call has failed, whether the target cannot have received
// any byte of it. It seals the connection.
func (p *writeTracker) nothingWritten() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sealCurrent()
	return !p.written
}

// neverConnected reports whether the transport never assigned a connection to the call.
func (p *writeTracker) neverConnected() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.connected
}
