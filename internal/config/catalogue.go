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

// ScopeKind is the kind of thing an exception is about.
type ScopeKind string

// Kinds of scope. The narrowest one that fits wins: entry or target before rack
// before data centre.
const (
	ScopeDataCentre ScopeKind = "data_centre"
	ScopeRack       ScopeKind = "rack"
	ScopeEntry      ScopeKind = "entry"
	ScopeTarget     ScopeKind = "target"
)

// Definition describes a setting to operators and to the code that checks it.
type Definition struct {
	Key         Key
	Unit        string
	Default     int64
	Min, Max    int64
	Scopes      []ScopeKind // where an exception may change it; none: fleet-wide only
	Description string
	field       func(*Settings) *int64
}

// Settings is what a configuration means to a process: every value resolved.
type Settings struct {
	MaxJobs                int64 // ids an entry holds, below its own -max-jobs
	SoftQueueMs            int64 // queue from which teams above their share are turned away
	HardQueueMs            int64 // queue from which everything is turned away
	OvertakeFactorPercent  int64 // of the expected wait that a job must stand before its deadline
	MaxDeadlineMs          int64 // farthest deadline a caller may ask for, below -max-timeout
	BrokenFailurePercent   int64 // failure rate that a broken target is taken to have
	InitialTrialIntervalMs int64 // wait before a broken target's first trial task
	MaxTrialIntervalMs     int64 // longest wait between its trial tasks
	DefaultQuota           int64 // tasks of one team that may run at a time; 0 means no limit
	Drain                  bool  // takes no new work
	drain                  int64
	quotas                 []quota
}

type quota struct {
	team  string
	limit int64
}

// Catalogue lists every setting but the teams' quotas, in order of its key. Each
// takes effect on a running process; what can't is a flag and no setting here.
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
		"1: gets no new work and finishes what it has", func(s *Settings) *int64 { return &s.drain }},
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

// LookupDefinition returns the definition of a key, also of a team's quota.
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

// Location names a process or a target for the resolution of exceptions. Empty
// parts fit no exception.
type Location struct {
	DataCentre, Rack, Entry, Target string
}

func (w Location) names(kind ScopeKind) string {
	switch kind {
	case ScopeDataCentre:
		return w.DataCentre
	case ScopeRack:
		return w.Rack
	case ScopeEntry:
		return w.Entry
	case ScopeTarget:
		return w.Target
	}
	return ""
}

// widestFirst is the order in which exceptions are laid over each other.
var widestFirst = []ScopeKind{ScopeDataCentre, ScopeRack, ScopeEntry, ScopeTarget}

// Resolve returns the settings in force at one place. Keys of a newer program
// are skipped and values out of range are brought to the nearest bound: a process
// must go on with what it can use, and all processes carry the same state on.
func (s *State) Resolve(w Location) Settings {
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
			if e.Kind == kind && e.Name != "" && e.Name == w.names(kind) {
				assign(&out, e.Key, e.Value)
			}
		}
	}
	out.Drain = out.drain != 0
	return out
}

func assign(out *Settings, k Key, v int64) {
	d, ok := LookupDefinition(k)
	if !ok || d.field == nil {
		return
	}
	*d.field(out) = min(max(v, d.Min), d.Max)
}

// Quotas returns the teams' own quotas.
func (s *Settings) Quotas() map[string]int {
	out := make(map[string]int, len(s.quotas))
	for _, q := range s.quotas {
		out[q.team] = int(q.limit)
	}
	return out
}

// Quota returns how many tasks of a team may run at a time; 0 means no limit.
func (s *Settings) Quota(team string) int64 {
	i, found := slices.BinarySearchFunc(s.quotas, team, func(q quota, t string) int {
		return strings.Compare(q.team, t)
	})
	if !found {
		return s.DefaultQuota
	}
	return s.quotas[i].limit
}
