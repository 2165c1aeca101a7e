package dispatcher

import (
	"context"
	"syscall"

	"golang.org/x/sys/unix"
)

// callerConn is the connection of a request's caller.
type callerConn struct {
	ctx context.Context // of the request
	raw syscall.RawConn // nil: not known
}

// newCallerConn returns the connection of the request with the context ctx.
func newCallerConn(ctx context.Context) *callerConn {
	c := &callerConn{ctx: ctx}
	if raw, err := rawConn(ctx); err == nil {
		c.raw = raw
	}
	return c
}

// left reports whether the caller has closed the connection, or the request has ended. It does not
// block, and is safe for concurrent use. net/http also detects that, but only some time after the
// handler has started, and while the process is late only after other goroutines have run.
func (c *callerConn) left() bool {
	if c.ctx.Err() != nil {
		return true
	}
	if c.raw == nil {
		return false
	}
	closed := false
	err := c.raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = n == 0 && err == nil || err != nil && err != unix.EAGAIN && err != unix.EINTR
	})
	return closed || err != nil
}

// rawConn returns the connection that withConn has stored in the context.
func rawConn(ctx context.Context) (syscall.RawConn, error) {
	conn, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return nil, errNoConn
	}
	return conn.SyscallConn()
}
