package entry

import (
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/owner"
)

// drainingRetry is when a caller should try again: the balancer has taken a
// draining entry out by then.
const drainingRetry = time.Second

type tokenReply struct {
	Token string `json:"token"`
}

type targetsReply struct {
	Targets []owner.TargetStatus `json:"targets"`
}

type statusReply struct {
	owner.Status
	DataCentre string `json:"data_centre,omitempty"`
	Unclaimed  int    `json:"unclaimed"` // answers whose callers will still ask
}

type drainReply struct {
	Draining bool `json:"draining"`
}

// giveToken serves GET /v1/token. A draining entry gives none: ids made from it
// would only be refused.
func (a *api) giveToken(g *gin.Context) {
	if a.draining.Load() {
		writeFault(g, "", fault.Refused(fault.Draining, "this entry is leaving; ask another", drainingRetry))
		return
	}
	writeJSON(g, http.StatusOK, tokenReply{a.token})
}

// targets serves GET /v1/targets.
func (a *api) targets(g *gin.Context) {
	var reply targetsReply
	if err := a.control.do(func(_ time.Time, c core) { reply.Targets = c.Targets() }); err != nil {
		writeFault(g, "", err)
		return
	}
	writeJSON(g, http.StatusOK, reply)
}

// status serves GET /v1/status.
func (a *api) status(g *gin.Context) {
	reply := statusReply{DataCentre: a.dataCentre, Unclaimed: a.unclaimed.len(a.clock.Now())}
	if err := a.control.do(func(_ time.Time, c core) { reply.Status = c.Status() }); err != nil {
		writeFault(g, "", err)
		return
	}
	writeJSON(g, http.StatusOK, reply)
}

// startDrain serves POST /v1/drain; asking again changes nothing.
func (a *api) startDrain(g *gin.Context) {
	a.drain()
	writeJSON(g, http.StatusAccepted, drainReply{true})
}

// health serves GET /healthz for the balancer.
func (a *api) health(g *gin.Context) {
	if a.draining.Load() {
		writeFault(g, "", fault.Refused(fault.Draining, "this entry is leaving", drainingRetry))
		return
	}
	writeJSON(g, http.StatusOK, drainReply{false})
}

// giveMetrics serves GET /metrics.
func (a *api) giveMetrics(g *gin.Context) {
	var status owner.Status
	if err := a.control.do(func(_ time.Time, c core) { status = c.Status() }); err != nil {
		writeFault(g, "", err)
		return
	}
	a.metrics.update(status)
	writeJSON(g, http.StatusOK, a.metrics.Registry)
}
