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

// configGet prints what is in force: everything, or the keys asked for.
func configGet(ctx context.Context, f *configFlags, p *config.Publisher, keys []string) int {
	for _, k := range keys {
		if _, ok := config.LookupDefinition(config.Key(k)); !ok {
			return f.fail(wrongUsage("no such setting: " + k))
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
		fmt.Fprintf(f.env.Stdout, "version %d by %s at %s: %s\n", state.Version, state.Author, stamp(state.AtMs), state.Reason)
	}
	for _, l := range settingLines(state) {
		if len(keys) == 0 || slices.Contains(keys, string(l.Key)) {
			fmt.Fprintln(f.env.Stdout, l.text())
		}
	}
	for _, e := range state.Exceptions {
		if len(keys) == 0 || slices.Contains(keys, string(e.Key)) {
			fmt.Fprintf(f.env.Stdout, "except %s:%s %s=%d by %s at %s: %s\n", e.Kind, e.Name, e.Key, e.Value, e.Author, stamp(e.AtMs), e.Reason)
		}
	}
	return ExitDone
}

type settingLine struct {
	config.Setting
	isDefault bool
}

func (l settingLine) text() string {
	if l.isDefault {
		return fmt.Sprintf("%s=%d (default)", l.Key, l.Value)
	}
	return fmt.Sprintf("%s=%d", l.Key, l.Value)
}

// settingLines lists every setting of the catalogue and every one that was set.
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

func stamp(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return time.UnixMilli(ms).UTC().Format(time.RFC3339)
}

// configHistory prints the changes that the log still holds, oldest first.
func configHistory(ctx context.Context, f *configFlags, p *config.Publisher, _ []string) int {
	_, verdicts, err := p.Load(ctx)
	if err != nil {
		return f.fail(err)
	}
	for i := range verdicts {
		f.printVerdict(&verdicts[i])
	}
	return ExitDone
}

type historyLine struct {
	Offset  uint64          `json:"offset"`
	Outcome string          `json:"outcome"`
	Change  *config.Change  `json:"change,omitempty"`
	Restart *config.Restart `json:"restart,omitempty"`
	Why     string          `json:"why,omitempty"`
}

func (f *configFlags) printVerdict(v *config.Result) {
	line := historyLine{Offset: v.Offset, Outcome: v.Outcome.String(), Change: v.Change, Restart: v.Restart}
	if v.Err != nil {
		line.Why = v.Err.Error()
	}
	if *f.json {
		printJSON(f.env.Stdout, line)
		return
	}
	switch {
	case v.Change != nil:
		c := v.Change
		fmt.Fprintf(f.env.Stdout, "%d %s %s base=%d by %s at %s: %s%s %s\n", v.Offset, line.Outcome, c.ID, c.Base, c.Author, stamp(c.AtMs), c.Reason, changeText(c), line.Why)
	case v.Restart != nil:
		fmt.Fprintf(f.env.Stdout, "%d %s %s restart by %s at %s: %s\n", v.Offset, line.Outcome, v.Restart.ID, v.Restart.Author, stamp(v.Restart.AtMs), v.Restart.Reason)
	default:
		fmt.Fprintf(f.env.Stdout, "%d %s %s\n", v.Offset, line.Outcome, line.Why)
	}
}

func changeText(c *config.Change) string {
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

// configDiff prints what differs between two versions that the log still holds.
func configDiff(ctx context.Context, f *configFlags, p *config.Publisher, _ []string) int {
	fold, verdicts, err := p.Load(ctx)
	if err != nil {
		return f.fail(err)
	}
	second := fold.State()
	if *f.second != unsetVersion {
		second = versionOf(verdicts, second, uint64(*f.second))
	}
	first := versionOf(verdicts, fold.State(), uint64(*f.first))
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

func versionOf(verdicts []config.Result, current *config.State, version uint64) *config.State {
	if version == 0 {
		return &config.State{}
	}
	if current.Version == version {
		return current
	}
	for i := range verdicts {
		if v := &verdicts[i]; v.Outcome == config.Accepted && v.State.Version == version {
			return v.State
		}
	}
	return nil
}

// configRestart takes the configuration of a live process as the fleet's anew.
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
	return f.accepted(ctx, restarted)
}
