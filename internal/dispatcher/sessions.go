package dispatcher

import (
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/confsync"
	"github.com/camphorrack/camphorrack/internal/dispatch"
	"github.com/camphorrack/camphorrack/internal/evacuation"
	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/leased"
	"github.com/camphorrack/camphorrack/internal/scheduler/membership"
	"github.com/camphorrack/camphorrack/internal/scheduler/reporting"
	"github.com/camphorrack/camphorrack/internal/session"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// configNote shortens the name in signatures.
type configNote = wire.ConfigNote

// helloError reports an invalid hello, the first frame of a runner.
type helloError struct{ reason string }

// Error implements error.
func (e *helloError) Error() string { return "hello: " + e.reason }

// sessions serves the connections of runners. runners and turnedAway are owned by the control
// goroutine.
type sessions struct {
	*Dispatcher
	sessionOptions session.Options
	runners        map[dispatch.ConnID]*runnerSession
	limit          int    // of open sessions
	turnedAway     uint64 // runners, because of the limit
	lastID         atomic.Uint64
}

func newSessions(d *Dispatcher) *sessions {
	return &sessions{
		Dispatcher: d, sessionOptions: leased.SessionOptions(d.metrics.Sessions), runners: map[dispatch.ConnID]*runnerSession{},
		limit: membership.SessionLimit(d.options.ProcessorShare),
	}
}

// Send implements dispatch.Outbox. A frame for a closed connection is dropped: its orders are
// given up when the connection is removed.
func (s *sessions) Send(id dispatch.ConnID, f *wire.ToAgent) {
	if r := s.runners[id]; r != nil {
		r.conn.Send(f)
	}
}

// Close implements dispatch.Outbox.
func (s *sessions) Close(id dispatch.ConnID) {
	if r := s.runners[id]; r != nil {
		r.conn.Close(nil)
	}
}

// serve handles requests to session.Path. It returns when the connection has ended.
func (s *sessions) serve(g *gin.Context) {
	conn, err := session.Accept(g.Writer, g.Request, s.sessionOptions)
	if err != nil {
		return // Accept has written the response
	}
	r := &runnerSession{sessions: s, conn: conn, id: dispatch.ConnID(s.lastID.Add(1))}
	// The welcome is sent first: a runner that has a session with this process at another
	// address closes this one without a hello, which would replace the other session.
	conn.Send(&wire.ToAgent{Welcome: &wire.Welcome{
		Version: wire.Version, Incarnation: r.incarnation, Addr: r.options.SessionAddr, DataCentre: r.options.DataCentre,
	}})
	r.handleDisconnect(conn.Serve(r.receive))
}

// runnerSession is one connection of a runner.
type runnerSession struct {
	*sessions
	conn             *session.ToAgentConn
	id               dispatch.ConnID
	host, dataCentre string // of the runner
	opened           bool
	// receipts and confirmed, whether a frame was sent after the first confirmation, are owned by the
	// control goroutine.
	receipts  receipts
	confirmed bool
}

func (r *runnerSession) receive(f *wire.ToEntry) error {
	if !r.opened {
		return r.handleHello(f.Hello)
	}
	if f.IsHeartbeat() {
		return nil // the session has recorded it
	}
	return r.loop.Push(func(now time.Time, s *state) {
		if len(f.Entries) > 0 && r.runners[r.id] != nil {
			s.directory.Replace(now, membership.Source(r.id), fromWire(f.Entries))
		}
		if f.Leased == nil {
			return
		}
		s.evacuations.MergeFromPeer(now, evacuation.PeerID(r.id), f.Leased.Evacuations)
		s.core.Receive(now, r.id, f.Leased)
		r.handleConfigNote(now, s, f.Leased.Config)
	})
}

// handleConfigNote merges a runner's note on the configuration and logs an invalid one.
func (r *runnerSession) handleConfigNote(now time.Time, s *state, note *wire.ConfigNote) {
	if err := s.config.HandleNote(now, confsync.PeerID(r.id), note); err != nil {
		event.Log(r.log, event.ConfigBad, "conn", uint64(r.id), "error", err.Error())
	}
}

// handleHello validates the hello and registers the connection with the control state. The
// error is a *helloError, or control.ErrStopped.
func (r *runnerSession) handleHello(h *wire.Hello) error {
	switch {
	case h == nil:
		return &helloError{"it is missing from the first frame"}
	case h.Version != wire.Version:
		return &helloError{"unsupported protocol version"}
	case h.Worker == "":
		return &helloError{"the host name is missing"}
	}
	r.opened, r.host, r.dataCentre = true, h.Worker, h.DataCentre
	event.Log(r.log, event.SessionOpened, "conn", uint64(r.id), "host", h.Worker, "peer", r.conn.RemoteAddr())
	return r.loop.Push(func(now time.Time, s *state) {
		if len(r.runners) >= r.limit && !r.hasSession(r.host) {
			r.turnAway(s)
			return
		}
		r.runners[r.id] = r
		s.directory.Name(now, membership.Source(r.id), fromWire(h.Entries))
		s.core.Connect(now, r.id, h, r.conn.Features())
		s.verifySoon = true
		r.conn.Send(&wire.ToAgent{Entries: toWire(s.directory.For(r.host, r.dataCentre))})
		s.core.QueueLoadInterval(r.id, s.loadInterval)
		s.evacuations.PeerUp(evacuation.PeerID(r.id))
		s.config.PeerUp(confsync.PeerID(r.id))
	})
}

// hasSession reports whether a session with a host is registered. The next one with it takes its place.
func (s *sessions) hasSession(host string) bool {
	for _, r := range s.runners {
		if r.host == host {
			return true
		}
	}
	return false
}

// turnAway names other dispatchers to a runner and asks it to leave. The session is not registered:
// nothing is sent on it any more, and a runner that stays gets no orders.
func (r *runnerSession) turnAway(s *state) {
	r.turnedAway++
	named := s.directory.For(r.host, r.dataCentre)
	event.Log(r.log, event.EntryFull, "conn", uint64(r.id), "host", r.host, "sessions", len(r.runners), "named", len(named))
	r.conn.Send(&wire.ToAgent{Leaving: true, Entries: toWire(named)})
}

// announceEntries tells each runner of the dispatchers that have become known since the last call and
// that it prefers to this one, in one frame, and passes all changes on to the hand-over.
func (s *sessions) announceEntries(st *state) {
	added, removed := st.directory.TakeChanges()
	s.handover.Forget(removed)
	s.handover.Learn(toWire(added))
	if len(added) == 0 {
		return
	}
	for _, r := range s.runners {
		if preferred := st.directory.Preferred(r.host, r.dataCentre, added); len(preferred) > 0 {
			r.conn.Send(&wire.ToAgent{Entries: toWire(preferred)})
		}
	}
}

// toWire converts entries for a frame.
func toWire(peers []membership.Peer) []wire.Peer {
	converted := make([]wire.Peer, len(peers))
	for i, p := range peers {
		converted[i] = wire.Peer(p)
	}
	return converted
}

// fromWire converts the entries of a frame.
func fromWire(peers []wire.Peer) []membership.Peer {
	converted := make([]membership.Peer, len(peers))
	for i, p := range peers {
		converted[i] = membership.Peer(p)
	}
	return converted
}

// updateLoadInterval sends the runners the minimum time between load reports if it has changed
// significantly. It depends on the number of runners, so that reading their reports takes no more
// than a fixed share of the entry's processor.
func (s *sessions) updateLoadInterval(st *state) {
	interval := reporting.Interval(s.options.ProcessorShare, len(s.runners))
	if len(s.runners) == 0 || !reporting.SignificantChange(interval, st.loadInterval) {
		return
	}
	event.Log(s.log, event.ReportsPaced, "every_ms", clock.Millis(interval), "was_ms", clock.Millis(st.loadInterval), "runners", len(s.runners))
	st.loadInterval = interval
	for id := range s.runners {
		st.core.QueueLoadInterval(id, interval)
	}
}

// handleDisconnect logs the end of the connection and removes it from the control state.
func (r *runnerSession) handleDisconnect(err error) {
	var closed *session.CloseError
	if errors.As(err, &closed) {
		eventID := event.SessionClosed
		if closed.Reason == session.ReasonSilent || closed.Reason == session.ReasonUnacknowledged {
			eventID = event.SessionSilent
		}
		event.Log(r.log, eventID, "conn", uint64(r.id), "peer", r.conn.RemoteAddr(), "reason", string(closed.Reason), "error", closed.Error())
	}
	if !r.opened {
		return
	}
	// Push fails only if the control loop has stopped; its state is not used any more.
	_ = r.loop.Push(func(now time.Time, s *state) {
		if r.runners[r.id] == nil {
			return // turned away
		}
		delete(r.runners, r.id)
		s.directory.Forget(now, membership.Source(r.id))
		s.core.Disconnect(now, r.id)
		s.evacuations.PeerDown(evacuation.PeerID(r.id))
		s.config.PeerDown(confsync.PeerID(r.id))
	})
}
