package config

import (
	"slices"
	"strings"

	"github.com/camphorrack/camphorrack/internal/scheduler/admission"
	"github.com/camphorrack/camphorrack/internal/scheduler/health"
)

// Key names a setting, such as "health.window_ms".
type Key string

// QuotaPrefix starts the key of a team's quota: "quota.team.<team>".
const QuotaPrefix = "quota.team."

// ScopeKind is the kind of scope that an exception applies to.
type ScopeKind string

// Kinds of scope. If several exceptions match, the narrowest scope takes precedence:
// entry or target over rack, rack over data centre.
const (
	ScopeDataCentre ScopeKind = "data_centre"
	ScopeRack       ScopeKind = "rack"
	ScopeEntry      ScopeKind = "entry"
	ScopeTarget     ScopeKind = "target"
)

// Definition describes a setting: its unit, default, allowed range and scopes. It is used
// to validate values and in the operators' tool.
type Definition struct {
	Key         Key
	Unit        string
	Default     int64
	Min, Max    int64
	Scopes      []ScopeKind // scopes that allow an exception; none: fleet-wide only
	Description string
	field       func(*Settings) *int64
}

// Settings contains the values in force at one location, with defaults and exceptions
// resolved.
type Settings struct {
	MaxJobs                int64 // most submission ids that an entry holds; a lower -max-jobs takes precedence
	SoftQueueMs            int64 // queue length, in time to work it off, from which an entry rejects teams above their share
	HardQueueMs            int64 // queue length, in time to work it off, from which an entry rejects everything
	OvertakeFactorPercent  int64 // factor, in percent, that an entry applies to the expected wait of a job when it checks deadlines; 100: unchanged
	MaxDeadlineMs          int64 // latest deadline that a caller may request; a lower -max-timeout takes precedence
	BrokenFailurePercent   int64 // failure rate that a broken target is assumed to have
	InitialTrialIntervalMs int64 // delay before a broken target's first trial task
	MaxTrialIntervalMs     int64 // longest interval between its trial tasks
	DefaultQuota           int64 // concurrent tasks of a team without its own quota; 0 means no limit
	Drain                  bool  // the location gets no new work and finishes what it has
	drainValue             int64
	quotas                 []quota
}

// quota is the number of tasks that a team may run concurrently.
type quota struct {
	team  string
	limit int64
}

// Catalogue lists every setting except the teams' quotas, sorted by key. Each takes
// effect on a running process; parameters that can't are flags instead.
var Catalogue = []Definition{
	{"admission.hard_queue_ms", "ms", admission.HardQueue.Milliseconds(), 10, 600_000, []ScopeKind{ScopeDataCentre, ScopeEntry},
		"queue, in time to work it off, from which an entry turns everything away", func(s *Settings) *int64 { return &s.HardQueueMs }},
	{"admission.max_jobs", "ids", 120_000, 1, 10_000_000, []ScopeKind{ScopeDataCentre, ScopeEntry},
		"submission ids that an entry holds, where its -max-jobs is not lower", func(s *Settings) *int64 { return &s.MaxJobs }},
	{"admission.soft_queue_ms", "ms", admission.SoftQueue.Milliseconds(), 10, 600_000, []ScopeKind{ScopeDataCentre, ScopeEntry},
		"queue from which an entry turns away teams above their share", func(s *Settings) *int64 { return &s.SoftQueueMs }},
	{"deadline.max_ms", "ms", 600_000, 1_000, 86_400_000, nil,
		"farthest deadline that a caller may ask for, where -max-timeout is not lower", func(s *Settings) *int64 { return &s.MaxDeadlineMs }},
	{"drain", "0 or 1", 0, 0, 1, []ScopeKind{ScopeDataCentre, ScopeRack, ScopeTarget},
		"1: gets no new work and finishes what it has", func(s *Settings) *int64 { return &s.drainValue }},
	{"health.broken_percent", "%", 60, 5, 99, nil,
		"failure rate that a broken target is taken to have; lower finds more of them", func(s *Settings) *int64 { return &s.BrokenFailurePercent }},
	{"health.first_trial_ms", "ms", health.InitialTrialInterval.Milliseconds(), 100, 600_000, nil,
		"wait before a broken target gets a trial task", func(s *Settings) *int64 { return &s.InitialTrialIntervalMs }},
	{"health.last_trial_ms", "ms", health.MaxTrialInterval.Milliseconds(), 100, 3_600_000, nil,
		"longest wait between the trial tasks of a broken target", func(s *Settings) *int64 { return &s.MaxTrialIntervalMs }},
	{"policy.caution_percent", "%", 100 * admission.OvertakeFactor, 50, 1_000, []ScopeKind{ScopeDataCentre, ScopeEntry},
		"trade between response and waste: by how much an entry takes the wait before a job to be longer than it looks; higher starts less work that comes to nothing, lower lets more in", func(s *Settings) *int64 { return &s.OvertakeFactorPercent }},
	{"quota.default", "tasks", 0, 0, 10_000_000, nil,
		"tasks of a team without a quota of its own that may run at a time; 0: no limit", func(s *Settings) *int64 { return &s.DefaultQuota }},
}

var teamQuota = Definition{Unit: "tasks", Min: 1, Max: 10_000_000, Description: "tasks of the team that may run at a time"}

// LookupDefinition returns the definition of a key, including that of a team's quota, or
// false if the key is unknown.
func LookupDefinition(k Key) (Definition, bool) {
	if team, ok := strings.CutPrefix(string(k), QuotaPrefix); ok {
		d := teamQuota
		d.Key = k
		return d, validName(team)
	}
	i, found := slices.BinarySearchFunc(Catalogue, k, func(d Definition, k Key) int {
		return strings.Compare(string(d.Key), string(k))
	})
	if !found {
		return Definition{}, false
	}
	return Catalogue[i], true
}

// Location names a process or target and the data centre and rack it runs in, by which
// exceptions are matched. Empty fields match no exception.
type Location struct {
	DataCentre, Rack, Entry, Target string
}

func (l Location) nameFor(kind ScopeKind) string {
	switch kind {
	case ScopeDataCentre:
		return l.DataCentre
	case ScopeRack:
		return l.Rack
	case ScopeEntry:
		return l.Entry
	case ScopeTarget:
		return l.Target
	}
	return ""
}

// widestFirst is the order in which exceptions are applied, so that narrower scopes
// override wider ones.
var widestFirst = []ScopeKind{ScopeDataCentre, ScopeRack, ScopeEntry, ScopeTarget}

// Resolve returns the settings in force at a location. Unknown keys, which come from a
// newer program, are skipped, and values out of range are clamped: a process uses what
// it supports, while every process keeps and forwards the same state.
func (s *State) Resolve(l Location) Settings {
	var out Settings
	for _, d := range Catalogue {
		*d.field(&out) = d.Default
	}
	for _, set := range s.Settings {
		if team, ok := strings.CutPrefix(string(set.Key), QuotaPrefix); ok {
			out.quotas = append(out.quotas, quota{team, max(1, set.Value)})
			continue
		}
		assign(&out, set.Key, set.Value)
	}
	for _, kind := range widestFirst {
		for _, e := range s.Exceptions {
			if e.Kind == kind && e.Name != "" && e.Name == l.nameFor(kind) {
				assign(&out, e.Key, e.Value)
			}
		}
	}
	out.Drain = out.drainValue != 0
	return out
}

// assign sets the field of a key to a value, clamped to the allowed range. Unknown keys are
// ignored.
func assign(out *Settings, k Key, v int64) {
	d, ok := LookupDefinition(k)
	if !ok || d.field == nil {
		return
	}
	*d.field(out) = min(max(v, d.Min), d.Max)
}

// Quotas returns the quotas of the teams that have one of their own, by team.
func (s *Settings) Quotas() map[string]int {
	out := make(map[string]int, len(s.quotas))
	for _, q := range s.quotas {
		out[q.team] = int(q.limit)
	}
	return out
}

// Quota returns how many tasks of a team may run concurrently; 0 means no limit.
func (s *Settings) Quota(team string) int64 {
	i, found := slices.BinarySearchFunc(s.quotas, team, func(q quota, t string) int {
		return strings.Compare(q.team, t)
	})
	if !found {
		return s.DefaultQuota
	}
	return s.quotas[i].limit
}
