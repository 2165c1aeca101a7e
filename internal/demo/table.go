package demo

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// maxBreachesShown keeps a run that went all wrong readable.
const maxBreachesShown = 20

// print writes the table; its last line is Result.SummaryLine.
func (r *run) print(out io.Writer, v *Result) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(what string, count int, note string) { fmt.Fprintf(table, "%s\t%d\t%s\n", what, count, note) }
	row("jobs submitted", v.Jobs, "jobs and single requests, through every entry")
	row("calls made", r.calls(), "doubled, resubmitted and looked up ones included")
	if r.killed != "" {
		row("resubmitted", r.resubmits, fmt.Sprintf("while %s (pid %d) was killed and restarted", r.killed, r.killedPID))
		row("cancelled in a wave", r.cancelWave, "besides those cancelled one by one")
	}
	for _, name := range slices.Sorted(maps.Keys(r.injections)) {
		row(name, r.injections[name], "times, at random")
	}
	row("looked up again", r.lookUps, "through another entry than the first")
	row("complete", v.Complete, "every result was there and its own")
	row("failed", v.Failed, "accepted and reported as failed")
	row("refused", v.Refused, "none of it ran")
	row("unanswered", v.Unanswered, "no answer by the deadline and its allowance")
	for _, name := range slices.Sorted(maps.Keys(v.Failures)) {
		row("  "+name, v.Failures[name], "among the failed and refused")
	}
	row("unknown afterwards", v.UnknownAfterAnswer, "asked again after the owner that had answered was lost")
	row("starts at targets", v.Starts, "counted by the targets")
	row("starts that were used", v.UsedStarts, "their result was part of a complete answer")
	row("starts of cancelled jobs", v.CancelledStarts, "among the others")
	row("started twice", v.StartedTwice, "tasks that may run at most once")
	row("start messages", int(r.counts.Starts), "by the entries' own counters, as the next two")
	row("  turned away", int(r.counts.NotRun), "an agent did not begin them")
	row("  called back", int(r.counts.Cancels), "their job had ended meanwhile")
	o := r.operators
	row("configuration changes", len(o.accepted), fmt.Sprintf("accepted; in force on every daemon that is up after at most %d ms", o.longest.Milliseconds()))
	row("  lost a race", o.conflicts, "another operator's change won")
	row("  not taken, undecided", o.notTaken+o.undecided, "while the log was out")
	row("  none yet", o.without, "sightings of a restarted daemon that had not learned it")
	row("breaches", len(v.Breaches), "")
	table.Flush()
	r.printTargets(out)
	for _, b := range v.Breaches[:min(len(v.Breaches), maxBreachesShown)] {
		fmt.Fprintf(out, "BREACH %s %s: %s\n", b.Rule, b.Subject, b.Detail)
	}
	fmt.Fprintln(out, v.SummaryLine())
}

func (r *run) calls() int {
	n := 0
	for _, o := range r.callers.history.list() {
		n += len(o.outcomes)
	}
	return n
}

func (r *run) printTargets(out io.Writer) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "target\tspeed\tslots\tstarts")
	for i, target := range r.deployment.targets {
		fmt.Fprintf(table, "%s\t%g\t%d\t%d\n", target.Name, speeds[i], slots, r.perTarget[i])
	}
	table.Flush()
}
