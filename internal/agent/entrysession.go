package agent

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/attempt"
	"github.com/camphorrack/camphorrack/internal/config"
	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/session"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// welcomeError reports an invalid welcome, the first frame of an entry.
type welcomeError struct{ reason string }

// Error implements error.
func (e *welcomeError) Error() string { return "welcome: " + e.reason }

// aliasError reports that the dialled address is not the own address of the entry that
// answered: it belongs to a load balancer, or is a second name of the entry.
type aliasError struct{ addr string }

// Error implements error.
func (e *aliasError) Error() string { return "the entry's own address is " + e.addr }

// entrySession is one connection to an entry. All fields but conn are accessed only by the
// reading goroutine until the welcome has been accepted.
type entrySession struct {
	*Agent
	addr           string // the dialled address
	id             attempt.ConnID
	conn           *session.ToEntryConn
	requireOwnAddr bool            // end the session if the entry has another own address
	owner          job.Incarnation // of the entry; 0 before its welcome
	peer           wire.Peer       // the entry, from its welcome
	config         *config.Peer
}

// serve sends the hello and handles frames until the connection ends. The error gives the
// reason.
func (s *entrySession) serve() error {
	err := s.control.do(func(_ time.Time, st *state) { s.conn.Send(s.hello(st)) })
	if err != nil {
		return err
	}
	err = s.conn.Serve(s.receive)
	s.handleDisconnect(err)
	return err
}

// hello returns the first frame of the agent. It runs on the control goroutine.
func (s *entrySession) hello(st *state) *wire.ToEntry {
	return &wire.ToEntry{Hello: &wire.Hello{
		Version:     wire.Version,
		Incarnation: st.incarnation,
		Worker:      s.options.Worker,
		DataCentre:  s.options.DataCentre,
		Rack:        s.options.Rack,
		Target:      st.table.Target(),
		Entries:     st.connectedEntries(),
	}}
}

// receive handles a frame on the reading goroutine and passes it to the control goroutine, in
// the order of arrival.
func (s *entrySession) receive(f *wire.ToAgent) error {
	if s.owner == 0 {
		if err := s.handleWelcome(f.Welcome); err != nil {
			return err
		}
	}
	s.addPeers(f)
	if err := s.config.Receive(f.Version, f.Config); err != nil {
		return err
	}
	if isHeartbeat(f) {
		return nil
	}
	return s.control.Push(func(now time.Time, st *state) {
		if err := st.table.Receive(now, s.id, f); err != nil {
			s.conn.Close(err)
		}
	})
}

// handleWelcome opens the session. The error is a *welcomeError, an *aliasError or
// control.ErrStopped.
func (s *entrySession) handleWelcome(w *wire.Welcome) error {
	switch {
	case w == nil:
		return &welcomeError{"it is missing from the first frame"}
	case w.Version != wire.Version:
		return &welcomeError{"unsupported protocol version"}
	case w.Incarnation == 0:
		return &welcomeError{"the incarnation is missing"}
	}
	if own := canonicalAddr(w.Addr); s.requireOwnAddr && own != "" && own != s.addr {
		s.dialers.addPeer(wire.Peer{Addr: own, DataCentre: w.DataCentre})
		return &aliasError{own}
	}
	s.owner, s.peer = w.Incarnation, wire.Peer{Addr: s.addr, DataCentre: w.DataCentre}
	s.attachConfig()
	event.Log(s.log, event.SessionOpened, "conn", uint64(s.id), "entry", s.addr, "owner", w.Incarnation.String())
	s.openSessions.Add(1)
	err := s.control.Push(func(now time.Time, st *state) {
		st.sessions[s.id] = s
		st.table.Connect(now, s.id, w)
	})
	s.dialers.sessionOpened(s, w)
	return err
}

// addPeers adds the entries that a frame names, and notes that its sender is leaving.
func (s *entrySession) addPeers(f *wire.ToAgent) {
	for _, p := range f.Entries {
		s.dialers.addPeer(p)
	}
	if f.Welcome != nil {
		for _, p := range f.Welcome.Entries {
			s.dialers.addPeer(p)
		}
	}
	if f.Leaving {
		s.dialers.markLeaving(s)
	}
}

// isHeartbeat reports whether a frame has no content for the attempt table.
func isHeartbeat(f *wire.ToAgent) bool {
	return f.Demand == nil && f.Settled == 0 &&
		len(f.Starts)+len(f.Cancels)+len(f.Queries)+len(f.Acks) == 0
}

// handleDisconnect logs the end of the connection and removes an opened session.
func (s *entrySession) handleDisconnect(err error) {
	s.logClose(err)
	if s.owner == 0 {
		return
	}
	s.openSessions.Add(-1)
	s.detachConfig()
	// The error means that the process is stopping, which discards the state.
	_ = s.control.Push(func(now time.Time, st *state) {
		delete(st.sessions, s.id)
		st.table.Disconnect(now, s.id)
	})
}

// logClose logs the end of the connection as an event that depends on the cause.
func (s *entrySession) logClose(err error) {
	var closed *session.CloseError
	var protocol *attempt.ProtocolError
	var alias *aliasError
	id := event.SessionClosed
	switch {
	case errors.As(err, &alias):
	case errors.As(err, &protocol):
		id = event.BadFrame
	case errors.As(err, &closed):
		id = closeEvent(closed.Reason)
	}
	event.Log(s.log, id, "conn", uint64(s.id), "entry", s.addr, "error", err.Error())
}

// closeEvent returns the event for the reason why a connection was closed.
func closeEvent(r session.Reason) event.ID {
	switch r {
	case session.ReasonSilent, session.ReasonUnacknowledged:
		return event.SessionSilent
	case session.ReasonFrame, session.ReasonRejected:
		return event.BadFrame
	}
	return event.SessionClosed
}
