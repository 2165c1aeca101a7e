// Package uplink reckons with the time that what an entry sends waits for its network link.
//
// The load it answers: wide jobs with a large body on an entry host whose link is narrow. Each
// target that gets a task of a job gets the body too, so a job of eight tasks on eight targets
// costs eight bodies.
//
// What goes wrong without it: orders of a job leave tens to hundreds of milliseconds after each
// other, while the targets they go to are idle. Predictions know nothing of that, so jobs are let
// in for which there is no link, and all of them come late.
package uplink

import "time"

// Link is what is known of a host's link. The zero Link has no limit. It is not safe for
// concurrent use.
type Link struct {
	bytesPerMs float64 // 0: no limit
	backlog    float64 // bytes handed over and not sent yet
	at         time.Time
}

// bytesPerMsOfMbps turns megabits a second into bytes a millisecond.
const bytesPerMsOfMbps = 1e6 / 8 / 1000

// New returns a link of that many megabits a second; 0: no limit.
func New(mbps float64) *Link { return &Link{bytesPerMs: max(mbps, 0) * bytesPerMsOfMbps} }

// Enqueue takes what is handed over to the link now.
func (l *Link) Enqueue(now time.Time, bytes int) {
	l.drain(now)
	if l.bytesPerMs > 0 {
		l.backlog += float64(bytes)
	}
}

// WaitMs returns how long what is handed over now waits before it is sent.
func (l *Link) WaitMs(now time.Time) float64 {
	l.drain(now)
	return l.TransmitMs(int(l.backlog))
}

// TransmitMs returns how long the link takes to send so much.
func (l *Link) TransmitMs(bytes int) float64 {
	if l.bytesPerMs <= 0 {
		return 0
	}
	return float64(bytes) / l.bytesPerMs
}

func (l *Link) drain(now time.Time) {
	if !l.at.IsZero() && now.After(l.at) {
		sent := l.bytesPerMs * float64(now.Sub(l.at)) / float64(time.Millisecond)
		l.backlog = max(0, l.backlog-sent)
	}
	l.at = now
}
