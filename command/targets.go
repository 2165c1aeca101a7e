package command

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/camphorrack/camphorrack/internal/owner"
)

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
	known, err := c.Targets(ctx)
	if err != nil {
		return f.fail(err)
	}
	f.printTargets(known)
	return ExitDone
}

func (f *flags) printTargets(known []owner.TargetStatus) {
	if *f.json {
		for _, t := range known {
			printJSON(f.env.Stdout, t)
		}
		return
	}
	table := tabwriter.NewWriter(f.env.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "TARGET\tWORKER\tDATA CENTRE\tRACK\tSTATE\tSLOTS\tSPEED\tCREDITS\tATTEMPTS")
	for _, t := range known {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\t%g\t%d\t%d\n", t.Target, t.Worker, orDash(t.DataCentre),
			orDash(t.Rack), stateOf(t), t.Slots, t.Speed, t.Credits, t.OpenAttempts)
	}
	table.Flush()
}

func stateOf(t owner.TargetStatus) string {
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

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
