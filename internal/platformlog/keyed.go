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

// Entry is the newest value of a key in a keyed topic.
type Entry struct {
	Key    string
	Value  []byte // empty: the key was dropped
	Offset uint64 // of its record
}

// Observer is told what Watch reads of a keyed topic, from one goroutine.
type Observer interface {
	// OnSnapshot takes every key's newest value. A key that it lacks was dropped, if it was
	// ever written below the offset end.
	OnSnapshot(entries []Entry, end uint64)
	// OnChange takes a record written after the last OnSnapshot or OnChange.
	OnChange(Entry)
}

// ObserverFunc is an Observer to which it is the same how an entry was read.
type ObserverFunc func(Entry)

// OnSnapshot implements Observer.
func (f ObserverFunc) OnSnapshot(entries []Entry, _ uint64) {
	for _, e := range entries {
		f(e)
	}
}

// OnChange implements Observer.
func (f ObserverFunc) OnChange(e Entry) { f(e) }

// KeyedLog is the platform's log as its keyed topics show it: of each key the newest
// value is kept for good, older ones for a limited time.
type KeyedLog interface {
	// Put writes a key's value. After an error it may have been written.
	Put(ctx context.Context, topic, key string, value []byte) error
	// Newest returns every key's value, and the offset from which to follow.
	Newest(ctx context.Context, topic string) (entries []Entry, end uint64, err error)
	// Follow returns what was written at and after an offset, waiting for it up to
	// wait, and the offset to follow from next. A *TruncatedError means that records
	// were dropped meanwhile: read the newest again.
	Follow(ctx context.Context, topic string, from uint64, wait time.Duration) (entries []Entry, next uint64, err error)
}

const (
	// followWait is how long one read waits for news. A connection that went silent
	// shows as a read that takes longer, so it also bounds how long news are missed.
	followWait = 2 * time.Second
	// firstRetry and lastRetry bound the pause after a call that failed: calls are
	// limited for all processes together, and refused ones count too.
	firstRetry = 50 * time.Millisecond
	lastRetry  = time.Second
)

// Watch reads a keyed topic and follows it until the context ends, and logs when the log
// is lost and regained. The newest values are read again after each loss.
func Watch(ctx context.Context, log logr.Logger, k KeyedLog, topic string, reader Observer) {
	w := &watch{log: log, topic: topic}
	retry := NewBackOff()
	var next uint64
	reread := true
	for ctx.Err() == nil {
		var entries []Entry
		var err error
		if reread {
			entries, next, err = k.Newest(ctx, topic)
		} else {
			entries, next, err = k.Follow(ctx, topic, next, followWait)
		}
		var truncated *TruncatedError
		if errors.As(err, &truncated) {
			event.Log(log, event.LogTruncated, "topic", topic, "from", truncated.From, "lowest", truncated.Lowest)
			reread = true
			continue
		}
		if err != nil {
			w.lost(err)
			reread = true // an offset of before an outage may mean nothing after it
			clock.Sleep(ctx, retry.NextBackOff())
			continue
		}
		w.found()
		retry.Reset()
		if reread {
			reread = false
			reader.OnSnapshot(entries, next)
			continue
		}
		for _, e := range entries {
			reader.OnChange(e)
		}
	}
}

// watch remembers whether the log answers, to log each change once.
type watch struct {
	log    logr.Logger
	topic  string
	lostAt time.Time
}

func (w *watch) lost(err error) {
	if !w.lostAt.IsZero() {
		return
	}
	w.lostAt = time.Now()
	event.Log(w.log, event.LogUnreachable, "topic", w.topic, "error", err.Error())
}

func (w *watch) found() {
	if w.lostAt.IsZero() {
		return
	}
	event.Log(w.log, event.LogBack, "topic", w.topic, "after_ms", time.Since(w.lostAt).Milliseconds())
	w.lostAt = time.Time{}
}

// PutWithRetry writes a key's value, again and again until the log has taken it.
func PutWithRetry(ctx context.Context, log logr.Logger, k KeyedLog, topic, key string, value []byte) {
	w := &watch{log: log, topic: topic}
	retry := NewBackOff()
	for ctx.Err() == nil {
		err := k.Put(ctx, topic, key, value)
		if err == nil {
			w.found()
			event.Log(log, event.RecordWritten, "topic", topic, "key", key)
			return
		}
		w.lost(err)
		clock.Sleep(ctx, retry.NextBackOff())
	}
}

// NewBackOff returns the pauses between calls that fail.
func NewBackOff() *backoff.ExponentialBackOff {
	return backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(firstRetry), backoff.WithMaxInterval(lastRetry), backoff.WithMaxElapsedTime(0),
	)
}
