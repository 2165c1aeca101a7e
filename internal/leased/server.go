package leased

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/httpconn"
	"github.com/camphorrack/camphorrack/internal/logging"
	"github.com/camphorrack/camphorrack/internal/scheduler/connlimit"
)

// acceptRetryDelay is how long a server waits after a failed accept. The usual cause is that
// the process has no free file descriptors; other connections close within this time. The
// delay also limits the number of log lines, one per failure.
const acceptRetryDelay = 50 * time.Millisecond

// While a server shuts down, it accepts connections until none has come for backlogQuiet, and for
// backlogLimit at most: closing the listener resets those that wait in its backlog.
const (
	backlogQuiet = 10 * time.Millisecond
	backlogLimit = 100 * time.Millisecond
)

// ConnLimits are the limits of a client's connection. A zero timeout is no timeout; zero
// HeaderBytes is the default of net/http.
type ConnLimits struct {
	HeaderBytes   int           // size of a request's header
	HeaderTimeout time.Duration // from the first byte of a request to the end of its header
	IdleTimeout   time.Duration // between requests
}

// Server is an HTTP server on one address whose limits can be changed while it serves.
// net/http reads its limits without a lock, so each change starts a new http.Server for
// new connections. Open connections stay with their server and its limits; closing them
// would break requests in progress.
type Server struct {
	log         logr.Logger
	purpose     string // for the log
	listener    net.Listener
	handler     http.Handler
	connContext func(context.Context, net.Conn) context.Context
	retiring    atomic.Bool               // set by Retire
	serving     atomic.Bool               // Serve has been called
	closeBy     atomic.Pointer[time.Time] // until when Serve accepts connections after Shutdown was called
	guard       *httpconn.Guard
	accepted    chan struct{} // closed when Serve ends

	mu      sync.Mutex
	limits  ConnLimits
	current *generation
}

// generation is the listener of one http.Server. It accepts the connections that arrive
// between one change of the limits and the next.
type generation struct {
	addr   net.Addr
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// Accept implements net.Listener.
func (g *generation) Accept() (net.Conn, error) {
	select {
	case c := <-g.conns:
		return c, nil
	case <-g.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (g *generation) Close() error {
	g.once.Do(func() { close(g.closed) })
	return nil
}

// Addr implements net.Listener.
func (g *generation) Addr() net.Addr { return g.addr }

// Servers are the servers of one daemon.
type Servers struct {
	servers []*Server
}

// Endpoint is an address of a daemon and the handler that serves it. It is not served if Addr
// is empty.
type Endpoint struct {
	Purpose string // for the log and errors
	Addr    string
	Handler http.Handler
	Clients connlimit.Limits // see httpconn.Guard
}

// Listen binds the address of each endpoint and returns the server of the last one, or nil
// if there is none. After an error, Close releases the addresses that were bound.
func (s *Servers) Listen(log logr.Logger, limits ConnLimits, connContext func(context.Context, net.Conn) context.Context,
	endpoints ...Endpoint) (*Server, error) {
	var last *Server
	for _, endpoint := range endpoints {
		if endpoint.Addr == "" {
			continue
		}
		server, err := Listen(log, endpoint.Purpose, endpoint.Addr, endpoint.Handler, limits, connContext)
		if err != nil {
			return nil, err
		}
		server.SetClientLimits(endpoint.Clients)
		s.servers = append(s.servers, server)
		last = server
	}
	return last, nil
}

// RegisterGauges registers gauges of what the clients of each server hold; see httpconn.Guard.
func (s *Servers) RegisterGauges(register httpconn.RegisterGauge) {
	for _, server := range s.servers {
		server.guard.Register("http."+strings.ReplaceAll(server.purpose, " ", "_"), register)
	}
}

// Serve starts a goroutine for each server, which serves until Close.
func (s *Servers) Serve() {
	for _, server := range s.servers {
		go server.Serve()
	}
}

// Close closes all servers and their connections at once.
func (s *Servers) Close() {
	for _, server := range s.servers {
		server.Close()
	}
}

// Listen returns a server that is bound to an address but does not serve before Serve is
// called. purpose names the endpoint in the log and in errors. connContext may be nil.
func Listen(log logr.Logger, purpose, addr string, handler http.Handler, limits ConnLimits,
	connContext func(context.Context, net.Conn) context.Context) (*Server, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for %s on %s", purpose, addr)
	}
	return NewServer(log, purpose, listener, handler, limits, connContext), nil
}

// NewServer is like Listen, with a listener that is open already.
func NewServer(log logr.Logger, purpose string, listener net.Listener, handler http.Handler, limits ConnLimits,
	connContext func(context.Context, net.Conn) context.Context) *Server {
	s := &Server{log: log, purpose: purpose, listener: listener, handler: handler, connContext: connContext, limits: limits, accepted: make(chan struct{}), guard: httpconn.NewGuard(log, purpose, connlimit.Limits{})}
	s.startGeneration()
	return s
}

// Addr returns the bound address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// SetLimits sets the limits of new connections.
func (s *Server) SetLimits(limits ConnLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if limits == s.limits {
		return
	}
	s.limits = limits
	previous := s.current
	s.startGeneration()
	_ = previous.Close() // never fails; its connections stay open
}

// startGeneration starts an http.Server with the current limits, which gets all new
// connections. The caller holds the lock, except in NewServer.
func (s *Server) startGeneration() {
	server := &http.Server{
		Handler: s.guard.Handler(http.HandlerFunc(s.serveHTTP)), ConnContext: s.contextOf, ConnState: s.guard.Track,
		MaxHeaderBytes: s.limits.HeaderBytes, ReadHeaderTimeout: s.limits.HeaderTimeout, IdleTimeout: s.limits.IdleTimeout,
		// net/http logs plain text, which is only useful for debugging.
		ErrorLog: slog.NewLogLogger(logr.ToSlogHandler(s.log.V(logging.LevelDebug)), slog.LevelInfo),
	}
	g := &generation{addr: s.listener.Addr(), conns: make(chan net.Conn), closed: make(chan struct{})}
	s.current = g
	go func() { _ = server.Serve(g) }() // ends with the generation
}

// contextOf returns the context of the requests of a connection.
func (s *Server) contextOf(ctx context.Context, c net.Conn) context.Context {
	ctx = s.guard.ConnContext(ctx, c)
	if s.connContext != nil {
		ctx = s.connContext(ctx, c)
	}
	return ctx
}

// SetClientLimits sets the limits on what all clients hold together. Without a call there are none.
func (s *Server) SetClientLimits(limits connlimit.Limits) { s.guard.SetLimits(limits) }

func (s *Server) serveHTTP(w http.ResponseWriter, r *http.Request) {
	if s.retiring.Load() {
		w.Header().Set("Connection", "close")
	}
	s.handler.ServeHTTP(w, r)
}

// Retire makes each response from now on the last one of its connection, so that connections in use have
// ended before Shutdown closes those that are left.
func (s *Server) Retire() { s.retiring.Store(true) }

func (s *Server) currentGeneration() *generation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Serve accepts connections until Shutdown or Close is called. It continues after failed
// accepts.
func (s *Server) Serve() {
	s.serving.Store(true)
	defer close(s.accepted)
	for {
		c, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) || s.closeBy.Load() != nil && err != nil {
			return
		}
		if err != nil {
			event.Log(s.log, event.AcceptFailed, "serves", s.purpose, "error", err.Error())
			time.Sleep(acceptRetryDelay)
			continue
		}
		if admitted, ok := s.guard.Admit(c); ok {
			s.assign(admitted)
		}
		s.awaitQuietBacklog()
	}
}

// awaitQuietBacklog lets Accept fail once the backlog was empty for a while, if Shutdown was called.
func (s *Server) awaitQuietBacklog() {
	closeBy := s.closeBy.Load()
	l, ok := s.listener.(*net.TCPListener)
	if closeBy == nil || !ok {
		return
	}
	deadline := time.Now().Add(backlogQuiet)
	if closeBy.Before(deadline) {
		deadline = *closeBy
	}
	_ = l.SetDeadline(deadline) // fails only if the listener is closed
}

// stopAccepting closes the listener after its backlog was accepted.
func (s *Server) stopAccepting(ctx context.Context) {
	closeBy := time.Now().Add(backlogLimit)
	s.closeBy.Store(&closeBy)
	s.awaitQuietBacklog()
	if _, ok := s.listener.(*net.TCPListener); ok && s.serving.Load() {
		select {
		case <-s.accepted:
		case <-ctx.Done():
		}
	}
	_ = s.listener.Close() // an error only means that it is closed already
}

// assign passes a connection to the current generation, or closes it if the server is
// closed.
func (s *Server) assign(c net.Conn) {
	for {
		g := s.currentGeneration()
		select {
		case g.conns <- c:
			return
		case <-g.closed:
		}
		if g == s.currentGeneration() { // the server is closed
			s.guard.Forget(c)
			_ = c.Close()
			return
		}
	}
}

// Shutdown stops listening and waits until all connections have ended, with an answer to their last
// request, or the context ends. It returns the error of the context.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Retire()
	s.stopAccepting(ctx)
	return s.guard.Drain(ctx)
}

// Close closes the server and its connections at once.
func (s *Server) Close() {
	_ = s.listener.Close()            // an error only means that it is closed already
	_ = s.currentGeneration().Close() // never fails
	s.guard.Close()
}
