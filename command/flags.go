package command

import (
	"flag"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/client"
	"github.com/camphorrack/camphorrack/internal/settings"
)

// defaultEntry is the default listen address of an entry.
const defaultEntry = "127.0.0.1:7400"

// flags are the settings that all subcommands have in common.
type flags struct {
	*settings.Set
	env     Env
	entries *string
	json    *bool
}

func newFlags(env Env, command string) *flags {
	set := settings.New("camphorctl "+command, env.Stdout)
	return &flags{
		Set:     set,
		env:     env,
		entries: set.String("entry", defaultEntry, "addresses of entries, host:port, comma separated; the next is tried when one is lost"),
		json:    set.Bool("json", false, "print JSON, one value a line"),
	}
}

// load reads the environment and the arguments. If ok is false, the command must return code:
// help or the settings were printed, or an argument is invalid.
func (f *flags) load(args []string) (code int, ok bool) {
	err := f.Load(args, f.env.Getenv)
	switch {
	case err == nil:
		return ExitDone, true
	case errors.Is(err, flag.ErrHelp), errors.Is(err, settings.ErrSettingsPrinted):
		return ExitDone, false
	}
	fmt.Fprintln(f.env.Stderr, err)
	return ExitUsage, false
}

// client returns a client of the entries. It returns a *fault.Fault if -entry is invalid.
func (f *flags) client() (*client.Client, error) {
	return client.New(client.Options{Entries: client.SplitAddrs(*f.entries), CallTimeout: callTimeout})
}

// callTimeout limits one call that does not wait for an answer, such as a request for a token.
const callTimeout = 2 * time.Second

// fail prints an error on the standard error and, with -json, as JSON on the standard output.
// It returns the Exit code of the error.
func (f *flags) fail(err error) int {
	if *f.json {
		printJSON(f.env.Stdout, client.FaultOf(err))
	}
	fmt.Fprintln(f.env.Stderr, "camphorctl:", err)
	return ExitCode(err)
}
