// Package attempt implements the control state of an agent: the attempts it knows of
// each owner (an incarnation of an entry), which of them run, and how the target's free
// slots are granted. It has no network, clock or goroutine of its own; a single
// goroutine calls it and passes the current time.
//
// The state follows the blackboard pattern: small controllers read and write it in one
// struct, tableState. They are connector (the active connection of each owner), intake
// (new starts), settler (cancels, queries, acknowledgements), runner (slots), granter
// (credits), retention (reports for disconnected owners) and reporter (frames to
// owners).
package attempt

import (
	"time"

	"github.com/go-logr/logr"

	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// ConnID identifies one connection to an entry. Later connections have higher ids;
// zero means no connection.
type ConnID uint64

// Key identifies an attempt uniquely for all time: the incarnation of its owner and
// the number that the owner gave it.
type Key struct {
	Owner job.Incarnation
	Seq   uint64
}

// Outcome is the result of a call to the target.
type Outcome struct {
	State  wire.AttemptState // a final state
	Reason wire.Reason       // for NotRun
	Result []byte
	Detail string
	RunMs  float64 // time at the target
}

// Outbox carries out the table's effects outside the package. Its methods must not
// block or call the table.
type Outbox interface {
	Send(conn ConnID, f *wire.ToEntry)
	Close(conn ConnID)
	// Run calls the target; exactly one CompleteCall must follow.
	Run(k Key, s wire.Start)
	// Abort ends a running call early; its CompleteCall must still follow.
	Abort(k Key)
}

// Policy selects which side decides when an attempt begins.
type Policy string

// Policies. Under Grants, the production policy, owners start tasks only against
// credits. Push exists as a baseline for comparison: owners send starts at any time, and
// those without a free slot wait at the agent.
const (
	Grants Policy = "grants"
	Push   Policy = "push"
)

// Options configures a Table.
type Options struct {
	Incarnation job.Incarnation // of the agent, for the log
	Log         logr.Logger
	Outbox      Outbox
	Policy      Policy // empty means Grants
}

// Table is an agent's control state. It is not safe for concurrent use.
type Table struct {
	state *tableState

	connector connector
	intake    intake
	settler   settler
	runner    runner
	granter   granter
	retention retention
	reporter  reporter
}

// New returns an empty table, whose target is down until SetTarget is called.
func New(o Options) *Table {
	if o.Policy == "" {
		o.Policy = Grants
	}
	state := newTableState(o)
	reporter := reporter{state}
	retention := retention{state}
	granter := granter{state}
	runner := runner{tableState: state, reporter: reporter, retention: retention, granter: granter}
	settler := settler{tableState: state, reporter: reporter, runner: runner}
	return &Table{
		state:     state,
		connector: connector{tableState: state, settler: settler, reporter: reporter, retention: retention, granter: granter},
		intake:    intake{tableState: state, reporter: reporter, runner: runner, granter: granter},
		settler:   settler,
		runner:    runner,
		granter:   granter,
		retention: retention,
		reporter:  reporter,
	}
}

// Connect makes conn the active connection of the owner that sent w, and closes the one
// that it replaces. If conn is not the newest connection of the owner, it is closed
// instead.
func (t *Table) Connect(now time.Time, conn ConnID, w *wire.Welcome) {
	t.state.now = now
	t.connector.connect(conn, w.Incarnation)
}

// Disconnect records that conn is closed. The owner's unspent credits become void, and
// its attempts that have not begun will never begin.
func (t *Table) Disconnect(now time.Time, conn ConnID) {
	t.state.now = now
	t.connector.disconnect(conn)
}

// SetRetired stops granting credits on a connection and recalls the unspent ones, so
// that CanClose becomes true. With on false, it makes the connection eligible again.
func (t *Table) SetRetired(conn ConnID, on bool) {
	if o := t.state.ownerByConn[conn]; o != nil {
		t.state.allocator.SetRetired(uint64(o.incarnation), on)
	}
}

// CanClose reports whether the agent may close an active connection that was retired:
// the owner has no credit left to start a task on it, and every attempt has ended and
// its report is acknowledged. Closing it earlier could lose a start in transit, and its
// job would hang until its deadline. It is always false under Push, where starts in
// transit are not counted.
func (t *Table) CanClose(conn ConnID) bool {
	o := t.state.ownerByConn[conn]
	if o == nil || t.state.policy == Push || o.credits.unspent() > 0 || o.unackedReports > 0 {
		return false
	}
	for _, a := range o.attempts {
		if !a.state.Final() {
			return false
		}
	}
	return true
}

// Receive applies a frame. A frame on an inactive connection has no effect. On an
// error, which is a *ProtocolError, the connection becomes inactive and the caller must
// close it.
func (t *Table) Receive(now time.Time, conn ConnID, f *wire.ToAgent) error {
	t.state.now = now
	o := t.state.ownerByConn[conn]
	if o == nil {
		return nil
	}
	err := t.apply(o, f)
	if err != nil {
		t.connector.disconnect(conn) // more of its frames may be queued
	}
	return err
}

func (t *Table) apply(o *owner, f *wire.ToAgent) error {
	if f.Settled > 0 {
		t.settler.settle(o, f.Settled)
	}
	for _, seq := range f.Acks {
		t.settler.ack(o, seq)
	}
	for i := range f.Starts {
		if err := t.intake.start(o, &f.Starts[i]); err != nil {
			return err
		}
	}
	for _, seq := range f.Cancels {
		if err := t.settler.cancel(o, seq); err != nil {
			return err
		}
	}
	for _, seq := range f.Queries {
		if err := t.settler.query(o, seq); err != nil {
			return err
		}
	}
	return t.granter.updateDemand(o, f.Demand)
}

// CompleteCall records the outcome of the call for k and frees its slot.
func (t *Table) CompleteCall(now time.Time, k Key, out Outcome) {
	t.state.now = now
	t.runner.completeCall(k, out)
}

// SetTarget sets the target's state as last announced.
func (t *Table) SetTarget(now time.Time, target wire.Target) {
	t.state.now = now
	t.state.setTarget(target)
	t.runner.targetChanged()
}

// Drain makes the agent accept no new work. It can't be undone.
func (t *Table) Drain(now time.Time) {
	t.state.now = now
	t.state.drain()
	t.runner.targetChanged()
}

// Tick applies timeouts: overdue calls, expired starts and retained reports. Call it
// about every 100 ms.
func (t *Table) Tick(now time.Time) {
	t.state.now = now
	t.runner.abortOverdue()
	t.retention.expire()
}

// Flush grants free slots and sends the queued frames. Call it after each batch of
// calls, so that many small changes share a frame.
func (t *Table) Flush() {
	t.granter.rebalance()
	t.reporter.flush()
}
