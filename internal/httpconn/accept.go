package httpconn

import (
	"net"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/camphorrack/camphorrack/internal/event"
)

// LoggingListener wraps a listener and logs when it can't accept connections, for example
// because file descriptors are exhausted. It logs once until a connection is accepted
// again. Without the log line, nothing on the host would explain why callers get no
// response. net/http retries the accept by itself.
type LoggingListener struct {
	net.Listener
	log     logr.Logger
	failing atomic.Bool
}

// NewLoggingListener returns a LoggingListener around l.
func NewLoggingListener(l net.Listener, log logr.Logger) *LoggingListener {
	return &LoggingListener{Listener: l, log: log}
}

// Accept implements net.Listener.
func (l *LoggingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	switch {
	case err == nil:
		l.failing.Store(false)
	case !errors.Is(err, net.ErrClosed) && !l.failing.Swap(true):
		event.Log(l.log, event.AcceptFailed, "addr", l.Addr().String(), "error", err.Error())
	}
	return conn, err
}
