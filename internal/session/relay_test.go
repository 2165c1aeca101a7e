package session_test

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// relay passes bytes between a dialler and a server. It can lose track of the
// connections open at a moment, in either direction, while later ones work: the
// TCP connections stay up and their bytes vanish.
type relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	pipes []*pipe
}

type pipe struct {
	ends             [2]net.Conn
	upLost, downLost atomic.Bool
}

func newRelay(target string) (*relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{listener: listener, target: target}
	go r.accept()
	return r, nil
}

func (r *relay) addr() string { return r.listener.Addr().String() }

func (r *relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		p := &pipe{ends: [2]net.Conn{near, far}}
		r.mu.Lock()
		r.pipes = append(r.pipes, p)
		r.mu.Unlock()
		go pump(near, far, &p.upLost)
		go pump(far, near, &p.downLost)
	}
}

func pump(from, to net.Conn, lost *atomic.Bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			if err == io.EOF && !lost.Load() {
				_ = to.Close()
			}
			return
		}
		if lost.Load() {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// cut silences the connections that are open now: up is from the dialler, down to it.
func (r *relay) cut(up, down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pipes {
		p.upLost.Store(up)
		p.downLost.Store(down)
	}
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pipes {
		_ = p.ends[0].Close()
		_ = p.ends[1].Close()
	}
}
