// Package agent is the daemon beside a target. It accepts the target's announcements, dials
// the selected entries among those it knows, runs tasks on the target and reports their
// outcomes.
//
// The control state (internal/attempt and the tables beside it) belongs to one goroutine.
// Connections, calls to the target and HTTP requests run on other goroutines and send it
// commands through a channel.
package agent

import (
	"slices"
	"time"

	"github.com/camphorrack/camphorrack/internal/attempt"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/logging"
	"github.com/camphorrack/camphorrack/internal/scheduler/subset"
	"github.com/camphorrack/camphorrack/internal/settings"
)

// Program is the daemon's name in usage, logs and errors.
const Program = "camphorrack-agent"

// Options are the daemon's settings. Their flags are defined in Define.
type Options struct {
	Listen        string
	Worker        string // name of the worker the agent runs on
	DataCentre    string
	Rack          string
	Entries       string // initial addresses of entries, as ip:port, comma separated
	MaxEntries    int
	EntrySessions int // 0 means subset.DefaultSessions
	Policy        string
	Processors    int
	LogLevel      int
	CrashOnBreach bool
	DrainTimeout  time.Duration
}

// defaultProcessors keeps the agent small on a host with many cores. If the runtime used all
// of them, each short step would wake an idle core, which costs more than the step and
// disturbs the target.
const defaultProcessors = 2

// Define adds the daemon's flags to a set and returns the options that s.Load fills.
func Define(s *settings.Set) *Options {
	o := &Options{}
	s.StringVar(&o.Listen, "listen", "127.0.0.1:7500", "address for the target's announcements and for operators")
	s.StringVar(&o.Worker, "worker", "", "name of the worker that the target runs on")
	s.StringVar(&o.DataCentre, "data-centre", "", "name of the worker's data centre")
	s.StringVar(&o.Rack, "rack", "", "name of the worker's rack")
	s.StringVar(&o.Entries, "entries", "", "addresses of entries, comma separated; more are learned from them")
	s.IntVar(&o.MaxEntries, "max-entries", 64, "most entries to know")
	s.IntVar(&o.EntrySessions, "entry-sessions", subset.DefaultSessions, "entries to keep sessions with, of those that are known")
	s.StringVar(&o.Policy, "policy", string(attempt.Grants), "grants: owners start tasks against granted slots; push: they send at will")
	s.IntVar(&o.Processors, "processors", defaultProcessors, "most processors the agent runs on at a time")
	s.IntVar(&o.LogLevel, "log-level", logging.LevelInfo, "0: events, 1: every decision, 2: debugging")
	s.BoolVar(&o.CrashOnBreach, "crash-on-breach", false, "end the process when an invariant is broken")
	s.DurationVar(&o.DrainTimeout, "drain-timeout", time.Minute, "longest graceful shutdown")
	o.addChecks(s)
	return o
}

// addChecks registers the validation of the flags.
func (o *Options) addChecks(s *settings.Set) {
	s.AddCheck("listen", func() string { return settings.CheckAddr(o.Listen) })
	s.AddCheck("worker", func() string {
		return settings.MessageIf(o.Worker == "" || len(o.Worker) > job.MaxNameBytes, "takes 1 to 64 bytes")
	})
	s.AddCheck("entries", func() string {
		for _, addr := range o.entries() {
			if wrong := settings.CheckAddr(addr); wrong != "" {
				return wrong
			}
		}
		return settings.MessageIf(len(o.entries()) == 0, "takes at least one address")
	})
	s.AddCheck("max-entries", func() string {
		return settings.MessageIf(o.MaxEntries < len(o.entries()), "takes at least the number of -entries")
	})
	s.AddCheck("entry-sessions", func() string { return settings.MessageIf(o.EntrySessions < 1, "takes 1 or more") })
	s.AddCheck("policy", func() string {
		policies := []attempt.Policy{attempt.Grants, attempt.Push}
		return settings.MessageIf(!slices.Contains(policies, attempt.Policy(o.Policy)), "takes grants or push")
	})
	s.AddCheck("processors", func() string { return settings.MessageIf(o.Processors < 1, "takes 1 or more") })
	s.AddCheck("log-level", func() string { return settings.MessageIf(o.LogLevel < 0 || o.LogLevel > 2, "takes 0, 1 or 2") })
	s.AddCheck("drain-timeout", func() string { return settings.MessageIf(o.DrainTimeout <= 0, "takes more than 0") })
}

func (o *Options) entrySessions() int {
	if o.EntrySessions == 0 {
		return subset.DefaultSessions
	}
	return o.EntrySessions
}

func (o *Options) entries() []string { return settings.SplitList(o.Entries) }
