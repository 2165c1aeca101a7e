// Package follower keeps an entry's configuration up to date with the platform's log. It
// polls the log, applies the records to the entry's replica, and writes snapshots often
// enough that the log's retention never drops what a new reader needs. Only entries,
// which are few, read the log; agents receive changes on their sessions.
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

// Timing. A change is in force on an entry within about 1.25 * PollInterval, and on its
// agents within config.MaxFanOutDelay and two heartbeats more. Together this is below 9 s of
// the 13 s that a change may take, so that a whole poll may be lost.
const (
	DefaultPollInterval = 1500 * time.Millisecond
	// MaxBackoff is the longest interval between polls while the log is unavailable.
	// When the log recovers, entries poll it again within this time, at random times.
	MaxBackoff = 5 * time.Second
	// DefaultSnapshotInterval must not exceed half of the log's retention.
	DefaultSnapshotInterval = 6 * time.Hour
	// DefaultStaleAfter is the age of the configuration at which it is logged as stale.
	DefaultStaleAfter = 30 * time.Second
	// recoveryJitter is the maximum of the random delay of a snapshot after a long
	// outage. With it, most entries see another entry's snapshot and write none.
	recoveryJitter = 10 * time.Second
)

// Options of a follower. A duration of 0 means the default.
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

// Follower applies the log to the replica of one process. Its methods are not safe for
// concurrent use, except Wake and PollResults.
type Follower struct {
	options          Options
	wake             chan struct{}
	pollResults      chan bool
	fold             *config.Fold
	backoff          *backoff.ExponentialBackOff
	unreachableSince time.Time // zero while the log is available
	nextSnapshotAt   time.Time
	snapshotCount    uint64
	caughtUp         bool // the end of the log has been reached once
	truncated        bool // the log dropped unread records, and no snapshot was read since
}

// New returns a follower that continues from the replica's current state.
func New(o Options) *Follower {
	setDefault(&o.PollInterval, DefaultPollInterval)
	setDefault(&o.SnapshotInterval, DefaultSnapshotInterval)
	setDefault(&o.StaleAfter, DefaultStaleAfter)
	f := &Follower{options: o, wake: make(chan struct{}, 1), pollResults: make(chan bool, 1), fold: config.NewFold(o.Replica.Get().State)}
	f.backoff = backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(o.PollInterval),
		backoff.WithMaxInterval(MaxBackoff),
		backoff.WithMaxElapsedTime(0),
	)
	// The age of the newest snapshot is unknown, as it was written by another host's
	// clock. The first snapshot is due within half an interval, at random, so that some
	// entry writes one even if the whole fleet is restarted often.
	f.nextSnapshotAt = o.Clock.Now().Add(f.jitter(o.SnapshotInterval / 2))
	return f
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// earlySnapshotDelay returns the random delay of a snapshot that is written early.
func (f *Follower) earlySnapshotDelay() time.Duration {
	return f.jitter(min(recoveryJitter, f.options.SnapshotInterval/4))
}

// jitter returns a random duration below d.
func (f *Follower) jitter(d time.Duration) time.Duration {
	return time.Duration(f.options.Rand.Int64N(int64(d)))
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

// Wake requests an immediate poll. It is safe for concurrent use and does not block.
func (f *Follower) Wake() {
	select {
	case f.wake <- struct{}{}:
	default: // a poll is already requested
	}
}

// Poll does one read of limited size, and writes a snapshot if one is due. It returns the
// delay before the next poll.
func (f *Follower) Poll(ctx context.Context) time.Duration {
	f.fold.AdvanceTo(f.options.Replica.Get().State) // a peer may have sent a newer state
	more, err := f.readLog(ctx)
	f.options.Replica.LogIfStale(f.options.StaleAfter)
	if err != nil {
		f.sendPollResult(false)
		return f.handleReadError(err)
	}
	f.handleRecovery()
	if more {
		return 0
	}
	f.sendPollResult(f.fold.Contiguous())
	if f.fold.Contiguous() {
		f.options.Replica.MarkCurrent()
		f.writeSnapshot(ctx)
	}
	return f.options.PollInterval*3/4 + f.jitter(f.options.PollInterval/2)
}

// PollResults returns a channel of the results of polls: whether the log was read to its
// end and determines the state in force. While a result is unread, later ones are dropped.
func (f *Follower) PollResults() <-chan bool { return f.pollResults }

// sendPollResult makes a result available on PollResults, unless one is unread.
func (f *Follower) sendPollResult(current bool) {
	select {
	case f.pollResults <- current:
	default: // an earlier result is still unread
	}
}

// Contiguous reports whether the follower has read every record up to its position.
func (f *Follower) Contiguous() bool { return f.fold.Contiguous() }

// readLog does one read of the log and applies it to the fold and the replica. It reports
// whether the end of the log may not have been reached.
func (f *Follower) readLog(ctx context.Context) (more bool, err error) {
	b, err := config.Read(ctx, f.options.Log, f.fold)
	if b.Truncated {
		f.truncated = true
	}
	if f.fold.Contiguous() {
		f.options.Replica.ApplyRead(f.fold.State(), b)
	}
	for i := range b.Results {
		f.logVoidChange(&b.Results[i])
	}
	return b.More, err
}

// logVoidChange logs a change whose base version was not current. Changes that are read
// before the end of the log is reached for the first time may be old and are not logged.
func (f *Follower) logVoidChange(res *config.Result) {
	if f.caughtUp && res.Outcome == config.VoidStaleBase {
		event.Log(f.options.Logger, event.ConfigConflict, "change", res.ID(), "offset", res.Offset, "version", res.State.Version)
	}
}

// handleReadError logs the start of an outage of the log and returns the delay before the
// next poll.
func (f *Follower) handleReadError(err error) time.Duration {
	if f.unreachableSince.IsZero() {
		f.unreachableSince = f.options.Clock.Now()
		event.Log(f.options.Logger, event.LogUnreachable, "cause", err.Error(), "version", f.options.Replica.Get().State.Version)
	}
	return f.backoff.NextBackOff()
}

// handleRecovery ends an outage of the log. After a long one, retention may have dropped
// every snapshot, and without one neither a new process nor the operators' tool can
// determine the state in force. So the next snapshot is written early.
func (f *Follower) handleRecovery() {
	if f.unreachableSince.IsZero() {
		return
	}
	f.backoff.Reset()
	now := f.options.Clock.Now()
	outage := now.Sub(f.unreachableSince)
	f.unreachableSince = time.Time{}
	if outage >= f.options.SnapshotInterval/2 {
		f.advanceSnapshotTime(now)
	}
}

// writeSnapshot appends the state to the log if a snapshot is due; one read from another
// process postpones it. Surplus snapshots and a lost reply to an append do no harm.
func (f *Follower) writeSnapshot(ctx context.Context) {
	now := f.options.Clock.Now()
	f.updateSnapshotTime(now)
	if now.Before(f.nextSnapshotAt) {
		return
	}
	state := f.fold.State()
	data, err := config.EncodeRecord(&config.Record{Snapshot: state})
	var offset uint64
	if err == nil {
		offset, err = f.options.Log.Append(ctx, config.Stream, data)
	}
	f.nextSnapshotAt = now.Add(f.earlySnapshotDelay())
	if err != nil {
		event.Log(f.options.Logger, event.LogUnreachable, "op", "snapshot", "cause", err.Error())
		return
	}
	f.consumeOwnSnapshot(offset, data)
	event.Log(f.options.Logger, event.ConfigSnapshot, "version", state.Version, "as_of", state.AsOf)
}

// consumeOwnSnapshot applies a snapshot that this follower has just appended, if it is the
// next record. Otherwise, if the log became unavailable and dropped the record unread, no
// process could know that no change was lost, and none would be contiguous any more.
func (f *Follower) consumeOwnSnapshot(offset uint64, data []byte) {
	if offset != f.fold.NextOffset() {
		return
	}
	b := config.Batch{From: offset, Records: []platformlog.Record{{Offset: offset, Data: data}}}
	if _, err := f.fold.Apply(b.From, b.Records, offset+1); err == nil {
		f.options.Replica.ApplyRead(f.fold.State(), b)
	}
}

// updateSnapshotTime adjusts the time of the next snapshot. A snapshot that is read after
// the end of the log was reached once is new and postpones it; one that is read before may
// be old and has no effect. If the log dropped unread records and no snapshot follows
// them, the next one is written early.
func (f *Follower) updateSnapshotTime(now time.Time) {
	count := f.fold.SnapshotCount()
	fresh := count != f.snapshotCount && f.caughtUp
	if count != f.snapshotCount {
		f.truncated = false
	}
	f.snapshotCount, f.caughtUp = count, true
	if fresh {
		f.nextSnapshotAt = now.Add(f.options.SnapshotInterval/2 + f.jitter(f.options.SnapshotInterval/2))
	}
	if f.truncated {
		f.truncated = false
		f.advanceSnapshotTime(now)
	}
}

// advanceSnapshotTime makes the next snapshot due after a short random delay, if it is not
// due earlier.
func (f *Follower) advanceSnapshotTime(now time.Time) {
	soon := now.Add(f.earlySnapshotDelay())
	if soon.Before(f.nextSnapshotAt) {
		f.nextSnapshotAt = soon
	}
}
