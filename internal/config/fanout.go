package config

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// fanOutEvery is how often the connections are looked through for peers to tell:
// as often as heartbeats go out.
const fanOutEvery = 250 * time.Millisecond

// An entry that has itself read the log lately repeats its mark, so that agents
// know that they are current. One that misses the log stays silent. At 20 bytes a
// frame this costs an entry of 760 agents 0.5 KB/s.
const (
	vouchEvery  = 30 * time.Second
	vouchWithin = 10 * time.Second
	// PeerStaleAfter is three repetitions: one that is lost or late is no news.
	PeerStaleAfter = 3 * vouchEvery
)

// FanOut tells the peers at the ends of a process's connections of changes. It is
// safe for concurrent use.
type FanOut struct {
	stale *Replica // says when it is stale; nil where a follower does
	mu    sync.Mutex
	peers map[*Peer]bool
}

// Peer is one connection of a FanOut.
type Peer struct {
	mu   sync.Mutex
	link *Link
	send func(mark uint64, update []byte)
	said uint64
	at   time.Time // zero: nothing said yet
}

// NewFanOut returns a FanOut without connections. stale is the holder of a process
// that hears of configuration from its peers alone, or nil.
func NewFanOut(stale *Replica) *FanOut { return &FanOut{stale: stale, peers: map[*Peer]bool{}} }

// Add takes a new connection in. send puts the mark and the update, which may be
// empty, on a frame; it must not block.
func (f *FanOut) Add(l *Link, send func(mark uint64, update []byte)) *Peer {
	p := &Peer{link: l, send: send}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peers[p] = true
	return p
}

// Remove forgets a connection that ended.
func (f *FanOut) Remove(p *Peer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.peers, p)
}

// Receive takes what a frame said about configuration; see Link.Receive. A frame that
// says nothing (mark 0, no update) is passed over. So is an update of a newer
// format: during a roll-out it must not cost the connection, and a process that
// can't follow says that it is stale.
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

// tell sends what is due. Marks travel raised by one, so that a process without
// any configuration says so too, and is told, instead of saying nothing.
func (p *Peer) tell(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	mark, update := p.link.PrepareFrame(now)
	vouch := now.Sub(p.at) >= vouchEvery && p.link.vouches()
	if p.said == mark && update == nil && !p.at.IsZero() && !vouch {
		return
	}
	p.said, p.at = mark, now
	p.send(mark+1, update)
}

// SendDue sends what is due on every connection.
func (f *FanOut) SendDue(now time.Time) {
	f.mu.Lock()
	peers := make([]*Peer, 0, len(f.peers))
	for p := range f.peers {
		peers = append(peers, p)
	}
	f.mu.Unlock()
	for _, p := range peers {
		p.tell(now)
	}
}

// Run calls Tell until the context ends.
func (f *FanOut) Run(ctx context.Context) {
	tick := time.NewTicker(fanOutEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			f.SendDue(now)
			if f.stale != nil {
				f.stale.LogIfStale(PeerStaleAfter)
			}
		}
	}
}
