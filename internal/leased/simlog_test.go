package leased_test

import (
	"fmt"
	"time"

	"github.com/camphorrack/camphorrack/internal/dispatch"
	"github.com/camphorrack/camphorrack/internal/evacuation"
	"github.com/camphorrack/camphorrack/internal/runs"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// evacuationBound is when a data centre that an operator evacuates gets no more work, whatever
// happens to sessions and entries meanwhile.
const evacuationBound = 2500 * time.Millisecond

// dataCentre returns where a host is.
func dataCentre(host int) string { return fmt.Sprint("dc", host) }

// simLog is the operators' part of the platform's log.
type simLog struct {
	records []evacuation.Record  // an offset each
	first   int                  // the lowest offset that is kept
	since   map[string]time.Time // of the evacuations in force
	newest  map[string]evacuation.Record
}

// write adds a record.
func (l *simLog) write(w *simWorld, dataCentre string, lifted bool) {
	s := evacuation.Record{DataCentre: dataCentre, Offset: uint64(len(l.records)), Lifted: lifted}
	l.records = append(l.records, s)
	if l.newest == nil {
		l.newest, l.since = map[string]evacuation.Record{}, map[string]time.Time{}
	}
	_, before := l.since[dataCentre]
	switch {
	case lifted:
		delete(l.since, dataCentre)
	case !before:
		l.since[dataCentre] = w.now
	}
	l.newest[dataCentre] = s
	w.note("", "evacuation of %s, lifted %t, offset %d", dataCentre, lifted, s.Offset)
}

// listed returns the evacuations among the newest keys: a lifted one is no key any more.
func (l *simLog) listed() []evacuation.Record {
	var list []evacuation.Record
	for _, s := range l.newest {
		if !s.Lifted {
			list = append(list, s)
		}
	}
	return list
}

// simEntry is an entry with what it has read of the log.
type simEntry struct {
	*dispatch.Core
	belief     *evacuation.Replica
	next       int
	reread     bool
	turnedAway bool
	evacuated  map[string]bool
}

func (e *simEntry) believe() {
	e.evacuated = map[string]bool{}
	e.belief = &evacuation.Replica{
		Send: func(id evacuation.PeerID, list []evacuation.Record) { e.QueueEvacuations(dispatch.ConnID(id), list) },
		OnChange: func(now time.Time, s evacuation.Record, _ evacuation.PeerID) {
			e.evacuated[s.DataCentre] = !s.Lifted
			e.Evacuate(now, s.DataCentre, s.Lifted)
		},
	}
}

// read takes what the log has for the entry.
func (e *simEntry) read(w *simWorld) {
	switch {
	case e.turnedAway:
		e.reread = true
	case e.reread || e.next < w.log.first:
		e.belief.MergeSnapshot(w.now, w.log.listed(), uint64(len(w.log.records)))
		e.next, e.reread = len(w.log.records), false
	default:
		for ; e.next < len(w.log.records); e.next++ {
			e.belief.MergeRecord(w.now, w.log.records[e.next])
		}
	}
}

func (h *simHost) believe() {
	table := h.table
	h.evacuated = map[string]bool{}
	h.belief = &evacuation.Replica{
		Send: func(id evacuation.PeerID, list []wire.Evacuation) { table.QueueEvacuations(runs.ConnID(id), list) },
		OnChange: func(now time.Time, s evacuation.Record, _ evacuation.PeerID) {
			h.evacuated[s.DataCentre] = !s.Lifted
			table.Evacuate(now, s.DataCentre, s.Lifted)
		},
	}
}

// checkEvacuated fails a start in a data centre that has been evacuated for longer than the bound.
func (w *simWorld) checkEvacuated(id runs.RunID, host int) {
	since, out := w.log.since[dataCentre(host)]
	if out && !w.carriedOutLate && w.now.Sub(since) > evacuationBound {
		w.fail(id.Task.Job, "task %v starts on host %d, %s after its data centre was evacuated", id.Task, host, w.now.Sub(since))
	}
}

// checkBeliefs fails where a process believes otherwise than the log says, long after its last
// record.
func (w *simWorld) checkBeliefs() {
	for host := range hostCount {
		name := dataCentre(host)
		_, out := w.log.since[name]
		for n, e := range w.entries {
			if e.evacuated[name] != out {
				w.fail("", "entry %d believes evacuated=%t of %s", n, e.evacuated[name], name)
			}
		}
		for _, h := range w.hosts {
			if h.evacuated[name] != out {
				w.fail("", "runner %d believes evacuated=%t of %s", h.n, h.evacuated[name], name)
			}
		}
	}
}
