package command

import (
	"context"
	"fmt"

	"github.com/camphorrack/camphorrack/internal/client"
	"github.com/camphorrack/camphorrack/internal/fault"
)

// drain implements "camphorctl drain".
type drain struct{}

func newDrain() drain { return drain{} }

// Name implements Command.
func (drain) Name() string { return "drain" }

// Synopsis implements Command.
func (drain) Synopsis() string {
	return "ask the entries or agents at the given addresses to finish what they have and take no new work"
}

// Run implements Command. It drains every daemon even if one can't be reached. The exit
// code is that of the first failure.
func (d drain) Run(ctx context.Context, env Env, args []string) int {
	f := newFlags(env, d.Name())
	addrs := f.AllowArguments()
	if code, ok := f.load(args); !ok {
		return code
	}
	if len(*addrs) == 0 {
		return f.fail(fault.Input(fault.BadSetting, "address", "want addresses of the daemons to drain"))
	}
	exitCode := ExitDone
	for _, addr := range *addrs {
		if code := f.drainDaemon(ctx, addr); exitCode == ExitDone {
			exitCode = code
		}
	}
	return exitCode
}

// drainDaemon drains the entry or agent at addr and returns an Exit code.
func (f *flags) drainDaemon(ctx context.Context, addr string) int {
	c, err := client.New(client.Options{Entries: []string{addr}, CallTimeout: callTimeout})
	if err != nil {
		return f.fail(err)
	}
	if _, err := c.Drain(ctx); err != nil {
		return f.fail(err)
	}
	if *f.json {
		printJSON(f.env.Stdout, struct {
			Draining string `json:"draining"`
		}{addr})
		return ExitDone
	}
	fmt.Fprintln(f.env.Stdout, "draining", addr)
	return ExitDone
}
