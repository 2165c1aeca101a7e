package entry

import (
	"context"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/watchdog"
)

const (
	// catchUpTimeout bounds how long a new entry accepts no work while other entries that may
	// have a newer configuration don't answer. It outlasts a pause of some seconds; a host
	// that is gone permanently must not delay its peers for longer.
	catchUpTimeout = 6 * time.Second
	// catchUpRetryInterval is the pause between two requests to an entry that doesn't answer.
	catchUpRetryInterval = 50 * time.Millisecond
	// catchUpRetryAfter is the Retry-After of requests that are rejected until catchUp has ended.
	catchUpRetryAfter = 500 * time.Millisecond
)

// What confirmed that a new entry's configuration is the newest, for the log.
const (
	confirmedByLog     = "log"
	confirmedByEntries = "entries"
	unconfirmed        = "unconfirmed"
)

// catchUp fetches the newest configuration before the entry accepts work: from the log or, if
// that can't be read, from every entry in the settings. Agents receive a change up to
// config.MaxFanOutDelay later than entries: with the first configuration from an agent, an entry
// could enforce an older one than its predecessor. It returns what confirmed the configuration,
// and the entries that have not answered.
func (e *Entry) catchUp() (confirmedBy string, unanswered []string) {
	defer close(e.api.caughtUp)
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	watch := watchdog.NewWatchdog(catchUpTimeout, cancel)
	defer watch.Stop()
	unanswered = e.options.entries()
	answered := make(chan string, len(unanswered))
	for _, addr := range unanswered {
		go e.introduceUntilAnswered(ctx, addr, answered)
	}
	polled := e.api.config.polled()
	logPending := polled != nil
	for len(unanswered) > 0 || logPending {
		select {
		case addr := <-answered:
			unanswered = slices.DeleteFunc(unanswered, func(other string) bool { return other == addr })
		case current := <-polled:
			if current {
				return confirmedByLog, unanswered
			}
			logPending = false
		case <-ctx.Done():
			return unconfirmed, unanswered
		case <-e.done:
			return unconfirmed, unanswered
		}
	}
	return confirmedByEntries, nil
}

// introduceUntilAnswered introduces this entry to another one until that replies, or until its
// address refuses connections: then the process has ended, and its configuration is lost. Then
// it sends the address on answered.
func (e *Entry) introduceUntilAnswered(ctx context.Context, addr string, answered chan<- string) {
	for ctx.Err() == nil {
		err := e.introduceOnce(ctx, addr)
		if err == nil || errors.Is(err, errIntroductionRefused) || errors.Is(err, syscall.ECONNREFUSED) {
			answered <- addr
			return
		}
		clock.Sleep(ctx, catchUpRetryInterval)
	}
}

// ready reports whether catchUp has ended.
func (a *api) ready() bool {
	select {
	case <-a.caughtUp:
		return true
	default:
		return false
	}
}

// requireConfiguration rejects requests that depend on the configuration until catchUp has
// ended: before that, the entry may have an older one than its predecessor.
func (a *api) requireConfiguration(g *gin.Context) {
	if a.ready() {
		return
	}
	writeFault(g, "", fault.Refused(fault.NoConfiguration, "this entry has just started and looks for the newest configuration; ask another", catchUpRetryAfter))
	g.Abort()
}

// awaitConfiguration delays an agent's session until catchUp has ended: the agent's
// configuration may be older than that of other entries.
func (a *api) awaitConfiguration(g *gin.Context) {
	select {
	case <-a.caughtUp:
	case <-g.Request.Context().Done():
		g.Abort()
	}
}
