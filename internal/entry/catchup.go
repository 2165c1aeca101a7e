package entry

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"

	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/silence"
)

const (
	// catchUpTimeout is how long a new entry takes no work while others that may have a
	// newer configuration are silent. It outlasts a pause of some seconds; a host that is
	// gone for good must not hold up its peers for longer.
	catchUpTimeout = 6 * time.Second
	// catchUpRetry is the pause between two questions to a silent entry.
	catchUpRetry = 50 * time.Millisecond
	// catchUpLater is when a caller should ask a new entry again for a token.
	catchUpLater = 500 * time.Millisecond
)

// Where a new entry's configuration was confirmed.
const (
	confirmedByLog     = "log"
	confirmedByEntries = "entries"
	unconfirmed        = "unconfirmed"
)

// catchUp takes the newest configuration before the entry takes work: until the log was
// read to its end, or every entry in the settings has told what it has and the log can't
// be read. Agents hear of a change up to FanOutSpread after the entries; with what they
// tell first, a restarted entry would enforce an older configuration than its predecessor.
// It returns where the configuration was confirmed.
func (e *Entry) catchUp() string {
	defer close(e.api.caughtUp)
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	watch := silence.NewWatch(catchUpTimeout, cancel)
	defer watch.Stop()
	told := make(chan struct{})
	go func() {
		e.askAll(ctx)
		close(told)
	}()
	polled := e.api.config.polled()
	logUnread := polled != nil
	for told != nil || logUnread {
		select {
		case <-told:
			told = nil
		case current := <-polled:
			if current {
				return confirmedByLog
			}
			logUnread = false
		case <-ctx.Done():
			return unconfirmed
		case <-e.drainedCh:
			return unconfirmed
		}
	}
	return confirmedByEntries
}

// askAll returns when every entry in the settings has told what it has, or the context
// has ended.
func (e *Entry) askAll(ctx context.Context) {
	var asked sync.WaitGroup
	for _, addr := range e.o.entries() {
		asked.Go(func() { e.askUntilTold(ctx, addr) })
	}
	asked.Wait()
}

// askUntilTold asks an entry until it answers, or nothing listens at its address: what a
// process knew that has ended is lost.
func (e *Entry) askUntilTold(ctx context.Context, addr string) {
	for {
		err := e.introduceOnce(ctx, addr)
		if err == nil || errors.Is(err, errIntroductionRefused) || errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(catchUpRetry):
		}
	}
}

// ready reports whether the entry has caught up.
func (a *api) ready() bool {
	select {
	case <-a.caughtUp:
		return true
	default:
		return false
	}
}

// needsConfiguration turns requests away that depend on the configuration while the entry
// may have an older one than its predecessor.
func (a *api) needsConfiguration(g *gin.Context) {
	if a.ready() {
		return
	}
	writeFault(g, "", fault.Refused(fault.NoConfiguration, "this entry has just started and looks for the newest configuration; ask another", catchUpLater))
	g.Abort()
}

// awaitConfiguration holds an agent's session back until the entry has caught up: what
// agents tell may be older than what other entries have.
func (a *api) awaitConfiguration(g *gin.Context) {
	select {
	case <-a.caughtUp:
	case <-g.Request.Context().Done():
		g.Abort()
	}
}
