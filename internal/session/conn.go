package session

import (
	"context"
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
	Weight() int
}

// Conn is one connection that receives In and sends Out. One goroutine writes;
// the one that calls Serve reads.
type Conn[In, Out Frame] struct {
	ws       *websocket.Conn
	o        Options
	queue    *queue[Out]
	progress progress
	heard    atomic.Uint64 // highest number of the peer's frames that was delivered

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
	dialer := websocket.Dialer{HandshakeTimeout: o.Silent, WriteBufferSize: writeBufferBytes}
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
	c := &Conn[In, Out]{ws: ws, o: o, queue: newQueue[Out](o.MaxQueueBytes), done: make(chan struct{})}
	go c.write()
	return c
}

// Send queues a frame and never blocks. The session numbers the frame; the
// caller must not touch it afterwards. When too much is queued already, the
// connection is closed; after the end of the connection, frames are dropped.
func (c *Conn[In, Out]) Send(f *Out) {
	if !c.queue.push(f, any(f).(sequenced).Weight()) {
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

// read waits for one frame, at most Silent long.
func (c *Conn[In, Out]) read() (*In, error) {
	if err := c.ws.SetReadDeadline(time.Now().Add(c.o.Silent)); err != nil {
		return nil, errors.Wrap(err, "set the read deadline")
	}
	_, data, err := c.ws.ReadMessage()
	if err != nil {
		return nil, errors.Wrap(err, "read a frame")
	}
	f, err := wire.Decode[In](data)
	if err != nil {
		return nil, err
	}
	seq, peerHeard := any(f).(sequenced).Sequence()
	if want := c.heard.Load() + 1; seq != want {
		return nil, &SequenceError{Want: want, Got: seq}
	}
	if err := c.progress.acknowledge(peerHeard, time.Now()); err != nil {
		return nil, err
	}
	c.o.Counters.FramesIn.Add(1)
	c.o.Counters.BytesIn.Add(int64(len(data)))
	return f, nil
}

// write sends what is queued, and a heartbeat whenever nothing went out for a
// while. No heartbeat goes out before the first frame, which opens the session.
func (c *Conn[In, Out]) write() {
	// Two ticks a heartbeat: a frame that just missed one goes out at the next.
	tick := time.NewTicker(c.o.Heartbeat / 2)
	defer tick.Stop()
	var lastWrite time.Time
	for {
		select {
		case <-c.done:
			return
		case <-c.queue.ready:
		case <-tick.C:
		}
		frames := c.queue.take()
		if c.progress.sent() > 0 && len(frames) == 0 && time.Since(lastWrite) >= c.o.Heartbeat/2 {
			frames = append(frames, new(Out))
			c.o.Counters.Heartbeats.Add(1)
		}
		for _, f := range frames {
			if err := c.writeFrame(f); err != nil {
				c.end(ReasonWrite, err)
				return
			}
			lastWrite = time.Now()
		}
		// The one-directional cut: the peer's heartbeats still come in, so silence
		// never shows here, but nothing of ours gets there, and starts and answers
		// would be lost for as long as the connection is kept.
		if c.progress.stalled(time.Now(), c.o.Silent) {
			c.end(ReasonUnheard, nil)
			return
		}
	}
}

func (c *Conn[In, Out]) writeFrame(f *Out) error {
	any(f).(sequenced).Stamp(c.progress.next(time.Now()), c.heard.Load())
	data, err := wire.Encode(f)
	if err != nil {
		return err
	}
	// A write blocks once the peer's and our kernel's buffers are full, which is
	// how a cut shows under load before anything else does.
	if err := c.ws.SetWriteDeadline(time.Now().Add(c.o.Silent)); err != nil {
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
		if reason == ReasonSilent || reason == ReasonUnheard {
			c.o.Counters.ClosedSilent.Add(1)
		}
		c.err = &CloseError{Reason: reason, Cause: cause}
		c.queue.close()
		close(c.done)
		_ = c.ws.Close() // the connection is given up whatever this returns
	})
}
