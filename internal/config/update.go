package config

import (
	"github.com/camphorrack/camphorrack/internal/platformlog"
)

// Update brings a peer with an older position up to date. It contains the records that
// the peer lacks if the sender still has them, and the whole state otherwise. At the
// design rate of 8,900 changes a day, sending whole states only would exceed an entry's
// bandwidth budget.
type Update struct {
	Format  int          `cbor:"1,keyasint"`
	State   *State       `cbor:"2,keyasint,omitempty"`
	From    uint64       `cbor:"3,keyasint,omitempty"` // offset at which Records begins; only snapshots are left out
	Next    uint64       `cbor:"4,keyasint,omitempty"` // offset that follows the last record covered
	Records []TailRecord `cbor:"5,keyasint,omitempty"`
}

// TailRecord is a record of the log that a peer forwards.
type TailRecord struct {
	Offset uint64 `cbor:"1,keyasint"`
	Data   []byte `cbor:"2,keyasint"`
}

// Limits of the records that a process keeps for its peers. They hold the changes of
// about ten minutes at the design rate, and are far below the bandwidth budget.
const (
	maxTailRecords = 64
	maxTailBytes   = 32 << 10
)

// tail holds the newest records below a state's position, without a gap. Snapshots are
// left out.
type tail struct {
	from    uint64
	next    uint64
	records []TailRecord
	bytes   int
}

// extend appends the records of a read. If they do not follow on from the tail, the
// older records are dropped.
func (t *tail) extend(from uint64, records []platformlog.Record, next uint64) {
	if next <= t.next {
		return
	}
	if from > t.next {
		*t = tail{from: from, next: from}
	}
	for _, r := range records {
		if r.Offset < t.next || r.Offset >= next || isSnapshot(r.Data) {
			continue
		}
		t.records = append(t.records, TailRecord{r.Offset, r.Data})
		t.bytes += len(r.Data)
	}
	t.next = max(t.next, next)
	for len(t.records) > maxTailRecords || t.bytes > maxTailBytes {
		t.bytes -= len(t.records[0].Data)
		t.from = t.records[0].Offset + 1
		t.records = t.records[1:]
	}
}

func isSnapshot(data []byte) bool {
	r, err := DecodeRecord(data)
	return err == nil && r.Snapshot != nil
}

// since returns the records at and above position, or false if the tail does not hold
// all of them.
func (t *tail) since(position uint64) ([]TailRecord, bool) {
	if position < t.from || position > t.next {
		return nil, false
	}
	i := 0
	for i < len(t.records) && t.records[i].Offset < position {
		i++
	}
	return t.records[i:], true
}

// encodeUpdate returns an encoded Update to state for a peer at position.
func encodeUpdate(state *State, t *tail, position uint64) ([]byte, error) {
	u := Update{Format: Format, State: state}
	if records, ok := t.since(position); ok && t.next == state.AsOf {
		u = Update{Format: Format, From: position, Next: t.next, Records: records}
	}
	b, err := encoder.Marshal(&u)
	if err != nil {
		return nil, &CodecError{err}
	}
	return b, nil
}

// DecodeUpdate decodes and checks an update. The error is a *CodecError or a
// *FormatError.
func DecodeUpdate(b []byte) (*Update, error) {
	if len(b) > MaxStateBytes {
		return nil, &CodecError{errSize}
	}
	u := new(Update)
	if err := decoder.Unmarshal(b, u); err != nil {
		return nil, &CodecError{err}
	}
	if u.Format > Format {
		return nil, &FormatError{u.Format}
	}
	if u.State != nil {
		if err := u.State.check(); err != nil {
			return nil, &CodecError{err}
		}
		return u, nil
	}
	return u, u.checkRecords()
}

// checkRecords checks that the records are in ascending order of offset, within From
// and Next, and not too many.
func (u *Update) checkRecords() error {
	last := u.From
	for _, r := range u.Records {
		if r.Offset < last || r.Offset >= u.Next {
			return &CodecError{errOrder}
		}
		last = r.Offset + 1
	}
	if u.Next < u.From || len(u.Records) > maxTailRecords {
		return &CodecError{errSize}
	}
	return nil
}

// apply returns the state after applying the update to current, or nil if the update
// begins above current or adds nothing to it. The peer then worked from an outdated
// position; the next frame tells it the current one.
func (u *Update) apply(current *State) (*State, error) {
	if u.State != nil {
		return u.State, nil
	}
	if u.From > current.AsOf || u.Next <= current.AsOf {
		return nil, nil
	}
	f := NewFold(current)
	if _, err := f.Apply(u.From, u.records(), u.Next); err != nil {
		return nil, err
	}
	return f.State(), nil
}

func (u *Update) records() []platformlog.Record {
	records := make([]platformlog.Record, len(u.Records))
	for i, r := range u.Records {
		records[i] = platformlog.Record{Offset: r.Offset, Data: r.Data}
	}
	return records
}
