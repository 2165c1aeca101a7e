// Package uplink predicts how long the data that an entry sends waits for its network link.
//
// Each target that gets a task of a job also gets the job's body, so a job of eight tasks on
// eight targets sends the body eight times. With large bodies and a narrow link, the orders of
// one job leave tens to hundreds of milliseconds after each other, while their targets are
// idle. Without this package, predictions ignore that delay: jobs are admitted for which the
// link has no capacity, and all of them are late.
package uplink

import "time"

// Link models the send queue of a host's network link. The zero Link has no bandwidth limit.
// It is not safe for concurrent use.
type Link struct {
	bytesPerMs float64 // 0: unlimited
	backlog    float64 // bytes enqueued and not yet sent, at updatedAt
	updatedAt  time.Time
}

// bytesPerMsPerMbps converts megabits per second to bytes per millisecond.
const bytesPerMsPerMbps = 1e6 / 8 / 1000

// New returns a link with a bandwidth in megabits per second; 0 and less: unlimited.
func New(mbps float64) *Link { return &Link{bytesPerMs: max(mbps, 0) * bytesPerMsPerMbps} }

// Enqueue records that bytes are handed to the link now.
func (l *Link) Enqueue(now time.Time, bytes int) {
	l.drain(now)
	if l.bytesPerMs > 0 {
		l.backlog += float64(bytes)
	}
}

// WaitMs returns how long data that is enqueued now waits, in milliseconds, before the link
// starts to send it.
func (l *Link) WaitMs(now time.Time) float64 {
	l.drain(now)
	return l.TransmitMs(int(l.backlog))
}

// TransmitMs returns how long the link takes to send so many bytes, in milliseconds.
func (l *Link) TransmitMs(bytes int) float64 {
	if l.bytesPerMs <= 0 {
		return 0
	}
	return float64(bytes) / l.bytesPerMs
}

// drain removes from the backlog what the link has sent since the last update.
func (l *Link) drain(now time.Time) {
	if !l.updatedAt.IsZero() && now.After(l.updatedAt) {
		sent := l.bytesPerMs * float64(now.Sub(l.updatedAt)) / float64(time.Millisecond)
		l.backlog = max(0, l.backlog-sent)
	}
	l.updatedAt = now
}
