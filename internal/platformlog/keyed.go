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

// Partition is a partition of a keyed topic.
type Partition struct {
	Topic string
	Index int // from 0 to Partitions-1
}

// KeyedLog is the platform's log with keyed topics. The newest value of each key is retained
// indefinitely, older values for a limited time. A key has a value in each partition of its topic.
type KeyedLog interface {
	// Partitions returns the number of partitions of every topic.
	Partitions() int
	// Put writes the value of a key. After an error the value may have been written.
	Put(ctx context.Context, p Partition, key string, value []byte) error
	// Newest returns the newest value of every key, and the offset to pass to Follow.
	Newest(ctx context.Context, p Partition) (entries []Entry, end uint64, err error)
	// Follow returns the records at and after an offset, and the offset to pass to the next
	// Follow. If there are none yet, it waits up to wait for the first. A *TruncatedError
	// means that retention has dropped some of the records: call Newest again.
	Follow(ctx context.Context, p Partition, from uint64, wait time.Duration) (entries []Entry, next uint64, err error)
}

const (
	// initialRetryDelay and maxRetryDelay bound the delay after a failed call. The store limits
	// the calls of all processes together, and rejected calls count towards the limit.
	initialRetryDelay = 50 * time.Millisecond
	maxRetryDelay     = time.Second
	// maxPollWait is the longest wait that the platform's log allows.
	maxPollWait = 30 * time.Second
	// promptWait is the time within which some process reads a change after a lost response, and
	// promptReaders the number of processes whose reads end within it: some of them may be cut off from
	// the log.
	promptWait    = 2 * time.Second
	promptReaders = 4
)

// Pace is how often Watch calls the log. A change is passed on at once if none came before it for
// the length of a pause.
type Pace struct {
	// Wait returns how long a read waits for new records, at most 30 s. A read whose response is lost
	// ends only after that, so it also is how long changes are missed then.
	Wait func() time.Duration
	// Pause is the mean time from a change to the next read, half of it at the least. A fleet whose
	// hosts restart one after the other writes many records, each of which would otherwise end a
	// read of every process that watches the topic.
	Pause time.Duration
	// MaxRetryDelay is the longest delay between failed calls.
	MaxRetryDelay time.Duration
}

// SharedPace is for changes that have to be applied within seconds, and that processes which hear of
// them pass on to the others. peers returns the number of other processes that would, as far as is known.
func SharedPace(peers func() int) Pace {
	return Pace{Wait: func() time.Duration { return sharedWait(peers()) }, MaxRetryDelay: maxRetryDelay}
}

// sharedWait returns the wait with which a fleet makes as many calls as a few processes, so that the
// first of its reads still ends within promptWait.
func sharedWait(peers int) time.Duration {
	return min(promptWait*time.Duration(max(1, peers/promptReaders)), maxPollWait)
}

// PatientPace is for changes that the processes also learn from each other. The calls of a process
// don't depend on the number of changes.
var PatientPace = Pace{Wait: func() time.Duration { return maxPollWait }, Pause: 2 * time.Second, MaxRetryDelay: 4 * time.Second}

// Watch passes a snapshot of a keyed topic and then each change to observer, until ctx ends. It
// logs when the log becomes unreachable and when it is reachable again, and passes another
// snapshot after each failure and each truncation.
func Watch(ctx context.Context, log logr.Logger, k KeyedLog, p Partition, pace Pace, observer Observer) {
	watch(ctx, log, k, p, pace, observer, 0, true)
}

// WatchFrom is like Watch after a snapshot that the caller has read: it begins with the changes from the
// offset next on.
func WatchFrom(ctx context.Context, log logr.Logger, k KeyedLog, p Partition, next uint64, pace Pace, observer Observer) {
	watch(ctx, log, k, p, pace, observer, next, false)
}

func watch(ctx context.Context, log logr.Logger, k KeyedLog, p Partition, pace Pace, observer Observer, next uint64, needSnapshot bool) {
	outages := &outageLogger{log: log, topic: p.Topic}
	backOff := newBackOff(pace.MaxRetryDelay)
	for ctx.Err() == nil {
		var entries []Entry
		var err error
		if needSnapshot {
			entries, next, err = k.Newest(ctx, p)
		} else {
			entries, next, err = k.Follow(ctx, p, next, pace.Wait())
		}
		var truncated *TruncatedError
		if errors.As(err, &truncated) {
			event.Log(log, event.LogTruncated, "topic", p.Topic, "from", truncated.From, "lowest", truncated.Lowest)
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
		if len(entries) > 0 && pace.Pause > 0 {
			clock.Sleep(ctx, clock.Jitter(pace.Pause))
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
func PutWithRetry(ctx context.Context, log logr.Logger, k KeyedLog, p Partition, key string, value []byte) {
	outages := &outageLogger{log: log, topic: p.Topic}
	backOff := NewBackOff()
	for ctx.Err() == nil {
		err := k.Put(ctx, p, key, value)
		if err == nil {
			outages.recordSuccess()
			event.Log(log, event.RecordWritten, "topic", p.Topic, "key", key)
			return
		}
		outages.recordFailure(err)
		clock.Sleep(ctx, backOff.NextBackOff())
	}
}

// NewBackOff returns the exponential delays between retries of failed calls.
func NewBackOff() *backoff.ExponentialBackOff { return newBackOff(maxRetryDelay) }

func newBackOff(longest time.Duration) *backoff.ExponentialBackOff {
	return backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(initialRetryDelay), backoff.WithMaxInterval(longest), backoff.WithMaxElapsedTime(0),
	)
}
