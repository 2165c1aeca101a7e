// Package membership decides which entries an agent knows, reads from the store and keeps sessions
// with, and which entries an entry names to its agents.
//
// It answers the load of a large fleet that starts, restarts in turn, or comes back from a loss of
// power. Each of those moments multiplies entries by agents wherever every agent hears of every
// entry: in reads of the store that each new record ends, in lists of all entries that each session
// begins with, and in sessions of all agents with the few entries that the settings name.
//
//   - The store's list of entries is split by data centre. An agent reads the list of its own data
//     centre, and those of others only until it knows as many entries as it keeps sessions with and
//     one outside.
//   - The list of a large data centre is split into shards of some tens of records, of which an agent
//     reads the one that its own name selects.
//   - An entry names only the entries that an agent would select, and tells it of a new one only if
//     the agent prefers that one to the entry itself. Whoever displaces an entry is so announced by
//     the entry that it displaces.
//   - The addresses in the settings are tried one at a time, and only while no entry is known
//     otherwise.
//   - An entry with as many agents as its host can serve turns away further ones, and names others.
//
// The package has no network, clock and goroutine; callers pass in the time.
package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/camphorrack/camphorrack/internal/scheduler/subset"
)

const (
	// AgentSessions is the number of entries with which an agent keeps sessions. Each session costs
	// both ends heartbeats and load reports. With few sessions, an entry would know too few targets
	// to spread a wide job over.
	AgentSessions = 12
	// MaxNames is the number of entries that an entry names to an agent which connects: those that
	// it selects, and some in place of those that it can't reach.
	MaxNames = AgentSessions + 4
	// sessionsPerCore is the number of sessions that an entry with one core serves. Each costs it at
	// least seven frames a second in both directions.
	sessionsPerCore = 1400
	// minSessionLimit is the least limit of sessions: those of a data centre with a few entries.
	minSessionLimit = 100
)

// SessionLimit returns the number of agents that an entry serves whose host has so many cores; 0:
// unknown.
func SessionLimit(cores float64) int {
	if cores <= 0 {
		return sessionsPerCore
	}
	return max(minSessionLimit, int(cores*sessionsPerCore))
}

// Peer is an entry: its address and its data centre, which is empty until it is known.
type Peer struct {
	Addr, DataCentre string
}

func (p Peer) candidate() subset.Candidate {
	return subset.Candidate{Addr: p.Addr, DataCentre: p.DataCentre}
}

// rankDataCentres returns the data centres in the order in which a host reads their lists: its own
// first, the others by a hash, so that each is read outside by its share of the fleet, and last
// CommonList.
func rankDataCentres(host, own string, all []string) []string {
	ranked := slices.Clone(all)
	if !slices.Contains(ranked, own) {
		ranked = append(ranked, own)
	}
	hash := func(dataCentre string) uint64 { return xxhash.Sum64String(host + "\x00" + dataCentre) }
	slices.SortFunc(ranked, func(a, b string) int {
		if (a == own) != (b == own) {
			if a == own {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(hash(a), hash(b)), cmp.Compare(a, b))
	})
	return append(slices.Compact(ranked), CommonList)
}
