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

// welcomeError is a connection that an entry does not open as it must.
type welcomeError struct{ what string }

// Error implements error.
func (e *welcomeError) Error() string { return "welcome: " + e.what }

// aliasError is an entry that has another address than the one dialled: a
// balancer, or a second name of the same entry.
type aliasError struct{ addr string }

// Error implements error.
func (e *aliasError) Error() string { return "the entry's own address is " + e.addr }

// entrySession is one connection to an entry. Its fields but conn are touched
// only by its reading goroutine until it is welcomed.
type entrySession struct {
	*Agent
	addr   string // as dialled
	id     attempt.ConnID
	conn   *session.ToEntryConn
	strict bool // give way to the entry's own address
	owner  job.Incarnation
	peer   wire.Peer // the entry, as it says itself
	config *config.Peer
}

// serve opens the session with a hello and reads until the connection ends. It
// returns why that was.
func (s *entrySession) serve() error {
	err := s.control.do(func(_ time.Time, st *state) { s.conn.Send(s.hello(st)) })
	if err != nil {
		return err
	}
	err = s.conn.Serve(s.receive)
	s.ended(err)
	return err
}

func (s *entrySession) hello(st *state) *wire.ToEntry {
	return &wire.ToEntry{Hello: &wire.Hello{
		Version:     wire.Version,
		Incarnation: st.incarnation,
		Worker:      s.o.Worker,
		DataCentre:  s.o.DataCentre,
		Rack:        s.o.Rack,
		Target:      st.table.Target(),
		Entries:     st.connected(),
	}}
}

// receive takes a frame on the reading goroutine; the channel keeps the order.
func (s *entrySession) receive(f *wire.ToAgent) error {
	if s.owner == 0 {
		if err := s.welcome(f.Welcome); err != nil {
			return err
		}
	}
	s.learn(f)
	if err := s.config.Heard(f.Version, f.Config); err != nil {
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

func (s *entrySession) welcome(w *wire.Welcome) error {
	switch {
	case w == nil:
		return &welcomeError{"the first frame carries none"}
	case w.Version != wire.Version:
		return &welcomeError{"another version of the protocol"}
	case w.Incarnation == 0:
		return &welcomeError{"the incarnation is missing"}
	}
	if own := canonical(w.Addr); s.strict && own != "" && own != s.addr {
		s.dialers.learn(wire.Peer{Addr: own, DataCentre: w.DataCentre})
		return &aliasError{own}
	}
	s.owner, s.peer = w.Incarnation, wire.Peer{Addr: s.addr, DataCentre: w.DataCentre}
	s.openConfig()
	event.Log(s.log, event.SessionOpened, "conn", uint64(s.id), "entry", s.addr, "owner", w.Incarnation.String())
	s.open.Add(1)
	err := s.control.Push(func(now time.Time, st *state) {
		st.sessions[s.id] = s
		st.table.Connect(now, s.id, w)
	})
	s.dialers.opened(s, w)
	return err
}

func (s *entrySession) learn(f *wire.ToAgent) {
	for _, p := range f.Entries {
		s.dialers.learn(p)
	}
	if f.Welcome != nil {
		for _, p := range f.Welcome.Entries {
			s.dialers.learn(p)
		}
	}
	if f.Leaving {
		s.dialers.left(s)
	}
}

// isHeartbeat reports whether a frame carries nothing for the attempt table.
func isHeartbeat(f *wire.ToAgent) bool {
	return f.Demand == nil && f.Settled == 0 &&
		len(f.Starts)+len(f.Cancels)+len(f.Queries)+len(f.Acks) == 0
}

func (s *entrySession) ended(err error) {
	s.logEnd(err)
	if s.owner == 0 {
		return
	}
	s.open.Add(-1)
	s.closeConfig()
	// The error means that the process ends, and the state with it.
	_ = s.control.Push(func(now time.Time, st *state) {
		delete(st.sessions, s.id)
		st.table.Disconnect(now, s.id)
	})
}

func (s *entrySession) logEnd(err error) {
	var closed *session.CloseError
	var protocol *attempt.ProtocolError
	var alias *aliasError
	id := event.SessionClosed
	switch {
	case errors.As(err, &alias):
	case errors.As(err, &protocol):
		id = event.BadFrame
	case errors.As(err, &closed):
		id = endEvent(closed.Reason)
	}
	event.Log(s.log, id, "conn", uint64(s.id), "entry", s.addr, "error", err.Error())
}

func endEvent(r session.Reason) event.ID {
	switch r {
	case session.ReasonSilent, session.ReasonUnacknowledged:
		return event.SessionSilent
	case session.ReasonFrame, session.ReasonRejected:
		return event.BadFrame
	}
	return event.SessionClosed
}
