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
	"github.com/camphorrack/camphorrack/internal/scheduler/reporting"
	"github.com/camphorrack/camphorrack/internal/session"
	"github.com/camphorrack/camphorrack/internal/wire"
)

type confNote = wire.ConfigNote

// helloError is a connection that does not open as it must.
type helloError struct{ what string }

// Error implements error.
func (e *helloError) Error() string { return "hello: " + e.what }

// sessions serves the runners' connections. Its map belongs to the control
// goroutine.
type sessions struct {
	*Dispatcher
	options session.Options
	conns   map[dispatch.ConnID]*session.ToAgentConn
	last    atomic.Uint64
}

func newSessions(d *Dispatcher) *sessions {
	return &sessions{Dispatcher: d, options: leased.SessionOptions(d.metrics.Sessions), conns: map[dispatch.ConnID]*session.ToAgentConn{}}
}

// Send implements dispatch.Outbox. A frame for a connection that has just ended is
// dropped: its orders are given up with it.
func (s *sessions) Send(id dispatch.ConnID, f *wire.ToAgent) {
	if conn := s.conns[id]; conn != nil {
		conn.Send(f)
	}
}

// Close implements dispatch.Outbox.
func (s *sessions) Close(id dispatch.ConnID) {
	if conn := s.conns[id]; conn != nil {
		conn.Close(nil)
	}
}

// serve is the handler of session.Path; it lasts as long as the connection.
func (s *sessions) serve(g *gin.Context) {
	conn, err := session.Accept(g.Writer, g.Request, s.options)
	if err != nil {
		return // the handshake wrote the response
	}
	r := &runnerSession{sessions: s, conn: conn, id: dispatch.ConnID(s.last.Add(1))}
	// The welcome goes first: a runner that has a session with this process at another
	// address closes this one, and says no hello that would replace the other.
	err = r.loop.Push(func(_ time.Time, st *state) {
		conn.Send(&wire.ToAgent{Welcome: &wire.Welcome{
			Version: wire.Version, Incarnation: r.incarnation, Addr: r.o.SessionAddr, DataCentre: r.o.DataCentre, Entries: st.known(),
		}})
	})
	if err != nil {
		conn.Close(err)
	}
	r.ended(conn.Serve(r.receive))
}

// runnerSession is one connection of a runner.
type runnerSession struct {
	*sessions
	conn   *session.ToAgentConn
	id     dispatch.ConnID
	opened bool
}

func (r *runnerSession) receive(f *wire.ToEntry) error {
	if !r.opened {
		return r.open(f.Hello)
	}
	if f.IsHeartbeat() {
		return nil // the session has seen it
	}
	return r.loop.Push(func(now time.Time, s *state) {
		if f.Leased == nil {
			return
		}
		s.evacuations.MergeFromPeer(now, evacuation.PeerID(r.id), f.Leased.Evacuations)
		s.core.Receive(now, r.id, f.Leased)
		r.heardConfig(now, s, f.Leased.Config)
	})
}

func (r *runnerSession) heardConfig(now time.Time, s *state, note *wire.ConfigNote) {
	if err := s.conf.HandleNote(now, confsync.PeerID(r.id), note); err != nil {
		event.Log(r.log, event.ConfigBad, "conn", uint64(r.id), "error", err.Error())
	}
}

func (r *runnerSession) open(h *wire.Hello) error {
	switch {
	case h == nil:
		return &helloError{"the first frame carries none"}
	case h.Version != wire.Version:
		return &helloError{"another version of the protocol"}
	case h.Worker == "":
		return &helloError{"the host's name is missing"}
	}
	r.opened = true
	event.Log(r.log, event.SessionOpened, "conn", uint64(r.id), "host", h.Worker, "peer", r.conn.RemoteAddr())
	return r.loop.Push(func(now time.Time, s *state) {
		r.conns[r.id] = r.conn
		s.learn(r.o.SessionAddr, h.Entries)
		s.core.Connect(now, r.id, h)
		s.core.QueueLoadInterval(r.id, s.loadEvery)
		s.evacuations.PeerUp(evacuation.PeerID(r.id))
		s.conf.PeerUp(confsync.PeerID(r.id))
	})
}

// learn notes dispatchers that were not known, to be passed on: a runner that the store
// turns away finds them through those it has.
func (s *state) learn(own string, named []wire.Peer) {
	for _, p := range named {
		dataCentre, known := s.entries[p.Addr]
		if p.Addr == own || known && (dataCentre == p.DataCentre || p.DataCentre == "") || len(s.entries) >= maxEntries {
			continue
		}
		s.entries[p.Addr] = p.DataCentre
		s.fresh = append(s.fresh, p)
	}
}

// passOn tells the runners of the dispatchers that were learned since the last call. Told one
// at a time, each of them in a fleet that starts would cost a frame a runner.
func (s *sessions) passOn(st *state) {
	if len(st.fresh) == 0 {
		return
	}
	for _, conn := range s.conns {
		conn.Send(&wire.ToAgent{Entries: st.fresh})
	}
	st.fresh = nil
}

// pace tells the runners how often to report the load, where that has changed.
func (s *sessions) pace(st *state) {
	every := reporting.Interval(s.o.ProcessorShare, len(s.conns))
	if len(s.conns) == 0 || !reporting.SignificantChange(every, st.loadEvery) {
		return
	}
	event.Log(s.log, event.ReportsPaced, "every_ms", clock.Millis(every), "was_ms", clock.Millis(st.loadEvery), "runners", len(s.conns))
	st.loadEvery = every
	for id := range s.conns {
		st.core.QueueLoadInterval(id, every)
	}
}

// maxEntries bounds the addresses kept; old ones are not forgotten.
const maxEntries = 1024

func (s *state) known() []wire.Peer {
	peers := make([]wire.Peer, 0, len(s.entries))
	for addr, dataCentre := range s.entries {
		peers = append(peers, wire.Peer{Addr: addr, DataCentre: dataCentre})
	}
	return peers
}

func (r *runnerSession) ended(err error) {
	var closed *session.CloseError
	if errors.As(err, &closed) {
		id := event.SessionClosed
		if closed.Reason == session.ReasonSilent || closed.Reason == session.ReasonUnacknowledged {
			id = event.SessionSilent
		}
		event.Log(r.log, id, "conn", uint64(r.id), "peer", r.conn.RemoteAddr(), "reason", string(closed.Reason), "error", closed.Error())
	}
	if !r.opened {
		return
	}
	// The error means that the process ends, and the state with it.
	_ = r.loop.Push(func(now time.Time, s *state) {
		delete(r.conns, r.id)
		s.core.Disconnect(now, r.id)
		s.evacuations.PeerDown(evacuation.PeerID(r.id))
		s.conf.PeerDown(confsync.PeerID(r.id))
	})
}
