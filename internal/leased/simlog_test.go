package leased_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/camphorrack/camphorrack/internal/dispatch"
	"github.com/camphorrack/camphorrack/internal/evacuation"
	"github.com/camphorrack/camphorrack/internal/runs"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// maxEvacuationDelay is the time from an operator's evacuation of a data centre until no more task
// starts there, whatever happens to sessions and entries meanwhile.
const maxEvacuationDelay = 2500 * time.Millisecond

// dataCentre returns the data centre of a host.
func dataCentre(host int) string { return fmt.Sprint("dc", host) }

// features returns the fields of frames that a host's runner and the entries exchange. In half of the schedules,
// every second runner is of an earlier build.
func (w *simWorld) features(host int) wire.Features {
	if host%2 == 0 || w.seed%4 < 2 {
		return wire.DescribedFeatures
	}
	return [...]wire.Features{wire.BaseFeatures, wire.ExtendedFeatures}[w.seed/4%2]
}

// simLog is the operators' topic of the platform's log.
type simLog struct {
	records        []evacuation.Record  // by offset
	firstOffset    int                  // the lowest offset that can still be read
	evacuatedSince map[string]time.Time // by data centre, of the evacuations in effect
	newest         map[string]evacuation.Record
}

// appendRecord appends the evacuation of a data centre, or its lifting.
func (l *simLog) appendRecord(w *simWorld, dataCentre string, lifted bool) {
	s := evacuation.Record{DataCentre: dataCentre, Offset: uint64(len(l.records)), Lifted: lifted}
	l.records = append(l.records, s)
	if l.newest == nil {
		l.newest, l.evacuatedSince = map[string]evacuation.Record{}, map[string]time.Time{}
	}
	_, wasEvacuated := l.evacuatedSince[dataCentre]
	switch {
	case lifted:
		delete(l.evacuatedSince, dataCentre)
	case !wasEvacuated:
		l.evacuatedSince[dataCentre] = w.now
	}
	l.newest[dataCentre] = s
	w.logf("", "evacuation of %s, lifted %t, offset %d", dataCentre, lifted, s.Offset)
}

// snapshot returns the evacuations among the newest values of the keys. Lifting an evacuation
// removes its key.
func (l *simLog) snapshot() []evacuation.Record {
	var list []evacuation.Record
	for _, name := range slices.Sorted(maps.Keys(l.newest)) {
		if s := l.newest[name]; !s.Lifted {
			list = append(list, s)
		}
	}
	return list
}

// simEntry is an entry's control state with its replica of the evacuations and its position in
// the log.
type simEntry struct {
	*dispatch.Core
	evacuations    *evacuation.Replica
	nextOffset     int
	needsSnapshot  bool
	logUnavailable bool
	suspendedUntil time.Duration // since the start of the schedule
	lateUntil      time.Duration // of the control state alone
	evacuated      map[string]bool
}

// pausedFor returns how long the entry's control state does not run.
func (e *simEntry) pausedFor(w *simWorld) time.Duration {
	return max(e.suspendedUntil, e.lateUntil) - w.elapsed
}

// resetEvacuations replaces the entry's replica by an empty one, as after a restart.
func (e *simEntry) resetEvacuations() {
	e.evacuated = map[string]bool{}
	e.evacuations = &evacuation.Replica{
		Send: func(id evacuation.PeerID, list []evacuation.Record) { e.QueueEvacuations(dispatch.ConnID(id), list) },
		OnChange: func(now time.Time, s evacuation.Record, _ evacuation.PeerID) {
			e.evacuated[s.DataCentre] = !s.Lifted
			e.Evacuate(now, s.DataCentre, s.Lifted)
		},
	}
}

// readLog merges the unread records of the log, or a snapshot where records may be missing.
func (e *simEntry) readLog(w *simWorld) {
	switch {
	case e.logUnavailable:
		e.needsSnapshot = true
	case e.needsSnapshot || e.nextOffset < w.log.firstOffset:
		e.evacuations.MergeSnapshot(w.now, w.log.snapshot(), uint64(len(w.log.records)))
		e.nextOffset, e.needsSnapshot = len(w.log.records), false
	default:
		for ; e.nextOffset < len(w.log.records); e.nextOffset++ {
			e.evacuations.MergeRecord(w.now, w.log.records[e.nextOffset])
		}
	}
}

// resetEvacuations replaces the runner's replica by an empty one, as after a restart.
func (h *simHost) resetEvacuations() {
	table := h.table
	h.evacuated = map[string]bool{}
	h.evacuations = &evacuation.Replica{
		Send: func(id evacuation.PeerID, list []wire.Evacuation) { table.QueueEvacuations(runs.ConnID(id), list) },
		OnChange: func(now time.Time, s evacuation.Record, _ evacuation.PeerID) {
			h.evacuated[s.DataCentre] = !s.Lifted
			table.Evacuate(now, s.DataCentre, s.Lifted)
		},
	}
}

// checkEvacuated fails the test if a task starts in a data centre that has been evacuated for longer
// than maxEvacuationDelay.
func (w *simWorld) checkEvacuated(id runs.RunID, host int) {
	since, evacuated := w.log.evacuatedSince[dataCentre(host)]
	if evacuated && !w.applyingLateStart && w.now.Sub(since) > maxEvacuationDelay {
		w.fail(id.Task.Job, "task %v starts on host %d, %s after its data centre was evacuated", id.Task, host, w.now.Sub(since))
	}
}

// checkReplicas fails the test if the replica of a process differs from the log long after the log's
// last record.
func (w *simWorld) checkReplicas() {
	for host := range hostCount {
		name := dataCentre(host)
		_, evacuated := w.log.evacuatedSince[name]
		for n, e := range w.entries {
			if e.evacuated[name] != evacuated {
				w.fail("", "entry %d has evacuated=%t for %s", n, e.evacuated[name], name)
			}
		}
		for _, h := range w.hosts {
			if h.evacuated[name] != evacuated {
				w.fail("", "runner %d has evacuated=%t for %s", h.n, h.evacuated[name], name)
			}
		}
	}
}
