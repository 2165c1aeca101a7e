package entry

import (
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"
	"github.com/go-logr/logr"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/config"
	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/forward"
	"github.com/camphorrack/camphorrack/internal/invariant"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/session"
)

const pathCancel = "/v1/cancel"

// api serves HTTP: callers, operators, the balancer and other entries.
type api struct {
	log        logr.Logger
	clock      clock.Clock
	key        job.Key
	owner      job.Owner
	token      string
	dataCentre string
	maxTimeout time.Duration

	control   *controlLoop
	forwarder *forward.Forwarder
	agents    *agents
	config    *configuration
	unclaimed *unclaimed
	metrics   *counters
	draining  *atomic.Bool
	caughtUp  chan struct{}      // closed once the newest configuration is known
	drain     func()             // starts a graceful shutdown
	pull      func(entry string) // takes what another entry has of the configuration and this one lacks
}

func init() { gin.SetMode(gin.ReleaseMode) }

// handler returns the routes.
func (a *api) handler() http.Handler {
	g := gin.New()
	g.HandleMethodNotAllowed = true
	g.Use(a.mark, a.recover)
	g.NoRoute(a.unknown)
	g.NoMethod(a.unknown)

	g.GET("/v1/token", a.needsConfiguration, a.giveToken)
	g.POST("/v1/jobs", a.submit(false))
	g.POST("/v1/requests", a.submit(true))
	g.GET("/v1/jobs/:id", a.lookup)
	g.DELETE("/v1/jobs/:id", a.cancel)
	g.POST(pathCancel, a.cancelMany)

	g.GET("/v1/targets", a.targets)
	g.GET("/v1/status", a.status)
	g.GET(config.ReportPath, a.needsConfiguration, a.configuration)
	g.POST(config.ReportPath+"/:version", a.refresh)
	g.POST("/v1/drain", a.startDrain)
	g.GET("/healthz", a.needsConfiguration, a.health)
	g.GET("/metrics", a.giveMetrics)

	g.GET(session.Path, a.awaitConfiguration, a.agents.serve)
	g.POST(pathPeer, a.takePeer)
	return g
}

// mark names this run of the process on every response and counts it.
func (a *api) mark(g *gin.Context) {
	g.Header(forward.HeaderIncarnation, a.owner.Incarnation.String())
	a.metrics.requests.Inc(1)
	g.Next()
	a.metrics.status(g.Writer.Status())
	if name := g.GetString(keyFault); name != "" {
		a.metrics.fault(name)
	}
}

// recover turns a panic of one request into its failure, except for a broken
// invariant that the operator wants to see as a crash.
func (a *api) recover(g *gin.Context) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		var breach *invariant.Breach
		if err, ok := cause.(error); ok && errors.As(err, &breach) {
			panic(cause)
		}
		a.metrics.panics.Inc(1)
		event.Log(a.log, event.InvariantBroken, "invariant", "no handler panics", "history", string(debug.Stack()), "cause", cause)
		if !g.Writer.Written() {
			writeFault(g, "", errPanic)
		}
	}()
	g.Next()
}

// errPanic stands for a request whose handler panicked: what it did is unknown.
var errPanic = errors.New("the request could not be served")

func (a *api) unknown(g *gin.Context) {
	writeFault(g, "", fault.Input(fault.UnknownResource, "path", "no such path or method"))
}
