// Package evacuation holds which data centres operators have evacuated: until an
// evacuation is lifted, no task starts on a target there, and what runs there ends in its
// own time.
//
// Evacuations are records of the platform's log. A process that the log turns away must
// know of them too, so processes pass them on over their sessions. Two beliefs merge by
// data centre: the statement of the highest log offset wins, and a lifted evacuation is a
// statement as well. A lost statement would either let work into a data centre that is
// being emptied or leave its targets idle for good.
//
// A lifted evacuation may only show as a key that is missing among the newest ones. That is
// stated as of the last offset below the end of the log that was read with them. Where an
// evacuation has that same offset, it was lifted between two pages of the list, so a lifted
// one wins a tie. A process that has read such a list corrects its peers: one that started
// after an evacuation was lifted has nothing to compare the list with, and a peer may still
// believe in it.
package evacuation

import (
	"cmp"
	"slices"
	"time"

	"github.com/camphorrack/camphorrack/internal/wire"
)

// Record is what a log record says of one data centre.
type Record = wire.Evacuation

// mostStatements bounds what is remembered; the oldest lifted evacuations go first.
const mostStatements = 256

// set holds the newest statement on each data centre.
type set map[string]Record

// take merges a statement, and reports whether it is news.
func (s set) take(n Record) bool {
	old, known := s[n.DataCentre]
	if known && !newer(n, old) {
		return false
	}
	s[n.DataCentre] = n
	if len(s) > mostStatements {
		s.evict()
	}
	return true
}

func newer(n, old Record) bool {
	if n.Offset != old.Offset {
		return n.Offset > old.Offset
	}
	return n.Lifted && !old.Lifted
}

// evict forgets the oldest lifted evacuation. Those in force are kept, however many.
func (s set) evict() {
	oldest, found := Record{}, false
	for _, st := range s {
		if st.Lifted && (!found || st.Offset < oldest.Offset) {
			oldest, found = st, true
		}
	}
	if found {
		delete(s, oldest.DataCentre)
	}
}

// missing returns what a list of the newest keys, read below the offset end, says of the
// data centres that it lacks.
func (s set) missing(listed []Record, end uint64) []Record {
	var lifted []Record
	for name, st := range s {
		isListed := slices.ContainsFunc(listed, func(l Record) bool { return l.DataCentre == name })
		if st.Lifted || st.Offset >= end || isListed {
			continue
		}
		lifted = append(lifted, Record{DataCentre: name, Offset: end - 1, Lifted: true})
	}
	return lifted
}

func (s set) sorted() []Record {
	all := make([]Record, 0, len(s))
	for _, st := range s {
		all = append(all, st)
	}
	slices.SortFunc(all, func(a, b Record) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return all
}

// PeerID names a session; it is never reused.
type PeerID uint64

// fromLog is the source of what this process has read from the log itself.
const fromLog PeerID = 0

// Replica has what this process knows, and passes it on. It is not safe for concurrent use.
type Replica struct {
	// Send queues statements for a peer.
	Send func(PeerID, []Record)
	// OnChange is told of each statement that is news; peer is 0 where the log said so.
	OnChange func(now time.Time, s Record, peer PeerID)

	known set
	peers map[PeerID]struct{}
	// below is the end of the log that was read with the newest list of keys.
	below uint64
}

// PeerUp tells that a session is open. The peer is told everything: it may know older
// statements, and a lifted evacuation must outdate those.
func (h *Replica) PeerUp(id PeerID) {
	if h.peers == nil {
		h.peers = map[PeerID]struct{}{}
	}
	h.peers[id] = struct{}{}
	if len(h.known) > 0 {
		h.Send(id, h.known.sorted())
	}
}

// PeerDown tells that a session has ended.
func (h *Replica) PeerDown(id PeerID) { delete(h.peers, id) }

// MergeFromPeer takes a peer's statements.
func (h *Replica) MergeFromPeer(now time.Time, id PeerID, statements []Record) {
	h.merge(now, id, statements)
}

// MergeRecord takes a record of the log.
func (h *Replica) MergeRecord(now time.Time, s Record) { h.merge(now, fromLog, []Record{s}) }

// MergeSnapshot takes all evacuations among the newest keys of the log, which were read below the
// offset end.
func (h *Replica) MergeSnapshot(now time.Time, listed []Record, end uint64) {
	h.merge(now, fromLog, append(h.known.missing(listed, end), listed...))
	h.below = max(h.below, end)
}

func (h *Replica) merge(now time.Time, from PeerID, statements []Record) {
	if h.known == nil {
		h.known = set{}
	}
	var news []Record
	corrects := false
	for _, s := range statements {
		current := h.corrected(s)
		if s.DataCentre == "" || !h.known.take(current) {
			continue
		}
		corrects = corrects || current != s
		news = append(news, current)
		h.OnChange(now, current, from)
	}
	if len(news) == 0 {
		return
	}
	for id := range h.peers {
		if id != from || corrects {
			h.Send(id, news)
		}
	}
}

// corrected returns what holds of a data centre given that the newest list lacks it, where it
// does; else the statement itself.
func (h *Replica) corrected(s Record) Record {
	known, is := h.known[s.DataCentre]
	if s.Lifted || s.Offset >= h.below || is && !known.Lifted {
		return s
	}
	return Record{DataCentre: s.DataCentre, Offset: h.below - 1, Lifted: true}
}
