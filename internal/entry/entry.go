package entry

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/forward"
	"github.com/camphorrack/camphorrack/internal/httpconn"
	"github.com/camphorrack/camphorrack/internal/invariant"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/logging"
	"github.com/camphorrack/camphorrack/internal/owner"
	"github.com/camphorrack/camphorrack/internal/session"
)

const (
	headerTimeout  = 5 * time.Second // for reading a request's header
	idleTimeout    = 2 * time.Minute // of a caller's connection between requests
	maxHeaderBytes = 16 << 10
	// writeSlack is how long a caller may take to read its answer, beyond the longest
	// wait for it. A caller that stops reading would otherwise keep the answer in memory
	// until TCP gives up.
	writeSlack = 30 * time.Second
)

// Entry is the entry daemon.
type Entry struct {
	options  Options
	log      logr.Logger
	clock    clock.Clock
	api      *api
	control  *controlLoop
	listener net.Listener
	server   *http.Server
	guard    *httpconn.Guard

	draining  atomic.Bool
	drainOnce sync.Once
	done      chan struct{} // closed when the drain is over, or when serving failed
	doneErr   error         // set before done is closed
}

// New returns a daemon that listens on its address but does not serve yet.
func New(o Options, log logr.Logger) (*Entry, error) {
	invariant.SetCrashOnBreach(o.CrashOnBreach)
	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", o.Listen)
	}
	self, err := newIdentity(o, listener)
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	e := &Entry{options: o, log: log, clock: clock.NewAnchoredThroughSuspend(), listener: listener, done: make(chan struct{})}
	metrics, err := newCounters(func() int { return e.control.QueuedCommands() })
	if err != nil {
		_ = listener.Close()
		return nil, errors.Wrap(err, "register metrics")
	}
	out := newOutbox()
	e.control = newControl(owner.New(owner.Options{
		Owner: self, Outbox: out, Log: log, Policy: owner.Policy(o.Policy), MaxJobs: o.MaxJobs,
		LogEvery: o.LogPlacements, MaxTimeout: o.MaxTimeout, DataCentre: o.DataCentre, PeerAddrs: o.entries(), Seed: uint64(self.Incarnation),
	}), e.clock, log, metrics.TurnObserver(log))
	e.buildServer(self, out, metrics)
	return e, nil
}

// newIdentity creates this run's random incarnation and pairs it with the address that tokens
// carry: Options.Advertise or, if that is empty, the bound address.
func newIdentity(o Options, listener net.Listener) (job.Owner, error) {
	addr := o.Advertise
	if addr == "" {
		addr = listener.Addr().String()
	}
	parsed, err := netip.ParseAddrPort(addr)
	if err != nil {
		return job.Owner{}, errors.Wrapf(err, "address %s", addr)
	}
	return job.Owner{Incarnation: job.NewIncarnation(), Addr: parsed}, nil
}

// buildServer creates the HTTP API with all that it uses, and the server.
func (e *Entry) buildServer(self job.Owner, out *outbox, metrics *counters) {
	e.api = &api{
		log: e.log, clock: e.clock, key: e.options.key(), owner: self, token: self.Token(e.options.key()),
		dataCentre: e.options.DataCentre, maxTimeout: e.options.MaxTimeout, control: e.control,
		forwarder: forward.New(forward.Options{Log: e.log, Clock: e.clock, Counters: metrics.forward}),
		unclaimed: newUnclaimed(), metrics: metrics, draining: &e.draining, caughtUp: make(chan struct{}), drain: e.beginDrain,
		pullConfiguration: func(addr string) { _ = e.introduceOnce(context.Background(), addr) }, // after a failure, the peer's next introduction repeats it
		agents: &agents{
			log: e.log, control: e.control, outbox: out,
			options: session.Options{Counters: metrics.sessions},
		},
	}
	e.api.config = newConfiguration(e)
	e.api.agents.config = e.api.config
	metrics.RegisterConfig(e.api.config.replica)
	e.guard = httpconn.NewGuard(e.log, "callers", e.options.clientLimits())
	e.guard.Register("http.callers", metrics.RegisterGauge)
	e.server = &http.Server{
		ConnState: e.guard.Track, ConnContext: e.guard.ConnContext,
		Handler: e.guard.Handler(e.api.handler()), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		WriteTimeout: e.options.MaxTimeout + writeSlack,
		// net/http would print its errors to stderr as plain text; they are for debugging only.
		ErrorLog: slog.NewLogLogger(logr.ToSlogHandler(e.log.V(logging.LevelDebug)), slog.LevelInfo),
	}
}

// Addr returns the bound address.
func (e *Entry) Addr() string { return e.listener.Addr().String() }

// Start serves until Stop. It returns once the entry accepts work.
func (e *Entry) Start() {
	go e.control.Run()
	e.api.config.start(e.control)
	go func() {
		if err := e.server.Serve(e.guard.Listener(httpconn.NewLoggingListener(e.listener, e.log))); !errors.Is(err, http.ErrServerClosed) {
			e.finish(errors.Wrap(err, "serve"))
		}
	}()
	event.Log(e.log, event.EntryStarting, "addr", e.Addr(), "entries", e.options.Entries, "log", e.options.LogURL)
	confirmedBy, unanswered := e.catchUp()
	for _, addr := range e.options.entries() {
		go e.introduce(addr)
	}
	go e.announceChanges()
	event.Log(e.log, event.ProcessStarted, "addr", e.Addr(), "advertise", e.api.owner.Addr.String(),
		"incarnation", e.api.owner.Incarnation.String(), "data_centre", e.options.DataCentre, "policy", e.options.Policy,
		"config_version", e.api.config.replica.Get().State.Version, "config_confirmed_by", confirmedBy,
		"silent_entries", strings.Join(unanswered, ","))
}

// Done returns a channel that is closed when a drain is over, or when serving failed.
func (e *Entry) Done() <-chan struct{} { return e.done }

// Stop drains and ends the daemon. It returns once every accepted job has its answer and
// callers have had the time to fetch it, or with an error if the drain timeout or the
// context ends first.
func (e *Entry) Stop(ctx context.Context) error {
	e.beginDrain()
	select {
	case <-e.done:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "drain")
	}
	return e.doneErr
}
