package config

import (
	"github.com/camphorrack/camphorrack/internal/platformlog"
)

// Update is what one process sends another that is behind: the records it lacks
// where the sender still has them, or else the whole state. At the letter's 8,900
// changes a day an entry would spend more than its budget on whole states alone.
type Update struct {
	Format  int          `cbor:"1,keyasint"`
	State   *State       `cbor:"2,keyasint,omitempty"`
	From    uint64       `cbor:"3,keyasint,omitempty"` // Records begin here and leave out only snapshots
	Next    uint64       `cbor:"4,keyasint,omitempty"`
	Records []TailRecord `cbor:"5,keyasint,omitempty"`
}

// TailRecord is a record of the log as a peer passes it on.
type TailRecord struct {
	Offset uint64 `cbor:"1,keyasint"`
	Data   []byte `cbor:"2,keyasint"`
}

// Bounds of the records that a process keeps for its peers: enough for the
// changes of about ten minutes at the letter's rate, and far below the budget.
const (
	maxTailRecords = 64
	maxTailBytes   = 32 << 10
)

// tail is the newest records below a state's position, without a gap.
type tail struct {
	from    uint64
	next    uint64
	records []TailRecord
	bytes   int
}

// extend adds what a read brought; a gap starts the tail anew.
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

// since returns the records from mark on, and false where some were dropped.
func (t *tail) since(mark uint64) ([]TailRecord, bool) {
	if mark < t.from || mark > t.next {
		return nil, false
	}
	i := 0
	for i < len(t.records) && t.records[i].Offset < mark {
		i++
	}
	return t.records[i:], true
}

// encodeUpdate returns what a peer at mark lacks of state.
func encodeUpdate(state *State, t *tail, mark uint64) ([]byte, error) {
	u := Update{Format: Format, State: state}
	if records, ok := t.since(mark); ok && t.next == state.AsOf {
		u = Update{Format: Format, From: mark, Next: t.next, Records: records}
	}
	b, err := encoder.Marshal(&u)
	if err != nil {
		return nil, &CodecError{err}
	}
	return b, nil
}

// DecodeUpdate reads an update; the error is a *CodecError or a *FormatError.
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

// apply returns the state that follows from the update on current, or nil where
// it does not follow on it: the peer was then told of an older position, and is
// asked again with the next frame.
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
