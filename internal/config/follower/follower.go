// Package follower keeps an entry's configuration up with the platform's log: it
// polls the log, puts what it reads in force, and writes a snapshot now and then,
// before retention drops what a new reader needs. Only entries, which are few,
// read the log; agents hear of changes on their sessions.
package follower

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v4"
	"github.com/go-logr/logr"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/config"
	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/platformlog"
)

// Timing. A change is in force at an entry within about 1.25 * PollEvery and at
// its agents within config.FanOutSpread and two heartbeats more: below 6 s of the
// letter's 13 s, which leaves a whole poll to be lost.
const (
	DefaultPollInterval = 1500 * time.Millisecond
	// MaxBackoff bounds the pause between polls in an outage. Entries come back to
	// a log that just recovered within it, each at a time of its own.
	MaxBackoff = 5 * time.Second
	// DefaultSnapshotInterval must be at most half of the log's retention.
	DefaultSnapshotInterval = 6 * time.Hour
	// DefaultStaleAfter is when a process says that it may be out of date.
	DefaultStaleAfter = 30 * time.Second
	// recoveryJitter spreads the snapshots after a long outage, so that most
	// entries see one of another's and leave theirs out.
	recoveryJitter = 10 * time.Second
)

// Options of a follower; zero durations take the defaults.
type Options struct {
	Log              platformlog.Log
	Replica          *config.Replica
	Clock            clock.Clock
	Logger           logr.Logger
	Rand             *rand.Rand
	PollInterval     time.Duration
	SnapshotInterval time.Duration
	StaleAfter       time.Duration
}

// Follower reads the log for one process. Its methods belong to one goroutine.
type Follower struct {
	o          Options
	wake       chan struct{}
	polled     chan bool
	fold       *config.Fold
	backoff    *backoff.ExponentialBackOff
	downSince  time.Time // zero while the log answers
	snapshotAt time.Time
	snapshots  uint64
	caughtUp   bool // has been at the end of the log
	missed     bool // found records dropped, and no snapshot since
}

// New returns a follower that goes on from what the holder has.
func New(o Options) *Follower {
	setDefault(&o.PollInterval, DefaultPollInterval)
	setDefault(&o.SnapshotInterval, DefaultSnapshotInterval)
	setDefault(&o.StaleAfter, DefaultStaleAfter)
	f := &Follower{o: o, wake: make(chan struct{}, 1), polled: make(chan bool, 1), fold: config.NewFold(o.Replica.Get().State)}
	f.backoff = backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(o.PollInterval),
		backoff.WithMaxInterval(MaxBackoff),
		backoff.WithMaxElapsedTime(0),
	)
	// How old the newest snapshot is can't be told from another host's clock. A
	// start counts as half-way, at random, so some entry of a fleet that is
	// restarted often still gets to write one.
	f.snapshotAt = o.Clock.Now().Add(f.jitter(o.SnapshotInterval / 2))
	return f
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

func (f *Follower) soon() time.Duration { return f.jitter(min(recoveryJitter, f.o.SnapshotInterval/4)) }

func (f *Follower) jitter(d time.Duration) time.Duration {
	return time.Duration(f.o.Rand.Int64N(int64(d)))
}

// Run polls until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for {
		pause := f.Poll(ctx)
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		case <-f.wake:
			timer.Stop()
		}
	}
}

// Wake asks for a poll now. It is safe for concurrent use and does not block.
func (f *Follower) Wake() {
	select {
	case f.wake <- struct{}{}:
	default: // one is asked for already
	}
}

// Poll does one bounded read, and the snapshot if one is due. It returns how long
// to wait before the next.
func (f *Follower) Poll(ctx context.Context) time.Duration {
	f.fold.AdvanceTo(f.o.Replica.Get().State) // a peer may have been faster, or this process is new
	more, err := f.read(ctx)
	f.o.Replica.LogIfStale(f.o.StaleAfter)
	if err != nil {
		f.tellPolled(false)
		return f.failed(err)
	}
	f.recovered()
	if more {
		return 0
	}
	f.tellPolled(f.fold.Contiguous())
	if f.fold.Contiguous() {
		f.o.Replica.MarkCurrent()
		f.snapshot(ctx)
	}
	return f.o.PollInterval*3/4 + f.jitter(f.o.PollInterval/2)
}

// PollResults brings how polls ended: whether the log was read to its end and says what is in
// force. Only the first that nobody has taken is kept.
func (f *Follower) PollResults() <-chan bool { return f.polled }

func (f *Follower) tellPolled(current bool) {
	select {
	case f.polled <- current:
	default: // an earlier one was not taken yet
	}
}

// Contiguous reports whether the follower has seen every record up to its position.
func (f *Follower) Contiguous() bool { return f.fold.Contiguous() }

func (f *Follower) read(ctx context.Context) (more bool, err error) {
	b, err := config.Read(ctx, f.o.Log, f.fold)
	if b.Truncated {
		f.missed = true
	}
	if f.fold.Contiguous() {
		f.o.Replica.ApplyRead(f.fold.State(), b)
	}
	for i := range b.Results {
		f.sayVoid(&b.Results[i])
	}
	return b.More, err
}

// sayVoid logs a change that lost, while it is news.
func (f *Follower) sayVoid(v *config.Result) {
	if f.caughtUp && v.Outcome == config.VoidStaleBase {
		event.Log(f.o.Logger, event.ConfigConflict, "change", v.ID(), "offset", v.Offset, "version", v.State.Version)
	}
}

func (f *Follower) failed(err error) time.Duration {
	if f.downSince.IsZero() {
		f.downSince = f.o.Clock.Now()
		event.Log(f.o.Logger, event.LogUnreachable, "cause", err.Error(), "version", f.o.Replica.Get().State.Version)
	}
	return f.backoff.NextBackOff()
}

// recovered brings the next snapshot forward after an outage that may have
// outlived every snapshot on the log: until one is there again, neither a new
// process nor an operator's tool can tell what is in force.
func (f *Follower) recovered() {
	if f.downSince.IsZero() {
		return
	}
	f.backoff.Reset()
	now := f.o.Clock.Now()
	outage := now.Sub(f.downSince)
	f.downSince = time.Time{}
	if outage >= f.o.SnapshotInterval/2 {
		f.snapshotSoon(now)
	}
}

// snapshot appends the state where one is due. Another's that was seen meanwhile
// puts it off. Any number of them is harmless, and so is a lost answer.
func (f *Follower) snapshot(ctx context.Context) {
	now := f.o.Clock.Now()
	f.noteSnapshots(now)
	if now.Before(f.snapshotAt) {
		return
	}
	state := f.fold.State()
	data, err := config.EncodeRecord(&config.Record{Snapshot: state})
	var offset uint64
	if err == nil {
		offset, err = f.o.Log.Append(ctx, config.Stream, data)
	}
	f.snapshotAt = now.Add(f.soon())
	if err != nil {
		event.Log(f.o.Logger, event.LogUnreachable, "op", "snapshot", "cause", err.Error())
		return
	}
	f.passOver(offset, data)
	event.Log(f.o.Logger, event.ConfigSnapshot, "version", state.Version, "as_of", state.AsOf)
}

// passOver moves on over a snapshot of our own that landed right at our position.
// Were the log to go down now and drop it unread, nobody could know that nothing
// else was there, and the whole fleet would be detached over a record of its own.
func (f *Follower) passOver(offset uint64, data []byte) {
	if offset != f.fold.NextOffset() {
		return
	}
	b := config.Batch{From: offset, Records: []platformlog.Record{{Offset: offset, Data: data}}}
	if _, err := f.fold.Apply(b.From, b.Records, offset+1); err == nil {
		f.o.Replica.ApplyRead(f.fold.State(), b)
	}
}

// noteSnapshots moves the time of the next snapshot. One seen while following is
// new and puts it off; one seen on the way to the end for the first time may be
// old, and says nothing. Records that were dropped with no snapshot after them
// bring it forward.
func (f *Follower) noteSnapshots(now time.Time) {
	seen := f.fold.SnapshotCount()
	fresh := seen != f.snapshots && f.caughtUp
	if seen != f.snapshots {
		f.missed = false
	}
	f.snapshots, f.caughtUp = seen, true
	if fresh {
		f.snapshotAt = now.Add(f.o.SnapshotInterval/2 + f.jitter(f.o.SnapshotInterval/2))
	}
	if f.missed {
		f.missed = false
		f.snapshotSoon(now)
	}
}

func (f *Follower) snapshotSoon(now time.Time) {
	soon := now.Add(f.soon())
	if soon.Before(f.snapshotAt) {
		f.snapshotAt = soon
	}
}
