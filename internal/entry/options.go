// Package entry is the daemon that serves callers. It serves their HTTP API, owns the
// submissions whose ids carry its token, forwards the others to their owners, and serves the
// agents' connections.
//
// The control state (internal/owner) belongs to one goroutine; the goroutines of HTTP
// requests and of agents' connections send it commands through a channel.
package entry

import (
	"cmp"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/camphorrack/camphorrack/internal/config/follower"
	"github.com/camphorrack/camphorrack/internal/httpconn"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/logging"
	"github.com/camphorrack/camphorrack/internal/owner"
	"github.com/camphorrack/camphorrack/internal/platformlog"
	"github.com/camphorrack/camphorrack/internal/scheduler/connlimit"
	"github.com/camphorrack/camphorrack/internal/settings"
)

// Program is the daemon's name.
const Program = "camphorrack-entry"

// minKeyBytes is the minimum length of the key that signs tokens.
const minKeyBytes = 16

// Options are the daemon's settings.
type Options struct {
	Listen           string
	Advertise        string // "ip:port" in tokens; empty means the bound address
	DataCentre       string
	Entries          string // addresses of other entries, comma separated
	Key              string
	LogURL           string             // base URL of the platform's log; empty: configuration comes from agents alone
	OpenLog          platformlog.Opener // required with LogURL
	SnapshotInterval time.Duration      // longest time between snapshots of the configuration; at most half of the log's retention
	MaxTimeout       time.Duration
	MaxJobs          int
	BodyMemoryMB     int // bodies that are being received or decoded, in MB
	MaxConnections   int // open connections of callers; 0: a share of the process's file descriptors
	LogPlacements    int // one task placement in LogPlacements is logged; 0: none
	LogLevel         int
	Policy           string
	CrashOnBreach    bool
	// DrainTimeout bounds a graceful shutdown; 0 means MaxTimeout and drainSlack.
	DrainTimeout time.Duration
}

// minBodyMemoryMB has room for a body of the largest size, and for the buffer that it grows from.
const minBodyMemoryMB = 2 * job.MaxBodyBytes >> 20

// drainSlack is added to MaxTimeout, so that the caller of the longest job has time to fetch
// its answer.
const drainSlack = 5 * time.Second

// Define registers the daemon's settings in a set and returns the options that loading the
// set fills in.
func Define(s *settings.Set) *Options {
	o := &Options{}
	s.StringVar(&o.Listen, "listen", "127.0.0.1:7400", "address for callers, other entries and agents")
	s.StringVar(&o.Advertise, "advertise", "", "address by which others reach this entry, ip:port (default: the bound address)")
	s.StringVar(&o.DataCentre, "data-centre", "", "name of the data centre")
	s.StringVar(&o.Entries, "entries", "", "addresses of other entries, to tell agents about and to make itself known to, comma separated")
	key := s.Secret("key", "secret of the fleet that signs tokens, at least 16 bytes")
	s.StringVar(&o.LogURL, "log", "", "base URL of the platform's log, such as http://10.0.0.7:7000; without it, configuration comes from agents alone")
	s.DurationVar(&o.SnapshotInterval, "snapshot-every", follower.DefaultSnapshotInterval, "longest time between snapshots of the configuration; at most half of the log's retention")
	s.DurationVar(&o.MaxTimeout, "max-timeout", 10*time.Minute, "longest time from now to a submission's deadline")
	s.IntVar(&o.MaxJobs, "max-jobs", owner.DefaultMaxJobs, "most submission ids held")
	s.IntVar(&o.BodyMemoryMB, "body-memory-mb", 16, "memory for bodies that are being received or decoded, in MB")
	s.IntVar(&o.MaxConnections, "max-connections", 0, "most open connections of callers and peers without a session (default: half of the process's file descriptors)")
	s.IntVar(&o.LogPlacements, "log-placements", 1, "log one placement of a task in so many; 0: none")
	s.IntVar(&o.LogLevel, "log-level", logging.LevelInfo, "0: events, 1: reports and forwards too, 2: debugging")
	s.StringVar(&o.Policy, "policy", string(owner.PolicyLeastWork), "how tasks reach targets: "+policyNames())
	s.BoolVar(&o.CrashOnBreach, "crash-on-breach", false, "end the process when an invariant is broken")
	s.DurationVar(&o.DrainTimeout, "drain-timeout", 0, "longest graceful shutdown (default: max-timeout and 5s more)")
	o.addChecks(s, key)
	return o
}

func (o *Options) addChecks(s *settings.Set, key *string) {
	s.AddCheck("listen", func() string { return settings.CheckAddr(o.Listen) })
	s.AddCheck("advertise", o.checkAdvertise)
	s.AddCheck("entries", func() string {
		for _, addr := range o.entries() {
			if message := settings.CheckAddr(addr); message != "" {
				return message
			}
		}
		return ""
	})
	s.AddCheck("key", func() string {
		o.Key = *key
		return settings.MessageIf(len(o.Key) < minKeyBytes, "takes at least 16 bytes")
	})
	s.AddCheck("max-timeout", func() string {
		return settings.MessageIf(o.MaxTimeout < time.Second || o.MaxTimeout > 24*time.Hour, "takes 1s to 24h")
	})
	s.AddCheck("log", func() string { return checkLogURL(o.LogURL) })
	s.AddCheck("snapshot-every", func() string { return settings.MessageIf(o.SnapshotInterval < time.Second, "takes 1s or more") })
	s.AddCheck("max-jobs", func() string { return settings.MessageIf(o.MaxJobs < 1, "takes 1 or more") })
	s.AddCheck("body-memory-mb", func() string { return settings.MessageIf(o.BodyMemoryMB < minBodyMemoryMB, "takes 8 or more") })
	s.AddCheck("max-connections", func() string { return settings.MessageIf(o.MaxConnections < 0, "takes 0 or more") })
	s.AddCheck("log-placements", func() string { return settings.MessageIf(o.LogPlacements < 0, "takes 0 or more") })
	s.AddCheck("log-level", func() string { return settings.MessageIf(o.LogLevel < 0 || o.LogLevel > 2, "takes 0, 1 or 2") })
	s.AddCheck("policy", func() string {
		return settings.MessageIf(!slices.Contains(owner.Policies, owner.Policy(o.Policy)), "takes "+policyNames())
	})
	s.AddCheck("drain-timeout", func() string { return settings.MessageIf(o.DrainTimeout < 0, "takes 0 or more") })
}

func checkLogURL(base string) string {
	if base == "" {
		return ""
	}
	u, err := url.Parse(base)
	return settings.MessageIf(err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https", "takes a base URL")
}

// checkAdvertise rejects an address that others can't dial. Tokens carry the address, so with
// a wildcard every entry that forwards a request would send it to its own host.
func (o *Options) checkAdvertise() string {
	addr, prefix := o.Advertise, ""
	if addr == "" {
		addr, prefix = o.Listen, "needed, since -listen names no single address; "
	}
	parsed, err := netip.ParseAddrPort(addr)
	if o.Advertise == "" && settings.CheckAddr(o.Listen) != "" {
		return "" // reported for -listen
	}
	return settings.MessageIf(err != nil || parsed.Addr().IsUnspecified(), prefix+"takes ip:port with a single address")
}

func policyNames() string {
	names := make([]string, len(owner.Policies))
	for i, p := range owner.Policies {
		names[i] = string(p)
	}
	return strings.Join(names, ", ")
}

func (o *Options) entries() []string { return settings.SplitList(o.Entries) }

func (o *Options) key() job.Key { return job.Key(o.Key) }

// clientLimits returns the limits on what all clients hold together.
func (o *Options) clientLimits() connlimit.Limits {
	limits := connlimit.ForCallers(connlimit.Host{Descriptors: httpconn.DescriptorLimit()})
	limits.Bytes = int64(o.BodyMemoryMB) << 20
	limits.Conns = cmp.Or(o.MaxConnections, limits.Conns)
	return limits
}

func (o *Options) drainTimeout() time.Duration {
	if o.DrainTimeout == 0 {
		return o.MaxTimeout + drainSlack
	}
	return o.DrainTimeout
}
