// Package settings reads a program's settings from flags and environment variables, validates
// them, and reports all faults together, so that an operator can correct a failed start
// without one restart per fault.
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

// EnvPrefix is the prefix of the environment variables: CAMPHORRACK_LOG_LEVEL sets the flag
// "log-level". A flag on the command line takes precedence.
const EnvPrefix = "CAMPHORRACK_"

const maskedSecret = "(secret)"

// ErrSettingsPrinted is returned by Set.Load after it has printed the settings because of
// -print-settings. The program should exit with success.
var ErrSettingsPrinted = errors.New("settings printed")

// Set is the flag set of one program, with environment variables, validation and secrets.
type Set struct {
	*flag.FlagSet
	out     io.Writer
	secrets map[string]bool
	checks  []check
	print   *bool
	// positional collects the positional arguments; nil if the program accepts none.
	positional *[]string
}

// check validates one setting; problem returns an error text, or "" if the value is valid.
type check struct {
	flag    string
	problem func() string
}

// New returns a set that defines only -print-settings. Help and settings are written to out.
func New(program string, out io.Writer) *Set {
	fs := flag.NewFlagSet(program, flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	s := &Set{FlagSet: fs, out: out, secrets: map[string]bool{}}
	s.print = fs.Bool("print-settings", false, "print every setting in force and exit")
	return s
}

// Secret defines a string setting whose value is kept out of printed settings and of faults.
func (s *Set) Secret(name, usage string) *string {
	s.secrets[name] = true
	return s.String(name, "", usage)
}

// AllowArguments makes Load accept positional arguments, before, between and after flags, and
// returns the slice that it appends them to.
func (s *Set) AllowArguments() *[]string {
	s.positional = new([]string)
	return s.positional
}

// AddCheck registers a validation of the flag name for Load. The function problem returns the
// detail of a fault, or "" if the value is valid.
func (s *Set) AddCheck(name string, problem func() string) {
	s.checks = append(s.checks, check{name, problem})
}

// Load reads the environment, then the arguments, and runs all checks. The error joins one
// *fault.Fault per invalid variable, argument or setting; it is flag.ErrHelp after printing
// help and ErrSettingsPrinted after printing the settings.
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
		if problem := c.problem(); problem != "" {
			faults = append(faults, fault.Input(fault.BadSetting, c.flag, problem))
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

// readEnv sets flags from environment variables and returns a *fault.Fault per invalid value.
func (s *Set) readEnv(getenv func(string) (string, bool)) []error {
	var faults []error
	s.VisitAll(func(f *flag.Flag) {
		name := EnvName(f.Name)
		value, ok := getenv(name)
		if !ok {
			return
		}
		if err := s.FlagSet.Set(f.Name, value); err != nil {
			faults = append(faults, fault.Input(fault.BadSetting, name, s.redact(f.Name, err.Error())))
		}
	})
	return faults
}

// readArgs parses the command line. It continues after an invalid argument, to report the
// others too, and after a positional argument, because flags may follow.
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
		if s.positional == nil {
			faults = append(faults, fault.Newf(fault.BadSetting, "unexpected argument %q", args[0]))
		} else {
			*s.positional = append(*s.positional, args[0])
		}
		args = args[1:]
	}
}

// redact replaces an error text that may quote the value of a secret.
func (s *Set) redact(name, text string) string {
	if s.secrets[name] {
		return "bad value"
	}
	return text
}

// Print writes all settings as name=value lines, with secrets masked.
func (s *Set) Print() {
	s.VisitAll(func(f *flag.Flag) {
		value := f.Value.String()
		if s.secrets[f.Name] && value != "" {
			value = maskedSecret
		}
		fmt.Fprintf(s.out, "%s=%s\n", f.Name, value)
	})
}

// EnvName returns the name of the environment variable that sets a flag.
func EnvName(flagName string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(flagName, "-", "_"))
}

// LoadOrExit calls Load with the arguments and environment of the process. It exits with
// status 0 after help or -print-settings; on faults it prints them to stderr and exits with
// status 2.
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

// MessageIf returns message if condition holds, and "" otherwise. It shortens the functions
// passed to AddCheck.
func MessageIf(condition bool, message string) string {
	if condition {
		return message
	}
	return ""
}

// CheckAddr returns "" if addr has the form ip:port, and an error text for AddCheck otherwise.
func CheckAddr(addr string) string {
	_, err := netip.ParseAddrPort(addr)
	return MessageIf(err != nil, "takes ip:port, got "+addr)
}

// SplitList returns the trimmed, non-empty elements of a comma-separated setting.
func SplitList(text string) []string {
	var parts []string
	for _, part := range strings.Split(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			parts = append(parts, part)
		}
	}
	return parts
}
