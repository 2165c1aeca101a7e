package httpconn

import (
	"net"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/camphorrack/camphorrack/internal/event"
)

// LoggingListener wraps a listener and logs when it can't take new connections, such as for want of
// file descriptors: once until it takes one again. Callers see silence meanwhile, which
// nothing else on the host would explain. net/http tries again by itself.
type LoggingListener struct {
	net.Listener
	log    logr.Logger
	failed atomic.Bool
}

// NewLoggingListener returns the listener, wrapped.
func NewLoggingListener(l net.Listener, log logr.Logger) *LoggingListener {
	return &LoggingListener{Listener: l, log: log}
}

// Accept implements net.Listener.
func (l *LoggingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	switch {
	case err == nil:
		l.failed.Store(false)
	case !errors.Is(err, net.ErrClosed) && !l.failed.Swap(true):
		event.Log(l.log, event.AcceptFailed, "addr", l.Addr().String(), "error", err.Error())
	}
	return conn, err
}
