package membership

import (
	"time"

	"github.com/elliotchance/orderedmap/v3"

	"github.com/camphorrack/camphorrack/internal/scheduler/subset"
)

// Source is who has named entries to an entry: an agent, by the number of its session, or the store.
type Source uint64

// FromStore is the source of the records that the entry has read from the store.
const FromStore Source = 0

// unnamedTTL is how long an entry stays known that nobody names any more. An entry that has lost all
// its agents hands its submissions over to others.
const unnamedTTL = time.Minute

// Directory is what an entry knows of the others: the entries that the store and its connected agents
// name, each for as long as one of them does and unnamedTTL longer. So its size follows the agents of
// the entry, and addresses of hosts that are gone leave it. It is not safe for concurrent use.
type Directory struct {
	own      Peer
	entries  *orderedmap.OrderedMap[string, *listed] // by address
	bySource map[Source][]string
	unnamed  []*listed // without sources, by unnamedAt
	added    []Peer
	removed  []string
}

// listed is an entry with the number of sources that name it, and when it was last left without one.
type listed struct {
	Peer
	sources   int
	unnamedAt time.Time
}

// NewDirectory returns an empty directory of the entry own.
func NewDirectory(own Peer) *Directory {
	return &Directory{own: own, entries: orderedmap.NewOrderedMap[string, *listed](), bySource: map[Source][]string{}}
}

// Name adds entries that a source names. At most MaxNames of an agent are taken at a time, and of all
// that it has named the newest MaxNames count.
func (d *Directory) Name(now time.Time, source Source, peers []Peer) {
	if source != FromStore {
		peers = peers[:min(len(peers), MaxNames)]
	}
	for _, p := range peers {
		if p.Addr == "" || p.Addr == d.own.Addr {
			continue
		}
		if named := d.bySource[source]; source != FromStore && len(named) >= MaxNames {
			d.release(now, named[0])
			d.bySource[source] = named[1:]
		}
		d.bySource[source] = append(d.bySource[source], p.Addr)
		e, known := d.entries.Get(p.Addr)
		if !known {
			e = &listed{Peer: p}
			d.entries.Set(p.Addr, e)
		}
		e.sources++
		if !known || p.DataCentre != "" && e.DataCentre != p.DataCentre {
			e.Peer = p
			d.added = append(d.added, p)
		}
	}
}

// Replace sets the entries that a source names.
func (d *Directory) Replace(now time.Time, source Source, peers []Peer) {
	d.Forget(now, source)
	d.Name(now, source, peers)
}

// Forget records that a source names nothing any more, at the end of its session.
func (d *Directory) Forget(now time.Time, source Source) {
	for _, addr := range d.bySource[source] {
		d.release(now, addr)
	}
	delete(d.bySource, source)
}

// release records that one source less names an entry.
func (d *Directory) release(now time.Time, addr string) {
	e, _ := d.entries.Get(addr)
	if e.sources--; e.sources == 0 {
		e.unnamedAt = now
		d.unnamed = append(d.unnamed, e)
	}
}

// Expire removes the entries that nobody has named for unnamedTTL.
func (d *Directory) Expire(now time.Time) {
	for len(d.unnamed) > 0 && now.Sub(d.unnamed[0].unnamedAt) >= unnamedTTL {
		e := d.unnamed[0]
		d.unnamed = d.unnamed[1:]
		if e.sources == 0 && d.entries.Delete(e.Addr) {
			d.removed = append(d.removed, e.Addr)
		}
	}
}

// Len returns the number of known entries.
func (d *Directory) Len() int { return d.entries.Len() }

// TakeChanges returns the entries that have become known, or whose data centre has, and the addresses
// that are gone since the last call.
func (d *Directory) TakeChanges() (added []Peer, removed []string) {
	added, removed = d.added, d.removed
	d.added, d.removed = nil, nil
	return added, removed
}

// For returns the entries to name to the agent on a host: at most MaxNames that it would select.
func (d *Directory) For(host, dataCentre string) []Peer {
	candidates := make([]subset.Candidate, 0, d.entries.Len())
	for e := range d.entries.Values() {
		candidates = append(candidates, e.candidate())
	}
	var peers []Peer
	for _, addr := range subset.Choose(host, dataCentre, candidates, MaxNames) {
		e, _ := d.entries.Get(addr)
		peers = append(peers, e.Peer)
	}
	return peers
}

// Preferred returns those of the entries that the agent on a host prefers to this one; all of them
// while the fleet has fewer entries than an agent keeps sessions with.
func (d *Directory) Preferred(host, dataCentre string, peers []Peer) []Peer {
	var preferred []Peer
	for _, p := range peers {
		if d.entries.Len() < AgentSessions || subset.Prefers(host, dataCentre, p.candidate(), d.own.candidate()) {
			preferred = append(preferred, p)
		}
	}
	return preferred
}
