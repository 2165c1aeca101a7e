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
)

const (
	headerTimeout = 5 * time.Second
	drainPoll     = 20 * time.Millisecond
	// closeTimeout bounds the end of the last HTTP requests.
	closeTimeout = 2 * time.Second
)

// ErrDrainTimeout is a shutdown that cut off tasks or left reports undelivered.
var ErrDrainTimeout = errors.New("the drain timeout was over before every task had ended and was reported")

// Agent is the daemon.
type Agent struct {
	o           Options
	incarnation job.Incarnation
	log         logr.Logger
	clock       clock.Clock
	metrics     *counters
	control     *controlLoop
	dialers     *dialers
	holder      *config.Holder
	fanOut      *config.FanOut
	stopConf    context.CancelFunc
	listener    net.Listener
	server      *http.Server
	unused      *httpconn.UnusedConns

	lastConn  atomic.Uint64
	open      atomic.Int64 // sessions that are welcomed
	draining  atomic.Bool
	drainOnce sync.Once
	endOnce   sync.Once
	endAsked  chan struct{} // closed when the process should end
}

// New returns a daemon that is bound to its address but does not serve yet.
func New(o Options, log logr.Logger) (*Agent, error) {
	invariant.SetCrashOnBreach(o.CrashOnBreach)
	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", o.Listen)
	}
	a := &Agent{o: o, log: log, clock: clock.NewAnchored(), listener: listener, endAsked: make(chan struct{})}
	a.metrics = newCounters(func() int { return a.control.QueuedCommands() })
	s := newState(o, log, a.metrics)
	s.runTask = a.runTask
	a.incarnation = s.incarnation
	a.control = newControl(s, a.clock, a.metrics.TurnObserver(log))
	a.dialers = newDialers(a)
	a.metrics.members(a.dialers)
	a.holder = config.NewHolder(config.Where{DataCentre: o.DataCentre, Rack: o.Rack}, a.clock, log)
	a.fanOut = config.NewFanOut(a.holder)
	a.metrics.RegisterConfig(a.holder)
	a.unused = httpconn.NewUnusedConns()
	a.server = &http.Server{Handler: a.handler(), ReadHeaderTimeout: headerTimeout, ConnState: a.unused.Track}
	return a, nil
}

// Addr returns the bound address.
func (a *Agent) Addr() string { return a.listener.Addr().String() }

// Start serves and dials until Stop.
func (a *Agent) Start() {
	go a.control.Run()
	go a.serve()
	ctx, stop := context.WithCancel(context.Background())
	a.stopConf = stop
	go a.fanOut.Run(ctx)
	for _, addr := range a.o.entries() {
		a.dialers.configured(addr)
	}
	a.dialers.done.Go(a.dialers.run)
	event.Log(a.log, event.ProcessStarted, "addr", a.Addr(), "worker", a.o.Worker,
		"incarnation", a.incarnation.String(), "data_centre", a.o.DataCentre, "rack", a.o.Rack, "policy", a.o.Policy)
}

func (a *Agent) serve() {
	if err := a.server.Serve(httpconn.NewLoggingListener(a.listener, a.log)); !errors.Is(err, http.ErrServerClosed) {
		event.Log(a.log, event.ProcessStopping, "error", err.Error())
		a.askEnd() // without announcements there is no target
	}
}

// ShutdownRequested is closed when an operator asked for a drain, or when serving failed:
// the process should stop the agent then, as after a signal.
func (a *Agent) ShutdownRequested() <-chan struct{} { return a.endAsked }

func (a *Agent) askEnd() { a.endOnce.Do(func() { close(a.endAsked) }) }

// beginDrain takes no new work from now on.
func (a *Agent) beginDrain() {
	a.drainOnce.Do(func() {
		a.draining.Store(true)
		event.Log(a.log, event.DrainStarted)
		// The error means that the process ends anyway.
		_ = a.control.Push(func(now time.Time, s *state) { s.table.Drain(now) })
	})
}

// Stop drains and ends the daemon: nothing new begins, what runs is finished and
// reported. The error is ErrDrainTimeout, or of ctx, when that took too long.
func (a *Agent) Stop(ctx context.Context) error {
	event.Log(a.log, event.ProcessStopping, "drain_timeout", a.o.DrainTimeout.String())
	a.beginDrain()
	err := a.waitIdle(ctx)
	a.dialers.end()
	a.stopConf()
	closing, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	a.server.RegisterOnShutdown(a.unused.Close) // runs once the listener is closed
	if closeErr := a.server.Shutdown(closing); err == nil && closeErr != nil {
		err = errors.Wrap(closeErr, "close HTTP connections")
	}
	a.control.Stop()
	event.Log(a.log, event.ProcessStopped, "clean", err == nil)
	return err
}

func (a *Agent) waitIdle(ctx context.Context) error {
	timeout := time.After(a.o.DrainTimeout)
	poll := time.NewTicker(drainPoll)
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
