// Package evacuation keeps track of the data centres that operators have evacuated. Until an
// evacuation is lifted no task starts on a target of the data centre; running tasks end
// normally.
//
// Evacuations are records of the platform's log. A process that cannot read the log must apply
// them too, so processes forward the records over their sessions. Two replicas are merged by
// data centre: the record of the highest log offset wins, and the lifting of an evacuation is a
// record as well. A lost record would either let tasks start in a data centre that is being
// emptied or leave its targets idle permanently.
//
// The log may have dropped the record that lifted an evacuation; then the lift only shows as a
// key that is missing from a snapshot of the newest keys. This implied lift gets the last offset
// before the end of the log that was read with the snapshot. If the evacuation has that same
// offset, it was lifted between two pages of the snapshot, so a lift wins a tie. A process that
// has read such a snapshot also corrects its peers: if it was started after the lift, it has no
// older record to compare with the snapshot, and a peer may still have the evacuation in force.
package evacuation

import (
	"cmp"
	"slices"
	"time"

	"github.com/camphorrack/camphorrack/internal/wire"
)

// Record is the content of a log record on one data centre: its evacuation, or the lifting of
// it.
type Record = wire.Evacuation

// maxRecords bounds the records kept; those of the oldest lifted evacuations are evicted first.
const maxRecords = 256

// recordSet holds the newest record of each data centre.
type recordSet map[string]Record

// merge adds a record if it supersedes the known one, and reports whether it does.
func (s recordSet) merge(rec Record) bool {
	old, known := s[rec.DataCentre]
	if known && !supersedes(rec, old) {
		return false
	}
	s[rec.DataCentre] = rec
	if len(s) > maxRecords {
		s.evict()
	}
	return true
}

// supersedes reports whether rec replaces old: by its higher offset, or as a lift of the same
// offset.
func supersedes(rec, old Record) bool {
	if rec.Offset != old.Offset {
		return rec.Offset > old.Offset
	}
	return rec.Lifted && !old.Lifted
}

// evict removes the record of the oldest lifted evacuation. Evacuations in force are kept,
// however many there are.
func (s recordSet) evict() {
	oldest, found := Record{}, false
	for _, rec := range s {
		if rec.Lifted && (!found || cmp.Or(cmp.Compare(rec.Offset, oldest.Offset), cmp.Compare(rec.DataCentre, oldest.DataCentre)) < 0) {
			oldest, found = rec, true
		}
	}
	if found {
		delete(s, oldest.DataCentre)
	}
}

// impliedLifts returns a lift, of the offset end-1, for each evacuation below the offset end that
// is missing from a snapshot of the newest keys read up to there.
func (s recordSet) impliedLifts(listed []Record, end uint64) []Record {
	var lifted []Record
	for _, rec := range s.sorted() {
		isListed := slices.ContainsFunc(listed, func(l Record) bool { return l.DataCentre == rec.DataCentre })
		if rec.Lifted || rec.Offset >= end || isListed {
			continue
		}
		lifted = append(lifted, Record{DataCentre: rec.DataCentre, Offset: end - 1, Lifted: true})
	}
	return lifted
}

// sorted returns the records in the order of their data centres.
func (s recordSet) sorted() []Record {
	all := make([]Record, 0, len(s))
	for _, rec := range s {
		all = append(all, rec)
	}
	slices.SortFunc(all, func(a, b Record) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return all
}

// PeerID identifies the session with a peer; it is never reused.
type PeerID uint64

// fromLog is the PeerID of records that this process has read from the log.
const fromLog PeerID = 0

// Replica is this process's copy of the evacuation records, which it forwards to its peers. It
// is not safe for concurrent use.
type Replica struct {
	// Send queues records to be sent to a peer.
	Send func(PeerID, []Record)
	// OnChange is called for each record that supersedes the known one; peer is its sender, or
	// 0 if the record comes from the log.
	OnChange func(now time.Time, rec Record, peer PeerID)

	records recordSet
	peers   map[PeerID]struct{}
	// snapshotEnd is the end of the log that was read with the newest snapshot, exclusive.
	snapshotEnd uint64
}

// PeerUp adds a peer whose session has opened, and sends it all records: it may have older ones,
// such as an evacuation that has been lifted since.
func (r *Replica) PeerUp(id PeerID) {
	if r.peers == nil {
		r.peers = map[PeerID]struct{}{}
	}
	r.peers[id] = struct{}{}
	if len(r.records) > 0 {
		r.Send(id, r.records.sorted())
	}
}

// PeerDown removes a peer whose session has ended.
func (r *Replica) PeerDown(id PeerID) { delete(r.peers, id) }

// MergeFromPeer merges the records that a peer has sent.
func (r *Replica) MergeFromPeer(now time.Time, id PeerID, records []Record) {
	r.merge(now, id, records)
}

// MergeRecord merges a record that was read from the log.
func (r *Replica) MergeRecord(now time.Time, rec Record) { r.merge(now, fromLog, []Record{rec}) }

// MergeSnapshot merges a snapshot: all evacuations among the newest keys of the log, which were
// read below the offset end. Evacuations of lower offsets that it lacks have been lifted.
func (r *Replica) MergeSnapshot(now time.Time, listed []Record, end uint64) {
	r.merge(now, fromLog, append(r.records.impliedLifts(listed, end), listed...))
	r.snapshotEnd = max(r.snapshotEnd, end)
}

// merge merges records and forwards those that supersede known ones to all peers but their
// sender. The sender gets them too if a record was corrected.
func (r *Replica) merge(now time.Time, from PeerID, records []Record) {
	if r.records == nil {
		r.records = recordSet{}
	}
	var superseding []Record
	corrects := false
	for _, rec := range records {
		current := r.corrected(rec)
		if rec.DataCentre == "" || !r.records.merge(current) {
			continue
		}
		corrects = corrects || current != rec
		superseding = append(superseding, current)
		r.OnChange(now, current, from)
	}
	if len(superseding) == 0 {
		return
	}
	for id := range r.peers {
		if id != from || corrects {
			r.Send(id, superseding)
		}
	}
}

// corrected returns the lift that the newest snapshot implies if the record is an evacuation
// that the snapshot lacks; otherwise it returns the record itself.
func (r *Replica) corrected(rec Record) Record {
	known, ok := r.records[rec.DataCentre]
	if rec.Lifted || rec.Offset >= r.snapshotEnd || ok && !known.Lifted {
		return rec
	}
	return Record{DataCentre: rec.DataCentre, Offset: r.snapshotEnd - 1, Lifted: true}
}
