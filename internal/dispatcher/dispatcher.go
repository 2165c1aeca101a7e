// Package dispatcher is the daemon on entry hosts in front of leased targets: it takes
// callers' jobs, answers for them, and sends their tasks to the runners that have
// dialled it. The control state (internal/dispatch) belongs to one goroutine; the
// goroutines of requests and sessions hand it commands through a channel.
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
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/leased"
	"github.com/camphorrack/camphorrack/internal/platformlog"
	"github.com/camphorrack/camphorrack/internal/routing"
	"github.com/camphorrack/camphorrack/internal/session"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// Program is the daemon's name.
const Program = "camphorrack-dispatcher"

// Options are the daemon's settings and what it is wired to.
type Options struct {
	Host, DataCentre string
	CallerAddr       string // callers' requests
	ReadyAddr        string // the balancer's question whether new connections may come
	TargetsAddr      string // targets that announce themselves are turned away; empty: not served
	SessionAddr      string // runners' sessions
	MetricsAddr      string
	Grace            time.Duration // between SIGTERM and SIGKILL
	LeaseLimit       time.Duration
	RemoteFactor     float64
	MemoryMB         int
	ProcessorShare   float64 // of a core
	LinkMbps         float64 // of the host's network link; 0: not known

	Store               platformlog.Keyed
	Operator            leased.OperatorTopic
	ConfigVersion       func(body []byte) (uint64, error)
	ParseConfig         func(body []byte) (*routing.Table, error)
	NewCallerHandler    func(*Dispatcher) http.Handler
	NewReadinessHandler func(ready func() bool) http.Handler
}

const (
	// tickEvery is how often deadlines and retries are looked at: well below the
	// shortest task.
	tickEvery   = 20 * time.Millisecond
	maxCommands = 4096
	maxBatch    = 256
	// submitPatience is how long a job may wait for the control goroutine; longer, and
	// a queue of commands would hold jobs that are late before they are looked at.
	submitPatience = 30 * time.Millisecond
	// lookPatience is the same for questions about jobs.
	lookPatience = 500 * time.Millisecond
	// Limits of callers' requests until the configuration is known, and of all other
	// connections: as operators usually set them.
	headerTimeout  = 3 * time.Second
	idleTimeout    = 15 * time.Second
	maxHeaderBytes = 16 << 10
	// drainTail is the part of the grace that is kept for jobs that were let in last:
	// callers wait 1.5 s for an answer.
	drainTail = 2200 * time.Millisecond
	// exitTail is kept for the end of the process.
	exitTail = 500 * time.Millisecond
)

// state is what the control goroutine owns.
type state struct {
	core        *dispatch.Core
	conf        *confsync.Replica
	evacuations *evacuation.Replica
	// entries are the addresses of dispatchers that runners have named, with their data
	// centres where known; fresh are those that the runners were not told of yet.
	entries map[string]string
	fresh   []wire.Peer
	// loadEvery is how often runners were told to report the load.
	loadEvery time.Duration
}

// Dispatcher is the daemon.
type Dispatcher struct {
	o           Options
	log         logr.Logger
	clock       clock.Clock
	stall       *clock.StallDetector
	incarnation job.Incarnation
	loop        *control.Loop[*state]
	metrics     *counters
	sessions    *sessions
	routes      atomic.Pointer[routing.Table]
	usable      atomic.Int64
	leaving     atomic.Bool
	servers     leased.Servers
	callers     *leased.Server
	stop        context.CancelFunc
}

// New returns a daemon that is bound to its addresses but does not serve yet.
func New(o Options, log logr.Logger) (*Dispatcher, error) {
	leased.LimitMemory(o.MemoryMB)
	d := &Dispatcher{
		o: o, log: log, clock: clock.NewAnchored(), stall: clock.NewStallDetector(clock.StallThreshold), incarnation: job.NewIncarnation(),
	}
	d.metrics = newCounters(func() int { return d.loop.QueuedCommands() })
	d.sessions = newSessions(d)
	d.loop = control.New(control.Options[*state]{
		State: d.newState(), Clock: d.clock, MaxCommands: maxCommands, MaxBatch: maxBatch,
		Tick: d.tick, TickInterval: func(*state) time.Duration { return tickEvery }, Flush: func(s *state) { s.core.Flush() },
		OnTurn: d.metrics.TurnObserver(log),
	})
	if err := d.listen(); err != nil {
		d.servers.Close()
		return nil, err
	}
	return d, nil
}

func (d *Dispatcher) newState() *state {
	s := &state{entries: map[string]string{}}
	s.core = dispatch.New(dispatch.Options{
		Log: d.log, Outbox: d.sessions, DataCentre: d.o.DataCentre, LeaseLimit: d.o.LeaseLimit,
		RemoteFactor: d.o.RemoteFactor, LinkMbps: d.o.LinkMbps, Now: time.Now,
	})
	s.conf = &confsync.Replica{Apply: d.adopt}
	s.conf.Send = func(id confsync.PeerID, note confNote) { s.core.QueueConfigNote(dispatch.ConnID(id), note) }
	s.evacuations = leased.NewEvacuationReplica(d.log, func(id evacuation.PeerID, list []evacuation.Record) {
		s.core.QueueEvacuations(dispatch.ConnID(id), list)
	}, s.core.Evacuate)
	return s
}

// adopt takes a configuration into force.
func (d *Dispatcher) adopt(_ time.Time, version uint64, body []byte) error {
	table, err := d.o.ParseConfig(body)
	if err != nil {
		event.Log(d.log, event.ConfigBad, "version", version, "error", err.Error())
		return err
	}
	event.Log(d.log, event.ConfigApplied, "version", version, "routes", table.Len(), "was", d.version())
	d.routes.Store(table)
	d.callers.SetLimits(connLimits(table.Limits))
	return nil
}

// connLimits returns the limits of callers' connections; what the operator left open
// takes the usual value.
func connLimits(l routing.Limits) leased.ConnLimits {
	return leased.ConnLimits{
		HeaderBytes:   cmp.Or(l.HeaderBytes, maxHeaderBytes),
		HeaderTimeout: cmp.Or(l.HeaderTimeout, headerTimeout),
		IdleTimeout:   cmp.Or(l.IdleTimeout, idleTimeout),
	}
}

func (d *Dispatcher) version() uint64 {
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
	s.conf.Tick(now)
	d.sessions.passOn(s)
	d.sessions.pace(s)
	d.usable.Store(int64(s.core.UsableAgents()))
}

func (d *Dispatcher) refreshMetrics() error {
	return d.loop.Do(leased.MetricsTimeout, func(_ time.Time, s *state) { d.metrics.update(s.core) })
}

func (d *Dispatcher) listen() error {
	inner := gin.New()
	inner.GET(session.Path, d.sessions.serve)
	page := gin.New()
	page.GET(leased.MetricsPath, leased.Metrics(d.log, d.metrics.Registry, d.refreshMetrics))
	callers, err := d.servers.Listen(d.log, connLimits(routing.Limits{}), withConn,
		leased.Endpoint{Purpose: "runners", Addr: d.o.SessionAddr, Handler: inner},
		leased.Endpoint{Purpose: "the balancer", Addr: d.o.ReadyAddr, Handler: d.o.NewReadinessHandler(d.ready)},
		leased.Endpoint{Purpose: "metrics", Addr: d.o.MetricsAddr, Handler: page},
		leased.Endpoint{Purpose: "targets", Addr: d.o.TargetsAddr, Handler: http.HandlerFunc(turnAway)},
		leased.Endpoint{Purpose: "callers", Addr: d.o.CallerAddr, Handler: d.o.NewCallerHandler(d)},
	)
	d.callers = callers
	return err
}

// turnAway answers a target that comes here: the runner on its own host serves it.
func turnAway(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }

// Start serves until Stop.
func (d *Dispatcher) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	d.stop = cancel
	go d.loop.Run()
	d.servers.Serve()
	go platformlog.Watch(ctx, d.log, d.o.Store, d.o.Operator.Name, operatorReader{d})
	record := leased.Record{Addr: d.o.SessionAddr, DataCentre: d.o.DataCentre}
	go platformlog.Keep(ctx, d.log, d.o.Store, leased.EntriesTopic, d.o.Host, record.Encode())
	event.Log(d.log, event.ProcessStarted, "host", d.o.Host, "data_centre", d.o.DataCentre, "callers", d.o.CallerAddr,
		"inner", d.o.SessionAddr, "incarnation", d.incarnation.String(), "memory_mb", d.o.MemoryMB)
}

// ready reports whether new connections may come.
func (d *Dispatcher) ready() bool {
	return !d.leaving.Load() && d.routes.Load() != nil && d.usable.Load() > 0
}

// Stop drains and ends the daemon. New connections stop coming once the balancer has
// heard that it is not ready; those that are open are served on until their answers
// fit into what is left of the grace.
func (d *Dispatcher) Stop(ctx context.Context) error {
	began := time.Now()
	d.leaving.Store(true)
	event.Log(d.log, event.DrainStarted, "grace_ms", d.o.Grace.Milliseconds())
	clock.Sleep(ctx, time.Until(began.Add(d.o.Grace-drainTail)))
	_ = d.loop.Push(func(_ time.Time, s *state) { s.core.Drain() }) // an error means that it has ended
	until := began.Add(d.o.Grace - exitTail)
	for live := 1; live > 0 && time.Now().Before(until) && ctx.Err() == nil; {
		if err := d.loop.Do(lookPatience, func(_ time.Time, s *state) { live = s.core.UnansweredJobs() }); err != nil {
			break
		}
		clock.Sleep(ctx, tickEvery)
	}
	closing, cancel := context.WithTimeout(ctx, exitTail/2)
	defer cancel()
	err := d.callers.Shutdown(closing)
	d.stop()
	d.servers.Close()
	d.loop.Stop()
	event.Log(d.log, event.ProcessStopped, "clean", err == nil, "after_ms", time.Since(began).Milliseconds())
	return nil
}
