// Package session carries frames between an entry and an agent over one
// WebSocket. It numbers the frames, sends heartbeats, and closes a connection
// that has gone silent in either direction with a typed error. It keeps nothing
// across connections: what must survive one is asked about on the next.
package session

import (
	"sync/atomic"
	"time"

	"github.com/camphorrack/camphorrack/internal/wire"
)

// Path is where an entry serves its agents' connections.
const Path = "/internal/agent"

const (
	// maxQueueBytes bounds what waits for a slow peer: four of the largest frames.
	// Without it, a peer that reads slowly but is never silent would take the
	// sender's memory.
	maxQueueBytes = 4 * wire.MaxFrameBytes
	// writeBufferBytes holds a usual frame whole, so that it takes one system call.
	writeBufferBytes = 16 << 10
	// activeFor is how long after a frame with content a connection is watched
	// closely. Most tasks take less than a second and few take several, so a task
	// that runs keeps its connection active until its outcome comes.
	activeFor = 5 * time.Second
	// idleHeartbeat and idleSilent are the loose watch of an idle connection. A host
	// that lost power while idle counts as connected for as long as idleSilent; a
	// start sent to it meanwhile is missed after Silent.
	idleHeartbeat = 2 * time.Second
	idleSilent    = 7 * time.Second
)

// Options tune a connection. A zero field takes the default.
type Options struct {
	HeartbeatInterval     time.Duration // longest pause between two frames of ours; default wire.HeartbeatIntervalMs
	SilenceTimeout        time.Duration // silence that closes the connection; default wire.SilenceTimeoutMs
	ActiveWindow          time.Duration // the two above hold so long after a frame with content
	IdleHeartbeatInterval time.Duration // in place of Heartbeat, later
	IdleSilenceTimeout    time.Duration // in place of Silent, later
	DialTimeout           time.Duration // for the connection alone, without the handshake; default Silent
	MaxFrameBytes         int           // largest frame taken; default wire.MaxFrameBytes
	MaxQueueBytes         int           // estimated bytes that may wait to be written
	Counters              *Counters     // shared among connections; may be nil
}

func (o Options) withDefaults() Options {
	if o.HeartbeatInterval == 0 {
		o.HeartbeatInterval = wire.HeartbeatIntervalMs * time.Millisecond
	}
	if o.SilenceTimeout == 0 {
		o.SilenceTimeout = wire.SilenceTimeoutMs * time.Millisecond
	}
	if o.ActiveWindow == 0 {
		o.ActiveWindow = activeFor
	}
	if o.IdleHeartbeatInterval == 0 {
		o.IdleHeartbeatInterval = idleHeartbeat
	}
	if o.IdleSilenceTimeout == 0 {
		o.IdleSilenceTimeout = idleSilent
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

// Counters add up the traffic of connections; all fields are safe for concurrent
// use. Bytes are those of the encoded frames, without WebSocket and TCP headers.
type Counters struct {
	FramesIn, FramesOut atomic.Int64
	BytesIn, BytesOut   atomic.Int64
	Heartbeats          atomic.Int64 // frames out that carried nothing else
	ClosedSilent        atomic.Int64 // connections closed for silence in either direction
}
