package dispatcher

import (
	"time"

	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/platformlog"
)

// operatorReader applies the evacuations and configurations that operators write to the
// platform's log.
type operatorReader struct{ *Dispatcher }

// OnSnapshot implements platformlog.Observer. Evacuations are applied before a configuration,
// because jobs are accepted as soon as a configuration is in force.
func (r operatorReader) OnSnapshot(entries []platformlog.Entry, end uint64) {
	records := r.options.Operator.EvacuationRecords(r.log, entries...)
	r.push(func(now time.Time, s *state) { s.evacuations.MergeSnapshot(now, records, end) })
	for _, e := range entries {
		r.applyConfigEntry(e)
	}
}

// OnChange implements platformlog.Observer.
func (r operatorReader) OnChange(e platformlog.Entry) {
	for _, record := range r.options.Operator.EvacuationRecords(r.log, e) {
		r.push(func(now time.Time, s *state) { s.evacuations.MergeRecord(now, record) })
	}
	r.applyConfigEntry(e)
}

// applyConfigEntry applies a record if it is a configuration, and ignores other records and
// deletions.
func (r operatorReader) applyConfigEntry(e platformlog.Entry) {
	if e.Key != r.options.Operator.ConfigKey || len(e.Value) == 0 {
		return
	}
	version, err := r.options.ConfigVersion(e.Value)
	if err != nil {
		event.Log(r.log, event.ConfigBad, "error", err.Error())
		return
	}
	// applyConfig logs the error.
	r.push(func(now time.Time, s *state) { _ = s.config.Update(now, version, e.Value) })
}

// push sends a command to the control goroutine.
func (r operatorReader) push(command func(time.Time, *state)) {
	// Push fails only if the control loop has stopped, when the process exits.
	_ = r.loop.Push(command)
}
