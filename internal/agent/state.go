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

// state is the control state of the daemon, accessed only by the control goroutine.
type state struct {
	log         logr.Logger
	incarnation job.Incarnation
	table       *attempt.Table
	metrics     *counters

	sessions map[attempt.ConnID]*entrySession
	calls    map[attempt.Key]context.CancelFunc // of the running calls
	runTask  func(ctx context.Context, c *targetClient, k attempt.Key, s wire.Start)

	announcement targetapi.Announcement // the latest; zero before the first
	announcedAt  time.Time
	targetDown   bool          // not announced yet, silent, or unreachable since its last announcement
	client       *targetClient // nil before the first announcement
}

func newState(o Options, log logr.Logger, m *counters) *state {
	s := &state{
		log:         log,
		incarnation: job.NewIncarnation(),
		metrics:     m,
		sessions:    map[attempt.ConnID]*entrySession{},
		calls:       map[attempt.Key]context.CancelFunc{},
		targetDown:  true,
	}
	s.table = attempt.New(attempt.Options{
		Incarnation: s.incarnation, Log: log, Outbox: s, Policy: attempt.Policy(o.Policy),
	})
	return s
}

// Send implements attempt.Outbox. A frame for a connection that has just ended is dropped; its
// reports are repeated on the next connection.
func (s *state) Send(conn attempt.ConnID, f *wire.ToEntry) {
	if session := s.sessions[conn]; session != nil {
		session.conn.Send(f)
	}
}

// Close implements attempt.Outbox. It closes a connection that a newer one to the same entry
// has replaced.
func (s *state) Close(conn attempt.ConnID) {
	if session := s.sessions[conn]; session != nil {
		event.Log(s.log, event.SessionReplaced, "conn", uint64(conn), "entry", session.addr)
		session.conn.Close(nil)
	}
}

// Run implements attempt.Outbox. The call runs in a new goroutine.
func (s *state) Run(k attempt.Key, start wire.Start) {
	ctx, cancel := context.WithCancel(context.Background())
	s.calls[k] = cancel
	go s.runTask(ctx, s.client, k, start)
}

// Abort implements attempt.Outbox. It cancels the call of an attempt.
func (s *state) Abort(k attempt.Key) {
	if cancel := s.calls[k]; cancel != nil {
		cancel()
	}
}

// finishCall records the outcome of a call. If the target was unreachable at its current
// address, it is marked as down.
func (s *state) finishCall(now time.Time, k attempt.Key, c *targetClient, out callResult) {
	if cancel := s.calls[k]; cancel != nil {
		cancel() // frees the context
		delete(s.calls, k)
	}
	s.metrics.recordOutcome(out.Outcome)
	if out.State != wire.Succeeded {
		event.Log(s.log.V(1), event.TargetFailed, "owner", k.Owner.String(), "attempt", k.Seq,
			"state", int(out.State), "run_ms", out.RunMs, "detail", out.Detail)
	}
	if out.unreachable && c == s.client {
		s.markTargetDown(now)
	}
	s.table.CompleteCall(now, k, out.Outcome)
}

// markTargetDown takes a target that cannot be connected to out of service until its next
// announcement. Otherwise a target that has just died would be sent task after task, each
// returned at once, until its announcements are missed.
func (s *state) markTargetDown(now time.Time) {
	if s.targetDown {
		return
	}
	s.targetDown = true
	event.Log(s.log, event.TargetSilent, "target", s.announcement.Name, "reason", "cannot connect")
	s.updateTarget(now)
}

// tick marks the target as down after missed announcements, and passes the time to the attempt
// table.
func (s *state) tick(now time.Time) {
	if !s.targetDown && now.Sub(s.announcedAt) > targetapi.SilenceTimeout {
		s.targetDown = true
		event.Log(s.log, event.TargetSilent, "target", s.announcement.Name, "last_heard", s.announcedAt)
		s.updateTarget(now)
	}
	s.table.Tick(now)
}

// connectedEntries returns the entries with a session at their own address.
func (s *state) connectedEntries() []wire.Peer {
	peers := make([]wire.Peer, 0, len(s.sessions))
	for _, session := range s.sessions {
		if session.requireOwnAddr {
			peers = append(peers, session.peer)
		}
	}
	return peers
}
