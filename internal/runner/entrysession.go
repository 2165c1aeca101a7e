package runner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/confsync"
	"github.com/camphorrack/camphorrack/internal/evacuation"
	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/leased"
	"github.com/camphorrack/camphorrack/internal/runs"
	"github.com/camphorrack/camphorrack/internal/session"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// welcomeError is a connection that a dispatcher does not open as it must.
type welcomeError struct{ what string }

// Error implements error.
func (e *welcomeError) Error() string { return "welcome: " + e.what }

// entrySession is one connection to a dispatcher.
type entrySession struct {
	*Runner
	id     runs.ConnID
	addr   string
	conn   *session.ToEntryConn
	owner  job.Incarnation
	opened bool
}

// connect holds a session with the dispatcher at addr until it ends.
func (r *Runner) connect(ctx context.Context, addr string) error {
	dialing, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := session.Dial(dialing, addr, leased.SessionOptions(r.metrics.Sessions))
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { conn.Close(nil) })
	defer stop()
	s := &entrySession{Runner: r, id: runs.ConnID(r.last.Add(1)), addr: addr, conn: conn}
	err = conn.Serve(s.receive)
	s.ended(err)
	return err
}

func (s *entrySession) receive(f *wire.ToAgent) error {
	if !s.opened {
		return s.welcome(f.Welcome)
	}
	s.dialers.learn(f.Entries)
	if f.IsHeartbeat() || f.Leased == nil {
		return nil
	}
	s.do(func(now time.Time, st *state) {
		if st.sessions[s.id] == nil {
			return // ended while the frame waited
		}
		st.evacuations.MergeFromPeer(now, evacuation.PeerID(s.id), f.Leased.Evacuations)
		st.table.Receive(now, s.id, f.Leased)
		if err := st.conf.HandleNote(now, confsync.PeerID(s.id), f.Leased.Config); err != nil {
			event.Log(s.log, event.ConfigBad, "conn", uint64(s.id), "error", err.Error())
		}
	})
	return nil
}

func (s *entrySession) welcome(w *wire.Welcome) error {
	switch {
	case w == nil:
		return &welcomeError{"the first frame carries none"}
	case w.Version != wire.Version:
		return &welcomeError{"another version of the protocol"}
	}
	s.dialers.learn(w.Entries)
	if err := s.dialers.hold(w.Incarnation, s.id); err != nil {
		return err
	}
	s.opened, s.owner = true, w.Incarnation
	s.conn.Send(&wire.ToEntry{Hello: &wire.Hello{
		Version: wire.Version, Incarnation: s.incarnation, Worker: s.o.Host, DataCentre: s.o.DataCentre, Entries: s.dialers.known(),
	}})
	event.Log(s.log, event.SessionOpened, "conn", uint64(s.id), "entry", s.addr, "owner", w.Incarnation.String())
	s.do(func(now time.Time, st *state) {
		st.sessions[s.id] = s
		st.table.Connect(now, s.id)
		st.evacuations.PeerUp(evacuation.PeerID(s.id))
		st.conf.PeerUp(confsync.PeerID(s.id))
	})
	s.dialers.opened(s.addr, w.DataCentre, s.id)
	return nil
}

func (s *entrySession) ended(err error) {
	var closed *session.CloseError
	if errors.As(err, &closed) {
		id := event.SessionClosed
		if closed.Reason == session.ReasonSilent || closed.Reason == session.ReasonUnacknowledged {
			id = event.SessionSilent
		}
		event.Log(s.log, id, "conn", uint64(s.id), "entry", s.addr, "reason", string(closed.Reason), "error", closed.Error())
	}
	if !s.opened {
		return
	}
	s.dialers.release(s.addr, s.owner, s.id)
	s.do(func(now time.Time, st *state) {
		delete(st.sessions, s.id)
		st.table.Disconnect(now, s.id)
		st.evacuations.PeerDown(evacuation.PeerID(s.id))
		st.conf.PeerDown(confsync.PeerID(s.id))
	})
}
