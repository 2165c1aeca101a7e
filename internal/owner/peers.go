package owner

import (
	"net/netip"
	"time"

	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// maxPeers limits the entries that are passed on to agents. There are only a few thin hosts.
const maxPeers = 64

// peer is another entry that this one knows.
type peer struct {
	wire.Peer
	configured bool      // from the settings
	lastSeen   time.Time // when it was last reported to be up
}

// peers holds the other entries, in the order in which they became known.
type peers struct{ known []*peer }

// list returns the entries in the form in which they are passed on.
func (p *peers) list() []wire.Peer {
	list := make([]wire.Peer, len(p.known))
	for i, known := range p.known {
		list[i] = known.Peer
	}
	return list
}

// update adds an entry or refreshes a known one, and reports whether it is new or its data
// centre has changed. At maxPeers a new entry replaces an old one.
func (p *peers) update(now time.Time, reported wire.Peer, configured bool) bool {
	for _, known := range p.known {
		if known.Addr != reported.Addr {
			continue
		}
		known.lastSeen = now
		if reported.DataCentre == "" || reported.DataCentre == known.DataCentre {
			return false
		}
		known.DataCentre = reported.DataCentre
		return true
	}
	added := &peer{Peer: reported, configured: configured, lastSeen: now}
	if len(p.known) < maxPeers {
		p.known = append(p.known, added)
		return true
	}
	return p.replaceOldest(added)
}

// replaceOldest replaces the entry that has not been reported for the longest time, except
// for configured ones, and reports whether there was one to replace. The hosts of entries
// are replaced continually; without this, the addresses of removed ones would fill the list,
// and a new entry would only get connections from agents that are configured with its
// address.
func (p *peers) replaceOldest(added *peer) bool {
	oldest := -1
	for i, known := range p.known {
		if !known.configured && (oldest < 0 || known.lastSeen.Before(p.known[oldest].lastSeen)) {
			oldest = i
		}
	}
	if oldest >= 0 {
		p.known[oldest] = added
	}
	return oldest >= 0
}

// addConfiguredPeers adds the entries from the settings.
func (c *Core) addConfiguredPeers(addrs []string) {
	for _, addr := range addrs {
		if addr != c.options.Owner.Addr.String() {
			c.peers.update(time.Time{}, wire.Peer{Addr: addr}, true)
		}
	}
}

// Peers returns the other entries that this one knows, from its settings and from AddPeers
// and the agents. Some may no longer exist.
func (c *Core) Peers() []wire.Peer { return c.peers.list() }

// AddPeers adds other entries that are reported to be up.
func (c *Core) AddPeers(now time.Time, reported []wire.Peer) { c.addPeers(now, reported) }

// addPeers adds entries that are reported to be up and passes new ones on to the connected
// agents. This is how entries and agents discover each other behind the load balancer
// without a configured list or a coordination service.
func (c *Core) addPeers(now time.Time, reported []wire.Peer) {
	var added []wire.Peer
	for _, p := range reported {
		if !validPeer(p) || p.Addr == c.options.Owner.Addr.String() || !c.peers.update(now, p, false) {
			continue
		}
		added = append(added, p)
		event.Log(c.log, event.PeerLearned, "entry", p.Addr, "data_centre", p.DataCentre)
	}
	if len(added) == 0 {
		return
	}
	for _, a := range c.byConn {
		out := c.pendingFrame(a)
		out.Entries = append(out.Entries, added...)
	}
}

// validPeer reports whether an entry can be passed on. Without this check, invalid entries
// from one faulty agent would reach every agent and displace real entries from the list.
func validPeer(p wire.Peer) bool {
	addr, err := netip.ParseAddrPort(p.Addr)
	return err == nil && addr.Port() != 0 && len(p.DataCentre) <= job.MaxNameBytes
}

// announceLeaving notifies the connected agents that this entry is leaving, so that they connect
// to other entries while this one completes its jobs.
func (c *Core) announceLeaving() {
	for _, a := range c.byConn {
		c.pendingFrame(a).Leaving = true
	}
}
