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

// configuration keeps the entry's configuration: read from the platform's log,
// heard from agents, told to agents, and handed to the control state.
type configuration struct {
	holder   *config.Replica
	fanOut   *config.FanOut
	follower *follower.Follower // nil without a log: then agents alone bring it
	news     chan struct{}      // the log has brought a change
	stop     context.CancelFunc
}

func newConfiguration(e *Entry) *configuration {
	self := e.api.owner
	where := config.Location{DataCentre: e.o.DataCentre, Entry: self.Addr.String()}
	c := &configuration{holder: config.NewReplica(where, e.clock, e.log), fanOut: config.NewFanOut(nil), news: make(chan struct{}, 1)}
	if e.o.LogURL != "" {
		c.follower = follower.New(follower.Options{
			Log: e.o.OpenLog(e.o.LogURL), Replica: c.holder, Clock: e.clock, Logger: e.log,
			Rand: c.random(), SnapshotInterval: e.o.SnapshotInterval,
		})
	}
	return c
}

// random spreads the work of several processes; it decides nothing else.
func (c *configuration) random() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// start follows the log and tells agents until end. The control goroutine must run.
func (c *configuration) start(k *controlLoop) {
	ctx, stop := context.WithCancel(context.Background())
	c.stop = stop
	c.holder.Watch(func(a *config.Applied) {
		if a.State.Version == 0 {
			return // the built-in defaults are what the process starts with
		}
		if a.Source == config.SourceLog {
			c.noteNews()
		}
		// In a goroutine: the channel of commands may be full for a while. The
		// command takes what is newest then, so an older one can't come last.
		go func() {
			_ = k.Push(func(now time.Time, core core) { core.Configure(now, c.holder.Get()) }) // fails only at the end
		}()
	})
	go c.fanOut.Run(ctx)
	if c.follower != nil {
		go c.follower.Run(ctx)
	}
}

// polled brings whether the log was read to its end; nil without a log.
func (c *configuration) polled() <-chan bool {
	if c.follower == nil {
		return nil
	}
	return c.follower.PollResults()
}

func (c *configuration) end() {
	if c.stop != nil {
		c.stop()
	}
}

// open takes a new agent's connection in.
func (c *configuration) open(s *agentSession) {
	link := config.NewEntryLink(c.holder, c.random())
	s.config = c.fanOut.Add(link, func(mark uint64, update []byte) {
		s.conn.Send(&wire.ToAgent{Version: mark, Config: update})
	})
}

func (c *configuration) close(s *agentSession) {
	if s.config != nil {
		c.fanOut.Remove(s.config)
	}
}

func (c *configuration) noteNews() {
	select {
	case c.news <- struct{}{}:
	default: // somebody is about to be told of what is newest
	}
}

// behind reports whether an entry at the given mark has a newer configuration.
func (c *configuration) behind(mark string) bool {
	theirs, err := strconv.ParseUint(mark, 10, 64)
	return err == nil && theirs > c.holder.Position()
}

// lacking returns, encoded, what an entry at the given mark lacks; nothing where it
// is up to date or did not say, as entries of an older release.
func (c *configuration) lacking(mark string) []byte {
	theirs, err := strconv.ParseUint(mark, 10, 64)
	if err != nil || theirs >= c.holder.Position() {
		return nil
	}
	update, err := c.holder.EncodeUpdate(theirs)
	if err != nil {
		return nil // a state that can't be encoded is one the peer can't have either
	}
	return update
}

// Waiting for a version that an operator's tool asks for.
const (
	refreshTimeout = 2 * time.Second
	refreshPoll    = 10 * time.Millisecond
)

// refresh serves POST /v1/config/:version: it reads the log now and answers when the
// version asked for is in force, or after a while with what is. An operator's
// tool calls it after a change, so that the change is held by a process, too, and
// not by the log alone, by the time the operator is told.
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
	for a.config.holder.Get().State.Version < version && time.Now().Before(deadline) && g.Request.Context().Err() == nil {
		time.Sleep(refreshPoll)
	}
	a.configuration(g)
}

// configuration serves GET /v1/config.
func (a *api) configuration(g *gin.Context) { writeJSON(g, http.StatusOK, a.config.holder.Report()) }
