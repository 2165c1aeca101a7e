package entry

import (
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"
	"github.com/go-logr/logr"

	"github.com/camphorrack/camphorrack/internal/config"
	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/owner"
	"github.com/camphorrack/camphorrack/internal/session"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// outbox sends the owner's frames to agents. It belongs to the control goroutine.
type outbox struct {
	conns map[owner.ConnID]*session.ToAgentConn
}

func newOutbox() *outbox { return &outbox{conns: map[owner.ConnID]*session.ToAgentConn{}} }

// Send implements owner.Outbox. A frame for a connection that has just ended is
// dropped; what it carried is asked about on the next connection.
func (o *outbox) Send(id owner.ConnID, f *wire.ToAgent) {
	if c, ok := o.conns[id]; ok {
		c.Send(f)
	}
}

// Close implements owner.Outbox.
func (o *outbox) Close(id owner.ConnID) {
	if c, ok := o.conns[id]; ok {
		c.Close(nil)
	}
}

// closeAll closes every connection. Call it after the control goroutine has ended.
func (o *outbox) closeAll() {
	for _, c := range o.conns {
		c.Close(nil)
	}
}

// helloError is a connection that does not open as it must.
type helloError struct{ what string }

// Error implements error.
func (e *helloError) Error() string { return "hello: " + e.what }

// agents serves the agents' connections.
type agents struct {
	log      logr.Logger
	control  *controlLoop
	outbox   *outbox
	options  session.Options
	lastConn atomic.Uint64
	config   *configuration
}

// serve is the handler of session.Path; it lasts as long as the connection.
func (a *agents) serve(g *gin.Context) {
	conn, err := session.Accept(g.Writer, g.Request, a.options)
	if err != nil {
		return // the handshake wrote the response
	}
	s := &agentSession{agents: a, conn: conn, id: owner.ConnID(a.lastConn.Add(1))}
	err = conn.Serve(s.receive)
	s.ended(err)
}

// agentSession is one connection of an agent.
type agentSession struct {
	*agents
	conn   *session.ToAgentConn
	id     owner.ConnID
	opened bool // hello has come
	config *config.Peer
}

// receive runs on the connection's reading goroutine. The owner sees a
// connection's frames in order, because the channel keeps it.
func (s *agentSession) receive(f *wire.ToEntry) error {
	if !s.opened {
		return s.open(f)
	}
	if err := s.config.Receive(f.Version, f.Config); err != nil {
		return err
	}
	if f.IsHeartbeat() {
		return nil // the session has seen it, and the owner need not
	}
	return s.control.Push(func(now time.Time, c core) {
		if err := c.Receive(now, s.id, f); err != nil {
			s.conn.Close(err)
		}
	})
}

func (s *agentSession) open(f *wire.ToEntry) error {
	if f.Hello == nil {
		return &helloError{"the first frame carries none"}
	}
	if f.Hello.Version != wire.Version {
		return &helloError{"another version of the protocol"}
	}
	if f.Hello.Incarnation == 0 || f.Hello.Worker == "" {
		return &helloError{"the incarnation or the worker's name is missing"}
	}
	s.opened = true
	s.agents.config.open(s)
	return s.control.Push(func(now time.Time, c core) {
		s.outbox.conns[s.id] = s.conn
		c.Connect(now, s.id, f.Hello)
	})
}

func (s *agentSession) ended(err error) {
	var closed *session.CloseError
	if errors.As(err, &closed) {
		s.logEnd(closed)
	}
	if !s.opened {
		return
	}
	s.agents.config.close(s)
	// The error means that the process ends, and the state with it.
	_ = s.control.Push(func(now time.Time, c core) {
		delete(s.outbox.conns, s.id)
		c.Disconnect(now, s.id)
	})
}

func (s *agentSession) logEnd(closed *session.CloseError) {
	id := event.SessionClosed
	var protocol *owner.ProtocolError
	switch {
	case closed.Reason == session.ReasonSilent, closed.Reason == session.ReasonUnacknowledged:
		id = event.SessionSilent
	case closed.Reason == session.ReasonFrame, closed.Reason == session.ReasonRejected, errors.As(closed, &protocol):
		id = event.BadFrame
	}
	event.Log(s.log, id, "conn", uint64(s.id), "peer", s.conn.RemoteAddr(), "reason", string(closed.Reason), "error", closed.Error())
}
