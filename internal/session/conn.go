package session

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/websocket"

	"github.com/camphorrack/camphorrack/internal/wire"
)

// Frame is one of the two kinds of frame.
type Frame interface {
	wire.ToEntry | wire.ToAgent
}

// sequenced is what both kinds of frame can do, as pointers.
type sequenced interface {
	Stamp(seq, heard uint64)
	Sequence() (seq, heard uint64)
	IsHeartbeat() bool
	EstimatedBytes() int
}

// Conn is one connection that receives In and sends Out. One goroutine writes;
// the one that calls Serve reads.
type Conn[In, Out Frame] struct {
	ws    *websocket.Conn
	o     Options
	queue *queue[Out]
	pulse *pulse
	heard atomic.Uint64 // highest number of the peer's frames that was delivered

	closeOnce sync.Once
	done      chan struct{}
	err       error // written before done is closed
}

// ToAgentConn is the entry's side of a connection, ToEntryConn the agent's.
type (
	ToAgentConn = Conn[wire.ToEntry, wire.ToAgent]
	ToEntryConn = Conn[wire.ToAgent, wire.ToEntry]
)

// Accept upgrades an agent's request. After an error the response is written.
func Accept(w http.ResponseWriter, r *http.Request, o Options) (*ToAgentConn, error) {
	upgrader := websocket.Upgrader{WriteBufferSize: writeBufferBytes}
	ws, err := upgrader.Upgrade(w, r, nil)
	if err != nil {
		return nil, errors.Wrap(err, "accept an agent")
	}
	return start[wire.ToEntry, wire.ToAgent](ws, o), nil
}

// Dial connects to the entry at addr ("ip:port"). The context bounds the
// handshake only.
func Dial(ctx context.Context, addr string, o Options) (*ToEntryConn, error) {
	o = o.withDefaults()
	dialer := websocket.Dialer{
		NetDialContext:   (&net.Dialer{Timeout: o.DialTimeout}).DialContext,
		HandshakeTimeout: o.SilenceTimeout, WriteBufferSize: writeBufferBytes,
	}
	ws, response, err := dialer.DialContext(ctx, "ws://"+addr+Path, nil)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to the entry at %s", addr)
	}
	_ = response.Body.Close() // always empty after a successful handshake
	return start[wire.ToAgent, wire.ToEntry](ws, o), nil
}

func start[In, Out Frame](ws *websocket.Conn, o Options) *Conn[In, Out] {
	o = o.withDefaults()
	ws.SetReadLimit(int64(o.MaxFrameBytes))
	c := &Conn[In, Out]{ws: ws, o: o, queue: newQueue[Out](o.MaxQueueBytes), pulse: newPulse(o, time.Now()), done: make(chan struct{})}
	go c.write()
	return c
}

// Send queues a frame and never blocks. The session numbers the frame; the
// caller must not touch it afterwards. When too much is queued already, the
// connection is closed; after the end of the connection, frames are dropped.
func (c *Conn[In, Out]) Send(f *Out) {
	if !c.queue.push(f, any(f).(sequenced).EstimatedBytes()) {
		c.end(ReasonOverflow, nil)
	}
}

// Serve hands each frame to receive, in order, until the connection ends, and
// returns why (a *CloseError). An error of receive closes the connection. While
// receive blocks, the peer is not told that its frames were heard.
func (c *Conn[In, Out]) Serve(receive func(*In) error) error {
	for {
		f, err := c.read()
		if err != nil {
			c.end(readReason(err), err)
			return c.err
		}
		if err := receive(f); err != nil {
			c.end(ReasonRejected, err)
			return c.err
		}
		seq, _ := any(f).(sequenced).Sequence()
		c.heard.Store(seq)
	}
}

// read waits for one frame. The writer ends the connection when none comes.
func (c *Conn[In, Out]) read() (*In, error) {
	_, data, err := c.ws.ReadMessage()
	if err != nil {
		return nil, errors.Wrap(err, "read a frame")
	}
	f, err := wire.Decode[In](data)
	if err != nil {
		return nil, err
	}
	frame := any(f).(sequenced)
	seq, ack := frame.Sequence()
	if want := c.heard.Load() + 1; seq != want {
		return nil, &SequenceError{Want: want, Got: seq}
	}
	woken, err := c.pulse.heard(time.Now(), ack, !frame.IsHeartbeat())
	if err != nil {
		return nil, err
	}
	if woken {
		c.queue.wake() // the writer sleeps for as long as an idle heartbeat takes
	}
	c.o.Counters.FramesIn.Add(1)
	c.o.Counters.BytesIn.Add(int64(len(data)))
	return f, nil
}

// write sends what is queued, and a heartbeat whenever nothing went out for a
// while, and ends the connection when it is silent.
func (c *Conn[In, Out]) write() {
	look := time.NewTimer(c.o.HeartbeatInterval)
	defer look.Stop()
	for {
		select {
		case <-c.done:
			return
		case <-c.queue.ready:
		case <-look.C:
		}
		frames := c.queue.take()
		if len(frames) == 0 && c.pulse.heartbeatDue(time.Now()) {
			frames = append(frames, new(Out))
			c.o.Counters.Heartbeats.Add(1)
		}
		for _, f := range frames {
			if err := c.writeFrame(f); err != nil {
				c.end(ReasonWrite, err)
				return
			}
		}
		now := time.Now()
		if reason := c.pulse.silence(now); reason != "" {
			c.end(reason, nil)
			return
		}
		look.Reset(c.pulse.nextLook(now))
	}
}

func (c *Conn[In, Out]) writeFrame(f *Out) error {
	frame := any(f).(sequenced)
	frame.Stamp(c.pulse.sending(time.Now(), !frame.IsHeartbeat()), c.heard.Load())
	data, err := wire.Encode(f)
	if err != nil {
		return err
	}
	// A write blocks once the peer's and our kernel's buffers are full, which is
	// how a cut shows under load before anything else does.
	if err := c.ws.SetWriteDeadline(time.Now().Add(c.o.SilenceTimeout)); err != nil {
		return errors.Wrap(err, "set the write deadline")
	}
	if err := c.ws.WriteMessage(websocket.BinaryMessage, data); err != nil {
		return errors.Wrap(err, "write a frame")
	}
	c.o.Counters.FramesOut.Add(1)
	c.o.Counters.BytesOut.Add(int64(len(data)))
	return nil
}

// Close ends the connection at once; what is queued is dropped. The cause may be
// nil. Only the first end of a connection counts.
func (c *Conn[In, Out]) Close(cause error) { c.end(ReasonLocal, cause) }

// Done is closed when the connection has ended.
func (c *Conn[In, Out]) Done() <-chan struct{} { return c.done }

// Err returns why the connection ended, or nil while it lasts.
func (c *Conn[In, Out]) Err() error {
	select {
	case <-c.done:
		return c.err
	default:
		return nil
	}
}

// RemoteAddr returns the peer's address.
func (c *Conn[In, Out]) RemoteAddr() string { return c.ws.RemoteAddr().String() }

func (c *Conn[In, Out]) end(reason Reason, cause error) {
	c.closeOnce.Do(func() {
		if reason == ReasonSilent || reason == ReasonUnacknowledged {
			c.o.Counters.ClosedSilent.Add(1)
		}
		c.err = &CloseError{Reason: reason, Cause: cause}
		c.queue.close()
		close(c.done)
		_ = c.ws.Close() // the connection is given up whatever this returns
	})
}
