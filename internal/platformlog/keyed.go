package platformlog

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v4"
	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/event"
)

// Entry is a record of a keyed topic: a key and its value.
type Entry struct {
	Key    string
	Value  []byte // empty: the key was deleted
	Offset uint64 // of the record
}

// Observer receives the entries that Watch reads from a keyed topic. Watch calls it from one
// goroutine.
type Observer interface {
	// OnSnapshot receives the newest value of every key. A key that is missing and was written
	// below the offset end has been deleted since.
	OnSnapshot(entries []Entry, end uint64)
	// OnChange receives a record that was written after the previous OnSnapshot or OnChange.
	OnChange(Entry)
}

// ObserverFunc is an Observer that handles every entry in the same way, whether it is part of a
// snapshot or a change.
type ObserverFunc func(Entry)

// OnSnapshot implements Observer.
func (f ObserverFunc) OnSnapshot(entries []Entry, _ uint64) {
	for _, e := range entries {
		f(e)
	}
}

// OnChange implements Observer.
func (f ObserverFunc) OnChange(e Entry) { f(e) }

// KeyedLog is the platform's log with keyed topics. The newest value of each key is retained
// indefinitely, older values for a limited time.
type KeyedLog interface {
	// Put writes the value of a key. After an error the value may have been written.
	Put(ctx context.Context, topic, key string, value []byte) error
	// Newest returns the newest value of every key, and the offset to pass to Follow.
	Newest(ctx context.Context, topic string) (entries []Entry, end uint64, err error)
	// Follow returns the records at and after an offset, and the offset to pass to the next
	// Follow. If there are none yet, it waits up to wait for the first. A *TruncatedError
	// means that retention has dropped some of the records: call Newest again.
	Follow(ctx context.Context, topic string, from uint64, wait time.Duration) (entries []Entry, next uint64, err error)
}

const (
	// longPollTimeout is how long a read waits for new records. A broken connection is only
	// detected when a read takes longer than that, so it also determines how long changes are
	// missed then.
	longPollTimeout = 2 * time.Second
	// initialRetryDelay and maxRetryDelay bound the delay after a failed call. The store limits
	// the calls of all processes together, and rejected calls count towards the limit.
	initialRetryDelay = 50 * time.Millisecond
	maxRetryDelay     = time.Second
)

// Watch passes a snapshot of a keyed topic and then each change to observer, until ctx ends. It
// logs when the log becomes unreachable and when it is reachable again, and passes another
// snapshot after each failure and each truncation.
func Watch(ctx context.Context, log logr.Logger, k KeyedLog, topic string, observer Observer) {
	outages := &outageLogger{log: log, topic: topic}
	backOff := NewBackOff()
	var next uint64
	needSnapshot := true
	for ctx.Err() == nil {
		var entries []Entry
		var err error
		if needSnapshot {
			entries, next, err = k.Newest(ctx, topic)
		} else {
			entries, next, err = k.Follow(ctx, topic, next, longPollTimeout)
		}
		var truncated *TruncatedError
		if errors.As(err, &truncated) {
			event.Log(log, event.LogTruncated, "topic", topic, "from", truncated.From, "lowest", truncated.Lowest)
			needSnapshot = true
			continue
		}
		if err != nil {
			outages.recordFailure(err)
			needSnapshot = true // after an outage, the offset may be invalid
			clock.Sleep(ctx, backOff.NextBackOff())
			continue
		}
		outages.recordSuccess()
		backOff.Reset()
		if needSnapshot {
			needSnapshot = false
			observer.OnSnapshot(entries, next)
			continue
		}
		for _, e := range entries {
			observer.OnChange(e)
		}
	}
}

// outageLogger logs once when calls to the log start to fail, and once when they succeed again.
type outageLogger struct {
	log          logr.Logger
	topic        string
	failingSince time.Time // zero while calls succeed
}

func (o *outageLogger) recordFailure(err error) {
	if !o.failingSince.IsZero() {
		return
	}
	o.failingSince = time.Now()
	event.Log(o.log, event.LogUnreachable, "topic", o.topic, "error", err.Error())
}

func (o *outageLogger) recordSuccess() {
	if o.failingSince.IsZero() {
		return
	}
	event.Log(o.log, event.LogBack, "topic", o.topic, "after_ms", time.Since(o.failingSince).Milliseconds())
	o.failingSince = time.Time{}
}

// PutWithRetry writes the value of a key, and retries until the write succeeds or ctx ends.
func PutWithRetry(ctx context.Context, log logr.Logger, k KeyedLog, topic, key string, value []byte) {
	outages := &outageLogger{log: log, topic: topic}
	backOff := NewBackOff()
	for ctx.Err() == nil {
		err := k.Put(ctx, topic, key, value)
		if err == nil {
			outages.recordSuccess()
			event.Log(log, event.RecordWritten, "topic", topic, "key", key)
			return
		}
		outages.recordFailure(err)
		clock.Sleep(ctx, backOff.NextBackOff())
	}
}

// NewBackOff returns the exponential delays between retries of failed calls.
func NewBackOff() *backoff.ExponentialBackOff {
	return backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(initialRetryDelay), backoff.WithMaxInterval(maxRetryDelay), backoff.WithMaxElapsedTime(0),
	)
}
