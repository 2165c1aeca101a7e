package dispatcher

import (
	"time"

	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/platformlog"
)

// operatorReader takes what operators write to the platform's log.
type operatorReader struct{ *Dispatcher }

// Snapshot implements platformlog.Reader. The evacuations go first: with a configuration
// comes work.
func (r operatorReader) Snapshot(entries []platformlog.Entry, end uint64) {
	listed := r.o.Operator.EvacuationRecords(r.log, entries...)
	r.do(func(now time.Time, s *state) { s.evacuations.MergeSnapshot(now, listed, end) })
	for _, e := range entries {
		r.configured(e)
	}
}

// Changed implements platformlog.Reader.
func (r operatorReader) Changed(e platformlog.Entry) {
	for _, statement := range r.o.Operator.EvacuationRecords(r.log, e) {
		r.do(func(now time.Time, s *state) { s.evacuations.MergeRecord(now, statement) })
	}
	r.configured(e)
}

// configured takes a configuration; other records say nothing of it.
func (r operatorReader) configured(e platformlog.Entry) {
	if e.Key != r.o.Operator.ConfigKey || len(e.Value) == 0 {
		return
	}
	version, err := r.o.ConfigVersion(e.Value)
	if err != nil {
		event.Log(r.log, event.ConfigBad, "error", err.Error())
		return
	}
	// A body that can't be read was logged.
	r.do(func(now time.Time, s *state) { _ = s.conf.Update(now, version, e.Value) })
}

// do hands a command to the control goroutine.
func (r operatorReader) do(command func(time.Time, *state)) {
	// The error means that the process ends.
	_ = r.loop.Push(command)
}
