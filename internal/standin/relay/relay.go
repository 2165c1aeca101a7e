// Package relay is a TCP proxy for tests that simulates network failures. It can drop all
// further data on the open connections without closing them, in one direction or in both,
// as a middlebox does that has lost its connection state: both ends still regard the
// connection as open, and connections made later work. It can also drop the data of new
// connections, delay data, and reset the open connections.
package relay

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const bufferBytes = 32 << 10

// Relay is a TCP proxy that forwards each accepted connection to a target address.
type Relay struct {
	listener net.Listener

	mu           sync.Mutex
	targets      []string
	accepted     int // connections since SetTarget
	conns        map[*proxiedConn]bool
	blackholeNew bool         // new connections are accepted, but their data is dropped
	delay        atomic.Int64 // added before each write, in nanoseconds
}

// proxiedConn is one client connection and its connection to the target. Upstream is the
// direction from the client to the target.
type proxiedConn struct {
	clientConn, targetConn net.Conn
	dropUp, dropDown       atomic.Bool
}

// New returns a relay that listens on a free loopback port.
func New() (*Relay, error) { return Listen("127.0.0.1:0") }

// Listen returns a relay that listens on addr and accepts connections until Close.
func Listen(addr string) (*Relay, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	r := &Relay{listener: listener, conns: map[*proxiedConn]bool{}}
	go r.acceptLoop()
	return r, nil
}

// Addr returns the address that the relay listens on.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// SetTarget sets the address to which connections accepted later are forwarded; of several, they take
// turns.
func (r *Relay) SetTarget(addrs ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.targets, r.accepted = addrs, 0
}

// BlackholeOpen drops all further data of the connections that are open now, in the given
// directions, without closing them. It returns the number of these connections.
func (r *Relay) BlackholeOpen(up, down bool) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if up {
			c.dropUp.Store(true)
		}
		if down {
			c.dropDown.Store(true)
		}
	}
	return len(r.conns)
}

// SetBlackholeNew sets whether the data of connections accepted from now on is dropped. A
// connection that was accepted while this was on stays blackholed after it is turned off.
func (r *Relay) SetBlackholeNew(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blackholeNew = on
}

// SetDelay delays each forwarded chunk of data by the given time.
func (r *Relay) SetDelay(delay time.Duration) { r.delay.Store(int64(delay)) }

// Reset closes every open connection; the client gets a TCP reset.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if tcp, ok := c.clientConn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // with a linger time of 0, Close sends a reset
		}
		c.close()
	}
}

// Close stops listening and closes every open connection.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.close()
	}
}

func (r *Relay) acceptLoop() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.proxy(client)
	}
}

// proxy connects to the target and forwards data in both directions until both have ended. It
// closes the client connection if the target can't be reached.
func (r *Relay) proxy(client net.Conn) {
	r.mu.Lock()
	target := r.targets[r.accepted%len(r.targets)]
	r.accepted++
	r.mu.Unlock()
	server, err := net.Dial("tcp", target)
	if err != nil {
		_ = client.Close()
		return
	}
	c := &proxiedConn{clientConn: client, targetConn: server}
	r.mu.Lock()
	c.dropUp.Store(r.blackholeNew)
	c.dropDown.Store(r.blackholeNew)
	r.conns[c] = true
	r.mu.Unlock()
	var streams sync.WaitGroup
	streams.Go(func() { copyStream(client, server, &c.dropUp, &r.delay) })
	streams.Go(func() { copyStream(server, client, &c.dropDown, &r.delay) })
	streams.Wait()
	c.close()
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
}

func (c *proxiedConn) close() {
	_ = c.clientConn.Close()
	_ = c.targetConn.Close()
}

// copyStream forwards data from one connection to the other until either is closed. While
// drop is set it discards the data, and doesn't forward the close of the sending side either.
func copyStream(from, to net.Conn, drop *atomic.Bool, delay *atomic.Int64) {
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		time.Sleep(time.Duration(delay.Load()))
		if drop.Load() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}
