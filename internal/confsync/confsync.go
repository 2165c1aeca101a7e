// Package confsync passes the operator's configuration between processes over the
// sessions they have anyway.
//
// The platform's store may serve some hosts and turn others away for a while. A
// host that heard nothing would go on by an old configuration while its neighbours
// follow the new one: a caller would see a route come and go with the entry that
// answers. So each process announces its version to its peers, and whoever lags
// asks one of them for the body. A body of some ten kilobytes crosses each link at
// most once, however many peers announce it.
//
// Versions only rise: a body of the same or a lower version is dropped.
package confsync

import (
	"time"

	"github.com/camphorrack/camphorrack/internal/wire"
)

// askAgain is how long a peer may take to send the body before another is asked.
// A body takes a few milliseconds; a peer that went silent is given up by its
// session only after several hundred.
const askAgain = 200 * time.Millisecond

// PeerID names a session; it is never reused.
type PeerID uint64

// Replica has the newest configuration that the process knows. It is not safe for
// concurrent use.
type Replica struct {
	// Send queues a note for a peer.
	Send func(PeerID, wire.ConfigNote)
	// Apply takes a newer body into force. An error means that it can't be read and
	// is not kept.
	Apply func(now time.Time, version uint64, body []byte) error

	version uint64
	body    []byte
	peers   map[PeerID]uint64 // version each has announced
	asked   PeerID
	askedAt time.Time
}

// Version returns the version in force; 0 is none.
func (h *Replica) Version() uint64 { return h.version }

// Body returns the configuration in force, as it came.
func (h *Replica) Body() []byte { return h.body }

// PeerUp tells that a session is open. The peer is told the version.
func (h *Replica) PeerUp(id PeerID) {
	if h.peers == nil {
		h.peers = map[PeerID]uint64{}
	}
	h.peers[id] = 0
	if h.version > 0 {
		h.Send(id, wire.ConfigNote{Version: h.version})
	}
}

// PeerDown tells that a session has ended.
func (h *Replica) PeerDown(id PeerID) { delete(h.peers, id) }

// HandleNote takes a peer's note.
func (h *Replica) HandleNote(now time.Time, id PeerID, note *wire.ConfigNote) error {
	if note == nil {
		return nil
	}
	if _, up := h.peers[id]; !up {
		return nil
	}
	h.peers[id] = max(h.peers[id], note.Version)
	if len(note.Body) > 0 {
		if err := h.Update(now, note.Version, note.Body); err != nil {
			return err
		}
	}
	if note.WantBody && h.version > 0 {
		h.Send(id, wire.ConfigNote{Version: h.version, Body: h.body})
	}
	h.ask(now)
	return nil
}

// Update takes a body from the store or from a peer. One that is not newer changes
// nothing.
func (h *Replica) Update(now time.Time, version uint64, body []byte) error {
	if version <= h.version {
		return nil
	}
	if err := h.Apply(now, version, body); err != nil {
		return err
	}
	h.version, h.body, h.asked = version, body, 0
	for id, known := range h.peers {
		if known < version {
			h.Send(id, wire.ConfigNote{Version: version})
		}
	}
	return nil
}

// Tick asks another peer where the one that was asked did not answer.
func (h *Replica) Tick(now time.Time) { h.ask(now) }

func (h *Replica) ask(now time.Time) {
	if _, up := h.peers[h.asked]; up && now.Sub(h.askedAt) < askAgain {
		return
	}
	last := h.asked
	var best PeerID
	for id, known := range h.peers {
		if known <= h.version {
			continue
		}
		if best == 0 || id != last && (best == last || known > h.peers[best]) {
			best = id
		}
	}
	if best == 0 {
		return
	}
	h.asked, h.askedAt = best, now
	h.Send(best, wire.ConfigNote{Version: h.version, WantBody: true})
}
