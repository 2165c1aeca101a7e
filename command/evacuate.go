package command

import (
	"context"
	"fmt"
	"strings"

	"github.com/camphorrack/camphorrack/internal/config"
	"github.com/camphorrack/camphorrack/internal/platformlog"
)

// drainKey is the setting that stops new work for the targets in its scope.
const drainKey config.Key = "drain"

// evacuate implements "camphorctl evacuate": the targets of a data centre get no new work and
// finish the tasks that they have. The evacuation is stored as a configuration exception, which
// requires a reason, so that the configuration's history shows who requested it and when.
type evacuate struct {
	open platformlog.Opener
}

func newEvacuate(open platformlog.Opener) evacuate { return evacuate{open} }

// Name implements Command.
func (evacuate) Name() string { return "evacuate" }

// Synopsis implements Command.
func (evacuate) Synopsis() string {
	return "give the targets of a data centre no new work; without a name: list those that get none"
}

// Run implements Command.
func (c evacuate) Run(ctx context.Context, env Env, args []string) int {
	f, p, code := openPublisher(env, c.Name(), c.open, args)
	if p == nil {
		return code
	}
	switch names := *f.arguments; len(names) {
	case 0:
		return listEvacuated(ctx, f, p)
	case 1:
		return configExceptAdd(ctx, f, p, []string{dataCentreScope(names[0]), string(drainKey) + "=1"})
	}
	return f.fail(usageError("takes one data centre"))
}

// restore implements "camphorctl restore", which removes the exception of an evacuation.
type restore struct {
	open platformlog.Opener
}

func newRestore(open platformlog.Opener) restore { return restore{open} }

// Name implements Command.
func (restore) Name() string { return "restore" }

// Synopsis implements Command.
func (restore) Synopsis() string { return "let the targets of a data centre get new work again" }

// Run implements Command.
func (c restore) Run(ctx context.Context, env Env, args []string) int {
	f, p, code := openPublisher(env, c.Name(), c.open, args)
	if p == nil {
		return code
	}
	names := *f.arguments
	if len(names) != 1 {
		return f.fail(usageError("takes one data centre"))
	}
	return configExceptRemove(ctx, f, p, []string{dataCentreScope(names[0]), string(drainKey)})
}

// openPublisher reads the flags of a command that changes the configuration and opens the
// platform's log. If the publisher is nil, the command must return the exit code, as after load.
func openPublisher(env Env, name string, open platformlog.Opener, args []string) (*configFlags, *config.Publisher, int) {
	f := newConfigFlags(env, name)
	if code, ok := f.load(args); !ok {
		return f, nil, code
	}
	return f, config.NewPublisher(open(*f.log), *f.wait), ExitDone
}

// dataCentreScope returns the KIND:NAME argument of exceptions that selects a data centre.
func dataCentreScope(name string) string { return string(config.ScopeDataCentre) + ":" + name }

// listEvacuated prints the data centres that are evacuated, with author, time and reason.
func listEvacuated(ctx context.Context, f *configFlags, p *config.Publisher) int {
	fold, _, err := p.Load(ctx)
	if err != nil {
		return f.fail(err)
	}
	for _, e := range fold.State().Exceptions {
		if e.Kind != config.ScopeDataCentre || e.Key != drainKey || e.Value == 0 {
			continue
		}
		if *f.json {
			printJSON(f.env.Stdout, e)
			continue
		}
		fmt.Fprintln(f.env.Stdout, strings.Join([]string{e.Name, "since", formatTime(e.AtMs), "by", e.Author + ":", e.Reason}, " "))
	}
	return ExitDone
}
