package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/camphorrack/camphorrack/internal/config"
	"github.com/camphorrack/camphorrack/internal/config/follower"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// configuration keeps the entry's configuration. It reads changes from the platform's log
// and from agents, sends them to agents, and applies them to the control state.
type configuration struct {
	replica  *config.Replica
	fanOut   *config.FanOut
	follower *follower.Follower // nil without a log: changes then come from agents alone
	changed  chan struct{}      // signals a change that was read from the log
	cancel   context.CancelFunc
}

func newConfiguration(e *Entry) *configuration {
	self := e.api.owner
	location := config.Location{DataCentre: e.options.DataCentre, Entry: self.Addr.String()}
	c := &configuration{replica: config.NewReplica(location, e.clock, e.log), fanOut: config.NewFanOut(nil), changed: make(chan struct{}, 1)}
	if e.options.LogURL != "" {
		c.follower = follower.New(follower.Options{
			Log: e.options.OpenLog(e.options.LogURL), Replica: c.replica, Clock: e.clock, Logger: e.log,
			Rand: c.newRand(), SnapshotInterval: e.options.SnapshotInterval,
		})
	}
	return c
}

// newRand returns a random source that spreads the work of several processes in time; it
// decides nothing else.
func (c *configuration) newRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// start follows the log and sends changes to agents until stop is called. The control
// goroutine must run.
func (c *configuration) start(k *controlLoop) {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.replica.Watch(func(a *config.Applied) {
		if a.State.Version == 0 {
			return // the control state starts with the built-in defaults
		}
		if a.Source == config.SourceLog {
			c.signalChange()
		}
		// In a goroutine, because Push blocks while the command queue is full. The command
		// reads the newest configuration when it runs, so an older one can't be applied last.
		go func() {
			_ = k.Push(func(now time.Time, core core) { core.Configure(now, c.replica.Get()) }) // fails only when the process ends
		}()
	})
	go c.fanOut.Run(ctx)
	if c.follower != nil {
		go c.follower.Run(ctx)
	}
}

// polled returns a channel that receives whether a poll read the log to its end, or nil
// without a log.
func (c *configuration) polled() <-chan bool {
	if c.follower == nil {
		return nil
	}
	return c.follower.PollResults()
}

func (c *configuration) stop() {
	if c.cancel != nil {
		c.cancel()
	}
}

// open adds a new agent's connection to those that changes are sent to.
func (c *configuration) open(s *agentSession) {
	link := config.NewEntryLink(c.replica, c.newRand())
	s.config = c.fanOut.Add(link, func(position uint64, update []byte) {
		s.conn.Send(&wire.ToAgent{Version: position, Config: update})
	})
}

func (c *configuration) close(s *agentSession) {
	if s.config != nil {
		c.fanOut.Remove(s.config)
	}
}

func (c *configuration) signalChange() {
	select {
	case c.changed <- struct{}{}:
	default: // an announcement is already due, and will carry the newest configuration
	}
}

// isBehind reports whether another entry, at the given position, has a newer configuration than
// this one.
func (c *configuration) isBehind(position string) bool {
	peerPosition, err := strconv.ParseUint(position, 10, 64)
	return err == nil && peerPosition > c.replica.Position()
}

// updateSince returns the encoded changes that another entry at the given position lacks. It
// returns nil if that entry is up to date, or sent no position, as entries of an older release do.
func (c *configuration) updateSince(position string) []byte {
	peerPosition, err := strconv.ParseUint(position, 10, 64)
	if err != nil || peerPosition >= c.replica.Position() {
		return nil
	}
	update, err := c.replica.EncodeUpdate(peerPosition)
	if err != nil {
		return nil // a state that can't be encoded is one the peer can't have either
	}
	return update
}

// Timing of refresh.
const (
	refreshTimeout = 2 * time.Second
	refreshPoll    = 10 * time.Millisecond
)

// refresh serves POST /v1/config/:version. It reads the log now and replies with the
// configuration in force, once that has reached the requested version or after
// refreshTimeout. An operator's tool calls it after a change, so that by the time the
// operator sees the result, a process holds the change too and not the log alone.
func (a *api) refresh(g *gin.Context) {
	version, err := strconv.ParseUint(g.Param("version"), 10, 64)
	if err != nil {
		writeFault(g, "", fault.Input(fault.BadField, "version", "takes a whole number"))
		return
	}
	if f := a.config.follower; f != nil {
		f.Wake()
	}
	deadline := time.Now().Add(refreshTimeout)
	for a.config.replica.Get().State.Version < version && time.Now().Before(deadline) && g.Request.Context().Err() == nil {
		time.Sleep(refreshPoll)
	}
	a.serveConfiguration(g)
}

// serveConfiguration serves GET /v1/config.
func (a *api) serveConfiguration(g *gin.Context) {
	writeJSON(g, http.StatusOK, a.config.replica.Report())
}
