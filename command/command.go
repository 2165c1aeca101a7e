// Package command holds the subcommands of camphorctl, one file each, and the
// dispatch by name. Every subcommand takes its settings from flags and from
// CAMPHORRACK_ environment variables, prints text or (-json) one JSON value a
// line, and ends with one of the Exit codes.
package command

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"

	"go.uber.org/fx"
)

// Command is one subcommand.
type Command interface {
	// Name is the word that selects the command.
	Name() string
	// Synopsis says in one line what it does.
	Synopsis() string
	// Run does it and returns an Exit code. It stops early when ctx ends.
	Run(ctx context.Context, env Env, args []string) int
}

// Env is what a command may touch of its process.
type Env struct {
	Stdin          io.Reader
	Stdout, Stderr io.Writer
	// Getenv looks up an environment variable, as os.LookupEnv does.
	Getenv func(string) (string, bool)
}

// Module provides the CLI with every subcommand. It needs a platformlog.Opener.
var Module = fx.Module("command",
	provide(newCancel),
	fx.Provide(asCommand(newConfig)),
	provide(newDrain),
	fx.Provide(asCommand(newEvacuate)),
	provide(newInfo),
	fx.Provide(asCommand(newRestore)),
	provide(newStatus),
	provide(newSubmit),
	provide(newTargets),
	provide(newToken),
	fx.Provide(newRunner),
)

func provide[C Command](constructor func() C) fx.Option { return fx.Provide(asCommand(constructor)) }

func asCommand(constructor any) any {
	return fx.Annotate(constructor, fx.As(new(Command)), fx.ResultTags(`group:"commands"`))
}

// CLI dispatches to the subcommands by name.
type CLI struct {
	commands []Command
}

type runnerParams struct {
	fx.In
	Commands []Command `group:"commands"`
}

func newRunner(p runnerParams) *CLI {
	slices.SortFunc(p.Commands, func(a, b Command) int { return strings.Compare(a.Name(), b.Name()) })
	return &CLI{commands: p.Commands}
}

// Run runs the subcommand that args[0] names with the arguments after it, and
// returns its Exit code.
func (r *CLI) Run(ctx context.Context, env Env, args []string) int {
	if len(args) == 0 {
		r.usage(env.Stderr)
		return ExitUsage
	}
	switch args[0] {
	case "help", "-h", "-help", "--help":
		r.usage(env.Stdout)
		return ExitDone
	}
	for _, c := range r.commands {
		if c.Name() == args[0] {
			return c.Run(ctx, env, args[1:])
		}
	}
	fmt.Fprintf(env.Stderr, "camphorctl: no command %q\n\n", args[0])
	r.usage(env.Stderr)
	return ExitUsage
}

func (r *CLI) usage(out io.Writer) {
	fmt.Fprint(out, "Usage: camphorctl COMMAND [FLAGS] [ARGUMENTS]\n\nCommands (camphorctl COMMAND -h lists the flags):\n")
	for _, c := range r.commands {
		fmt.Fprintf(out, "  %-8s %s\n", c.Name(), c.Synopsis())
	}
	fmt.Fprintf(out, "\nExit codes: %d done, %d failed, %d usage, %d conflict, %d undecided, %d nothing accepted.\n",
		ExitDone, ExitFailed, ExitUsage, ExitConflict, ExitUndecided, ExitNotAccepted)
}
