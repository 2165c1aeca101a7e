package command

import (
	"context"
	"fmt"
	"strings"

	"github.com/camphorrack/camphorrack/internal/config"
	"github.com/camphorrack/camphorrack/internal/platformlog"
)

// drainKey is the setting with which a data centre's targets get no new work.
const drainKey config.Key = "drain"

// evacuate is "camphorctl evacuate": the targets of a data centre get no new work and finish
// what they have. Like every lasting change it is an exception with a reason, so the
// configuration's history shows who asked for it and when.
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
	f, p, code := openConfig(env, c.Name(), c.open, args)
	if p == nil {
		return code
	}
	switch names := *f.words; len(names) {
	case 0:
		return listEvacuated(ctx, f, p)
	case 1:
		return configExceptAdd(ctx, f, p, []string{dataCentre(names[0]), string(drainKey) + "=1"})
	}
	return f.fail(wrongUsage("takes one data centre"))
}

// restore is "camphorctl restore": it lifts an evacuation.
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
	f, p, code := openConfig(env, c.Name(), c.open, args)
	if p == nil {
		return code
	}
	names := *f.words
	if len(names) != 1 {
		return f.fail(wrongUsage("takes one data centre"))
	}
	return configExceptRemove(ctx, f, p, []string{dataCentre(names[0]), string(drainKey)})
}

// openConfig reads the flags of a command that changes the configuration. The publisher is nil
// where they are wrong; the code is to be returned then.
func openConfig(env Env, name string, open platformlog.Opener, args []string) (*configFlags, *config.Publisher, int) {
	f := newConfigFlags(env, name)
	if code, ok := f.load(args); !ok {
		return f, nil, code
	}
	return f, config.NewPublisher(open(*f.log), *f.wait), ExitDone
}

func dataCentre(name string) string { return string(config.ScopeDataCentre) + ":" + name }

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
		fmt.Fprintln(f.env.Stdout, strings.Join([]string{e.Name, "since", stamp(e.AtMs), "by", e.Author + ":", e.Reason}, " "))
	}
	return ExitDone
}
