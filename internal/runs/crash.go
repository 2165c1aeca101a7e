package runs

import (
	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// maxReportedTasks limits the number of tasks listed in one crash report.
const maxReportedTasks = 256

// activeTasks returns the tasks that the target runs or may be starting.
func (t *Table) activeTasks() []wire.TaskRef {
	var tasks []wire.TaskRef
	for r := range t.runs.Values() {
		if r.state != queued && len(tasks) < maxReportedTasks {
			tasks = append(tasks, wire.TaskRef{Job: r.id.Task.Job, Step: r.id.Task.Step, Index: r.id.Task.Index})
		}
	}
	return tasks
}

// reportUnresponsive reports to every entry that the target has stopped answering.
func (t *Table) reportUnresponsive() {
	if t.departureAnnounced() {
		return
	}
	t.silentTasks = t.activeTasks()
	t.reportFate(wire.FateUnresponsive, t.silentTasks)
}

// reportRecovered reports to every entry that the target answers again, with the tasks that were
// active when it stopped answering.
func (t *Table) reportRecovered() {
	t.reportFate(wire.FateRecovered, t.silentTasks)
	t.silentTasks = nil
}

// reportCrash reports to every entry that the target's incarnation has ended, with its active
// tasks. Those of a target that had stopped answering count, though its lease may have expired
// long ago. A target that announced its departure has not crashed.
func (t *Table) reportCrash() {
	if !t.departureAnnounced() {
		t.reportFate(wire.FateCrashed, append(t.activeTasks(), t.silentTasks...))
	}
	t.silentTasks = nil
}

func (t *Table) departureAnnounced() bool { return !t.targetKnown || t.target.Leaving }

// reportFate queues a report on the fate of the target and of its tasks for every session.
func (t *Table) reportFate(fate wire.Fate, tasks []wire.TaskRef) {
	if len(tasks) == 0 {
		return
	}
	incarnation := t.target.Incarnation
	event.Log(t.log, event.TargetCrashed, "target", incarnation.Name, "born_ms", incarnation.StartedMs, "fate", int(fate), "tasks", len(tasks), "first", tasks[0].Job)
	for s := range t.sessions.Values() {
		s.crashes = append(s.crashes, wire.Crash{Target: incarnation.Name, StartedMs: incarnation.StartedMs, Fate: fate, Tasks: tasks})
	}
}
