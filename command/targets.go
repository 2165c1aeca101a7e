package command

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/camphorrack/camphorrack/internal/owner"
)

// targets implements "camphorctl targets".
type targets struct{}

func newTargets() targets { return targets{} }

// Name implements Command.
func (targets) Name() string { return "targets" }

// Synopsis implements Command.
func (targets) Synopsis() string { return "print the targets that an entry knows" }

// Run implements Command.
func (t targets) Run(ctx context.Context, env Env, args []string) int {
	f := newFlags(env, t.Name())
	if code, ok := f.load(args); !ok {
		return code
	}
	c, err := f.client()
	if err != nil {
		return f.fail(err)
	}
	statuses, err := c.Targets(ctx)
	if err != nil {
		return f.fail(err)
	}
	f.printTargets(statuses)
	return ExitDone
}

// printTargets prints the targets as a table or, with -json, one JSON object per line.
func (f *flags) printTargets(statuses []owner.TargetStatus) {
	if *f.json {
		for _, t := range statuses {
			printJSON(f.env.Stdout, t)
		}
		return
	}
	table := tabwriter.NewWriter(f.env.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "TARGET\tWORKER\tDATA CENTRE\tRACK\tSTATE\tSLOTS\tSPEED\tCREDITS\tATTEMPTS")
	for _, t := range statuses {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\t%g\t%d\t%d\n", t.Target, t.Worker, orDash(t.DataCentre),
			orDash(t.Rack), targetState(t), t.Slots, t.Speed, t.Credits, t.OpenAttempts)
	}
	table.Flush()
}

// targetState returns the text of the STATE column.
func targetState(t owner.TargetStatus) string {
	switch {
	case !t.Connected:
		return "disconnected"
	case t.Down:
		return "down"
	case t.Leaving:
		return "leaving"
	}
	return "up"
}

// orDash replaces an empty table cell.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
