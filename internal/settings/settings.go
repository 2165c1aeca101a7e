// Package settings reads a daemon's settings from flags and environment
// variables, checks them all and reports every fault at once, so that an operator
// mends a broken start in one go.
package settings

import (
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/fault"
)

// EnvPrefix starts the name of each environment variable: the flag "log-level"
// is also CAMPHORRACK_LOG_LEVEL. A flag on the command line wins.
const EnvPrefix = "CAMPHORRACK_"

const masked = "(secret)"

// ErrSettingsPrinted is returned when -print-settings asked for the settings only.
var ErrSettingsPrinted = errors.New("settings printed")

// Set is the settings of one program.
type Set struct {
	*flag.FlagSet
	out     io.Writer
	secrets map[string]bool
	checks  []check
	print   *bool
	// arguments takes what is not a flag; nil where there may be none.
	arguments *[]string
}

type check struct {
	flag string
	run  func() string
}

// New returns an empty set that prints to out.
func New(program string, out io.Writer) *Set {
	fs := flag.NewFlagSet(program, flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	s := &Set{FlagSet: fs, out: out, secrets: map[string]bool{}}
	s.print = fs.Bool("print-settings", false, "print every setting in force and exit")
	return s
}

// Secret defines a string setting whose value is never printed.
func (s *Set) Secret(name, usage string) *string {
	s.secrets[name] = true
	return s.String(name, "", usage)
}

// AllowArguments lets the program take arguments that are no flags, in any place.
func (s *Set) AllowArguments() *[]string {
	s.arguments = new([]string)
	return s.arguments
}

// AddCheck adds a condition on one setting; run returns what is wrong, or "".
func (s *Set) AddCheck(name string, run func() string) {
	s.checks = append(s.checks, check{name, run})
}

// Load reads the environment and then the arguments, and runs every check. The
// error joins a *fault.Fault for each thing that is wrong, or is ErrSettingsPrinted or
// flag.ErrHelp.
func (s *Set) Load(args []string, getenv func(string) (string, bool)) error {
	faults := s.readEnv(getenv)
	argFaults, help := s.readArgs(args)
	if help {
		fmt.Fprintf(s.out, "Usage of %s (each flag is also an environment variable %s...):\n", s.Name(), EnvPrefix)
		s.SetOutput(s.out)
		s.PrintDefaults()
		return flag.ErrHelp
	}
	faults = append(faults, argFaults...)
	for _, c := range s.checks {
		if wrong := c.run(); wrong != "" {
			faults = append(faults, fault.Input(fault.BadSetting, c.flag, wrong))
		}
	}
	if len(faults) > 0 {
		return errors.Join(faults...)
	}
	if *s.print {
		s.Print()
		return ErrSettingsPrinted
	}
	return nil
}

func (s *Set) readEnv(getenv func(string) (string, bool)) []error {
	var faults []error
	s.VisitAll(func(f *flag.Flag) {
		name := EnvName(f.Name)
		value, ok := getenv(name)
		if !ok {
			return
		}
		if err := s.FlagSet.Set(f.Name, value); err != nil {
			faults = append(faults, fault.Input(fault.BadSetting, name, s.hide(f.Name, err.Error())))
		}
	})
	return faults
}

// readArgs goes on after a faulty argument, to find the others too, and after an
// argument that is no flag, because flags may follow it.
func (s *Set) readArgs(args []string) (faults []error, help bool) {
	for {
		err := s.Parse(args)
		if errors.Is(err, flag.ErrHelp) {
			return nil, true
		}
		args = s.Args()
		if err != nil {
			faults = append(faults, fault.New(fault.BadSetting, err.Error()))
			continue
		}
		if len(args) == 0 {
			return faults, false
		}
		if s.arguments == nil {
			faults = append(faults, fault.Newf(fault.BadSetting, "unexpected argument %q", args[0]))
		} else {
			*s.arguments = append(*s.arguments, args[0])
		}
		args = args[1:]
	}
}

func (s *Set) hide(name, text string) string {
	if s.secrets[name] {
		return "bad value"
	}
	return text
}

// Print writes every setting in force, with secrets masked.
func (s *Set) Print() {
	s.VisitAll(func(f *flag.Flag) {
		value := f.Value.String()
		if s.secrets[f.Name] && value != "" {
			value = masked
		}
		fmt.Fprintf(s.out, "%s=%s\n", f.Name, value)
	})
}

// EnvName returns the environment variable of a flag.
func EnvName(flagName string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(flagName, "-", "_"))
}

// LoadOrExit is Load with the process's own arguments and environment. It prints
// what is wrong and exits: 0 after help or -print-settings, 2 on a fault.
func (s *Set) LoadOrExit() {
	err := s.Load(os.Args[1:], os.LookupEnv)
	switch {
	case err == nil:
		return
	case errors.Is(err, ErrSettingsPrinted), errors.Is(err, flag.ErrHelp):
		os.Exit(0)
	}
	fmt.Fprintln(os.Stderr, err)
	os.Exit(2)
}

// MessageIf returns what is wrong, or "", for Check.
func MessageIf(wrong bool, text string) string {
	if wrong {
		return text
	}
	return ""
}

// CheckAddr returns what is wrong with an address of the form ip:port, or "".
func CheckAddr(addr string) string {
	_, err := netip.ParseAddrPort(addr)
	return MessageIf(err != nil, "takes ip:port, got "+addr)
}

// SplitList returns the parts of a comma-separated setting; empty ones are left out.
func SplitList(text string) []string {
	var parts []string
	for _, part := range strings.Split(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			parts = append(parts, part)
		}
	}
	return parts
}
