package attempt

import (
	"slices"

	"github.com/camphorrack/camphorrack/internal/job"
)

// connector keeps, for each owner, the one connection that counts.
//
// A connection whose middle has lost track of it can still deliver, minutes
// later, a start that the owner has long given up or moved. Users would notice a
// task that ran twice. Only frames on the newest connection are obeyed, so an
// owner that has been welcomed anew and has asked about its attempts there knows
// that nothing older can still begin.
type connector struct {
	*board
	settler  settler
	reporter reporter
	keeper   keeper
	granter  granter
}

func (c connector) connect(conn ConnID, id job.Incarnation) {
	o := c.ownerFor(id)
	if conn <= o.newest {
		c.out.Close(conn)
		return
	}
	if o.conn != 0 {
		old := o.conn
		c.disconnect(old)
		c.out.Close(old)
	}
	o.conn, o.newest = conn, conn
	o.waiting = 0
	c.granter.up(o)
	o.sendTarget = true
	o.sendCredits = true
	c.conns[conn] = o
	c.connected = append(c.connected, o)
	for _, other := range c.connected {
		other.sendCredits = true // the number of owners changed
	}
	c.reporter.repeatFinal(o)
	c.history.add(c.now, stepConnect, Key{Owner: id}, int(conn))
}

func (c connector) disconnect(conn ConnID) {
	o := c.conns[conn]
	if o == nil {
		return
	}
	c.history.add(c.now, stepDisconnect, Key{Owner: o.incarnation}, o.credits.unspent())
	delete(c.conns, conn)
	c.connected = slices.DeleteFunc(c.connected, func(other *owner) bool { return other == o })
	for _, other := range c.connected {
		other.sendCredits = true
	}
	c.settler.dropWaiting(o)
	c.granter.down(o)
	o.conn = 0
	o.goneAt = c.now
	o.reports, o.sendCredits, o.recallNow, o.sendTarget = nil, false, 0, false
	// o.credits stays: a drain waits a little for an owner that may have spent them.
	c.keeper.trim()
}
