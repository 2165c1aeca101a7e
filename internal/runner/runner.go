// Package runner implements the daemon on the host of a leased target. It receives the
// target's announcements, keeps sessions with some dispatchers, executes their orders on
// the target and renews the lease under which these run. The control state (internal/runs)
// belongs to one goroutine; calls to the target are made on goroutines of their own.
package runner

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-logr/logr"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/confsync"
	"github.com/camphorrack/camphorrack/internal/control"
	"github.com/camphorrack/camphorrack/internal/evacuation"
	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/leased"
	"github.com/camphorrack/camphorrack/internal/platformlog"
	"github.com/camphorrack/camphorrack/internal/runs"
	"github.com/camphorrack/camphorrack/internal/scheduler/connlimit"
	"github.com/camphorrack/camphorrack/internal/scheduler/lease"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// Program is the daemon's name.
const Program = "camphorrack-runner"

// Target calls the target on this host. Its methods block until the target answers or the
// call times out.
type Target interface {
	// Start also returns the target's clock in milliseconds, or 0 if the answer has none.
	Start(runs.StartCall) (answer runs.Answer, clockMs int64)
	Stop(runs.StopCall) runs.Answer
	// Renew renews the lease and returns the target's runs. Options.ClassifyRenewError maps
	// its error to a reason.
	Renew(runs.RenewCall) (runs.Listing, error)
}

// Options are the settings and dependencies of the daemon.
type Options struct {
	Host, DataCentre string
	DataCentres      []string // of the whole deployment, as far as they are known
	TargetsAddr      string   // address for the target's announcements
	MetricsAddr      string
	FirstStart       bool          // the whole deployment starts for the first time
	EntryAddrs       []string      // session addresses of hosts that may run a dispatcher
	Grace            time.Duration // time to finish running tasks on shutdown
	Lease            lease.Terms
	LeaseUnsafe      bool // Lease can't prevent that runs overlap; see lease.NewTerms
	MemoryMB         int  // the host's memory limit for the process
	Descriptors      int  // file descriptors for connections; 0: unknown

	Store              platformlog.KeyedLog
	Target             Target
	ClassifyRenewError func(error) runs.RenewFailure // of an error of Target.Renew
	NewTargetHandler   func(*Runner) http.Handler    // serves TargetsAddr
}

const (
	// busyTickInterval is the interval of checks for timeouts and retries; it also bounds the
	// delay of a load report.
	busyTickInterval = 15 * time.Millisecond
	// idleTickInterval applies while there are no orders and no pending load report.
	idleTickInterval = 100 * time.Millisecond
	maxCommands      = 2048 // queued for the control goroutine
	maxBatch         = 256  // commands between two flushes
	// noTargetPollInterval is the interval of checks for a target while none is known.
	noTargetPollInterval = 20 * time.Millisecond
	// exitReserve is the part of Options.Grace that is reserved for closing sessions and
	// servers.
	exitReserve   = 400 * time.Millisecond
	headerTimeout = 3 * time.Second // for the header of a request
	// finalFlushDelay is the time for sending the last outcomes before sessions are closed.
	finalFlushDelay = 100 * time.Millisecond
)

// state is the control state; only the control goroutine accesses it.
type state struct {
	table       *runs.Table
	config      *confsync.Replica
	evacuations *evacuation.Replica
	sessions    map[runs.ConnID]*entrySession
}

// Runner is the daemon on the host of a leased target.
type Runner struct {
	options        Options
	log            logr.Logger
	clock          clock.Clock
	stall          *clock.StallDetector
	incarnation    job.Incarnation
	loop           *control.Loop[*state]
	metrics        *counters
	dialers        *dialers
	lastConnID     atomic.Uint64
	servers        leased.Servers
	ctx            context.Context // cancelled when the daemon stops
	stop           context.CancelFunc
	epoch          atomic.Uint64 // of the target; see runs.Target
	renewRequested chan struct{} // has an element while a renewal without delay is requested
	// cancelOlderWrite cancels the writing of an older record of the target. Only the control
	// goroutine accesses it.
	cancelOlderWrite context.CancelFunc
}

// New returns a daemon that is bound to its addresses but does not serve yet.
func New(o Options, log logr.Logger) (*Runner, error) {
	leased.LimitMemory(o.MemoryMB)
	r := &Runner{
		options: o, log: log, clock: clock.NewAnchored(), stall: clock.NewStallDetector(clock.StallThreshold),
		incarnation: job.NewIncarnation(), renewRequested: make(chan struct{}, 1),
	}
	r.ctx, r.stop = context.WithCancel(context.Background())
	r.metrics = newCounters(func() int { return r.loop.QueuedCommands() })
	r.dialers = newDialers(r)
	r.loop = control.New(control.Options[*state]{
		State: r.newState(), Clock: r.clock, MaxCommands: maxCommands, MaxBatch: maxBatch,
		Tick: r.tick, TickInterval: tickInterval, Flush: r.flush,
		OnTurn: r.metrics.TurnObserver(log),
	})
	if err := r.listen(); err != nil {
		r.servers.Close()
		return nil, err
	}
	return r, nil
}

// newState returns the control state. Configurations are only replicated, not used.
func (r *Runner) newState() *state {
	s := &state{sessions: map[runs.ConnID]*entrySession{}}
	s.table = runs.New(runs.Options{Log: r.log, Target: (*targetCalls)(r), Outbox: s, DataCentre: r.options.DataCentre, Lease: r.options.Lease})
	s.config = &confsync.Replica{Apply: func(_ time.Time, version uint64, _ []byte) error {
		event.Log(r.log, event.ConfigApplied, "version", version, "kept_for", "entries")
		return nil
	}}
	s.config.Send = func(id confsync.PeerID, note wire.ConfigNote) { s.table.QueueConfigNote(runs.ConnID(id), note) }
	s.evacuations = leased.NewEvacuationReplica(r.log, func(id evacuation.PeerID, list []evacuation.Record) {
		s.table.QueueEvacuations(runs.ConnID(id), list)
	}, s.table.Evacuate)
	return s
}

// tickInterval returns the time from one tick to the next. It is shorter where an offer lapses
// earlier, so that capacity is not held for longer than the offer states.
func tickInterval(s *state) time.Duration {
	interval := idleTickInterval
	if s.table.Runs() > 0 || s.table.Reservations() > 0 || s.table.LoadReportPending() {
		interval = busyTickInterval
	}
	if untilLapse, open := s.table.UntilLapse(); open {
		interval = min(interval, untilLapse)
	}
	return interval
}

func (r *Runner) tick(now time.Time, s *state) {
	r.disconnectAfterStall(now, s)
	s.table.Tick(now)
	s.config.Tick(now)
}

// disconnectAfterStall ends all sessions if the process was suspended: the entries have closed
// them meanwhile, and orders that they sent before must not start now.
func (r *Runner) disconnectAfterStall(now time.Time, s *state) {
	gap := r.stall.Check()
	if gap == 0 {
		return
	}
	event.Log(r.log, event.ProcessStalled, "ms", gap.Milliseconds(), "runs", s.table.Runs())
	s.table.DisconnectAll(now, gap)
}

// enqueue queues a command for the control goroutine, and blocks while the queue is full.
func (r *Runner) enqueue(command control.Command[*state]) {
	// An error means that the loop has stopped; then the command is dropped.
	_ = r.loop.Push(func(now time.Time, s *state) {
		r.disconnectAfterStall(now, s)
		command(now, s)
	})
}

// flush sends what is queued for the sessions, and stores the target for the next start of the daemon.
func (r *Runner) flush(s *state) {
	s.table.Flush(r.clock.Now())
	if a, changed := s.table.UnstoredTarget(); changed {
		r.storeTarget(a)
	}
}

// Send implements runs.Outbox.
func (s *state) Send(conn runs.ConnID, f *wire.ToEntry) {
	if session := s.sessions[conn]; session != nil {
		session.conn.Send(f)
	}
}

// Close implements runs.Outbox.
func (s *state) Close(conn runs.ConnID) {
	if session := s.sessions[conn]; session != nil {
		session.conn.Close(nil)
	}
}

// WantedAt implements runs.Outbox.
func (s *state) WantedAt(conn runs.ConnID, now time.Time) time.Time {
	if session := s.sessions[conn]; session != nil {
		return session.wantedAt(now)
	}
	return time.Time{}
}

func (r *Runner) refreshMetrics() error {
	return r.loop.Do(leased.MetricsTimeout, func(_ time.Time, s *state) { r.metrics.update(s.table) })
}

// listen binds the addresses for announcements and metrics.
func (r *Runner) listen() error {
	page := gin.New()
	page.GET(leased.MetricsPath, leased.Metrics(r.log, r.metrics.Registry, r.refreshMetrics))
	limits := connlimit.ForEndpoint(leased.HostLimits(r.options.MemoryMB, r.options.Descriptors))
	_, err := r.servers.Listen(r.log, leased.ConnLimits{HeaderTimeout: headerTimeout}, nil,
		leased.Endpoint{Purpose: "the target", Addr: r.options.TargetsAddr, Handler: r.options.NewTargetHandler(r), Clients: limits},
		leased.Endpoint{Purpose: "metrics", Addr: r.options.MetricsAddr, Handler: page, Clients: limits},
	)
	r.servers.RegisterGauges(r.metrics.RegisterGauge)
	return err
}

// Start starts the goroutines of the daemon, which run until Stop.
func (r *Runner) Start() {
	go r.loop.Run()
	r.servers.Serve()
	go r.restoreTarget(r.ctx)
	r.SetSeeds(r.options.EntryAddrs)
	go r.discoverEntries(r.ctx)
	go r.renewLoop(r.ctx)
	if r.options.LeaseUnsafe {
		event.Log(r.log, event.LeaseUnsafe, "limit_ms", r.options.Lease.Limit.Milliseconds(), "run_limit_ms", r.options.Lease.RunLimit.Milliseconds())
	}
	event.Log(r.log, event.ProcessStarted, "host", r.options.Host, "data_centre", r.options.DataCentre,
		"incarnation", r.incarnation.String(), "memory_mb", r.options.MemoryMB)
}

// Announce handles an announcement of a target, and requests a renewal of the lease.
func (r *Runner) Announce(a runs.Announcement) {
	r.enqueue(func(now time.Time, s *state) { s.table.Announce(now, a) })
	r.requestRenewal()
}

// Deregister handles the target's notice that it is shutting down.
func (r *Runner) Deregister(name string) {
	r.enqueue(func(now time.Time, s *state) { s.table.Deregister(now, name) })
}

// Stop drains and stops the daemon: no task starts any more, and running tasks may finish
// within Options.Grace.
func (r *Runner) Stop(ctx context.Context) error {
	startedAt := time.Now()
	event.Log(r.log, event.DrainStarted, "grace_ms", r.options.Grace.Milliseconds())
	r.enqueue(func(now time.Time, s *state) { s.table.Drain(now) })
	left := 1
	for until := startedAt.Add(r.options.Grace - exitReserve); left > 0 && time.Now().Before(until) && ctx.Err() == nil; {
		if err := r.loop.Do(time.Second, func(_ time.Time, s *state) { left = s.table.Unfinished() }); err != nil {
			break
		}
		time.Sleep(busyTickInterval)
	}
	time.Sleep(finalFlushDelay)
	r.stop()
	r.dialers.shutdown()
	r.servers.Close()
	r.loop.Stop()
	event.Log(r.log, event.ProcessStopped, "clean", left == 0, "left", left, "after_ms", time.Since(startedAt).Milliseconds())
	return nil
}
