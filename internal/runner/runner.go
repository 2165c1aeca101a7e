// Package runner is the daemon beside a leased target. It hears what the target says
// of itself, keeps sessions with some dispatchers, runs their orders on the target
// and renews the lease under which they run. The control state (internal/runs)
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
	"github.com/camphorrack/camphorrack/internal/wire"
)

// Program is the daemon's name.
const Program = "camphorrack-runner"

// Target is the target beside the process. Its methods block until there is an
// answer or the call's time is over.
type Target interface {
	// Start returns the target's clock too, 0 where it said nothing.
	Start(runs.StartCall) (answer runs.Answer, clockMs int64)
	Stop(runs.StopCall) runs.Answer
	// Renew returns an error for which Why tells the reason.
	Renew(runs.RenewCall) (runs.Listing, error)
}

// Options are the daemon's settings and what it is wired to.
type Options struct {
	Host, DataCentre string
	TargetsAddr      string // where the target announces itself
	MetricsAddr      string
	Neighbours       []string // inner addresses of hosts that may run a dispatcher
	Grace            time.Duration
	LeaseLimit       time.Duration
	MemoryMB         int

	Store              platformlog.Keyed
	Target             Target
	ClassifyRenewError func(error) runs.RenewFailure
	NewTargetHandler   func(*Runner) http.Handler
}

const (
	// tickEvery is how often waits and retries are looked at; it also bounds how late
	// a report of the load may go out.
	tickEvery = 15 * time.Millisecond
	// idleTick is the same while nothing is under way.
	idleTick    = 100 * time.Millisecond
	maxCommands = 2048
	maxBatch    = 256
	// noTargetPause is the pause between looks while no target has announced itself.
	noTargetPause = 20 * time.Millisecond
	// failedPause is the pause after a renewal that failed, failedAgainPause after
	// another one: the answer alone may have been lost, and a lease lasts a second; a
	// target that is away must not be called all the time.
	failedPause      = 2 * time.Millisecond
	failedAgainPause = 50 * time.Millisecond
	// exitTail is the part of the grace that is kept for the end of the process.
	exitTail      = 400 * time.Millisecond
	headerTimeout = 3 * time.Second
	closeTimeout  = 100 * time.Millisecond
)

// state is what the control goroutine owns.
type state struct {
	table       *runs.Table
	conf        *confsync.Replica
	evacuations *evacuation.Replica
	sessions    map[runs.ConnID]*entrySession
}

// Runner is the daemon.
type Runner struct {
	o           Options
	log         logr.Logger
	clock       clock.Clock
	stall       *clock.StallDetector
	incarnation job.Incarnation
	loop        *control.Loop[*state]
	metrics     *counters
	dialers     *dialers
	last        atomic.Uint64
	servers     leased.Servers
	ctx         context.Context // of what ends with the daemon
	stop        context.CancelFunc
	kick        chan struct{} // a renewal is wanted now
	// forgetOlder ends the writing of an older record. It belongs to the control
	// goroutine.
	forgetOlder context.CancelFunc
}

// New returns a daemon that is bound to its addresses but does not serve yet.
func New(o Options, log logr.Logger) (*Runner, error) {
	leased.LimitMemory(o.MemoryMB)
	r := &Runner{
		o: o, log: log, clock: clock.NewAnchored(), stall: clock.NewStallDetector(clock.StallThreshold),
		incarnation: job.NewIncarnation(), kick: make(chan struct{}, 1),
	}
	r.ctx, r.stop = context.WithCancel(context.Background())
	r.metrics = newCounters(func() int { return r.loop.QueuedCommands() })
	r.dialers = newDialers(r)
	r.loop = control.New(control.Options[*state]{
		State: r.newState(), Clock: r.clock, MaxCommands: maxCommands, MaxBatch: maxBatch,
		Tick: r.tick, TickInterval: pace, Flush: func(s *state) { s.table.Flush(r.clock.Now()) },
		OnTurn: r.metrics.TurnObserver(log),
	})
	if err := r.listen(); err != nil {
		r.servers.Close()
		return nil, err
	}
	return r, nil
}

func (r *Runner) newState() *state {
	s := &state{sessions: map[runs.ConnID]*entrySession{}}
	s.table = runs.New(runs.Options{Log: r.log, Target: (*calls)(r), Outbox: s, DataCentre: r.o.DataCentre, LeaseLimit: r.o.LeaseLimit})
	s.conf = &confsync.Replica{Apply: func(_ time.Time, version uint64, _ []byte) error {
		event.Log(r.log, event.ConfigApplied, "version", version, "kept_for", "entries")
		return nil
	}}
	s.conf.Send = func(id confsync.PeerID, note wire.ConfigNote) { s.table.QueueConfigNote(runs.ConnID(id), note) }
	s.evacuations = leased.NewEvacuationReplica(r.log, func(id evacuation.PeerID, list []evacuation.Record) {
		s.table.QueueEvacuations(runs.ConnID(id), list)
	}, s.table.Evacuate)
	return s
}

func pace(s *state) time.Duration {
	if s.table.Runs() > 0 || s.table.LoadReportPending() {
		return tickEvery
	}
	return idleTick
}

func (r *Runner) tick(now time.Time, s *state) {
	r.awake(now, s)
	s.table.Tick(now)
	s.conf.Tick(now)
}

// awake ends every session where the process stood still: the other sides have given
// them up, and what they sent before must not be started now.
func (r *Runner) awake(now time.Time, s *state) {
	gap := r.stall.Check()
	if gap == 0 {
		return
	}
	event.Log(r.log, event.ProcessStalled, "ms", gap.Milliseconds(), "runs", s.table.Runs())
	s.table.DisconnectAll(now)
}

// do hands a command to the control goroutine.
func (r *Runner) do(command control.Command[*state]) {
	// The error means that the process ends.
	_ = r.loop.Push(func(now time.Time, s *state) {
		r.awake(now, s)
		command(now, s)
	})
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

func (r *Runner) refreshMetrics() error {
	return r.loop.Do(leased.MetricsTimeout, func(_ time.Time, s *state) { r.metrics.update(s.table) })
}

func (r *Runner) listen() error {
	page := gin.New()
	page.GET(leased.MetricsPath, leased.Metrics(r.log, r.metrics.Registry, r.refreshMetrics))
	_, err := r.servers.Listen(r.log, leased.ConnLimits{HeaderTimeout: headerTimeout}, nil,
		leased.Endpoint{Purpose: "the target", Addr: r.o.TargetsAddr, Handler: r.o.NewTargetHandler(r)},
		leased.Endpoint{Purpose: "metrics", Addr: r.o.MetricsAddr, Handler: page},
	)
	return err
}

// Start serves and dials until Stop.
func (r *Runner) Start() {
	go r.loop.Run()
	r.servers.Serve()
	r.AddEntryAddrs(r.o.Neighbours)
	go r.recall(r.ctx)
	go platformlog.Watch(r.ctx, r.log, r.o.Store, leased.EntriesTopic, platformlog.ReadEach(r.hearRecord))
	go r.renew(r.ctx)
	event.Log(r.log, event.ProcessStarted, "host", r.o.Host, "data_centre", r.o.DataCentre,
		"incarnation", r.incarnation.String(), "memory_mb", r.o.MemoryMB)
}

// AddEntryAddrs notes addresses at which dispatchers may be reached.
func (r *Runner) AddEntryAddrs(addrs []string) {
	peers := make([]wire.Peer, len(addrs))
	for i, addr := range addrs {
		peers[i].Addr = addr
	}
	r.dialers.learn(peers)
}

func (r *Runner) hearRecord(e platformlog.Entry) {
	if len(e.Value) == 0 {
		r.dialers.place(e.Key, "", "")
		return
	}
	record, err := leased.ParseRecord(e.Value)
	if err != nil {
		event.Log(r.log, event.BadFrame, "topic", leased.EntriesTopic, "key", e.Key, "error", err.Error())
		return
	}
	r.dialers.place(e.Key, record.Addr, record.DataCentre)
}

// Announce takes what the target says of itself.
func (r *Runner) Announce(a runs.Announcement) {
	r.do(func(now time.Time, s *state) {
		if s.table.Announce(now, a) {
			r.remember(a)
		}
	})
	r.renewNow()
}

// Deregister takes the target's word that it ends.
func (r *Runner) Deregister(name string) {
	r.do(func(now time.Time, s *state) { s.table.Deregister(now, name) })
}

// Stop drains and ends the daemon: nothing new begins, and what runs may end within
// the grace.
func (r *Runner) Stop(ctx context.Context) error {
	began := time.Now()
	event.Log(r.log, event.DrainStarted, "grace_ms", r.o.Grace.Milliseconds())
	r.do(func(now time.Time, s *state) { s.table.Drain(now) })
	left := 1
	for until := began.Add(r.o.Grace - exitTail); left > 0 && time.Now().Before(until) && ctx.Err() == nil; {
		if err := r.loop.Do(time.Second, func(_ time.Time, s *state) { left = s.table.Runs() }); err != nil {
			break
		}
		time.Sleep(tickEvery)
	}
	time.Sleep(closeTimeout) // for the last outcomes to go out
	r.stop()
	r.dialers.end()
	r.servers.Close()
	r.loop.Stop()
	event.Log(r.log, event.ProcessStopped, "clean", left == 0, "left", left, "after_ms", time.Since(began).Milliseconds())
	return nil
}
