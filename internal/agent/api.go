package agent

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"
	"github.com/rcrowley/go-metrics"

	"github.com/camphorrack/camphorrack/internal/attempt"
	"github.com/camphorrack/camphorrack/internal/config"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/targetapi"
)

// maxAnnouncementBytes limits the body of an announcement.
const maxAnnouncementBytes = 16 << 10

func init() { gin.SetMode(gin.ReleaseMode) }

// handler returns the HTTP routes for the target and for operators.
func (a *Agent) handler() http.Handler {
	g := gin.New()
	g.HandleMethodNotAllowed = true
	g.NoRoute(unknownPath)
	g.NoMethod(unknownPath)
	g.POST(targetapi.AnnouncePath, a.handleAnnounce)
	g.GET("/v1/status", a.handleStatus)
	g.GET(config.ReportPath, a.handleConfig)
	g.POST("/v1/drain", a.handleDrain)
	g.GET("/healthz", a.handleHealth)
	g.GET("/metrics", a.handleMetrics)
	return g
}

func unknownPath(g *gin.Context) {
	writeFault(g, fault.Input(fault.UnknownResource, "path", "no such path or method"))
}

// failure is the JSON body of an error response. Entries use the same format.
type failure struct {
	Failure *fault.Fault `json:"failure"`
}

// writeFault responds with the fault in err and its HTTP status. Other errors become the fault
// Undecided.
func writeFault(g *gin.Context, err error) {
	var f *fault.Fault
	if !errors.As(err, &f) {
		f = fault.New(fault.Undecided, err.Error())
	}
	g.JSON(f.Code.Status(), failure{f})
}

func (a *Agent) handleAnnounce(g *gin.Context) {
	announcement, err := decodeAnnouncement(g.Request.Body)
	if err != nil {
		writeFault(g, err)
		return
	}
	var refusal error
	err = a.control.do(func(now time.Time, s *state) { refusal = s.applyAnnouncement(now, announcement) })
	if err = errors.CombineErrors(refusal, err); err != nil {
		writeFault(g, err)
		return
	}
	g.JSON(http.StatusOK, struct{}{})
}

// decodeAnnouncement parses and validates an announcement. The error is a *fault.Fault.
func decodeAnnouncement(body io.Reader) (*targetapi.Announcement, error) {
	limited := &io.LimitedReader{R: body, N: maxAnnouncementBytes}
	decoder := json.NewDecoder(limited)
	decoder.DisallowUnknownFields()
	a := &targetapi.Announcement{}
	err := decoder.Decode(a)
	switch {
	case limited.N == 0:
		return nil, fault.Input(fault.BodyTooLarge, "body", "at most 16384 bytes")
	case err != nil:
		return nil, fault.Input(fault.BadBody, "body", err.Error())
	case decoder.More():
		return nil, fault.Input(fault.BadBody, "body", "something follows the announcement")
	}
	return a, a.Validate()
}

// handleDrain begins a drain, after which the process ends.
func (a *Agent) handleDrain(g *gin.Context) {
	a.beginDrain()
	a.requestShutdown()
	g.JSON(http.StatusOK, struct{}{})
}

// handleHealth responds with 200, or with the fault Draining once a drain has begun.
func (a *Agent) handleHealth(g *gin.Context) {
	if a.draining.Load() {
		g.JSON(http.StatusServiceUnavailable, failure{fault.New(fault.Draining, "")})
		return
	}
	g.JSON(http.StatusOK, struct{}{})
}

// status returns the status of the attempt table, read on the control goroutine.
func (a *Agent) status() (attempt.Status, error) {
	var status attempt.Status
	err := a.control.do(func(_ time.Time, s *state) { status = s.table.Status() })
	return status, err
}

func (a *Agent) handleStatus(g *gin.Context) {
	status, err := a.status()
	if err != nil {
		writeFault(g, err)
		return
	}
	g.JSON(http.StatusOK, status)
}

func (a *Agent) handleMetrics(g *gin.Context) {
	status, err := a.status()
	if err != nil {
		writeFault(g, err)
		return
	}
	a.metrics.updateAttemptGauges(&status)
	g.Header("Content-Type", "application/json; charset=utf-8")
	metrics.WriteJSONOnce(a.metrics.Registry, g.Writer)
}
