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

// catchUp takes the newest configuration before the entry takes work: from the log, or, where
// that can't be read, from every entry in the settings. Agents hear of a change up to
// FanOutSpread later; with what they tell first, an entry would enforce an older configuration
// than its predecessor. It returns what confirmed it, and which entries have told nothing.
func (e *Entry) catchUp() (by string, silent []string) {
	defer close(e.api.caughtUp)
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	watch := silence.NewWatchdog(catchUpTimeout, cancel)
	defer watch.Stop()
	silent = e.o.entries()
	told := make(chan string, len(silent))
	for _, addr := range silent {
		go e.askUntilTold(ctx, addr, told)
	}
	polled := e.api.config.polled()
	logUnread := polled != nil
	for len(silent) > 0 || logUnread {
		select {
		case addr := <-told:
			silent = slices.DeleteFunc(silent, func(other string) bool { return other == addr })
		case current := <-polled:
			if current {
				return confirmedByLog, silent
			}
			logUnread = false
		case <-ctx.Done():
			return unconfirmed, silent
		case <-e.drainedCh:
			return unconfirmed, silent
		}
	}
	return confirmedByEntries, nil
}

// askUntilTold asks an entry until it answers, or nothing listens at its address: what a
// process knew that has ended is lost. Then it sends the address.
func (e *Entry) askUntilTold(ctx context.Context, addr string, told chan<- string) {
	for ctx.Err() == nil {
		err := e.introduceOnce(ctx, addr)
		if err == nil || errors.Is(err, errIntroductionRefused) || errors.Is(err, syscall.ECONNREFUSED) {
			told <- addr
			return
		}
		clock.Sleep(ctx, catchUpRetry)
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
