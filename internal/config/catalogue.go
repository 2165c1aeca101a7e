package config

import (
	"slices"
	"strings"
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
	Key      Key
	Unit     string
	Default  int64
	Min, Max int64
	Scopes   []ScopeKind // where an exception may change it; none: fleet-wide only
	Text     string
	field    func(*Settings) *int64
}

// Settings is what a configuration means to a process: every value resolved.
type Settings struct {
	DefaultQuota     int64 // tasks of one team that may run at a time; 0 means no limit
	MaxJobs          int64 // jobs an entry holds
	MaxWaiting       int64 // tasks that wait at an entry
	MaxWaitMs        int64 // expected wait from which an entry turns work away
	MaxDeadlineMs    int64 // farthest deadline a caller may ask for
	MinDeadlineMs    int64 // nearest deadline that is let in
	HealthWindow     int64 // attempts that a target's rating looks back on
	HealthFailing    int64 // percent of failures in the window from which a target is rated failing
	HealthStraggling int64 // percent of the fleet's speed below which a target is rated straggling
	HealthProbeMs    int64 // time until a failing target is tried again
	ResponseWeight   int64 // 0: only wasted messages count; 100: only response time counts
	Drain            bool  // takes no new work
	drain            int64
	quotas           []quota
}

type quota struct {
	team  string
	limit int64
}

// Catalogue lists every setting but the teams' quotas, in order of its key.
var Catalogue = []Definition{
	{"admission.max_jobs", "jobs", 50_000, 1, 10_000_000, []ScopeKind{ScopeEntry},
		"jobs an entry holds at a time; more are refused", func(s *Settings) *int64 { return &s.MaxJobs }},
	{"admission.max_wait_ms", "ms", 5_000, 10, 600_000, []ScopeKind{ScopeEntry},
		"expected wait from which an entry turns work away", func(s *Settings) *int64 { return &s.MaxWaitMs }},
	{"admission.max_waiting", "tasks", 200_000, 1, 10_000_000, []ScopeKind{ScopeEntry},
		"tasks that wait at an entry; more are refused", func(s *Settings) *int64 { return &s.MaxWaiting }},
	{"deadline.max_ms", "ms", 600_000, 1_000, 86_400_000, nil,
		"farthest deadline a caller may ask for", func(s *Settings) *int64 { return &s.MaxDeadlineMs }},
	{"deadline.min_ms", "ms", 1, 1, 60_000, nil,
		"nearest deadline that is let in", func(s *Settings) *int64 { return &s.MinDeadlineMs }},
	{"drain", "0 or 1", 0, 0, 1, []ScopeKind{ScopeDataCentre, ScopeRack, ScopeEntry, ScopeTarget},
		"1: takes no new work and finishes what it has", func(s *Settings) *int64 { return &s.drain }},
	{"health.failing_percent", "%", 50, 1, 100, []ScopeKind{ScopeTarget},
		"failures in the window from which a target is rated failing", func(s *Settings) *int64 { return &s.HealthFailing }},
	{"health.probe_ms", "ms", 2_000, 100, 600_000, []ScopeKind{ScopeTarget},
		"time until a failing target is tried again", func(s *Settings) *int64 { return &s.HealthProbeMs }},
	{"health.straggling_percent", "%", 30, 0, 100, []ScopeKind{ScopeTarget},
		"speed against its declared one below which a target is rated straggling", func(s *Settings) *int64 { return &s.HealthStraggling }},
	{"health.window", "attempts", 20, 4, 1_000, []ScopeKind{ScopeTarget},
		"attempts that a target's rating looks back on", func(s *Settings) *int64 { return &s.HealthWindow }},
	{"policy.response_weight", "0-100", 70, 0, 100, nil,
		"0: only wasted messages count; 100: only response time counts", func(s *Settings) *int64 { return &s.ResponseWeight }},
	{"quota.default", "tasks", 0, 0, 10_000_000, nil,
		"tasks of a team without a quota of its own that may run at a time; 0: no limit", func(s *Settings) *int64 { return &s.DefaultQuota }},
}

var teamQuota = Definition{Unit: "tasks", Min: 1, Max: 10_000_000, Text: "tasks of the team that may run at a time"}

// Define returns the definition of a key, also of a team's quota.
func Define(k Key) (Definition, bool) {
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

// Where names a process or a target for the resolution of exceptions. Empty
// parts fit no exception.
type Where struct {
	DataCentre, Rack, Entry, Target string
}

func (w Where) names(kind ScopeKind) string {
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
func (s *State) Resolve(w Where) Settings {
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
	d, ok := Define(k)
	if !ok || d.field == nil {
		return
	}
	*d.field(out) = min(max(v, d.Min), d.Max)
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
