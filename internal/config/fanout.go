package config

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// fanOutInterval is the interval at which each connection is checked for a position or
// update to send. It equals that of the heartbeats.
const fanOutInterval = 250 * time.Millisecond

// An entry that has read the log within maxConfirmAge repeats its position every
// confirmInterval, so that agents know that their configuration is current. An entry that
// can't read the log does not. At 20 bytes a frame this costs an entry with 760 agents
// 0.5 KB/s.
const (
	confirmInterval = 30 * time.Second
	maxConfirmAge   = 10 * time.Second
	// PeerStaleAfter is the age at which a configuration that peers confirm counts as
	// stale. It is three repetitions, so that a single lost or late one has no effect.
	PeerStaleAfter = 3 * confirmInterval
)

// FanOut sends positions and updates to the peers at the ends of a process's connections.
// It is safe for concurrent use.
type FanOut struct {
	staleReplica *Replica // its LogIfStale is called regularly; nil if a follower does so
	mu           sync.Mutex
	peers        map[*Peer]bool
}

// Peer is one connection of a FanOut.
type Peer struct {
	mu           sync.Mutex
	link         *Link
	send         func(mark uint64, update []byte)
	sentPosition uint64
	sentAt       time.Time // when a position was last sent; zero: never
}

// NewFanOut returns a FanOut without connections. staleReplica is the replica of a process
// that receives configuration from peers only, and nil on other processes.
func NewFanOut(staleReplica *Replica) *FanOut {
	return &FanOut{staleReplica: staleReplica, peers: map[*Peer]bool{}}
}

// Add adds a new connection. send puts a mark and an update, which may be empty, on a
// frame; it must not block. A mark is a position plus one.
func (f *FanOut) Add(l *Link, send func(mark uint64, update []byte)) *Peer {
	p := &Peer{link: l, send: send}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peers[p] = true
	return p
}

// Remove removes a connection that has ended.
func (f *FanOut) Remove(p *Peer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.peers, p)
}

// Receive handles the mark and the update of a frame; see Link.Receive. A frame without
// either (mark 0, no update) is ignored. The error is a *CodecError. An update of a newer
// format is ignored without an error: during a roll-out it must not end the connection,
// and the process logs that its configuration is stale.
func (p *Peer) Receive(mark uint64, update []byte) error {
	if mark == 0 && len(update) == 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	err := p.link.Receive(max(mark, 1)-1, update)
	var format *FormatError
	if errors.As(err, &format) {
		return nil
	}
	return err
}

// sendDue sends a frame if the position has changed, an update is due, or the position must
// be confirmed again. The mark is the position plus one, so that a process without any
// configuration, at position 0, sends a mark too and receives an update.
func (p *Peer) sendDue(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	position, update := p.link.PrepareFrame(now)
	confirm := now.Sub(p.sentAt) >= confirmInterval && p.link.confirmsCurrent()
	if p.sentPosition == position && update == nil && !p.sentAt.IsZero() && !confirm {
		return
	}
	p.sentPosition, p.sentAt = position, now
	p.send(position+1, update)
}

// SendDue sends a frame on each connection that has a position or an update to send.
func (f *FanOut) SendDue(now time.Time) {
	f.mu.Lock()
	peers := make([]*Peer, 0, len(f.peers))
	for p := range f.peers {
		peers = append(peers, p)
	}
	f.mu.Unlock()
	for _, p := range peers {
		p.sendDue(now)
	}
}

// Run calls SendDue regularly until the context ends.
func (f *FanOut) Run(ctx context.Context) {
	ticker := time.NewTicker(fanOutInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			f.SendDue(now)
			if f.staleReplica != nil {
				f.staleReplica.LogIfStale(PeerStaleAfter)
			}
		}
	}
}
