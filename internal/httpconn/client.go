package httpconn

import (
	"bytes"
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/camphorrack/camphorrack/internal/scheduler/connlimit"
)

// maxHeaderLines limits the lines of a request's header, which take many times their size as a map. It is
// several times what clients send.
const maxHeaderLines = 200

// errHeaderLines is the error of reading a header of too many lines.
var errHeaderLines = errors.New("the header has too many lines")

// client is the client's end of a connection that a Guard has admitted.
type client struct {
	net.Conn
	guard  *Guard
	reason *Reason // why its request is given up; nil: it is not. Guarded by the mutex of guard.
	header headerLines
}

func newClient(g *Guard, conn net.Conn) *client {
	c := &client{Conn: conn, guard: g}
	c.header.begin()
	return c
}

// clientKey is the context key of a request's client.
type clientKey struct{}

// clientOf returns the client of a request; nil if no Guard serves its connection.
func clientOf(ctx context.Context) *client {
	c, _ := ctx.Value(clientKey{}).(*client)
	return c
}

// setPhase records a phase. A request that is answered holds no bytes. A nil client has no phase.
func (c *client) setPhase(phase connlimit.Phase) {
	if c == nil {
		return
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if phase == connlimit.Answered {
		c.guard.table.Release(c)
	}
	c.guard.table.SetPhase(time.Now(), c, phase)
}

// Read implements net.Conn.
func (c *client) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.header.exceeds(p[:n], maxHeaderLines) {
		g := c.guard
		g.mu.Lock()
		defer g.mu.Unlock()
		g.counts[TooManyFields]++
		g.report(time.Now())
		return 0, errHeaderLines
	}
	return n, err
}

// CloseWrite closes the sending direction, which net/http does before it closes a connection that has
// unread data.
func (c *client) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return errors.ErrUnsupported
}

// SyscallConn implements syscall.Conn.
func (c *client) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// headerLines counts the lines of a header as it is read. A read may contain the start of the body, too.
type headerLines struct {
	reading atomic.Bool // the header is not complete
	// The fields below are used by the goroutine that reads, of which there is one at a time, and by begin.
	lines int
	line  int // length of the line that is not complete, without carriage returns
}

// begin begins to count the lines of the next header, of which a part may have been read before. Nothing
// is read at the same time.
func (h *headerLines) begin() {
	h.lines, h.line = 0, 0
	h.reading.Store(true)
}

// end ends the counting.
func (h *headerLines) end() { h.reading.Store(false) }

// exceeds counts the lines in what was read and reports whether the header has more than limit lines.
func (h *headerLines) exceeds(read []byte, limit int) bool {
	if !h.reading.Load() {
		return false
	}
	for len(read) > 0 {
		line, rest, ended := bytes.Cut(read, []byte{'\n'})
		h.line += len(line) - bytes.Count(line, []byte{'\r'})
		switch {
		case !ended:
			return false
		case h.line == 0 && h.lines > 0:
			h.end()
			return false
		}
		if h.lines++; h.lines > limit {
			return true
		}
		h.line, read = 0, rest
	}
	return false
}
