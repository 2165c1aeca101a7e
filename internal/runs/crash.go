package runs

import (
	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// mostNamed bounds the tasks that are named with one crash.
const mostNamed = 256

// atWork returns the tasks that the target runs or may be starting.
func (t *Table) atWork() []wire.TaskRef {
	var tasks []wire.TaskRef
	for _, r := range t.runs {
		if r.state != queued && len(tasks) < mostNamed {
			tasks = append(tasks, wire.TaskRef{Job: r.id.Task.Job, Step: r.id.Task.Step, Index: r.id.Task.Index})
		}
	}
	return tasks
}

// reportSilent tells every entry that the target has stopped answering.
func (t *Table) reportSilent() {
	if t.endAnnounced() {
		return
	}
	t.silenced = t.atWork()
	t.reportFate(wire.FateSilent, t.silenced)
}

// reportBack tells every entry that the target has gone on after a silence.
func (t *Table) reportBack() {
	t.reportFate(wire.FateBack, t.silenced)
	t.silenced = nil
}

// reportCrash tells every entry that the target's life is over and with what at work. What a
// silent target had at work counts, though its lease may have ended long ago. One that said
// that it leaves has not crashed.
func (t *Table) reportCrash() {
	if !t.endAnnounced() {
		t.reportFate(wire.FateCrashed, append(t.atWork(), t.silenced...))
	}
	t.silenced = nil
}

func (t *Table) endAnnounced() bool { return !t.known || t.target.Leaving }

func (t *Table) reportFate(fate wire.Fate, tasks []wire.TaskRef) {
	if len(tasks) == 0 {
		return
	}
	life := t.target.Incarnation
	event.Log(t.log, event.TargetCrashed, "target", life.Name, "born_ms", life.StartedMs, "fate", int(fate), "tasks", len(tasks), "first", tasks[0].Job)
	for _, o := range t.owners {
		o.crashes = append(o.crashes, wire.Crash{Target: life.Name, BornMs: life.StartedMs, Fate: fate, Tasks: tasks})
	}
}
