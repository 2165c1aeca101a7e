package dispatcher

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// hungUp reports whether the caller of a request has closed its connection. The
// library notices that too, some time after the handler has begun; a request that
// waited in a buffer of a frozen host would be started before.
func hungUp(ctx context.Context) bool {
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

func rawConn(ctx context.Context) (syscall.RawConn, error) {
	tcp, ok := ctx.Value(connKey{}).(*net.TCPConn)
	if !ok {
		return nil, errNoConn
	}
	return tcp.SyscallConn()
}
