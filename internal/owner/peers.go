package owner

import (
	"net/netip"
	"time"

	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// maxPeers bounds how many entries are passed on: a few thin hosts exist.
const maxPeers = 64

// peer is another entry that was named to this one.
type peer struct {
	wire.Peer
	configured bool
	heard      time.Time // when it was last named
}

// peers are the other entries, in the order in which they were learned.
type peers struct{ known []*peer }

// list returns them as they are passed on.
func (p *peers) list() []wire.Peer {
	list := make([]wire.Peer, len(p.known))
	for i, known := range p.known {
		list[i] = known.Peer
	}
	return list
}

// hear notes an entry and reports whether that was news.
func (p *peers) hear(now time.Time, named wire.Peer, configured bool) bool {
	for _, known := range p.known {
		if known.Addr != named.Addr {
			continue
		}
		known.heard = now
		if named.DataCentre == "" || named.DataCentre == known.DataCentre {
			return false
		}
		known.DataCentre = named.DataCentre
		return true
	}
	added := &peer{Peer: named, configured: configured, heard: now}
	if len(p.known) < maxPeers {
		p.known = append(p.known, added)
		return true
	}
	return p.replaceOldest(added)
}

// replaceOldest puts an entry in the place of the one that was not named for the
// longest time. Entries' hosts are replaced all the time; without this, the
// addresses of those that are gone would fill the list, and a new entry would get
// agents only from those that are told of it by hand.
func (p *peers) replaceOldest(added *peer) bool {
	oldest := -1
	for i, known := range p.known {
		if !known.configured && (oldest < 0 || known.heard.Before(p.known[oldest].heard)) {
			oldest = i
		}
	}
	if oldest >= 0 {
		p.known[oldest] = added
	}
	return oldest >= 0
}

// configurePeers takes the entries from the settings.
func (c *Core) configurePeers(addrs []string) {
	for _, addr := range addrs {
		if addr != c.opts.Owner.Addr.String() {
			c.peers.hear(time.Time{}, wire.Peer{Addr: addr}, true)
		}
	}
}

// Peers returns the other entries that this one knows: from its settings, and as they were
// named to it. Some may be gone.
func (c *Core) Peers() []wire.Peer { return c.peers.list() }

// AddPeers takes the names of other entries that are up.
func (c *Core) AddPeers(now time.Time, named []wire.Peer) { c.learn(now, named) }

// learn adds entries that are up and tells the connected agents
// what is new. This is how entries and agents find each other behind the balancer
// without a list or a coordination service.
func (c *Core) learn(now time.Time, named []wire.Peer) {
	var news []wire.Peer
	for _, p := range named {
		if !wellFormed(p) || p.Addr == c.opts.Owner.Addr.String() || !c.peers.hear(now, p, false) {
			continue
		}
		news = append(news, p)
		event.Log(c.log, event.PeerLearned, "entry", p.Addr, "data_centre", p.DataCentre)
	}
	if len(news) == 0 {
		return
	}
	for _, a := range c.byConn {
		out := c.touch(a)
		out.Entries = append(out.Entries, news...)
	}
}

// wellFormed reports whether an entry can be passed on: what one broken agent names
// would else reach every agent and push real entries out of the list.
func wellFormed(p wire.Peer) bool {
	addr, err := netip.ParseAddrPort(p.Addr)
	return err == nil && addr.Port() != 0 && len(p.DataCentre) <= job.MaxNameBytes
}

// tellLeaving lets the connected agents look for other entries while this one
// still finishes what it has.
func (c *Core) tellLeaving() {
	for _, a := range c.byConn {
		c.touch(a).Leaving = true
	}
}
