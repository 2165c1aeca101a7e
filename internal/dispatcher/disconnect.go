package dispatcher

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// callerDisconnected reports whether the caller of a request has closed its connection.
// net/http also detects this, but only some time after the handler has started; a request
// that waited in a buffer of a frozen host would be submitted before that.
func callerDisconnected(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	raw, err := rawConn(ctx)
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = n == 0 && err == nil || err == unix.ECONNRESET
	})
	return closed || err != nil
}

// rawConn returns the TCP connection that withConn has stored in the context.
func rawConn(ctx context.Context) (syscall.RawConn, error) {
	tcp, ok := ctx.Value(connKey{}).(*net.TCPConn)
	if !ok {
		return nil, errNoConn
	}
	return tcp.SyscallConn()
}
