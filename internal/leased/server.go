package leased

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/logging"
)

// acceptPause is how long a server waits after a connection that it could not take. The
// usual cause is a process without free file descriptors; others end within this time, and
// each failure leaves a log line.
const acceptPause = 50 * time.Millisecond

// ConnLimits bound what a client's connection may take up; 0 is no limit of time, and
// net/http's of bytes.
type ConnLimits struct {
	HeaderBytes   int
	HeaderTimeout time.Duration // from the first byte of a request to the end of its header
	IdleTimeout   time.Duration // between requests
}

// Server is an HTTP server on one address whose limits can be changed while it serves.
// net/http reads its limits without a lock, so each change begins a new http.Server:
// it takes the connections to come, and those that are open go on by the limits that
// they were opened under. Closing them would break requests that are on their way.
type Server struct {
	log         logr.Logger
	what        string
	listener    net.Listener
	handler     http.Handler
	connContext func(context.Context, net.Conn) context.Context

	mu      sync.Mutex
	limits  ConnLimits
	current *generation
	all     []*http.Server
}

// generation takes connections from one change of the limits to the next.
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
	all []*Server
}

// Endpoint is one address of a daemon. An empty Addr is not served.
type Endpoint struct {
	Purpose string // for the log and errors
	Addr    string
	Handler http.Handler
}

// Listen binds each service's address and returns the last server, nil where there is
// none. After an error, Close frees what was bound.
func (s *Servers) Listen(log logr.Logger, limits ConnLimits, connContext func(context.Context, net.Conn) context.Context,
	services ...Endpoint) (*Server, error) {
	var last *Server
	for _, service := range services {
		if service.Addr == "" {
			continue
		}
		server, err := Listen(log, service.Purpose, service.Addr, service.Handler, limits, connContext)
		if err != nil {
			return nil, err
		}
		s.all = append(s.all, server)
		last = server
	}
	return last, nil
}

// Serve serves all of them until Close.
func (s *Servers) Serve() {
	for _, server := range s.all {
		go server.Serve()
	}
}

// Close ends all of them at once.
func (s *Servers) Close() {
	for _, server := range s.all {
		server.Close()
	}
}

// Listen binds an address; Serve begins to serve it. connContext may be nil.
func Listen(log logr.Logger, what, addr string, handler http.Handler, limits ConnLimits,
	connContext func(context.Context, net.Conn) context.Context) (*Server, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for %s on %s", what, addr)
	}
	return NewServer(log, what, listener, handler, limits, connContext), nil
}

// NewServer is Listen on a listener that is open already.
func NewServer(log logr.Logger, what string, listener net.Listener, handler http.Handler, limits ConnLimits,
	connContext func(context.Context, net.Conn) context.Context) *Server {
	s := &Server{log: log, what: what, listener: listener, handler: handler, connContext: connContext, limits: limits}
	s.begin()
	return s
}

// Addr returns the bound address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// SetLimits puts other limits in force for the connections to come.
func (s *Server) SetLimits(limits ConnLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if limits == s.limits {
		return
	}
	s.limits = limits
	former := s.current
	s.begin()
	_ = former.Close() // never fails; its connections live on
}

// begin makes the generation that takes connections from now on.
func (s *Server) begin() {
	server := &http.Server{
		Handler: s.handler, ConnContext: s.connContext,
		MaxHeaderBytes: s.limits.HeaderBytes, ReadHeaderTimeout: s.limits.HeaderTimeout, IdleTimeout: s.limits.IdleTimeout,
		// What the library would print as plain text is for debugging only.
		ErrorLog: slog.NewLogLogger(logr.ToSlogHandler(s.log.V(logging.LevelDebug)), slog.LevelInfo),
	}
	g := &generation{addr: s.listener.Addr(), conns: make(chan net.Conn), closed: make(chan struct{})}
	s.current, s.all = g, append(s.all, server)
	go func() { _ = server.Serve(g) }() // ends with the generation
}

func (s *Server) generation() *generation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Serve serves until Shutdown or Close.
func (s *Server) Serve() {
	for {
		c, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			event.Log(s.log, event.AcceptFailed, "serves", s.what, "error", err.Error())
			time.Sleep(acceptPause)
			continue
		}
		s.hand(c)
	}
}

// hand gives a connection to the newest generation.
func (s *Server) hand(c net.Conn) {
	for {
		g := s.generation()
		select {
		case g.conns <- c:
			return
		case <-g.closed:
		}
		if g == s.generation() { // the server is closed
			_ = c.Close()
			return
		}
	}
}

// Shutdown stops listening and waits until the requests that are under way have their
// answers, or the context ends.
func (s *Server) Shutdown(ctx context.Context) error {
	_ = s.listener.Close() // closed before: nothing more comes
	var first error
	for _, server := range s.servers() {
		if err := server.Shutdown(ctx); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// Close ends the server and its connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	for _, server := range s.servers() {
		_ = server.Close() // the process ends, or never served
	}
}

func (s *Server) servers() []*http.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.all
}
