package agent

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/config"
	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/httpconn"
	"github.com/camphorrack/camphorrack/internal/invariant"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/scheduler/connlimit"
)

const (
	headerTimeout     = 5 * time.Second // limit for reading the header of an HTTP request
	drainPollInterval = 20 * time.Millisecond
	// closeTimeout limits how long a shutdown waits for the last HTTP requests.
	closeTimeout = 2 * time.Second
)

// ErrDrainTimeout is returned by Agent.Stop when the drain timeout expired while tasks were
// running or reports were undelivered.
var ErrDrainTimeout = errors.New("the drain timeout expired before every task had ended and was reported")

// Agent is the daemon: an HTTP server for the target and operators, and sessions with entries.
type Agent struct {
	options     Options
	incarnation job.Incarnation
	log         logr.Logger
	clock       clock.Clock
	metrics     *counters
	control     *controlLoop
	dialers     *dialers
	replica     *config.Replica
	fanOut      *config.FanOut
	stopFanOut  context.CancelFunc
	listener    net.Listener
	server      *http.Server
	guard       *httpconn.Guard

	lastConnID        atomic.Uint64
	openSessions      atomic.Int64 // sessions whose welcome has been accepted
	draining          atomic.Bool
	drainOnce         sync.Once
	shutdownOnce      sync.Once
	shutdownRequested chan struct{} // closed when the process should stop
}

// New returns a daemon that listens on its address but does not serve yet.
func New(o Options, log logr.Logger) (*Agent, error) {
	invariant.SetCrashOnBreach(o.CrashOnBreach)
	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", o.Listen)
	}
	a := &Agent{options: o, log: log, clock: clock.NewAnchored(), listener: listener, shutdownRequested: make(chan struct{})}
	a.metrics = newCounters(func() int { return a.control.QueuedCommands() })
	s := newState(o, log, a.metrics)
	s.runTask = a.runTask
	a.incarnation = s.incarnation
	a.control = newControl(s, a.clock, a.metrics.TurnObserver(log))
	a.dialers = newDialers(a)
	a.metrics.registerEntryGauges(a.dialers)
	a.replica = config.NewReplica(config.Location{DataCentre: o.DataCentre, Rack: o.Rack}, a.clock, log)
	a.fanOut = config.NewFanOut(a.replica)
	a.metrics.RegisterConfig(a.replica)
	a.guard = httpconn.NewGuard(log, "the target", connlimit.ForEndpoint(connlimit.Host{Descriptors: httpconn.DescriptorLimit()}))
	a.guard.Register("http.the_target", a.metrics.RegisterGauge)
	a.server = &http.Server{
		Handler: a.guard.Handler(a.handler()), ReadHeaderTimeout: headerTimeout, ConnState: a.guard.Track, ConnContext: a.guard.ConnContext,
	}
	return a, nil
}

// Addr returns the address that the agent listens on, as ip:port.
func (a *Agent) Addr() string { return a.listener.Addr().String() }

// Start begins to serve HTTP and to dial entries, and returns at once. Stop ends both.
func (a *Agent) Start() {
	go a.control.Run()
	go a.serve()
	ctx, stop := context.WithCancel(context.Background())
	a.stopFanOut = stop
	go a.fanOut.Run(ctx)
	for _, addr := range a.options.entries() {
		a.dialers.addConfigured(addr)
	}
	a.dialers.goroutines.Go(a.dialers.run)
	event.Log(a.log, event.ProcessStarted, "addr", a.Addr(), "worker", a.options.Worker,
		"incarnation", a.incarnation.String(), "data_centre", a.options.DataCentre, "rack", a.options.Rack, "policy", a.options.Policy)
}

// serve runs the HTTP server until Stop. If the server fails, it requests a shutdown.
func (a *Agent) serve() {
	if err := a.server.Serve(a.guard.Listener(httpconn.NewLoggingListener(a.listener, a.log))); !errors.Is(err, http.ErrServerClosed) {
		event.Log(a.log, event.ProcessStopping, "error", err.Error())
		a.requestShutdown() // without the server the target cannot announce itself
	}
}

// ShutdownRequested returns a channel that is closed when an operator has requested a drain or
// the HTTP server has failed. The process should then call Stop, as after a signal.
func (a *Agent) ShutdownRequested() <-chan struct{} { return a.shutdownRequested }

// requestShutdown closes shutdownRequested, once.
func (a *Agent) requestShutdown() { a.shutdownOnce.Do(func() { close(a.shutdownRequested) }) }

// beginDrain stops accepting new tasks permanently.
func (a *Agent) beginDrain() {
	a.drainOnce.Do(func() {
		a.draining.Store(true)
		event.Log(a.log, event.DrainStarted)
		// The error, control.ErrStopped, means that the process is stopping anyway.
		_ = a.control.Push(func(now time.Time, s *state) { s.table.Drain(now) })
	})
}

// Stop drains and ends the daemon: it accepts no new tasks, and waits until running tasks have
// finished and their reports are acknowledged. The error is ErrDrainTimeout or that of ctx
// when this took too long, or a failure to close the HTTP server.
func (a *Agent) Stop(ctx context.Context) error {
	event.Log(a.log, event.ProcessStopping, "drain_timeout", a.options.DrainTimeout.String())
	a.beginDrain()
	err := a.waitIdle(ctx)
	a.dialers.shutdown()
	a.stopFanOut()
	closing, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	a.server.RegisterOnShutdown(func() { _ = a.guard.Drain(closing) }) // runs after the listener is closed; Shutdown returns the error
	if closeErr := a.server.Shutdown(closing); err == nil && closeErr != nil {
		err = errors.Wrap(closeErr, "close HTTP connections")
	}
	a.control.Stop()
	event.Log(a.log, event.ProcessStopped, "clean", err == nil)
	return err
}

// waitIdle polls the attempt table until nothing runs or awaits acknowledgement.
func (a *Agent) waitIdle(ctx context.Context) error {
	timeout := time.After(a.options.DrainTimeout)
	poll := time.NewTicker(drainPollInterval)
	defer poll.Stop()
	for {
		idle := false
		if err := a.control.do(func(_ time.Time, s *state) { idle = s.table.Idle() }); err != nil || idle {
			return err
		}
		select {
		case <-poll.C:
		case <-timeout:
			return errors.WithStack(ErrDrainTimeout)
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "drain")
		}
	}
}
