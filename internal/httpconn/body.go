package httpconn

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/camphorrack/camphorrack/internal/scheduler/connlimit"
)

const (
	// bodyTimeout is how long a client may take to send a body. It is the longest time that callers wait
	// for an answer.
	bodyTimeout = 30 * time.Second
	// firstBodyBytes is the initial size of the buffer for a body. It is larger than most bodies.
	firstBodyBytes = 4 << 10
	// bodyGrowth is the factor by which the buffer grows. With a smaller one, more memory is copied and left to
	// the garbage collector.
	bodyGrowth = 4
)

// GivenUpError reports a request that was given up before its body was complete. It has not run, which
// says nothing of other copies of it.
type GivenUpError struct{ Reason Reason }

// Error implements error.
func (e *GivenUpError) Error() string { return "the body is incomplete: " + e.Reason.String() }

// ReadBody reads the body of a request of at most limit bytes. The errors are *http.MaxBytesError, also for
// a length that is only announced; *GivenUpError, if a Guard serves the connection; and those of reading
// from the connection. The buffer grows with what has arrived, and the Guard accounts for it until
// ReleaseBody is called or the request is answered.
func ReadBody(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	size := limit + 1 // the most that is read
	if r.ContentLength >= 0 {
		size = r.ContentLength
	}
	client := clientOf(r.Context())
	var body []byte
	for {
		if len(body) == cap(body) {
			grown := max(min(bodyGrowth*int64(cap(body)), size), min(size, firstBodyBytes), int64(len(body)+1))
			if err := client.hold(grown - int64(cap(body))); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, grown), body...)
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return nil, &http.MaxBytesError{Limit: limit}
		case errors.Is(err, io.EOF):
			return body, client.givenUp()
		case err != nil:
			if givenUp := client.givenUp(); givenUp != nil {
				return nil, givenUp
			}
			return nil, err
		}
	}
}

// ReleaseBody states that the body that ReadBody has returned was decoded.
func ReleaseBody(r *http.Request) {
	if c := clientOf(r.Context()); c != nil {
		c.guard.mu.Lock()
		defer c.guard.mu.Unlock()
		c.guard.table.Release(c)
	}
}

// hold accounts for bytes of the body that is being received. The error is a *GivenUpError.
func (c *client) hold(bytes int64) error {
	if c == nil {
		return nil
	}
	now := time.Now()
	g := c.guard
	g.mu.Lock()
	evicted, ok := g.table.Hold(now, c, bytes)
	for _, e := range evicted {
		g.recordGivenUp(e, TooManyBytes)
	}
	g.report(now)
	g.mu.Unlock()
	interrupt(evicted)
	if !ok {
		return c.givenUp()
	}
	return nil
}

// givenUp returns a *GivenUpError if the request was given up, else nil.
func (c *client) givenUp() error {
	if c == nil {
		return nil
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if c.reason == nil {
		return nil
	}
	return &GivenUpError{*c.reason}
}

// recordGivenUp records why the request of a client is given up. The caller holds the lock.
func (g *Guard) recordGivenUp(c *client, reason Reason) {
	c.reason = &reason
	g.counts[reason]++
}

// giveUpBodies gives up the requests whose bodies have not been complete for as long as the timeout. It
// returns their clients, to be interrupted without the lock. The caller holds it.
func (g *Guard) giveUpBodies(now time.Time, timeout time.Duration, reason Reason) []*client {
	expired := g.table.Expired(now, connlimit.Timeouts{connlimit.Receiving: timeout})
	for _, c := range expired {
		g.table.GiveUp(now, c)
		g.recordGivenUp(c, reason)
	}
	return expired
}

// interrupt ends the reading of bodies that are given up.
func interrupt(clients []*client) {
	for _, c := range clients {
		_ = c.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
	}
}
