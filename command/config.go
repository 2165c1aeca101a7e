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

// configCommand implements "camphorctl config". It reads and writes the platform's log
// directly, so that it works even if no entry is available.
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

// unsetVersion is the value of a version flag that is not set.
const unsetVersion = -1

// configFlags are the settings of all commands that read or change the configuration.
type configFlags struct {
	*flags
	log, author, reason, change, from *string
	base, first, second               *int64
	wait                              *time.Duration
	arguments                         *[]string
}

// configAction executes one action of "camphorctl config" with the arguments after its name and
// returns an Exit code.
type configAction func(ctx context.Context, f *configFlags, p *config.Publisher, args []string) int

// configActions are the actions of "camphorctl config". A name can have several words.
var configActions = []struct {
	name string
	run  configAction
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
	f, p, code := openPublisher(env, c.Name(), c.open, args)
	if p == nil {
		return code
	}
	positional := *f.arguments
	for _, a := range configActions {
		action := strings.Fields(a.name)
		if len(positional) < len(action) || !slices.Equal(positional[:len(action)], action) {
			continue
		}
		return a.run(ctx, f, p, positional[len(action):])
	}
	return f.fail(usageError("want one of " + configActionNames()))
}

func newConfigFlags(env Env, name string) *configFlags {
	f := &configFlags{flags: newFlags(env, name)}
	f.arguments = f.AllowArguments()
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

// userName returns the login name of the operator, or "" if it is unknown.
func userName() string {
	u, err := user.Current()
	if err != nil {
		return ""
	}
	return u.Username
}

// configActionNames lists the names of the actions for an error message.
func configActionNames() string {
	names := make([]string, len(configActions))
	for i, a := range configActions {
		names[i] = a.name
	}
	return strings.Join(names, ", ")
}

// usageError returns the fault for invalid arguments.
func usageError(detail string) *fault.Fault {
	return fault.Input(fault.BadSetting, "arguments", detail)
}

// configSet publishes a change of settings. Each argument is KEY=VALUE, or KEY= to restore the
// built-in default.
func configSet(ctx context.Context, f *configFlags, p *config.Publisher, args []string) int {
	change := &config.Change{}
	for _, arg := range args {
		key, value, found := strings.Cut(arg, "=")
		if !found {
			return f.fail(usageError("want KEY=VALUE, or KEY= for the built-in default, got " + arg))
		}
		if value == "" {
			change.Unset = append(change.Unset, config.Key(key))
			continue
		}
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			return f.fail(usageError(arg + ": takes a whole number"))
		}
		change.Set = append(change.Set, config.Setting{Key: config.Key(key), Value: n})
	}
	return f.publish(ctx, p, change)
}

// parsePlace parses the two arguments KIND:NAME and KEY[=VALUE] of an exception. It returns the
// value as text, which is empty without =VALUE.
func parsePlace(args []string) (config.Place, string, error) {
	if len(args) != 2 {
		return config.Place{}, "", usageError("want KIND:NAME KEY=VALUE, such as target:t1 drain=1 (remove: without =VALUE)")
	}
	kind, name, found := strings.Cut(args[0], ":")
	if !found {
		return config.Place{}, "", usageError("want KIND:NAME, such as target:t1, got " + args[0])
	}
	key, value, _ := strings.Cut(args[1], "=")
	return config.Place{Kind: config.ScopeKind(kind), Name: name, Key: config.Key(key)}, value, nil
}

// configExceptAdd publishes an exception: another value of a setting for one target, data centre
// or other scope.
func configExceptAdd(ctx context.Context, f *configFlags, p *config.Publisher, args []string) int {
	place, value, err := parsePlace(args)
	if err != nil {
		return f.fail(err)
	}
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		return f.fail(usageError(args[1] + ": takes KEY=VALUE with a whole number"))
	}
	return f.publish(ctx, p, &config.Change{Add: []config.Exception{{
		Kind: place.Kind, Name: place.Name, Key: place.Key, Value: n,
		Reason: *f.reason, Author: *f.author, AtMs: time.Now().UnixMilli(),
	}}})
}

// configExceptRemove publishes the removal of an exception.
func configExceptRemove(ctx context.Context, f *configFlags, p *config.Publisher, args []string) int {
	place, _, err := parsePlace(args)
	if err != nil {
		return f.fail(err)
	}
	return f.publish(ctx, p, &config.Change{Remove: []config.Place{place}})
}

// publish completes a change from the flags, publishes it and reports the result. Without -base
// the change is based on the version in force.
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
	return f.reportAccepted(ctx, state)
}

// refreshCallTimeout limits one refresh call. It exceeds the time after which an entry answers
// in any case.
const refreshCallTimeout = 3 * time.Second

// refreshEntries makes each entry of -entry read the log now and returns the addresses of those
// at which the version is in force.
func (f *configFlags) refreshEntries(ctx context.Context, version uint64) []string {
	var refreshed []string
	for _, entry := range client.SplitAddrs(*f.entries) {
		c, err := client.New(client.Options{Entries: []string{entry}, CallTimeout: refreshCallTimeout})
		if err != nil {
			continue
		}
		if s, err := c.RefreshConfig(ctx, version); err == nil && s.Version >= version {
			refreshed = append(refreshed, entry)
		}
	}
	return refreshed
}

// reportAccepted prints the accepted change and the entries that have applied it, and returns
// ExitDone. Until an entry has the change, it is stored only in the log and would be lost with
// the log's records, so a missing confirmation is printed too.
func (f *configFlags) reportAccepted(ctx context.Context, s *config.State) int {
	refreshed := f.refreshEntries(ctx, s.Version)
	if len(refreshed) == 0 {
		fmt.Fprintln(f.env.Stderr, "camphorctl: accepted; none of the entries named by -entry has confirmed it yet")
	}
	for _, entry := range refreshed {
		fmt.Fprintln(f.env.Stderr, "camphorctl: in force at", entry)
	}
	if *f.json {
		printJSON(f.env.Stdout, s)
		return ExitDone
	}
	fmt.Fprintf(f.env.Stdout, "accepted: version %d, change %s\n", s.Version, s.ChangeID)
	return ExitDone
}

// configResolve prints the outcome of a change that was undecided when it was published.
func configResolve(ctx context.Context, f *configFlags, p *config.Publisher, _ []string) int {
	if *f.change == "" || *f.base < 0 {
		return f.fail(usageError("resolve takes -change and -base, as the undecided change printed them"))
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
