// Package command implements the subcommands of camphorctl and selects one by its name.
// Every subcommand reads its settings from flags and CAMPHORRACK_ environment variables,
// prints text or, with -json, one JSON value per line, and returns one of the Exit codes.
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
	// Name returns the command line word that selects the command.
	Name() string
	// Synopsis returns a one-line description for the usage text.
	Synopsis() string
	// Run executes the command with the arguments after its name and returns an Exit code.
	// It returns early when ctx is done.
	Run(ctx context.Context, env Env, args []string) int
}

// Env is the process environment of a command: standard streams and environment variables.
// Tests replace it.
type Env struct {
	Stdin          io.Reader
	Stdout, Stderr io.Writer
	// Getenv looks up an environment variable and has the semantics of os.LookupEnv.
	Getenv func(string) (string, bool)
}

// Module provides the CLI with every subcommand. It needs a platformlog.Opener.
var Module = fx.Module("command",
	provideCommand(newCancel),
	fx.Provide(asCommand(newConfig)),
	provideCommand(newDrain),
	fx.Provide(asCommand(newEvacuate)),
	provideCommand(newInfo),
	fx.Provide(asCommand(newRestore)),
	provideCommand(newStatus),
	provideCommand(newSubmit),
	provideCommand(newTargets),
	provideCommand(newToken),
	fx.Provide(newCLI),
)

// provideCommand provides the Command of a constructor without dependencies.
func provideCommand[C Command](constructor func() C) fx.Option {
	return fx.Provide(asCommand(constructor))
}

// asCommand annotates a constructor so that its result joins the group of commands.
func asCommand(constructor any) any {
	return fx.Annotate(constructor, fx.As(new(Command)), fx.ResultTags(`group:"commands"`))
}

// CLI is the command line interface of camphorctl. It dispatches to the subcommands by name.
type CLI struct {
	commands []Command
}

type cliParams struct {
	fx.In
	Commands []Command `group:"commands"`
}

func newCLI(p cliParams) *CLI {
	slices.SortFunc(p.Commands, func(a, b Command) int { return strings.Compare(a.Name(), b.Name()) })
	return &CLI{commands: p.Commands}
}

// Run executes the subcommand that args[0] names with the remaining arguments and returns
// its Exit code. Without a valid name it prints the usage text and returns ExitUsage.
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

// usage writes the list of commands and exit codes.
func (r *CLI) usage(out io.Writer) {
	fmt.Fprint(out, "Usage: camphorctl COMMAND [FLAGS] [ARGUMENTS]\n\nCommands (camphorctl COMMAND -h lists the flags):\n")
	for _, c := range r.commands {
		fmt.Fprintf(out, "  %-8s %s\n", c.Name(), c.Synopsis())
	}
	fmt.Fprintf(out, "\nExit codes: %d done, %d failed, %d usage, %d conflict, %d undecided, %d nothing accepted.\n",
		ExitDone, ExitFailed, ExitUsage, ExitConflict, ExitUndecided, ExitNotAccepted)
}
