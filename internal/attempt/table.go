// Package attempt is the control state of an agent: which attempts of which owner
// it knows, which of them run, and how the target's free slots are granted. It
// has no network, no clock and no goroutine of its own; one goroutine calls it
// and hands it the time.
//
// The state lies on a blackboard (board) that small controllers read and write:
// connector (which connection counts for which owner), intake (new starts),
// settler (cancels, queries, acknowledgements), runner (slots), granter
// (credits), keeper (what owners that went away left behind) and reporter
// (frames to owners).
package attempt

import (
	"time"

	"github.com/go-logr/logr"

	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// ConnID names one connection to an entry. Later connections have higher ids;
// zero is no connection.
type ConnID uint64

// Key names an attempt for ever: the owner's incarnation and its number there.
type Key struct {
	Owner job.Incarnation
	Seq   uint64
}

// Outcome is how a call to the target ended.
type Outcome struct {
	State  wire.AttemptState // a final state
	Reason wire.Reason       // for NotRun
	Result []byte
	Detail string
	RunMs  float64
}

// Outbox is what the table does to the outside. No method may block or call back.
type Outbox interface {
	Send(conn ConnID, f *wire.ToEntry)
	Close(conn ConnID)
	// Run calls the target; Finished must follow exactly once.
	Run(k Key, s wire.Start)
	// Abort ends a running call early; Finished follows still.
	Abort(k Key)
}

// Policy says who decides when an attempt begins.
type Policy string

// Policies. Grants is the product's; Push is kept to compare against: owners send
// whenever they like and what finds no slot waits at the agent.
const (
	Grants Policy = "grants"
	Push   Policy = "push"
)

// Options of a Table.
type Options struct {
	Incarnation job.Incarnation // of the agent, for the log
	Log         logr.Logger
	Outbox      Outbox
	Policy      Policy // empty means Grants
}

// Table is an agent's control state. It is not safe for concurrent use.
type Table struct {
	b *board

	connector connector
	intake    intake
	settler   settler
	runner    runner
	granter   granter
	keeper    keeper
	reporter  reporter
}

// New returns an empty table; the target counts as down until SetTarget.
func New(o Options) *Table {
	if o.Policy == "" {
		o.Policy = Grants
	}
	b := newBoard(o)
	reporter := reporter{b}
	keeper := keeper{b}
	granter := granter{b}
	runner := runner{board: b, reporter: reporter, keeper: keeper, granter: granter}
	settler := settler{board: b, reporter: reporter, runner: runner}
	return &Table{
		b:         b,
		connector: connector{board: b, settler: settler, reporter: reporter, keeper: keeper, granter: granter},
		intake:    intake{board: b, reporter: reporter, runner: runner, granter: granter},
		settler:   settler,
		runner:    runner,
		granter:   granter,
		keeper:    keeper,
		reporter:  reporter,
	}
}

// Connect makes conn the one connection that counts for the owner that sent w.
func (t *Table) Connect(now time.Time, conn ConnID, w *wire.Welcome) {
	t.b.now = now
	t.connector.connect(conn, w.Incarnation)
}

// Disconnect tells that conn is closed. The owner's unspent credits are void and
// its attempts that have not begun never will.
func (t *Table) Disconnect(now time.Time, conn ConnID) {
	t.b.now = now
	t.connector.disconnect(conn)
}

// SetRetired grants nothing more on a connection and calls its credits back, so that
// Quiet becomes true; with on false, the connection takes part again.
func (t *Table) SetRetired(conn ConnID, on bool) {
	if o := t.b.conns[conn]; o != nil {
		t.b.sharer.SetRetired(uint64(o.incarnation), on)
	}
}

// CanClose reports whether the agent may close a connection that counts and that was
// retired: the owner can start nothing on it and every report has arrived. Closing
// it earlier could lose a start under way, and its job would hang until its
// deadline. It is never true under Push, where nothing counts the starts.
func (t *Table) CanClose(conn ConnID) bool {
	o := t.b.conns[conn]
	if o == nil || t.b.policy == Push || o.credits.unspent() > 0 || o.unacked > 0 {
		return false
	}
	for _, a := range o.attempts {
		if !a.state.Final() {
			return false
		}
	}
	return true
}

// Receive takes a frame. A frame on a connection that no longer counts has no
// effect. The error is a *ProtocolError: close the connection then, which does not
// count from here on.
func (t *Table) Receive(now time.Time, conn ConnID, f *wire.ToAgent) error {
	t.b.now = now
	o := t.b.conns[conn]
	if o == nil {
		return nil
	}
	err := t.apply(o, f)
	if err != nil {
		t.connector.disconnect(conn) // frames of it may still be waiting
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
	return t.granter.hear(o, f.Demand)
}

// CompleteCall tells how the call for k ended.
func (t *Table) CompleteCall(now time.Time, k Key, out Outcome) {
	t.b.now = now
	t.runner.finished(k, out)
}

// SetTarget takes the target's state as last announced.
func (t *Table) SetTarget(now time.Time, target wire.Target) {
	t.b.now = now
	t.b.setTarget(target)
	t.runner.targetChanged()
}

// Drain makes the agent take no new work, for good.
func (t *Table) Drain(now time.Time) {
	t.b.now = now
	t.b.drain()
	t.runner.targetChanged()
}

// Tick does what only the passing of time brings about. Call it every 100 ms or so.
func (t *Table) Tick(now time.Time) {
	t.b.now = now
	t.runner.expire()
	t.keeper.expire()
}

// Flush grants free slots and sends the frames gathered. Call it after each batch
// of calls, so that many small changes share a frame.
func (t *Table) Flush() {
	t.granter.grant()
	t.reporter.flush()
}
