package runner

import (
	"slices"
	"strings"

	"github.com/camphorrack/camphorrack/internal/scheduler/membership"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// This file has what the dialers learn of entries, from records and by name, and what they name to others.

// addPeers adds addresses that come from an entry.
func (d *dialers) addPeers(peers []wire.Peer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range peers {
		d.learn(membership.Peer(p))
	}
}

// learn adds an entry, or updates the data centre of a known one. The caller holds the lock.
func (d *dialers) learn(p membership.Peer) {
	isNew := d.known.Entry(p.Addr) == nil
	changed, dropped := d.known.Learn(p)
	d.handleChange(p, changed, isNew, dropped)
}

// updateRecord sets the entry in the record of a host's dispatcher in a shard; an empty address means
// that the record was deleted.
func (d *dialers) updateRecord(shard membership.Shard, host string, p membership.Peer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	isNew := p.Addr != "" && d.known.Entry(p.Addr) == nil
	changed, dropped := d.known.SetRecord(shard, host, p)
	d.handleChange(p, changed, isNew, dropped)
}

// retainRecords removes the records of a shard whose hosts are not in the list.
func (d *dialers) retainRecords(shard membership.Shard, hosts map[string]struct{}) {
	d.mu.Lock()
	recorded := d.known.Hosts(shard)
	d.mu.Unlock()
	for _, host := range recorded {
		if _, ok := hosts[host]; !ok {
			d.updateRecord(shard, host, membership.Peer{})
		}
	}
}

// setSeeds sets the addresses in the settings.
func (d *dialers) setSeeds(addrs []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.known.SetSeeds(addrs)
}

// dialNextSeed adds the next address of the settings, if there is one left.
func (d *dialers) dialNextSeed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if addr, ok := d.known.NextSeed(); ok {
		d.learn(membership.Peer{Addr: addr})
	}
}

// lists returns the data centres whose lists of entries are to be followed; see membership.Agent.Lists.
func (d *dialers) lists(read int) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.known.Lists(read)
}

// shards returns the shards of a data centre's list that are to be followed; see
// membership.Agent.Shards.
func (d *dialers) shards(dataCentre string, read func(membership.Shard) bool) []membership.Shard {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.known.Shards(dataCentre, read)
}

// setDepth sets the depth of the list of a data centre.
func (d *dialers) setDepth(dataCentre string, depth int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.known.SetDepth(dataCentre, depth)
}

// dropShard removes the records of a shard that is not followed any more.
func (d *dialers) dropShard(shard membership.Shard) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.known.DropShard(shard)
}

// helloNames returns the selected entries, to be named in the hello of a session with the entry at
// an address.
func (d *dialers) helloNames(addr string) []wire.Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	conn := d.conns[addr]
	if conn == nil {
		return nil
	}
	conn.named = d.namedPeers()
	return conn.named
}

// namedPeers returns the entries to be named to others, sorted by address. The caller holds the lock.
func (d *dialers) namedPeers() []wire.Peer {
	var peers []wire.Peer
	for _, p := range d.known.Named() {
		peers = append(peers, wire.Peer(p))
	}
	slices.SortFunc(peers, func(a, b wire.Peer) int { return strings.Compare(a.Addr, b.Addr) })
	return peers
}

// nameInstead names entries to the entry of an open session, in place of those that it was told last. An
// entry that starts first would otherwise not know the others, to which it hands submissions over, and
// would name those that are gone. The caller holds the lock of the dialers.
func (c *entryConn) nameInstead(peers []wire.Peer) {
	if c.name == nil || slices.Equal(peers, c.named) {
		return
	}
	c.named = peers
	c.name(peers)
}
