// Package subset decides which entries an agent keeps sessions with.
//
// The pattern of load: each idle session costs both ends processor time and a
// heartbeat. With every agent connected to every entry, an entry's control work
// grows with the fleet and breaks its budget long before tasks do; and a subset
// that is drawn badly gives some entries twice the agents of others, which then
// queue work while targets elsewhere stand idle.
//
// Why this works:
//   - Each agent ranks entries by a hash of its own name and theirs (rendezvous
//     hashing). Agents decide alone, without a list that all agree on, and
//     loads come out even. An entry that leaves moves only its own agents, each
//     to its next choice; one that joins takes only what ranks it high enough.
//   - Entries of the agent's data centre come first: their round trip is shorter,
//     and a region that is cut off goes on with what it reaches.
//   - One session goes outside, where there is an entry outside. Were all inside,
//     the loss of the data centre's few entries would strand its workers until
//     they had found others.
package subset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// DefaultSessions is how many entries an agent keeps sessions with: those of a
// data centre of three, and one outside. Two would do against a single loss, but
// then an entry sees so few targets that its queue waits while others are idle.
const DefaultSessions = 4

// Candidate is an entry as the agent knows it.
type Candidate struct {
	Addr       string
	DataCentre string // empty until an entry has told it
	Down       bool   // can't be reached, or is leaving
}

// Choose returns the addresses of at most n entries that the worker's agent keeps
// sessions with, best first. Entries that are down are left out. The result
// depends on nothing but the arguments, and not on the order of entries.
func Choose(worker, dataCentre string, entries []Candidate, n int) []string {
	home, unknown, away := split(worker, dataCentre, entries)
	// An entry whose data centre is not known comes before one that is known to be
	// outside: it may be at home, and the session tells.
	rest := append(unknown, away...)
	if len(home)+len(rest) <= n {
		return append(home, rest...)
	}
	outside := 0
	if n > 1 && len(rest) > 0 {
		outside = 1
	}
	home = home[:min(len(home), n-outside)]
	free := n - len(home)
	if len(away) > 0 && len(unknown) >= free && n > 1 {
		rest = append(unknown[:free-1:free-1], away[0]) // the unknown may all be at home
	}
	return append(home, rest[:free]...)
}

// ranked is an entry's address with its hash.
type ranked struct {
	addr  string
	score uint64
}

// split returns the addresses of the entries that are up, each group best first.
// For a worker of no data centre no entry is at home.
func split(worker, dataCentre string, entries []Candidate) (home, unknown, away []string) {
	var groups [3][]ranked
	for _, e := range entries {
		if e.Down {
			continue
		}
		group := 2
		switch {
		case dataCentre == "":
		case e.DataCentre == "":
			group = 1
		case e.DataCentre == dataCentre:
			group = 0
		}
		groups[group] = append(groups[group], ranked{e.Addr, score(worker, e.Addr)})
	}
	return order(groups[0]), order(groups[1]), order(groups[2])
}

func order(group []ranked) []string {
	slices.SortFunc(group, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.addr, b.addr))
	})
	addrs := make([]string, len(group))
	for i, r := range group {
		addrs[i] = r.addr
	}
	return addrs
}

// score is the rendezvous hash. The separator keeps "a"+"bc" and "ab"+"c" apart.
func score(worker, addr string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(worker) // never fails
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(addr)
	return d.Sum64()
}
