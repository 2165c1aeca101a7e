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

// Frame is the type constraint for the two frame types.
type Frame interface {
	wire.ToEntry | wire.ToAgent
}

// sequenced has the common methods of pointers to both frame types.
type sequenced interface {
	Stamp(seq, ack, confirmed uint64)
	Sequence() (seq, ack uint64)
	Confirmation() uint64
	IsHeartbeat() bool
	EstimatedBytes() int
}

// Conn is a connection that receives frames of type In and sends those of type Out. A
// goroutine of its own writes; the caller of Serve reads.
type Conn[In, Out Frame] struct {
	ws           *websocket.Conn
	options      Options
	queue        *queue[Out]
	liveness     *liveness
	receivedSeq  atomic.Uint64 // number of the last frame that was read
	deliveredSeq atomic.Uint64 // number of the last received frame that receive has handled
	confirmSeq   atomic.Uint64 // number to confirm to the peer
	// confirmedSeq is the number that was last confirmed to the peer; only the writing goroutine
	// uses it.
	confirmedSeq uint64

	closeOnce sync.Once
	done      chan struct{}
	err       error // set before done is closed
}

// ToAgentConn is the entry's end of a connection, ToEntryConn the agent's.
type (
	ToAgentConn = Conn[wire.ToEntry, wire.ToAgent]
	ToEntryConn = Conn[wire.ToAgent, wire.ToEntry]
)

// Accept upgrades the request of an agent or another entry to a WebSocket. On an error it has
// already written the HTTP response.
func Accept(w http.ResponseWriter, r *http.Request, o Options) (*ToAgentConn, error) {
	upgrader := websocket.Upgrader{WriteBufferSize: writeBufferBytes, Subprotocols: subprotocols}
	ws, err := upgrader.Upgrade(w, r, nil)
	if err != nil {
		return nil, errors.Wrap(err, "accept a connection")
	}
	return start[wire.ToEntry, wire.ToAgent](ws, o), nil
}

// Dial connects to the entry at addr ("ip:port"). The context bounds the dial and the
// handshake, not the lifetime of the connection.
func Dial(ctx context.Context, addr string, o Options) (*ToEntryConn, error) {
	return DialPath(ctx, addr, Path, o)
}

// DialPath is like Dial, with an HTTP path of the entry other than Path.
func DialPath(ctx context.Context, addr, path string, o Options) (*ToEntryConn, error) {
	o = o.withDefaults()
	dialer := websocket.Dialer{
		NetDialContext:   (&net.Dialer{Timeout: o.DialTimeout}).DialContext,
		HandshakeTimeout: o.SilenceTimeout, WriteBufferSize: writeBufferBytes, Subprotocols: subprotocols,
	}
	ws, response, err := dialer.DialContext(ctx, "ws://"+addr+path, nil)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to the entry at %s", addr)
	}
	_ = response.Body.Close() // always empty after a successful handshake
	return start[wire.ToAgent, wire.ToEntry](ws, o), nil
}

func start[In, Out Frame](ws *websocket.Conn, o Options) *Conn[In, Out] {
	o = o.withDefaults()
	ws.SetReadLimit(int64(o.MaxFrameBytes))
	c := &Conn[In, Out]{ws: ws, options: o, queue: newQueue[Out](o.MaxQueueBytes), liveness: newLiveness(o, time.Now()), done: make(chan struct{})}
	go c.write()
	return c
}

// Features returns which fields of frames the peer understands, by the protocol that it negotiated.
func (c *Conn[In, Out]) Features() wire.Features {
	switch c.ws.Subprotocol() {
	case DescribingProtocol:
		return wire.DescribedFeatures
	case ConfirmingProtocol, ExtendedProtocol:
		return wire.ExtendedFeatures
	}
	return wire.BaseFeatures
}

// Confirms reports whether the peer negotiated ConfirmingProtocol or a later one: both ends then take and may send
// confirmations.
func (c *Conn[In, Out]) Confirms() bool {
	protocol := c.ws.Subprotocol()
	return protocol == ConfirmingProtocol || protocol == DescribingProtocol
}

// ReceivedSeq returns the number of the last frame that was received; 0: none.
func (c *Conn[In, Out]) ReceivedSeq() uint64 { return c.receivedSeq.Load() }

// Confirm confirms the peer's frames up to a number that ReceivedSeq returned: all work that it has for
// this side was verified to be wanted after that, or its recall was queued before this call, which the
// confirmation never overtakes. A lower number, or a peer without ConfirmingProtocol, makes it do nothing.
// It is called by one goroutine at a time.
func (c *Conn[In, Out]) Confirm(seq uint64) {
	if seq > c.confirmSeq.Load() && c.Confirms() {
		c.confirmSeq.Store(seq)
	}
}

// ConfirmedAt returns when the newest frame was sent that the peer has confirmed, up to the frame that
// was read last, or a few milliseconds earlier; zero: none.
func (c *Conn[In, Out]) ConfirmedAt() time.Time { return c.liveness.confirmedAt() }

// Send queues a frame and never blocks. It takes ownership of the frame, which the
// connection numbers and encodes later. If the queue is full, the connection is closed with
// ReasonOverflow. After the end of the connection, frames are dropped.
func (c *Conn[In, Out]) Send(f *Out) {
	if !c.queue.push(f, any(f).(sequenced).EstimatedBytes()) {
		c.closeWith(ReasonOverflow, nil)
	}
}

// Serve passes each frame to receive, in order, until the connection ends, and returns the
// *CloseError. An error of receive closes the connection. A frame is acknowledged only
// after receive has returned, so a blocking receive exerts backpressure on the peer.
func (c *Conn[In, Out]) Serve(receive func(*In) error) error {
	for {
		f, err := c.read()
		if err != nil {
			c.closeWith(reasonOfReadError(err), err)
			return c.err
		}
		if err := receive(f); err != nil {
			c.closeWith(ReasonRejected, err)
			return c.err
		}
		seq, _ := any(f).(sequenced).Sequence()
		c.deliveredSeq.Store(seq)
	}
}

// read blocks until the next frame arrives and validates its numbers. The writer closes the
// connection if no frame arrives in time.
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
	if want := c.deliveredSeq.Load() + 1; seq != want {
		return nil, &SequenceError{Want: want, Got: seq}
	}
	activated, err := c.liveness.recordReceive(time.Now(), ack, !frame.IsHeartbeat())
	if err != nil {
		return nil, err
	}
	if err := c.liveness.recordConfirmation(frame.Confirmation()); err != nil {
		return nil, err
	}
	c.receivedSeq.Store(seq)
	if activated {
		c.queue.wake() // the writer may be sleeping for an idle heartbeat interval
	}
	c.options.Counters.FramesIn.Add(1)
	c.options.Counters.BytesIn.Add(int64(len(data)))
	return f, nil
}

// write sends queued frames, and a heartbeat when none was sent for the heartbeat interval.
// It closes the connection when it is silent.
func (c *Conn[In, Out]) write() {
	checkTimer := time.NewTimer(c.options.HeartbeatInterval)
	defer checkTimer.Stop()
	for {
		select {
		case <-c.done:
			return
		case <-c.queue.ready:
		case <-checkTimer.C:
		}
		confirm := c.confirmSeq.Load() // before the queue is drained: see Confirm
		frames := c.queue.drain()
		if len(frames) == 0 && c.liveness.heartbeatDue(time.Now()) {
			frames = append(frames, new(Out))
			c.options.Counters.Heartbeats.Add(1)
		}
		for i, f := range frames {
			if i == len(frames)-1 {
				c.confirmedSeq = confirm
			}
			if err := c.writeFrame(f); err != nil {
				c.closeWith(ReasonWrite, err)
				return
			}
		}
		now := time.Now()
		if reason := c.liveness.timeoutReason(now); reason != "" {
			c.closeWith(reason, nil)
			return
		}
		checkTimer.Reset(c.liveness.nextCheckIn(now))
	}
}

func (c *Conn[In, Out]) writeFrame(f *Out) error {
	frame := any(f).(sequenced)
	frame.Stamp(c.liveness.recordSend(time.Now(), !frame.IsHeartbeat()), c.deliveredSeq.Load(), c.confirmedSeq)
	data, err := wire.Encode(f)
	if err != nil {
		return err
	}
	// A write blocks once the socket buffers of both hosts are full, which under load is
	// the first sign of a loss of connectivity. The write deadline detects it.
	if err := c.ws.SetWriteDeadline(time.Now().Add(c.options.SilenceTimeout)); err != nil {
		return errors.Wrap(err, "set the write deadline")
	}
	if err := c.ws.WriteMessage(websocket.BinaryMessage, data); err != nil {
		return errors.Wrap(err, "write a frame")
	}
	c.options.Counters.FramesOut.Add(1)
	c.options.Counters.BytesOut.Add(int64(len(data)))
	return nil
}

// Close closes the connection immediately and drops queued frames. The cause may be nil.
// It has no effect on a connection that has already ended.
func (c *Conn[In, Out]) Close(cause error) { c.closeWith(ReasonLocal, cause) }

// Done returns a channel that is closed when the connection has ended.
func (c *Conn[In, Out]) Done() <-chan struct{} { return c.done }

// Err returns the *CloseError of an ended connection, or nil while it is open.
func (c *Conn[In, Out]) Err() error {
	select {
	case <-c.done:
		return c.err
	default:
		return nil
	}
}

// AcknowledgedAt returns when the newest frame was sent that the peer has acknowledged, up to the
// frame that was received last; zero: there is none. The peer was running after that time.
func (c *Conn[In, Out]) AcknowledgedAt() time.Time { return c.liveness.acknowledgedAt() }

// RemoteAddr returns the peer's address.
func (c *Conn[In, Out]) RemoteAddr() string { return c.ws.RemoteAddr().String() }

func (c *Conn[In, Out]) closeWith(reason Reason, cause error) {
	c.closeOnce.Do(func() {
		if reason == ReasonSilent || reason == ReasonUnacknowledged {
			c.options.Counters.ClosedSilent.Add(1)
		}
		c.err = &CloseError{Reason: reason, Cause: cause}
		c.queue.close()
		close(c.done)
		_ = c.ws.Close() // the connection is abandoned in any case
	})
}
