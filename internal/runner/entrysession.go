package runner

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/confsync"
	"github.com/camphorrack/camphorrack/internal/evacuation"
	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/leased"
	"github.com/camphorrack/camphorrack/internal/runs"
	"github.com/camphorrack/camphorrack/internal/scheduler/lease"
	"github.com/camphorrack/camphorrack/internal/session"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// welcomeError reports an invalid welcome, the first frame of a dispatcher.
type welcomeError struct{ reason string }

// Error implements error.
func (e *welcomeError) Error() string { return "welcome: " + e.reason }

// entrySession is a connection to a dispatcher.
type entrySession struct {
	*Runner
	id     runs.ConnID
	addr   string
	conn   *session.ToEntryConn
	owner  job.Incarnation // the dispatcher's process; set once opened
	opened bool            // the welcome was received
	// confirmedAt is the result of the last new confirmation of conn; only the reading goroutine
	// uses it.
	confirmedAt time.Time

	mu    sync.Mutex
	proof lease.Proof // that the dispatcher wants its runs
}

// runSession connects to the dispatcher at addr, serves the session until it ends, and
// returns why.
func (r *Runner) runSession(ctx context.Context, addr string) error {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := session.Dial(dialCtx, addr, leased.SessionOptions(r.metrics.Sessions))
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { conn.Close(nil) })
	defer stop()
	s := &entrySession{Runner: r, id: runs.ConnID(r.lastConnID.Add(1)), addr: addr, conn: conn}
	err = conn.Serve(s.receive)
	s.handleDisconnect(err)
	return err
}

// retire closes a session after the work that its entry has on the target is finished.
func (r *Runner) retire(id runs.ConnID) {
	r.enqueue(func(now time.Time, s *state) { s.table.Retire(now, id) })
}

// receive handles a frame of the dispatcher. An error closes the connection.
func (s *entrySession) receive(f *wire.ToAgent) error {
	confirmedAt := s.newConfirmation()
	if !s.conn.Confirms() {
		s.recordAcknowledgement()
	}
	if !s.opened {
		return s.handleWelcome(f.Welcome)
	}
	s.dialers.addPeers(f.Entries)
	if f.Leaving {
		return errFull
	}
	if f.Leased == nil && confirmedAt.IsZero() {
		return nil
	}
	s.enqueue(func(now time.Time, st *state) {
		if st.sessions[s.id] == nil {
			return // ended while the command was queued
		}
		// After the content of this frame and all earlier ones, which may recall runs.
		defer s.recordConfirmation(now, confirmedAt)
		if f.Leased == nil {
			return
		}
		st.evacuations.MergeFromPeer(now, evacuation.PeerID(s.id), f.Leased.Evacuations)
		st.table.Receive(now, s.id, f.Leased)
		if err := st.config.HandleNote(now, confsync.PeerID(s.id), f.Leased.Config); err != nil {
			event.Log(s.log, event.ConfigBad, "conn", uint64(s.id), "error", err.Error())
		}
	})
	return nil
}

// newConfirmation returns when the newest frame was sent that the dispatcher has confirmed, by the
// clock of the control state; zero: none since the previous call. Only the reading goroutine calls it.
func (s *entrySession) newConfirmation() time.Time {
	sentAt := s.conn.ConfirmedAt()
	if !sentAt.After(s.confirmedAt) {
		return time.Time{}
	}
	s.confirmedAt = sentAt
	return s.clock.Now().Add(-time.Since(sentAt))
}

// recordConfirmation records that the dispatcher has confirmed a frame that was sent at sentAt; zero:
// none. The control goroutine calls it.
func (s *entrySession) recordConfirmation(now, sentAt time.Time) {
	if sentAt.IsZero() {
		return
	}
	s.metrics.proofAgeUs.Update(now.Sub(sentAt).Microseconds())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.proof.Confirm(sentAt)
}

// recordAcknowledgement records how much of what was sent the dispatcher has received, as of the frame
// received last. It is the proof of a dispatcher without session.ConfirmingProtocol.
func (s *entrySession) recordAcknowledgement() {
	sentAt := s.conn.AcknowledgedAt()
	if sentAt.IsZero() {
		return
	}
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.proof.Acknowledge(now, now.Add(-time.Since(sentAt)))
}

// wantedAt returns the time up to which the dispatcher is known to have wanted its runs.
func (s *entrySession) wantedAt(now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.proof.Time(now)
}

// handleWelcome opens the session: it answers with a hello and adds the session to the
// control state. The error is a *welcomeError or an *aliasError.
func (s *entrySession) handleWelcome(w *wire.Welcome) error {
	switch {
	case w == nil:
		return &welcomeError{"it is missing from the first frame"}
	case w.Version != wire.Version:
		return &welcomeError{"unsupported protocol version"}
	}
	s.dialers.addPeers(w.Entries)
	if err := s.dialers.registerSession(w.Incarnation, s.id); err != nil {
		return err
	}
	s.opened, s.owner = true, w.Incarnation
	s.conn.Send(&wire.ToEntry{Hello: &wire.Hello{
		Version: wire.Version, Incarnation: s.incarnation, Worker: s.options.Host, DataCentre: s.options.DataCentre, Entries: s.dialers.helloNames(s.addr),
	}})
	event.Log(s.log, event.SessionOpened, "conn", uint64(s.id), "entry", s.addr, "owner", w.Incarnation.String())
	s.enqueue(func(now time.Time, st *state) {
		st.sessions[s.id] = s
		st.table.Connect(now, s.id, s.conn.Features())
		st.evacuations.PeerUp(evacuation.PeerID(s.id))
		st.config.PeerUp(confsync.PeerID(s.id))
	})
	s.dialers.sessionOpened(s.addr, w.DataCentre, s.id, func(peers []wire.Peer) { s.conn.Send(&wire.ToEntry{Entries: peers}) })
	return nil
}

// handleDisconnect logs the end of the connection and removes the session.
func (s *entrySession) handleDisconnect(err error) {
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
	s.dialers.sessionEnded(s.addr, s.owner, s.id)
	s.enqueue(func(now time.Time, st *state) {
		st.table.Disconnect(now, s.id)
		delete(st.sessions, s.id)
		st.evacuations.PeerDown(evacuation.PeerID(s.id))
		st.config.PeerDown(confsync.PeerID(s.id))
	})
}
