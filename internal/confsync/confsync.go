// Package confsync replicates the operator's configuration between processes over
// their existing sessions.
//
// The platform's store may reject the requests of some hosts while it serves others.
// A host that relied on the store alone would keep an old configuration while other
// hosts use the new one, and a route would exist or not depending on the entry that
// answers the caller. So each process announces its version to its peers, and a process
// with an older version requests the body from one of them. A body of some ten kilobytes
// crosses each link at most once, however many peers announce it.
//
// Versions only increase: a body of the same or a lower version is ignored.
package confsync

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/camphorrack/camphorrack/internal/wire"
)

// requestTimeout is how long a peer may take to send a requested body before another
// peer is asked. A transfer takes a few milliseconds; the session with an unresponsive
// peer is closed only after several hundred.
const requestTimeout = 200 * time.Millisecond

// announceBatch is the number of peers to which a new version is announced at once. The number doubles with
// each Tick. If all peers were told at the same time, all would request the body from the first process
// that has it, whose link may be the slowest; so the first ones pass it on to the others.
const announceBatch = 4

// PeerID identifies the session with a peer; it is never reused.
type PeerID uint64

// Replica is this process's copy of the configuration, of the highest version that it
// has received. It is not safe for concurrent use.
type Replica struct {
	// Send queues a note to be sent to a peer.
	Send func(PeerID, wire.ConfigNote)
	// Apply puts a body of a higher version into effect. If it returns an error, the
	// body is invalid and the current one is kept.
	Apply func(now time.Time, version uint64, body []byte) error

	version       uint64
	body          []byte
	peers         map[PeerID]uint64 // highest version that each has announced; 0: none
	requestedFrom PeerID
	requestedAt   time.Time
	unannounced   []PeerID // peers to which the version in effect is still to be announced
	batch         int      // number of them to be told at the next Tick
}

// Version returns the version in effect, or 0 if there is none.
func (r *Replica) Version() uint64 { return r.version }

// Body returns the encoded configuration in effect, as it was received.
func (r *Replica) Body() []byte { return r.body }

// PeerUp adds a peer whose session has opened, and announces the version to it.
func (r *Replica) PeerUp(id PeerID) {
	if r.peers == nil {
		r.peers = map[PeerID]uint64{}
	}
	r.peers[id] = 0
	if r.version > 0 {
		r.Send(id, wire.ConfigNote{Version: r.version})
	}
}

// PeerDown removes a peer whose session has ended.
func (r *Replica) PeerDown(id PeerID) { delete(r.peers, id) }

// HandleNote handles a note of a peer, which may announce a version, carry its body, or
// request the body in effect here. A nil note and notes of removed peers are ignored.
// The error is that of Apply.
func (r *Replica) HandleNote(now time.Time, id PeerID, note *wire.ConfigNote) error {
	if note == nil {
		return nil
	}
	if _, up := r.peers[id]; !up {
		return nil
	}
	r.peers[id] = max(r.peers[id], note.Version)
	if len(note.Body) > 0 {
		if err := r.Update(now, note.Version, note.Body); err != nil {
			return err
		}
	}
	if note.WantBody && r.version > 0 {
		r.Send(id, wire.ConfigNote{Version: r.version, Body: r.body})
	}
	r.requestBody(now)
	return nil
}

// Update applies a body from the store or from a peer, and begins to announce its version to the
// peers that have not announced it themselves. A body whose version is not higher than
// the current one is ignored. The error is that of Apply.
func (r *Replica) Update(now time.Time, version uint64, body []byte) error {
	if version <= r.version {
		return nil
	}
	if err := r.Apply(now, version, body); err != nil {
		return err
	}
	r.version, r.body, r.requestedFrom = version, body, 0
	r.unannounced, r.batch = r.peersInTurn(), announceBatch
	r.announce()
	return nil
}

// peersInTurn returns the peers in an order that differs between versions, so that it is not always the
// same ones that request a body first.
func (r *Replica) peersInTurn() []PeerID {
	hash := func(id PeerID) uint64 {
		var key [16]byte
		binary.LittleEndian.PutUint64(key[:8], r.version)
		binary.LittleEndian.PutUint64(key[8:], uint64(id))
		return xxhash.Sum64(key[:])
	}
	return slices.SortedFunc(maps.Keys(r.peers), func(a, b PeerID) int { return cmp.Or(cmp.Compare(hash(a), hash(b)), cmp.Compare(a, b)) })
}

// announce announces the version in effect to the next batch of the peers that have not announced it
// themselves.
func (r *Replica) announce() {
	told := 0
	for ; len(r.unannounced) > 0 && told < r.batch; r.unannounced = r.unannounced[1:] {
		id := r.unannounced[0]
		if announced, up := r.peers[id]; up && announced < r.version {
			r.Send(id, wire.ConfigNote{Version: r.version})
			told++
		}
	}
	r.batch *= 2
}

// Tick requests the body from another peer if a request has timed out, and announces the version in
// effect to further peers. It must be called regularly.
func (r *Replica) Tick(now time.Time) {
	r.requestBody(now)
	r.announce()
}

// requestBody requests the body from a peer that has announced a higher version, unless a
// request is pending. A peer other than the last one asked is preferred, and among those
// one with the highest version.
func (r *Replica) requestBody(now time.Time) {
	if _, up := r.peers[r.requestedFrom]; up && now.Sub(r.requestedAt) < requestTimeout {
		return
	}
	last := r.requestedFrom
	var best PeerID
	for id, announced := range r.peers {
		if announced <= r.version {
			continue
		}
		switch of := r.peers[best]; {
		case best == 0, id != last && (best == last || announced > of || announced == of && id < best):
			best = id
		}
	}
	if best == 0 {
		return
	}
	r.requestedFrom, r.requestedAt = best, now
	r.Send(best, wire.ConfigNote{Version: r.version, WantBody: true})
}
