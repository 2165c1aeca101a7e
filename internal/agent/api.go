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

// maxAnnouncementBytes caps the body of an announcement.
const maxAnnouncementBytes = 16 << 10

func init() { gin.SetMode(gin.ReleaseMode) }

// handler returns the routes for the target and for operators.
func (a *Agent) handler() http.Handler {
	g := gin.New()
	g.HandleMethodNotAllowed = true
	g.NoRoute(unknown)
	g.NoMethod(unknown)
	g.POST(targetapi.AnnouncePath, a.takeAnnouncement)
	g.GET("/v1/status", a.giveStatus)
	g.GET(config.Path, a.giveConfig)
	g.POST("/v1/drain", a.takeDrain)
	g.GET("/healthz", a.giveHealth)
	g.GET("/metrics", a.giveMetrics)
	return g
}

func unknown(g *gin.Context) {
	refuse(g, fault.Input(fault.UnknownResource, "path", "no such path or method"))
}

// failure is the body of a refusal, as entries send it.
type failure struct {
	Failure *fault.Fault `json:"failure"`
}

func refuse(g *gin.Context, err error) {
	var f *fault.Fault
	if !errors.As(err, &f) {
		f = fault.New(fault.Undecided, err.Error())
	}
	g.JSON(f.Code.Status(), failure{f})
}

func (a *Agent) takeAnnouncement(g *gin.Context) {
	announcement, err := decodeAnnouncement(g.Request.Body)
	if err != nil {
		refuse(g, err)
		return
	}
	var refusal error
	err = a.control.do(func(now time.Time, s *state) { refusal = s.announce(now, announcement) })
	if err = errors.CombineErrors(refusal, err); err != nil {
		refuse(g, err)
		return
	}
	g.JSON(http.StatusOK, struct{}{})
}

// decodeAnnouncement reads and checks an announcement. The error is a *fault.Fault.
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

func (a *Agent) takeDrain(g *gin.Context) {
	a.beginDrain()
	a.askEnd()
	g.JSON(http.StatusOK, struct{}{})
}

func (a *Agent) giveHealth(g *gin.Context) {
	if a.draining.Load() {
		g.JSON(http.StatusServiceUnavailable, failure{fault.New(fault.Draining, "")})
		return
	}
	g.JSON(http.StatusOK, struct{}{})
}

// status returns the control state's figures.
func (a *Agent) status() (attempt.Status, error) {
	var status attempt.Status
	err := a.control.do(func(_ time.Time, s *state) { status = s.table.Status() })
	return status, err
}

func (a *Agent) giveStatus(g *gin.Context) {
	status, err := a.status()
	if err != nil {
		refuse(g, err)
		return
	}
	g.JSON(http.StatusOK, status)
}

func (a *Agent) giveMetrics(g *gin.Context) {
	status, err := a.status()
	if err != nil {
		refuse(g, err)
		return
	}
	a.metrics.update(&status)
	g.Header("Content-Type", "application/json; charset=utf-8")
	metrics.WriteJSONOnce(a.metrics.Registry, g.Writer)
}
