package httpconn

import (
	"net"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/camphorrack/camphorrack/internal/event"
)

// LoggedListener wraps a listener and logs when it can't take new connections, such as for want of
// file descriptors: once until it takes one again. Callers see silence meanwhile, which
// nothing else on the host would explain. net/http tries again by itself.
type LoggedListener struct {
	net.Listener
	log    logr.Logger
	failed atomic.Bool
}

// LogAccepts returns the listener, wrapped.
func LogAccepts(l net.Listener, log logr.Logger) *LoggedListener {
	return &LoggedListener{Listener: l, log: log}
}

// Accept implements net.Listener.
func (l *LoggedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	switch {
	case err == nil:
		l.failed.Store(false)
	case !errors.Is(err, net.ErrClosed) && !l.failed.Swap(true):
		event.Log(l.log, event.AcceptFailed, "addr", l.Addr().String(), "error", err.Error())
	}
	return conn, err
}
