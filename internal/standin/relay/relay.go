// Package relay stands in for a network path with a device on it that can lose
// track of connections. The connections that are open at that moment go silent for
// good, in one direction or in both, while both of their ends believe them open;
// connections made later work. The path can also be cut for a while for new
// connections as well, be slow, or break what is open.
package relay

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const bufferBytes = 32 << 10

// Relay passes bytes between whoever dials it and its target.
type Relay struct {
	listener net.Listener

	mu     sync.Mutex
	target string
	pipes  map[*pipe]bool
	dark   bool         // new connections are taken and carry nothing
	delay  atomic.Int64 // of each piece of data, in nanoseconds
}

// pipe is one connection through the relay. What goes up is from the dialler.
type pipe struct {
	near, far        net.Conn
	upLost, downLost atomic.Bool
}

// New returns a relay that listens on a free port of loopback.
func New() (*Relay, error) { return Listen("127.0.0.1:0") }

// Listen returns a relay that listens on an address.
func Listen(addr string) (*Relay, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	r := &Relay{listener: listener, pipes: map[*pipe]bool{}}
	go r.accept()
	return r, nil
}

// Addr returns the address to dial.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// SetTarget names the address that later connections lead to.
func (r *Relay) SetTarget(addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = addr
}

// BlackholeOpen silences every connection that is open now, in the given directions, and
// returns how many there were.
func (r *Relay) BlackholeOpen(up, down bool) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pipes {
		if up {
			p.upLost.Store(true)
		}
		if down {
			p.downLost.Store(true)
		}
	}
	return len(r.pipes)
}

// SetBlackholeNew makes later connections carry nothing, or work again. Those that were made
// in the dark stay silent.
func (r *Relay) SetBlackholeNew(dark bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dark = dark
}

// SetDelay makes each piece of data take longer.
func (r *Relay) SetDelay(by time.Duration) { r.delay.Store(int64(by)) }

// Reset breaks every connection that is open now.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pipes {
		if tcp, ok := p.near.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // closing it sends a reset
		}
		p.close()
	}
}

// Close ends the relay and every connection through it.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pipes {
		p.close()
	}
}

func (r *Relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.carry(near)
	}
}

func (r *Relay) carry(near net.Conn) {
	r.mu.Lock()
	target := r.target
	r.mu.Unlock()
	far, err := net.Dial("tcp", target)
	if err != nil {
		_ = near.Close()
		return
	}
	p := &pipe{near: near, far: far}
	r.mu.Lock()
	p.upLost.Store(r.dark)
	p.downLost.Store(r.dark)
	r.pipes[p] = true
	r.mu.Unlock()
	var pumps sync.WaitGroup
	pumps.Go(func() { pump(near, far, &p.upLost, &r.delay) })
	pumps.Go(func() { pump(far, near, &p.downLost, &r.delay) })
	pumps.Wait()
	p.close()
	r.mu.Lock()
	delete(r.pipes, p)
	r.mu.Unlock()
}

func (p *pipe) close() {
	_ = p.near.Close()
	_ = p.far.Close()
}

// pump passes bytes on until either end is closed. What was lost includes the news
// that the sending end is closed.
func pump(from, to net.Conn, lost *atomic.Bool, delay *atomic.Int64) {
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		time.Sleep(time.Duration(delay.Load()))
		if lost.Load() {
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
