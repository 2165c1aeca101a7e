package agent

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"github.com/camphorrack/camphorrack/internal/attempt"
	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/targetapi"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// state is the blackboard of the daemon: everything that only the control
// goroutine touches.
type state struct {
	log         logr.Logger
	incarnation job.Incarnation
	table       *attempt.Table
	metrics     *counters

	sessions map[attempt.ConnID]*entrySession
	calls    map[attempt.Key]context.CancelFunc
	runTask  func(ctx context.Context, c *caller, k attempt.Key, s wire.Start)

	announced  targetapi.Announcement // latest; the zero value before the first
	announceAt time.Time
	silent     bool
	caller     *caller // nil before the first announcement
}

func newState(o Options, log logr.Logger, m *counters) *state {
	s := &state{
		log:         log,
		incarnation: job.NewIncarnation(),
		metrics:     m,
		sessions:    map[attempt.ConnID]*entrySession{},
		calls:       map[attempt.Key]context.CancelFunc{},
		silent:      true,
	}
	s.table = attempt.New(attempt.Options{
		Incarnation: s.incarnation, Log: log, Outbox: s, Policy: attempt.Policy(o.Policy),
	})
	return s
}

// Send implements attempt.Outbox. A frame for a connection that has just ended is
// dropped; its reports are repeated on the next.
func (s *state) Send(conn attempt.ConnID, f *wire.ToEntry) {
	if session := s.sessions[conn]; session != nil {
		session.conn.Send(f)
	}
}

// Close implements attempt.Outbox.
func (s *state) Close(conn attempt.ConnID) {
	if session := s.sessions[conn]; session != nil {
		event.Log(s.log, event.SessionReplaced, "conn", uint64(conn), "entry", session.addr)
		session.conn.Close(nil)
	}
}

// Run implements attempt.Outbox: the call gets a goroutine of its own.
func (s *state) Run(k attempt.Key, start wire.Start) {
	ctx, cancel := context.WithCancel(context.Background())
	s.calls[k] = cancel
	go s.runTask(ctx, s.caller, k, start)
}

// Abort implements attempt.Outbox.
func (s *state) Abort(k attempt.Key) {
	if cancel := s.calls[k]; cancel != nil {
		cancel()
	}
}

func (s *state) finished(now time.Time, k attempt.Key, c *caller, out callResult) {
	if cancel := s.calls[k]; cancel != nil {
		cancel() // frees the context
		delete(s.calls, k)
	}
	s.metrics.outcome(out.Outcome)
	if out.State != wire.Succeeded {
		event.Log(s.log.V(1), event.TargetFailed, "owner", k.Owner.String(), "attempt", k.Seq,
			"state", int(out.State), "run_ms", out.RunMs, "detail", out.Detail)
	}
	if out.unreachable && c == s.caller {
		s.suspect(now)
	}
	s.table.CompleteCall(now, k, out.Outcome)
}

// suspect takes a target that accepts no connection out of service until it
// announces itself again. Without this, a target that has just died would be sent
// task after task, each turned back at once, until its silence shows.
func (s *state) suspect(now time.Time) {
	if s.silent {
		return
	}
	s.silent = true
	event.Log(s.log, event.TargetSilent, "target", s.announced.Name, "reason", "accepts no connection")
	s.tellTarget(now)
}

// tick does what the passing of time brings about.
func (s *state) tick(now time.Time) {
	if !s.silent && now.Sub(s.announceAt) > targetapi.SilenceTimeout {
		s.silent = true
		event.Log(s.log, event.TargetSilent, "target", s.announced.Name, "last_heard", s.announceAt)
		s.tellTarget(now)
	}
	s.table.Tick(now)
}

// connected returns the entries that are connected at their own addresses.
func (s *state) connected() []wire.Peer {
	peers := make([]wire.Peer, 0, len(s.sessions))
	for _, session := range s.sessions {
		if session.strict {
			peers = append(peers, session.peer)
		}
	}
	return peers
}
