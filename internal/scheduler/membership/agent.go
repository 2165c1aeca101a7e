package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/elliotchance/orderedmap/v3"

	"github.com/camphorrack/camphorrack/internal/scheduler/subset"
)

const (
	// initialLists is the number of lists that an agent reads from the start: that of its data centre,
	// and one more for a session outside.
	initialLists = 2
	// maxUnrecorded is the number of addresses that an agent keeps although no record names them and
	// it has not selected them. Entries name MaxNames each.
	maxUnrecorded = 8 * MaxNames
	// minFullTime and maxFullTime bound how long an agent selects others in place of an entry that
	// has turned it away. The time doubles while the entry stays full.
	minFullTime = 5 * time.Second
	maxFullTime = time.Minute
)

// Entry is an entry that an agent knows.
type Entry struct {
	Peer
	Down     bool // it has been unreachable for so long that another one replaces it
	Selected bool // a session with it is to be kept
	Reached  bool // a session with it was opened, and it was not Down since

	records   int       // hosts whose record names it
	fullUntil time.Time // it has too many agents until then
	fullTime  time.Duration
}

// Recorded reports whether a record in the store names the entry.
func (e *Entry) Recorded() bool { return e.records > 0 }

// Agent is what an agent knows of the entries. It is not safe for concurrent use.
type Agent struct {
	host, dataCentre string
	entries          *orderedmap.OrderedMap[string, *Entry] // by address
	records          map[Shard]map[string]string            // addresses by host, as in the shards that are followed
	depths           map[string]int                         // of the lists, by data centre
	ranked           []string                               // data centres in the order of their reading
	seeds            []string                               // addresses of the settings that are not tried yet
}

// NewAgent returns the state of the agent on a host that knows no entry yet. dataCentres are those of
// the whole deployment, as far as they are known.
func NewAgent(host, dataCentre string, dataCentres []string) *Agent {
	return &Agent{
		host: host, dataCentre: dataCentre, ranked: rankDataCentres(host, dataCentre, dataCentres), records: map[Shard]map[string]string{}, depths: map[string]int{},
		entries: orderedmap.NewOrderedMap[string, *Entry](),
	}
}

// Entry returns the entry at an address, or nil.
func (a *Agent) Entry(addr string) *Entry {
	e, _ := a.entries.Get(addr)
	return e
}

// Entries returns all known entries, in the order in which they became known.
func (a *Agent) Entries() []*Entry {
	all := make([]*Entry, 0, a.entries.Len())
	for e := range a.entries.Values() {
		all = append(all, e)
	}
	return all
}

// Len returns the number of known entries.
func (a *Agent) Len() int { return a.entries.Len() }

// Learn adds an entry that an entry or the settings have named, or sets its data centre. It reports
// whether anything has changed. To make room it may drop the entry that was named the longest time
// ago and that no record names; Learn returns its address, or "".
func (a *Agent) Learn(p Peer) (changed bool, dropped string) {
	e := a.Entry(p.Addr)
	switch {
	case p.Addr == "":
		return false, ""
	case e == nil:
		dropped = a.makeRoom()
		a.entries.Set(p.Addr, &Entry{Peer: p})
		return true, dropped
	case p.DataCentre == "" || e.DataCentre == p.DataCentre:
		return false, ""
	}
	e.DataCentre = p.DataCentre
	return true, ""
}

// makeRoom drops the oldest entry that no record names and that is not selected, if there are too
// many such, and returns its address.
func (a *Agent) makeRoom() (dropped string) {
	unrecorded := 0
	oldest := ""
	for addr, e := range a.entries.AllFromFront() {
		if e.Recorded() || e.Selected {
			continue
		}
		if unrecorded == 0 {
			oldest = addr
		}
		unrecorded++
	}
	if unrecorded < maxUnrecorded {
		return ""
	}
	a.entries.Delete(oldest)
	return oldest
}

// SetRecord sets the entry in the record of a host in a shard; an empty address means that the record was
// deleted. It returns the host's previous address if it is dropped, because another host may get it. The
// entry of a deleted record is kept while it is selected: an entry deletes its record when it moves to
// another shard.
func (a *Agent) SetRecord(shard Shard, host string, p Peer) (changed bool, dropped string) {
	addrs := a.records[shard]
	if addrs == nil {
		addrs = map[string]string{}
		a.records[shard] = addrs
	}
	previous := addrs[host]
	if previous == p.Addr {
		changed, _ = a.Learn(p)
		return changed, ""
	}
	if p.Addr == "" {
		delete(addrs, host)
	} else {
		addrs[host] = p.Addr
		changed, _ = a.Learn(p)
		a.Entry(p.Addr).records++
	}
	e := a.Entry(previous)
	if e == nil {
		return changed, ""
	}
	e.records--
	if e.Recorded() || p.Addr == "" && e.Selected {
		return changed, ""
	}
	a.entries.Delete(previous)
	return true, previous
}

// Hosts returns the hosts with a record in a shard that is followed.
func (a *Agent) Hosts(shard Shard) []string { return slices.Sorted(maps.Keys(a.records[shard])) }

// HostRecord is the record of a host in a shard.
type HostRecord struct {
	Shard Shard
	Host  string
}

// Records returns the records that name an entry, in the shards that are followed.
func (a *Agent) Records(addr string) []HostRecord {
	var records []HostRecord
	for shard, addrs := range a.records {
		for host, named := range addrs {
			if named == addr {
				records = append(records, HostRecord{shard, host})
			}
		}
	}
	return records
}

// DropShard removes the records of a shard that is not followed any more. Their entries stay known, like
// those that other entries have named.
func (a *Agent) DropShard(shard Shard) {
	for _, addr := range a.records[shard] {
		if e := a.Entry(addr); e != nil {
			e.records--
		}
	}
	delete(a.records, shard)
}

// Remove removes an entry.
func (a *Agent) Remove(addr string) { a.entries.Delete(addr) }

// SetFull records that an entry has turned the agent away because it has too many, and returns how
// long others are selected in its place.
func (a *Agent) SetFull(now time.Time, addr string) time.Duration {
	e := a.Entry(addr)
	if e == nil {
		return minFullTime
	}
	e.fullTime = min(max(2*e.fullTime, minFullTime), maxFullTime)
	e.fullUntil = now.Add(e.fullTime)
	return e.fullTime
}

// SetOpen records that a session with an entry has opened.
func (a *Agent) SetOpen(addr string) {
	if e := a.Entry(addr); e != nil {
		e.fullTime, e.fullUntil = 0, time.Time{}
		e.Reached, e.Down = true, false
	}
}

// SetDown records that an entry has been unreachable for so long that another one replaces it.
func (a *Agent) SetDown(addr string) {
	if e := a.Entry(addr); e != nil {
		e.Reached, e.Down = false, true
	}
}

// Select selects the entries to keep sessions with. Unreachable and full ones are left out, unless
// fewer than AgentSessions are left: after a power failure all entries return together.
func (a *Agent) Select(now time.Time) {
	usable := 0
	for e := range a.entries.Values() {
		e.Selected = false
		if !e.Down && !now.Before(e.fullUntil) {
			usable++
		}
	}
	candidates := make([]subset.Candidate, 0, a.entries.Len())
	for e := range a.entries.Values() {
		c := e.candidate()
		c.Unlisted = !e.Recorded()
		c.Down = now.Before(e.fullUntil) || e.Down && usable >= AgentSessions
		candidates = append(candidates, c)
	}
	for _, addr := range subset.Choose(a.host, a.dataCentre, candidates, AgentSessions) {
		a.Entry(addr).Selected = true
	}
}

// Named returns the selected entries that are named to other entries: those in a list, and those that the
// agent has reached itself. An address that was only heard of is not passed on, or that of an entry that is
// gone would be passed on for ever.
func (a *Agent) Named() []Peer {
	return a.selected(func(e *Entry) bool { return !e.Down && (e.Recorded() || e.Reached) })
}

// Selected returns the selected entries.
func (a *Agent) Selected() []Peer { return a.selected(func(*Entry) bool { return true }) }

func (a *Agent) selected(include func(*Entry) bool) []Peer {
	var peers []Peer
	for e := range a.entries.Values() {
		if e.Selected && include(e) {
			peers = append(peers, e.Peer)
		}
	}
	return peers
}

// SetDepth sets the depth of the list of a data centre.
func (a *Agent) SetDepth(dataCentre string, depth int) { a.depths[dataCentre] = depth }

// Shards returns the shards of a data centre's list that are to be followed, in the order of their reading:
// that of the agent's host, and those of lower depths while the ones before, which read reports as read,
// hold too few entries.
func (a *Agent) Shards(dataCentre string, read func(Shard) bool) []Shard {
	shards := ShardsOf(dataCentre, a.host, a.depths[dataCentre])
	found := 0
	for i, s := range shards {
		for _, addr := range a.records[s] {
			if a.Entry(addr).DataCentre == dataCentre { // lists may share a partition
				found++
			}
		}
		if !read(s) || found >= minShardEntries {
			return shards[:i+1]
		}
	}
	return shards
}

// Lists returns the data centres whose lists are to be followed, in the order of their reading, when
// the first lists of them were read: the agent's own first, and others while the entries in those before
// them do not fill its sessions, or none of them is outside. Lists that are not read yet count as long
// as the mean of those that are, so that a fleet with few entries a data centre is found in two steps.
func (a *Agent) Lists(read int) []string {
	recorded := map[string]int{}
	for e := range a.entries.Values() {
		if e.Recorded() {
			recorded[e.DataCentre]++
		}
	}
	sum := 0
	for i, dataCentre := range a.ranked[:min(read, len(a.ranked))] {
		sum += recorded[dataCentre]
		outside := sum > recorded[a.dataCentre] || len(a.ranked) == 2 // its own and CommonList
		if outside && sum >= AgentSessions {
			return a.ranked[:i+1]
		}
	}
	further := min(initialLists, len(a.ranked)-1) // CommonList only after the others
	if read >= further {
		further = read + 1
		if sum > 0 {
			further = max(further, (AgentSessions*read+sum-1)/sum)
		}
	}
	return a.ranked[:min(further, len(a.ranked))]
}

// SetSeeds sets the addresses in the settings that may be those of entries. They are tried in an
// order that differs between hosts.
func (a *Agent) SetSeeds(addrs []string) {
	candidates := make([]subset.Candidate, len(addrs))
	for i, addr := range addrs {
		candidates[i] = subset.Candidate{Addr: addr}
	}
	a.seeds = subset.Choose(a.host, "", candidates, len(addrs))
}

// NextSeed returns the address in the settings to try next. ok is false if there is none left.
func (a *Agent) NextSeed() (addr string, ok bool) {
	if len(a.seeds) == 0 {
		return "", false
	}
	addr, a.seeds = a.seeds[0], a.seeds[1:]
	return addr, true
}
