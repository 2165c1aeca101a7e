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

// api serves the HTTP requests of callers, operators, the balancer and other entries.
type api struct {
	log        logr.Logger
	clock      clock.Clock
	key        job.Key
	owner      job.Owner
	token      string
	dataCentre string
	maxTimeout time.Duration

	control           *controlLoop
	forwarder         *forward.Forwarder
	agents            *agents
	config            *configuration
	unclaimed         *unclaimed
	metrics           *counters
	draining          *atomic.Bool
	caughtUp          chan struct{}      // closed when catchUp has ended
	drain             func()             // starts a graceful shutdown
	pullConfiguration func(entry string) // fetches from another entry the configuration that this one lacks
}

func init() { gin.SetMode(gin.ReleaseMode) }

// handler returns the HTTP handler with all routes.
func (a *api) handler() http.Handler {
	g := gin.New()
	g.HandleMethodNotAllowed = true
	g.Use(a.instrument, a.recover)
	g.NoRoute(a.notFound)
	g.NoMethod(a.notFound)

	g.GET("/v1/token", a.requireConfiguration, a.issueToken)
	g.POST("/v1/jobs", a.submit(false))
	g.POST("/v1/requests", a.submit(true))
	g.GET("/v1/jobs/:id", a.lookup)
	g.DELETE("/v1/jobs/:id", a.cancel)
	g.POST(pathCancel, a.cancelMany)

	g.GET("/v1/targets", a.targets)
	g.GET("/v1/status", a.status)
	g.GET(config.ReportPath, a.requireConfiguration, a.serveConfiguration)
	g.POST(config.ReportPath+"/:version", a.refresh)
	g.POST("/v1/drain", a.startDrain)
	g.GET("/healthz", a.requireConfiguration, a.health)
	g.GET("/metrics", a.serveMetrics)

	g.GET(session.Path, a.awaitConfiguration, a.agents.serve)
	g.POST(pathPeer, a.registerPeer)
	return g
}

// instrument sets the incarnation header on every response. It counts the request, the
// response's status class and its fault.
func (a *api) instrument(g *gin.Context) {
	g.Header(forward.HeaderIncarnation, a.owner.Incarnation.String())
	a.metrics.requests.Inc(1)
	g.Next()
	a.metrics.countResponse(g.Writer.Status())
	if name := g.GetString(contextKeyFault); name != "" {
		a.metrics.countFault(name)
	}
}

// recover turns a handler's panic into an error response. It repeats the panic of a broken
// invariant, which the operator has configured to crash the process.
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

// errPanic is the error of a request whose handler panicked: its effect is unknown.
var errPanic = errors.New("the request could not be served")

func (a *api) notFound(g *gin.Context) {
	writeFault(g, "", fault.Input(fault.UnknownResource, "path", "no such path or method"))
}
