// Package dispatcher implements the daemon on entry hosts that serves leased targets: it
// accepts callers' jobs, sends their tasks to the connected runners and answers the callers.
// The control state (internal/dispatch) is owned by one goroutine; the goroutines of requests
// and sessions send it commands through a channel.
package dispatcher

import (
	"cmp"
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-logr/logr"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/confsync"
	"github.com/camphorrack/camphorrack/internal/control"
	"github.com/camphorrack/camphorrack/internal/dispatch"
	"github.com/camphorrack/camphorrack/internal/evacuation"
	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/handover"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/leased"
	"github.com/camphorrack/camphorrack/internal/platformlog"
	"github.com/camphorrack/camphorrack/internal/routing"
	"github.com/camphorrack/camphorrack/internal/scheduler/connlimit"
	"github.com/camphorrack/camphorrack/internal/scheduler/membership"
	"github.com/camphorrack/camphorrack/internal/session"
)

// Program is the daemon's name.
const Program = "camphorrack-dispatcher"

// Options are the settings and dependencies of the daemon.
type Options struct {
	Host, DataCentre string
	CallerAddr       string // HTTP API for callers
	ReadyAddr        string // readiness check of the balancer
	TargetsAddr      string // rejects announcements of targets; empty: not served
	SessionAddr      string // sessions with runners
	MetricsAddr      string
	Grace            time.Duration // between SIGTERM and SIGKILL
	LostRunLimit     time.Duration // see dispatch.Options
	RemoteFactor     float64       // see dispatch.Options
	MemoryMB         int           // memory limit of the host; see leased.LimitMemory
	Descriptors      int           // file descriptors for connections; 0: unknown
	ProcessorShare   float64       // processor time available to the process, in cores
	LinkMbps         float64       // bandwidth of the host's network link; 0: unknown

	Store               platformlog.KeyedLog
	Operator            leased.OperatorTopic
	ConfigVersion       func(body []byte) (uint64, error)
	ParseConfig         func(body []byte) (*routing.Table, error)
	NewCallerHandler    func(*Dispatcher) http.Handler
	NewReadinessHandler func(ready func() bool) http.Handler
}

const (
	// tickInterval is how often deadlines and retries are checked. It is well below the run
	// time of the shortest task.
	tickInterval = 20 * time.Millisecond
	maxCommands  = 4096 // queued for the control goroutine
	maxBatch     = 256  // commands between two flushes
	// submitTimeout is how long a job may wait for room in the command queue of the control
	// goroutine. With a longer one, jobs in the queue would be late before they are processed.
	submitTimeout = 30 * time.Millisecond
	// queryTimeout is the same limit for queries and cancellations of jobs.
	queryTimeout = 500 * time.Millisecond
	// Default limits of callers' connections, for those that the configuration does not set
	// and until it is known, and the limits of all other connections. They are the values
	// that operators usually set.
	headerTimeout  = 3 * time.Second
	idleTimeout    = 15 * time.Second
	maxHeaderBytes = 16 << 10
	// drainReserve is the part of the grace period that is reserved for the jobs admitted
	// last: callers wait 1.5 s for an answer.
	drainReserve = 2200 * time.Millisecond
	// exitReserve is the part of the grace period that is reserved for the exit of the process.
	exitReserve = 500 * time.Millisecond
)

// state is owned by the control goroutine.
type state struct {
	core        *dispatch.Core
	config      *confsync.Replica
	evacuations *evacuation.Replica
	// directory holds the other dispatchers, as named by the store and by runners.
	directory *membership.Directory
	// loadInterval is the minimum time between load reports that was last sent to runners.
	loadInterval time.Duration
	verifyAt     time.Time // when the callers are verified next
	verifySoon   bool      // they are verified with the next flush
}

// Dispatcher is the daemon.
type Dispatcher struct {
	options      Options
	log          logr.Logger
	clock        clock.Clock
	stall        *clock.StallDetector
	incarnation  job.Incarnation
	loop         *control.Loop[*state]
	metrics      *counters
	sessions     *sessions
	handover     *handover.Endpoint
	exitAt       atomic.Pointer[time.Time] // when a drain ends; nil: not draining
	startedAt    time.Time
	routes       atomic.Pointer[routing.Table]
	host         atomic.Pointer[connlimit.Host]
	routesKnown  chan struct{} // closed when the first configuration is in force
	usableAgents atomic.Int64
	// informedPeers is the number of other dispatchers that would pass a configuration on to this one.
	informedPeers atomic.Int64
	draining      atomic.Bool
	servers       leased.Servers
	callerServer  *leased.Server
	stop          context.CancelFunc
}

// New returns a daemon that listens on its addresses but does not serve yet.
func New(o Options, log logr.Logger) (*Dispatcher, error) {
	leased.LimitMemory(o.MemoryMB)
	d := &Dispatcher{
		options: o, log: log, clock: clock.NewAnchored(), stall: clock.NewStallDetector(clock.StallThreshold), incarnation: job.NewIncarnation(),
		startedAt: time.Now(), routesKnown: make(chan struct{}),
	}
	d.metrics = newCounters(func() int { return d.loop.QueuedCommands() })
	d.sessions = newSessions(d)
	d.handover = handover.New(handover.Options{
		Log: log, Addr: o.SessionAddr, DataCentre: o.DataCentre, Incarnation: d.incarnation,
		Session: leased.HandoverSessionOptions(d.metrics.Sessions), Jobs: handedOverJobs{d}, LostRunLimit: o.LostRunLimit,
	})
	d.loop = control.New(control.Options[*state]{
		State: d.newState(), Clock: d.clock, MaxCommands: maxCommands, MaxBatch: maxBatch,
		Tick: d.tick, TickInterval: func(*state) time.Duration { return tickInterval }, Flush: d.flush,
		OnTurn: d.metrics.TurnObserver(log),
	})
	if err := d.listen(); err != nil {
		d.servers.Close()
		return nil, err
	}
	return d, nil
}

func (d *Dispatcher) newState() *state {
	s := &state{directory: membership.NewDirectory(membership.Peer{Addr: d.options.SessionAddr, DataCentre: d.options.DataCentre})}
	s.core = dispatch.New(dispatch.Options{
		Log: d.log, Outbox: d.sessions, DataCentre: d.options.DataCentre, LostRunLimit: d.options.LostRunLimit,
		RemoteFactor: d.options.RemoteFactor, LinkMbps: d.options.LinkMbps, Now: time.Now,
		MemoryBytes: connlimit.JobBytes(leased.HostLimits(d.options.MemoryMB, d.options.Descriptors)),
		Cancelled:   func(id string) { d.handover.Cancel(id) },
	})
	s.config = &confsync.Replica{Apply: func(_ time.Time, version uint64, body []byte) error {
		if err := d.applyConfig(version, body); err != nil {
			return err
		}
		s.core.SetQueueCount(d.routes.Load().Len())
		return nil
	}}
	s.config.Send = func(id confsync.PeerID, note configNote) { s.core.QueueConfigNote(dispatch.ConnID(id), note) }
	s.evacuations = leased.NewEvacuationReplica(d.log, func(id evacuation.PeerID, list []evacuation.Record) {
		s.core.QueueEvacuations(dispatch.ConnID(id), list)
	}, s.core.Evacuate)
	return s
}

// applyConfig puts a configuration into force. If it is invalid, the previous one stays.
func (d *Dispatcher) applyConfig(version uint64, body []byte) error {
	table, err := d.options.ParseConfig(body)
	if err != nil {
		event.Log(d.log, event.ConfigBad, "version", version, "error", err.Error())
		return err
	}
	event.Log(d.log, event.ConfigApplied, "version", version, "routes", table.Len(), "was", d.configVersion())
	if d.routes.Swap(table) == nil {
		close(d.routesKnown)
	}
	d.callerServer.SetLimits(connLimits(table.Limits))
	d.updateClientLimits()
	return nil
}

// updateClientLimits sets the limits on what all callers hold together. There is always room for a body of
// the largest size, and for the buffer that it grows from.
func (d *Dispatcher) updateClientLimits() {
	limits := connlimit.ForCallers(*d.host.Load())
	if table := d.routes.Load(); table != nil && limits.Bytes > 0 {
		limits.Bytes = max(limits.Bytes, 2*table.Limits.BodyBytes)
	}
	d.callerServer.SetClientLimits(limits)
}

// connLimits returns the limits of callers' connections, with the defaults for those that
// the operator has not set.
func connLimits(l routing.Limits) leased.ConnLimits {
	return leased.ConnLimits{
		HeaderBytes:   cmp.Or(l.HeaderBytes, maxHeaderBytes),
		HeaderTimeout: cmp.Or(l.HeaderTimeout, headerTimeout),
		IdleTimeout:   cmp.Or(l.IdleTimeout, idleTimeout),
	}
}

// configVersion returns the version of the configuration in force, or 0 if there is none yet.
func (d *Dispatcher) configVersion() uint64 {
	if table := d.routes.Load(); table != nil {
		return table.Version
	}
	return 0
}

func (d *Dispatcher) tick(now time.Time, s *state) {
	if gap := d.stall.Check(); gap > 0 {
		event.Log(d.log, event.ProcessStalled, "ms", gap.Milliseconds())
	}
	s.core.Tick(now)
	s.config.Tick(now)
	s.directory.Expire(now)
	if !now.Before(s.verifyAt) {
		d.verifyWanted(s)
	}
	d.sessions.announceEntries(s)
	d.updateHandover(now, s)
	d.sessions.updateLoadInterval(s)
	d.usableAgents.Store(int64(s.core.UsableAgents()))
	d.informedPeers.Store(int64(min(s.directory.Len(), len(d.sessions.runners))))
}

func (d *Dispatcher) refreshMetrics() error {
	d.metrics.updateHandover(d.handover)
	return d.loop.Do(leased.MetricsTimeout, func(_ time.Time, s *state) {
		d.metrics.update(s.core)
		d.metrics.updateSessions(d.sessions, s.directory.Len())
	})
}

// listen binds the addresses of all endpoints; Start serves them.
func (d *Dispatcher) listen() error {
	sessionRouter := gin.New()
	sessionRouter.GET(session.Path, d.sessions.serve)
	sessionRouter.GET(session.EntryPath, func(g *gin.Context) { d.handover.Serve(g.Writer, g.Request) })
	metricsRouter := gin.New()
	metricsRouter.GET(leased.MetricsPath, leased.Metrics(d.log, d.metrics.Registry, d.refreshMetrics))
	host := leased.HostLimits(d.options.MemoryMB, d.options.Descriptors)
	d.host.Store(&host)
	other := connlimit.ForEndpoint(host)
	callerServer, err := d.servers.Listen(d.log, connLimits(routing.Limits{}), withConn,
		leased.Endpoint{Purpose: "runners", Addr: d.options.SessionAddr, Handler: sessionRouter, Clients: connlimit.ForSessions(host)},
		leased.Endpoint{Purpose: "the balancer", Addr: d.options.ReadyAddr, Handler: d.options.NewReadinessHandler(d.ready), Clients: other},
		leased.Endpoint{Purpose: "metrics", Addr: d.options.MetricsAddr, Handler: metricsRouter, Clients: other},
		leased.Endpoint{Purpose: "targets", Addr: d.options.TargetsAddr, Handler: http.HandlerFunc(rejectTarget), Clients: other},
		leased.Endpoint{Purpose: "callers", Addr: d.options.CallerAddr, Handler: d.options.NewCallerHandler(d), Clients: connlimit.ForCallers(host)},
	)
	d.callerServer = callerServer
	d.servers.RegisterGauges(d.metrics.RegisterGauge)
	return err
}

// SetHost sets the limits of the host, when the operator has changed them.
func (d *Dispatcher) SetHost(memoryMB, descriptors int) {
	leased.LimitMemory(memoryMB)
	host := leased.HostLimits(memoryMB, descriptors)
	d.host.Store(&host)
	d.updateClientLimits()
	_ = d.loop.Push(func(_ time.Time, s *state) { s.core.SetMemoryBytes(connlimit.JobBytes(host)) }) // fails only if the loop has stopped
}

// rejectTarget answers a target's announcement with 503: targets announce themselves to the
// runner on their own host.
func rejectTarget(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Start starts serving; Stop ends it.
func (d *Dispatcher) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	d.stop = cancel
	go d.loop.Run()
	d.servers.Serve()
	go platformlog.Watch(ctx, d.log, d.options.Store, platformlog.Partition{Topic: d.options.Operator.Name},
		platformlog.SharedPace(func() int { return int(d.informedPeers.Load()) }), operatorReader{d})
	record := leased.Record{Addr: d.options.SessionAddr, DataCentre: d.options.DataCentre}
	go leased.PublishForEarlierBuilds(ctx, d.log, d.options.Store, d.options.Host, record)
	go leased.PublishRecord(ctx, d.log, d.options.Store, d.options.Host, record,
		func(peers []membership.Peer) {
			// Push fails only if the control loop has stopped, when the process exits.
			_ = d.loop.Push(func(now time.Time, s *state) { s.directory.Replace(now, membership.FromStore, peers) })
		})
	event.Log(d.log, event.ProcessStarted, "host", d.options.Host, "data_centre", d.options.DataCentre, "callers", d.options.CallerAddr,
		"inner", d.options.SessionAddr, "incarnation", d.incarnation.String(), "memory_mb", d.options.MemoryMB)
}

// ready reports whether the balancer may send new connections here.
func (d *Dispatcher) ready() bool {
	return !d.draining.Load() && d.routes.Load() != nil && d.usableAgents.Load() > 0
}

// closeConnections closes the connections of callers, each once its request is answered, and
// those that are left at the deadline. Jobs that came since the entry had none are still handed
// over to peers, whose answers may take as long as the rest of the grace period.
func (d *Dispatcher) closeConnections(ctx context.Context, deadline time.Time) error {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return d.callerServer.Shutdown(ctx)
}

// giveUpUnanswered ends the jobs that have no answer when the process exits, those handed over
// included. Their callers are told whether they have not run, or that the outcome is unknown, in place
// of finding their connection closed.
func (d *Dispatcher) giveUpUnanswered() {
	d.handover.CancelAll()
	_ = d.loop.Push(func(now time.Time, s *state) { s.core.GiveUpAll(now) }) // fails only if the loop has stopped
}

// Stop drains and stops the daemon. The balancer sends no new connections once its readiness
// check fails. New jobs on open connections are handed over to other entries from the start, and
// those that no entry takes are served here until drainReserve is left of the grace period. Then
// they are refused, and the answers to the others are awaited. Each connection ends with its next
// answer, so that none in use is closed at the end.
func (d *Dispatcher) Stop(ctx context.Context) error {
	startedAt := time.Now()
	deadline := startedAt.Add(d.options.Grace - exitReserve)
	d.exitAt.Store(&deadline)
	d.draining.Store(true)
	event.Log(d.log, event.DrainStarted, "grace_ms", d.options.Grace.Milliseconds())
	d.callerServer.Retire()
	clock.Sleep(ctx, time.Until(startedAt.Add(d.options.Grace-drainReserve)))
	_ = d.loop.Push(func(_ time.Time, s *state) { s.core.Drain() }) // fails only if the loop has stopped
	for unanswered := 1; unanswered > 0 && time.Now().Before(deadline) && ctx.Err() == nil; {
		if err := d.loop.Do(queryTimeout, func(_ time.Time, s *state) { unanswered = s.core.UnansweredJobs() + d.handover.InFlight() }); err != nil {
			break
		}
		clock.Sleep(ctx, tickInterval)
	}
	err := d.closeConnections(ctx, deadline)
	if err != nil {
		d.giveUpUnanswered()
		err = d.closeConnections(ctx, deadline.Add(exitReserve/2))
	}
	d.stop()
	d.handover.Close()
	d.servers.Close()
	d.loop.Stop()
	event.Log(d.log, event.ProcessStopped, "clean", err == nil, "after_ms", time.Since(startedAt).Milliseconds())
	return nil
}
