// Package session exchanges frames between an entry and an agent over a WebSocket
// connection. It numbers the frames, sends heartbeats, and closes a connection that is
// silent in either direction with a typed error. It keeps no state across connections;
// the peers reconcile unfinished work on the next one.
package session

import (
	"sync/atomic"
	"time"

	"github.com/camphorrack/camphorrack/internal/wire"
)

// Path is the HTTP path at which an entry accepts connections of agents.
const Path = "/internal/agent"

// EntryPath is the HTTP path at which an entry accepts connections of other entries. Older
// entries respond to it with 404.
const EntryPath = "/internal/entry"

// ExtendedProtocol is the WebSocket subprotocol of peers that know the extended frames (see
// wire.Version). A peer without it rejects their fields, so none may be sent to it.
const ExtendedProtocol = "camphorrack.3"

// ConfirmingProtocol is the WebSocket subprotocol of peers that know the extended frames and
// their confirmations (see wire.ToEntry).
const ConfirmingProtocol = "camphorrack.4"

// DescribingProtocol is the WebSocket subprotocol of peers that know the fields of wire.DescribedFeatures, too.
const DescribingProtocol = "camphorrack.5"

// subprotocols are those that both ends offer, the preferred one first.
var subprotocols = []string{DescribingProtocol, ConfirmingProtocol, ExtendedProtocol}

const (
	// maxQueueBytes bounds the frames queued for a peer, at four frames of the maximum
	// size. Without a bound, a peer that reads slowly but is never silent would exhaust
	// the sender's memory.
	maxQueueBytes = 4 * wire.MaxFrameBytes
	// writeBufferBytes fits a typical frame, so that writing it takes a single system call.
	writeBufferBytes = 16 << 10
	// activeWindow is the default of Options.ActiveWindow. Most tasks take less than a
	// second and few take several, so a connection usually stays active while a task
	// runs, until its outcome arrives.
	activeWindow = 5 * time.Second
	// idleHeartbeatInterval and idleSilenceTimeout apply to an idle connection. A host
	// that loses power while idle counts as connected for up to idleSilenceTimeout. The
	// loss of a start sent to it in that time is detected after Options.SilenceTimeout.
	idleHeartbeatInterval = 2 * time.Second
	idleSilenceTimeout    = 7 * time.Second
)

// Options configure a connection. A zero field selects the default.
type Options struct {
	HeartbeatInterval     time.Duration // longest pause between two sent frames of an active connection; default wire.HeartbeatIntervalMs
	SilenceTimeout        time.Duration // silence after which an active connection is closed; default wire.SilenceTimeoutMs
	ActiveWindow          time.Duration // time after a frame with content in which the connection counts as active
	IdleHeartbeatInterval time.Duration // HeartbeatInterval of an idle connection
	IdleSilenceTimeout    time.Duration // SilenceTimeout of an idle connection
	DialTimeout           time.Duration // for the TCP connection, without the handshake; default SilenceTimeout
	MaxFrameBytes         int           // largest frame accepted; default wire.MaxFrameBytes
	MaxQueueBytes         int           // bound of the send queue, in estimated bytes
	Counters              *Counters     // may be nil, and shared by several connections
}

func (o Options) withDefaults() Options {
	if o.HeartbeatInterval == 0 {
		o.HeartbeatInterval = wire.HeartbeatIntervalMs * time.Millisecond
	}
	if o.SilenceTimeout == 0 {
		o.SilenceTimeout = wire.SilenceTimeoutMs * time.Millisecond
	}
	if o.ActiveWindow == 0 {
		o.ActiveWindow = activeWindow
	}
	if o.IdleHeartbeatInterval == 0 {
		o.IdleHeartbeatInterval = idleHeartbeatInterval
	}
	if o.IdleSilenceTimeout == 0 {
		o.IdleSilenceTimeout = idleSilenceTimeout
	}
	if o.DialTimeout == 0 {
		o.DialTimeout = o.SilenceTimeout
	}
	if o.MaxFrameBytes == 0 {
		o.MaxFrameBytes = wire.MaxFrameBytes
	}
	if o.MaxQueueBytes == 0 {
		o.MaxQueueBytes = maxQueueBytes
	}
	if o.Counters == nil {
		o.Counters = &Counters{}
	}
	return o
}

// Counters count the traffic of connections. They are safe for concurrent use. Bytes are
// those of the encoded frames, without WebSocket and TCP headers.
type Counters struct {
	FramesIn, FramesOut atomic.Int64
	BytesIn, BytesOut   atomic.Int64
	Heartbeats          atomic.Int64 // sent frames without content
	ClosedSilent        atomic.Int64 // connections closed as silent in either direction
}
