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

// outbox implements owner.Outbox over the agents' connections. While the control goroutine
// runs, only that may use it.
type outbox struct {
	conns map[owner.ConnID]*session.ToAgentConn
}

func newOutbox() *outbox { return &outbox{conns: map[owner.ConnID]*session.ToAgentConn{}} }

// Send implements owner.Outbox. It drops a frame for a connection that has just ended;
// the owner and the agent reconcile its content on the next connection.
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

// helloError reports an invalid hello, the first frame of an agent.
type helloError struct{ reason string }

// Error implements error.
func (e *helloError) Error() string { return "hello: " + e.reason }

// agents accepts the agents' connections and hands their frames to the control goroutine.
type agents struct {
	log      logr.Logger
	control  *controlLoop
	outbox   *outbox
	options  session.Options
	lastConn atomic.Uint64
	config   *configuration
}

// serve handles requests to session.Path. It returns when the connection ends.
func (a *agents) serve(g *gin.Context) {
	conn, err := session.Accept(g.Writer, g.Request, a.options)
	if err != nil {
		return // the handshake wrote the response
	}
	s := &agentSession{agents: a, conn: conn, id: owner.ConnID(a.lastConn.Add(1))}
	err = conn.Serve(s.receive)
	s.handleDisconnect(err)
}

// agentSession is one connection of an agent.
type agentSession struct {
	*agents
	conn   *session.ToAgentConn
	id     owner.ConnID
	opened bool // a valid hello was received
	config *config.Peer
}

// receive handles a frame on the connection's reading goroutine. The command channel
// preserves the order of a connection's frames. An error closes the connection.
func (s *agentSession) receive(f *wire.ToEntry) error {
	if !s.opened {
		return s.handleHello(f)
	}
	if err := s.config.Receive(f.Version, f.Config); err != nil {
		return err
	}
	if f.IsHeartbeat() {
		return nil // the session handled it; it carries nothing for the owner
	}
	return s.control.Push(func(now time.Time, c core) {
		if err := c.Receive(now, s.id, f); err != nil {
			s.conn.Close(err)
		}
	})
}

// handleHello validates the first frame and connects the agent to the control state. The error
// is a *helloError, or control.ErrStopped.
func (s *agentSession) handleHello(f *wire.ToEntry) error {
	if f.Hello == nil {
		return &helloError{"it is missing from the first frame"}
	}
	if f.Hello.Version != wire.Version {
		return &helloError{"unsupported protocol version"}
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

// handleDisconnect logs the end of the connection and removes it from the control state.
func (s *agentSession) handleDisconnect(err error) {
	var closed *session.CloseError
	if errors.As(err, &closed) {
		s.logClose(closed)
	}
	if !s.opened {
		return
	}
	s.agents.config.close(s)
	// Push fails only when the process ends, and the control state with it.
	_ = s.control.Push(func(now time.Time, c core) {
		delete(s.outbox.conns, s.id)
		c.Disconnect(now, s.id)
	})
}

func (s *agentSession) logClose(closed *session.CloseError) {
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
