package command

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/camphorrack/camphorrack/internal/client"
	"github.com/camphorrack/camphorrack/internal/config"
	"github.com/camphorrack/camphorrack/internal/fault"
)

// configGet prints the configuration in force: everything, or the settings with the given keys.
func configGet(ctx context.Context, f *configFlags, p *config.Publisher, keys []string) int {
	for _, k := range keys {
		if _, ok := config.LookupDefinition(config.Key(k)); !ok {
			return f.fail(usageError("no such setting: " + k))
		}
	}
	fold, _, err := p.Load(ctx)
	if err != nil {
		return f.fail(err)
	}
	state := fold.State()
	if *f.json {
		printJSON(f.env.Stdout, state)
		return ExitDone
	}
	if len(keys) == 0 {
		fmt.Fprintf(f.env.Stdout, "version %d by %s at %s: %s\n", state.Version, state.Author, formatTime(state.AtMs), state.Reason)
	}
	for _, l := range settingLines(state) {
		if len(keys) == 0 || slices.Contains(keys, string(l.Key)) {
			fmt.Fprintln(f.env.Stdout, l.format())
		}
	}
	for _, e := range state.Exceptions {
		if len(keys) == 0 || slices.Contains(keys, string(e.Key)) {
			fmt.Fprintf(f.env.Stdout, "except %s:%s %s=%d by %s at %s: %s\n", e.Kind, e.Name, e.Key, e.Value, e.Author, formatTime(e.AtMs), e.Reason)
		}
	}
	return ExitDone
}

// settingLine is one setting to print.
type settingLine struct {
	config.Setting
	isDefault bool
}

// format returns KEY=VALUE, marked if the value is the built-in default.
func (l settingLine) format() string {
	if l.isDefault {
		return fmt.Sprintf("%s=%d (default)", l.Key, l.Value)
	}
	return fmt.Sprintf("%s=%d", l.Key, l.Value)
}

// settingLines returns every setting that is set, and the built-in default of every other setting
// of the catalogue, ordered by key.
func settingLines(s *config.State) []settingLine {
	var lines []settingLine
	for _, d := range config.Catalogue {
		if _, set := s.Value(d.Key); !set {
			lines = append(lines, settingLine{config.Setting{Key: d.Key, Value: d.Default}, true})
		}
	}
	for _, set := range s.Settings {
		lines = append(lines, settingLine{set, false})
	}
	slices.SortFunc(lines, func(a, b settingLine) int { return cmp.Compare(a.Key, b.Key) })
	return lines
}

// formatTime formats a Unix time in milliseconds as RFC 3339 in UTC; 0 means unknown.
func formatTime(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return time.UnixMilli(ms).UTC().Format(time.RFC3339)
}

// configHistory prints the changes and restarts that the log still contains, oldest first.
func configHistory(ctx context.Context, f *configFlags, p *config.Publisher, _ []string) int {
	_, results, err := p.Load(ctx)
	if err != nil {
		return f.fail(err)
	}
	for i := range results {
		f.printResult(&results[i])
	}
	return ExitDone
}

// historyLine is the JSON form of one change or restart in the history.
type historyLine struct {
	Offset  uint64          `json:"offset"`
	Outcome string          `json:"outcome"`
	Change  *config.Change  `json:"change,omitempty"`
	Restart *config.Restart `json:"restart,omitempty"`
	Why     string          `json:"why,omitempty"`
}

// printResult prints one change or restart and its outcome.
func (f *configFlags) printResult(r *config.Result) {
	line := historyLine{Offset: r.Offset, Outcome: r.Outcome.String(), Change: r.Change, Restart: r.Restart}
	if r.Err != nil {
		line.Why = r.Err.Error()
	}
	if *f.json {
		printJSON(f.env.Stdout, line)
		return
	}
	switch {
	case r.Change != nil:
		c := r.Change
		fmt.Fprintf(f.env.Stdout, "%d %s %s base=%d by %s at %s: %s%s %s\n", r.Offset, line.Outcome, c.ID, c.Base, c.Author, formatTime(c.AtMs), c.Reason, formatChange(c), line.Why)
	case r.Restart != nil:
		fmt.Fprintf(f.env.Stdout, "%d %s %s restart by %s at %s: %s\n", r.Offset, line.Outcome, r.Restart.ID, r.Restart.Author, formatTime(r.Restart.AtMs), r.Restart.Reason)
	default:
		fmt.Fprintf(f.env.Stdout, "%d %s %s\n", r.Offset, line.Outcome, line.Why)
	}
}

// formatChange lists the settings and exceptions that a change sets and removes.
func formatChange(c *config.Change) string {
	text := ""
	for _, s := range c.Set {
		text += fmt.Sprintf(" %s=%d", s.Key, s.Value)
	}
	for _, k := range c.Unset {
		text += fmt.Sprintf(" %s=", k)
	}
	for _, e := range c.Add {
		text += fmt.Sprintf(" except %s:%s %s=%d", e.Kind, e.Name, e.Key, e.Value)
	}
	for _, r := range c.Remove {
		text += fmt.Sprintf(" no-except %s:%s %s", r.Kind, r.Name, r.Key)
	}
	return text
}

// configDiff prints the differences between two versions that the log still contains.
func configDiff(ctx context.Context, f *configFlags, p *config.Publisher, _ []string) int {
	fold, results, err := p.Load(ctx)
	if err != nil {
		return f.fail(err)
	}
	second := fold.State()
	if *f.second != unsetVersion {
		second = stateAtVersion(results, second, uint64(*f.second))
	}
	first := stateAtVersion(results, fold.State(), uint64(*f.first))
	if first == nil || second == nil {
		return f.fail(fault.New(fault.ConfigInvalid, "the log does not hold that version (any more): camphorctl config history"))
	}
	lines := config.Diff(first, second)
	if *f.json {
		printJSON(f.env.Stdout, lines)
		return ExitDone
	}
	for _, l := range lines {
		fmt.Fprintln(f.env.Stdout, l)
	}
	return ExitDone
}

// stateAtVersion returns the configuration of a version, or nil if the log no longer contains it.
// Version 0 is the built-in defaults.
func stateAtVersion(results []config.Result, current *config.State, version uint64) *config.State {
	if version == 0 {
		return &config.State{}
	}
	if current.Version == version {
		return current
	}
	for i := range results {
		if r := &results[i]; r.Outcome == config.Accepted && r.State.Version == version {
			return r.State
		}
	}
	return nil
}

// configRestart publishes the configuration of a running entry or agent as the configuration of
// the fleet, after the log has lost records that no process had read.
func configRestart(ctx context.Context, f *configFlags, p *config.Publisher, _ []string) int {
	c, err := client.New(client.Options{Entries: client.SplitAddrs(*f.from), CallTimeout: callTimeout})
	if err != nil {
		return f.fail(err)
	}
	state, err := c.Config(ctx)
	if err != nil {
		return f.fail(err)
	}
	restarted, err := p.Restart(ctx, state, *f.author, *f.reason)
	if err != nil {
		return f.fail(err)
	}
	return f.reportAccepted(ctx, restarted)
}
