package attempt

import (
	"slices"

	"github.com/camphorrack/camphorrack/internal/job"
)

// connector tracks the active connection of each owner, which is its newest one.
//
// A connection that a middlebox has lost track of can still deliver, minutes later, a
// start that the owner has since given up or moved, and the task would run twice. Frames
// on any other connection are therefore ignored: once an owner has completed the
// handshake on a new connection and queried its attempts there, no earlier start can
// begin any more.
type connector struct {
	*tableState
	settler   settler
	reporter  reporter
	retention retention
	granter   granter
}

func (c connector) connect(conn ConnID, id job.Incarnation) {
	o := c.ownerFor(id)
	if conn <= o.newestConn {
		c.out.Close(conn)
		return
	}
	if o.conn != 0 {
		old := o.conn
		c.disconnect(old)
		c.out.Close(old)
	}
	o.conn, o.newestConn = conn, conn
	o.waitingTasks = 0
	c.granter.addOwner(o)
	o.sendTarget = true
	o.sendCredits = true
	c.ownerByConn[conn] = o
	c.connected = append(c.connected, o)
	for _, other := range c.connected {
		other.sendCredits = true // each credit frame carries the number of owners
	}
	c.reporter.requeueUnacknowledged(o)
	c.history.add(c.now, opConnect, Key{Owner: id}, int(conn))
}

func (c connector) disconnect(conn ConnID) {
	o := c.ownerByConn[conn]
	if o == nil {
		return
	}
	c.history.add(c.now, opDisconnect, Key{Owner: o.incarnation}, o.credits.unspent())
	delete(c.ownerByConn, conn)
	c.connected = slices.DeleteFunc(c.connected, func(other *owner) bool { return other == o })
	for _, other := range c.connected {
		other.sendCredits = true
	}
	c.settler.rejectWaiting(o)
	c.granter.removeOwner(o)
	o.conn = 0
	o.disconnectedAt = c.now
	o.pendingReports, o.sendCredits, o.pendingRecall, o.sendTarget = nil, false, 0, false
	// o.credits stays: a drain waits for a while for an owner that may have spent them.
	c.retention.enforceRetainedBytes()
}
