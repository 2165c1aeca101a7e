package demo

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// maxBreachesShown limits the output of a run with very many breaches.
const maxBreachesShown = 20

// print writes the results as a table, followed by the first breaches and Result.SummaryLine.
func (r *run) print(out io.Writer, result *Result) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(label string, count int, note string) { fmt.Fprintf(table, "%s\t%d\t%s\n", label, count, note) }
	row("jobs submitted", result.Jobs, "jobs and single requests, through every entry")
	row("calls made", r.callCount(), "doubled, resubmitted and looked up ones included")
	if r.killedAgent != "" {
		row("resubmitted", r.resubmissions, fmt.Sprintf("while %s (pid %d) was killed and restarted", r.killedAgent, r.killedPID))
		row("cancelled in a wave", r.cancelBatch, "besides those cancelled one by one")
	}
	for _, name := range slices.Sorted(maps.Keys(r.injections)) {
		row(name, r.injections[name], "times, at random")
	}
	row("looked up again", r.lookUps, "through another entry than the first")
	row("complete", result.Complete, "every result was there and its own")
	row("failed", result.Failed, "accepted and reported as failed")
	row("refused", result.Refused, "none of it ran")
	row("unanswered", result.Unanswered, "no answer by the deadline and its allowance")
	for _, name := range slices.Sorted(maps.Keys(result.Failures)) {
		row("  "+name, result.Failures[name], "among the failed and refused")
	}
	row("unknown afterwards", result.UnknownAfterAnswer, "asked again after the owner that had answered was lost")
	row("starts at targets", result.Starts, "counted by the targets")
	row("starts that were used", result.UsedStarts, "their result was part of a complete answer")
	row("starts of cancelled jobs", result.CancelledStarts, "among the others")
	row("started twice", result.StartedTwice, "tasks that may run at most once")
	row("start messages", int(r.entryCounts.Starts), "by the entries' own counters, as the next two")
	row("  turned away", int(r.entryCounts.NotRun), "an agent did not begin them")
	row("  called back", int(r.entryCounts.Cancels), "their job had ended meanwhile")
	o := r.operators
	row("configuration changes", len(o.accepted), fmt.Sprintf("accepted; in force on every daemon that is up after at most %d ms", o.maxPropagation.Milliseconds()))
	row("  lost a race", o.conflicts, "another operator's change won")
	row("  not taken, undecided", o.notAccepted+o.undecided, "while the log was out")
	row("  none yet", o.unconfigured, "sightings of a restarted daemon that had not learned it")
	row("breaches", len(result.Breaches), "")
	table.Flush()
	r.printTargets(out)
	for _, b := range result.Breaches[:min(len(result.Breaches), maxBreachesShown)] {
		fmt.Fprintf(out, "BREACH %s %s: %s\n", b.Rule, b.Subject, b.Detail)
	}
	fmt.Fprintln(out, result.SummaryLine())
}

// callCount returns the number of outcomes recorded for all submissions.
func (r *run) callCount() int {
	n := 0
	for _, o := range r.callers.history.list() {
		n += len(o.outcomes)
	}
	return n
}

// printTargets writes a table with the speed, slots and number of starts of each target.
func (r *run) printTargets(out io.Writer) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "target\tspeed\tslots\tstarts")
	for i, target := range r.deployment.targets {
		fmt.Fprintf(table, "%s\t%g\t%d\t%d\n", target.Name, targetSpeeds[i], slotsPerTarget, r.startsPerTarget[i])
	}
	table.Flush()
}
