package runs

import (
	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// maxReportedTasks limits the number of tasks listed in one crash report.
const maxReportedTasks = 256

// activeTasks returns the tasks that the target was running when it last answered, and those that it
// may have been running: their start is not answered, or they are being stopped.
func (t *Table) activeTasks() (atWork, possible []wire.TaskRef) {
	for r := range t.runs.Values() {
		if r.state == queued || r.carried || len(atWork)+len(possible) >= maxReportedTasks {
			continue
		}
		ref := wire.TaskRef{Job: r.id.Task.Job, Step: r.id.Task.Step, Index: r.id.Task.Index}
		if r.state == running && r.seen && !t.lease.Over(t.now) {
			atWork = append(atWork, ref)
		} else {
			possible = append(possible, ref)
		}
	}
	return atWork, possible
}

// reportUnresponsive reports to every entry that the target has stopped answering.
func (t *Table) reportUnresponsive() {
	if t.departureAnnounced() {
		return
	}
	atWork, possible := t.activeTasks()
	t.silentTasks = append(atWork, possible...)
	if len(t.silentTasks) > 0 {
		t.reportFate(wire.FateUnresponsive, t.silentTasks)
	}
}

// reportRecovered reports to every entry that the target answers again, with the tasks that were
// active when it stopped answering.
func (t *Table) reportRecovered() {
	if len(t.silentTasks) > 0 {
		t.reportFate(wire.FateRecovered, t.silentTasks)
	}
	t.silentTasks = nil
}

// reportCrash reports to every entry that the target's incarnation has ended, with the tasks that
// were running. Those that may have been running are reported as on an unresponsive target, unless
// they were before: if it stopped answering, its runs may have ended with their lease. A target that
// announced its departure has not crashed.
func (t *Table) reportCrash() {
	atWork, possible := t.activeTasks()
	silent := t.silentTasks
	t.silentTasks = nil
	if t.departureAnnounced() || len(atWork)+len(possible)+len(silent) == 0 {
		return
	}
	if len(possible) > 0 {
		t.reportFate(wire.FateUnresponsive, possible)
	}
	t.reportFate(wire.FateCrashed, atWork)
}

func (t *Table) departureAnnounced() bool { return !t.targetKnown || t.target.Leaving }

// reportFate queues a report on the fate of the target and of its tasks for every session.
func (t *Table) reportFate(fate wire.Fate, tasks []wire.TaskRef) {
	incarnation := t.target.Incarnation
	first := ""
	if len(tasks) > 0 {
		first = tasks[0].Job
	}
	event.Log(t.log, event.TargetCrashed, "target", incarnation.Name, "born_ms", incarnation.StartedMs, "fate", int(fate), "tasks", len(tasks), "first", first)
	for s := range t.sessions.Values() {
		s.crashes = append(s.crashes, wire.Crash{Target: incarnation.Name, StartedMs: incarnation.StartedMs, Fate: fate, Tasks: tasks})
	}
}
