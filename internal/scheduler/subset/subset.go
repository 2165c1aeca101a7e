// Package subset selects the entries with which an agent keeps sessions.
//
// Each idle session costs both ends processor time and heartbeats. If every agent were
// connected to every entry, the control work of an entry would grow with the fleet and
// exceed its budget long before the tasks do. A badly chosen subset gives some entries twice
// the agents of others, and the entries with few agents queue work while targets elsewhere
// are idle.
//
// The selection works as follows:
//   - Each agent ranks entries by a hash of its own name and theirs (rendezvous hashing).
//     Agents decide alone, without an agreed list, and the load is even. An entry that
//     leaves affects only its own agents, each of which moves to its next choice; an entry
//     that joins takes over only the agents that rank it high enough.
//   - Entries of the agent's data centre come first: their round trip is shorter, and a
//     region that is cut off from the others keeps working with the entries it reaches.
//   - Of the entries of a data centre, those in the lists that the agent follows come first. Where it
//     follows a part of a list, sessions would otherwise move whenever it hears of entries in others.
//   - One session goes to an entry outside, where there is one. If all were inside, the loss
//     of the few entries of the data centre would disconnect its workers until they had
//     found others.
package subset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// DefaultSessions is the number of entries with which an agent keeps sessions: three in its
// data centre and one outside. Two would survive a single loss, but an entry would then know
// so few targets that its queue waits while other targets are idle.
const DefaultSessions = 4

// Candidate is an entry that the agent knows.
type Candidate struct {
	Addr       string
	DataCentre string // empty until it is known
	Down       bool   // cannot be reached, or is shutting down
	Unlisted   bool   // others have named it, but it is not in the lists that the agent follows
}

// Choose returns the addresses of at most n entries with which the worker's agent keeps
// sessions, best first. Entries that are down are left out. The result depends only on the
// arguments, and not on the order of the entries.
func Choose(worker, dataCentre string, entries []Candidate, n int) []string {
	local, unknown, remote := groupByLocality(worker, dataCentre, entries)
	// An entry whose data centre is unknown comes before one that is known to be remote: it
	// may be local, and a session reveals its data centre.
	rest := append(unknown, remote...)
	if len(local)+len(rest) <= n {
		return append(local, rest...)
	}
	outside := 0
	if n > 1 && len(rest) > 0 {
		outside = 1
	}
	local = local[:min(len(local), n-outside)]
	free := n - len(local)
	if len(remote) > 0 && len(unknown) >= free && n > 1 {
		rest = append(unknown[:free-1:free-1], remote[0]) // all unknown entries may be local
	}
	return append(local, rest[:free]...)
}

// ranked is the address of an entry with its hash.
type ranked struct {
	addr     string
	score    uint64
	unlisted bool
}

// Prefers reports whether the worker's agent prefers the entry a to b.
func Prefers(worker, dataCentre string, a, b Candidate) bool {
	if aGroup, bGroup := locality(dataCentre, a), locality(dataCentre, b); aGroup != bGroup {
		return aGroup < bGroup
	}
	return compareRanked(rank(worker, a), rank(worker, b)) < 0
}

// locality returns the group of an entry: 0 for those of the data centre, 1 for those whose data centre
// is unknown, 2 for the others. To a worker without a data centre all entries are remote.
func locality(dataCentre string, e Candidate) int {
	switch {
	case dataCentre == "":
		return 2
	case e.DataCentre == "":
		return 1
	case e.DataCentre == dataCentre:
		return 0
	}
	return 2
}

// groupByLocality returns the addresses of the entries that are up, in three groups, each
// best first.
func groupByLocality(worker, dataCentre string, entries []Candidate) (local, unknown, remote []string) {
	var groups [3][]ranked
	for _, e := range entries {
		if e.Down {
			continue
		}
		group := locality(dataCentre, e)
		groups[group] = append(groups[group], rank(worker, e))
	}
	return rankedAddrs(groups[0]), rankedAddrs(groups[1]), rankedAddrs(groups[2])
}

func rank(worker string, e Candidate) ranked {
	return ranked{e.Addr, score(worker, e.Addr), e.Unlisted}
}

// rankedAddrs returns the addresses, best first.
func rankedAddrs(group []ranked) []string {
	slices.SortFunc(group, compareRanked)
	addrs := make([]string, len(group))
	for i, r := range group {
		addrs[i] = r.addr
	}
	return addrs
}

// compareRanked orders listed addresses before others, and then by descending hash.
func compareRanked(a, b ranked) int {
	if a.unlisted != b.unlisted {
		if b.unlisted {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.addr, b.addr))
}

// score is the rendezvous hash. The separator distinguishes "a"+"bc" from "ab"+"c".
func score(worker, addr string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(worker) // never fails
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(addr)
	return d.Sum64()
}
