package command

import (
	"context"
	"fmt"
	"net/url"
	"os/user"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/camphorrack/camphorrack/internal/client"
	"github.com/camphorrack/camphorrack/internal/config"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/platformlog"
)

// configCommand is "camphorctl config": it works on the platform's log directly,
// so it needs no entry to be alive.
type configCommand struct {
	open platformlog.Opener
}

func newConfig(open platformlog.Opener) configCommand { return configCommand{open} }

// Name implements Command.
func (configCommand) Name() string { return "config" }

// Synopsis implements Command.
func (configCommand) Synopsis() string {
	return "get, set, diff, history, except add|remove, resolve, restart: the fleet's configuration"
}

// unsetVersion stands for a version flag that was not given.
const unsetVersion = -1

// configFlags are the settings of every config subcommand.
type configFlags struct {
	*flags
	log, author, reason, change, from *string
	base, first, second               *int64
	wait                              *time.Duration
	words                             *[]string
}

type configAction func(ctx context.Context, f *configFlags, p *config.Publisher, words []string) int

// actions are the subcommands by their words.
var configActions = []struct {
	words string
	run   configAction
}{
	{"get", configGet},
	{"set", configSet},
	{"diff", configDiff},
	{"history", configHistory},
	{"except add", configExceptAdd},
	{"except remove", configExceptRemove},
	{"resolve", configResolve},
	{"restart", configRestart},
}

// Run implements Command.
func (c configCommand) Run(ctx context.Context, env Env, args []string) int {
	f, p, code := openConfig(env, c.Name(), c.open, args)
	if p == nil {
		return code
	}
	words := *f.words
	for _, a := range configActions {
		action := strings.Fields(a.words)
		if len(words) < len(action) || !slices.Equal(words[:len(action)], action) {
			continue
		}
		return a.run(ctx, f, p, words[len(action):])
	}
	return f.fail(wrongUsage("want one of " + configWords()))
}

func newConfigFlags(env Env, name string) *configFlags {
	f := &configFlags{flags: newFlags(env, name)}
	f.words = f.AllowArguments()
	f.log = f.String("log", "", "base URL of the platform's log, such as http://10.0.0.7:7000")
	f.author = f.String("author", userName(), "who makes the change")
	f.reason = f.String("reason", "", "why; an exception is refused without one")
	f.base = f.Int64("base", unsetVersion, "version that the change is based on (default: the current one)")
	f.first = f.Int64("first", 0, "diff: the older version; 0 is the built-in defaults")
	f.second = f.Int64("second", unsetVersion, "diff: the newer version (default: the current one)")
	f.change = f.String("change", "", "resolve: id of the change that was undecided")
	f.from = f.String("from", "", "restart: address of an entry or agent whose configuration to take")
	f.wait = f.Duration("wait", config.DefaultReadBackTimeout, "how long to look for a change in the log")
	f.AddCheck("log", func() string {
		u, err := url.Parse(*f.log)
		if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
			return "takes the base URL of the platform's log"
		}
		return ""
	})
	f.AddCheck("wait", func() string {
		if *f.wait <= 0 {
			return "takes a time above 0"
		}
		return ""
	})
	return f
}

func userName() string {
	u, err := user.Current()
	if err != nil {
		return ""
	}
	return u.Username
}

func configWords() string {
	words := make([]string, len(configActions))
	for i, a := range configActions {
		words[i] = a.words
	}
	return strings.Join(words, ", ")
}

func wrongUsage(detail string) *fault.Fault {
	return fault.Input(fault.BadSetting, "arguments", detail)
}

// configSet takes KEY=VALUE, or KEY= to go back to the built-in default.
func configSet(ctx context.Context, f *configFlags, p *config.Publisher, words []string) int {
	change := &config.Change{}
	for _, w := range words {
		key, value, found := strings.Cut(w, "=")
		if !found {
			return f.fail(wrongUsage("want KEY=VALUE, or KEY= for the built-in default, got " + w))
		}
		if value == "" {
			change.Unset = append(change.Unset, config.Key(key))
			continue
		}
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			return f.fail(wrongUsage(w + ": takes a whole number"))
		}
		change.Set = append(change.Set, config.Setting{Key: config.Key(key), Value: n})
	}
	return f.publish(ctx, p, change)
}

// parsePlace reads KIND:NAME KEY[=VALUE].
func parsePlace(words []string) (config.Place, string, error) {
	if len(words) != 2 {
		return config.Place{}, "", wrongUsage("want KIND:NAME KEY=VALUE, such as target:t1 drain=1 (remove: without =VALUE)")
	}
	kind, name, found := strings.Cut(words[0], ":")
	if !found {
		return config.Place{}, "", wrongUsage("want KIND:NAME, such as target:t1, got " + words[0])
	}
	key, value, _ := strings.Cut(words[1], "=")
	return config.Place{Kind: config.ScopeKind(kind), Name: name, Key: config.Key(key)}, value, nil
}

func configExceptAdd(ctx context.Context, f *configFlags, p *config.Publisher, words []string) int {
	place, value, err := parsePlace(words)
	if err != nil {
		return f.fail(err)
	}
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		return f.fail(wrongUsage(words[1] + ": takes KEY=VALUE with a whole number"))
	}
	return f.publish(ctx, p, &config.Change{Add: []config.Exception{{
		Kind: place.Kind, Name: place.Name, Key: place.Key, Value: n,
		Reason: *f.reason, Author: *f.author, AtMs: time.Now().UnixMilli(),
	}}})
}

func configExceptRemove(ctx context.Context, f *configFlags, p *config.Publisher, words []string) int {
	place, _, err := parsePlace(words)
	if err != nil {
		return f.fail(err)
	}
	return f.publish(ctx, p, &config.Change{Remove: []config.Place{place}})
}

func (f *configFlags) publish(ctx context.Context, p *config.Publisher, c *config.Change) int {
	c.Author, c.Reason, c.AtMs = *f.author, *f.reason, time.Now().UnixMilli()
	if *f.base == unsetVersion {
		fold, _, err := p.Load(ctx)
		if err != nil {
			return f.fail(err)
		}
		c.Base = fold.State().Version
	} else {
		c.Base = uint64(*f.base)
	}
	state, err := p.Publish(ctx, c)
	if err != nil {
		return f.fail(err)
	}
	return f.accepted(ctx, state)
}

// refreshCallTimeout is above the time that an entry takes at most to answer.
const refreshCallTimeout = 3 * time.Second

// refresh has the entries put the version in force now and returns those that did.
func (f *configFlags) refresh(ctx context.Context, version uint64) []string {
	var done []string
	for _, entry := range client.SplitAddrs(*f.entries) {
		c, err := client.New(client.Options{Entries: []string{entry}, CallTimeout: refreshCallTimeout})
		if err != nil {
			continue
		}
		if s, err := c.RefreshConfig(ctx, version); err == nil && s.Version >= version {
			done = append(done, entry)
		}
	}
	return done
}

// accepted tells what was accepted. Until an entry has it too, it would be lost
// with the log's records, so that is told as well.
func (f *configFlags) accepted(ctx context.Context, s *config.State) int {
	done := f.refresh(ctx, s.Version)
	if len(done) == 0 {
		fmt.Fprintln(f.env.Stderr, "camphorctl: accepted; none of the entries named by -entry has confirmed it yet")
	}
	for _, entry := range done {
		fmt.Fprintln(f.env.Stderr, "camphorctl: in force at", entry)
	}
	if *f.json {
		printJSON(f.env.Stdout, s)
		return ExitDone
	}
	fmt.Fprintf(f.env.Stdout, "accepted: version %d, change %s\n", s.Version, s.ChangeID)
	return ExitDone
}

func configResolve(ctx context.Context, f *configFlags, p *config.Publisher, _ []string) int {
	if *f.change == "" || *f.base < 0 {
		return f.fail(wrongUsage("resolve takes -change and -base, as the undecided change printed them"))
	}
	r, err := p.Resolve(ctx, *f.change, uint64(*f.base))
	if err != nil {
		return f.fail(err)
	}
	if *f.json {
		printJSON(f.env.Stdout, r)
		return ExitDone
	}
	fmt.Fprintf(f.env.Stdout, "accepted: it made version %d; version %d is in force\n", r.Version, r.Current.Version)
	return ExitDone
}
