package entry

import (
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/owner"
)

// drainingRetryAfter is the Retry-After of a draining entry, which the balancer has taken out
// of rotation by then.
const drainingRetryAfter = time.Second

type tokenReply struct {
	Token string `json:"token"`
}

type targetsReply struct {
	Targets []owner.TargetStatus `json:"targets"`
}

type statusReply struct {
	owner.Status
	DataCentre string `json:"data_centre,omitempty"`
	Unclaimed  int    `json:"unclaimed"` // answers that callers are still expected to ask for
}

type drainReply struct {
	Draining bool `json:"draining"`
}

// issueToken serves GET /v1/token. A draining entry issues none, since it would reject the
// submissions whose ids are made from it.
func (a *api) issueToken(g *gin.Context) {
	if a.draining.Load() {
		writeFault(g, "", fault.Refused(fault.Draining, "this entry is leaving; ask another", drainingRetryAfter))
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

// startDrain serves POST /v1/drain. A repeated request has no further effect.
func (a *api) startDrain(g *gin.Context) {
	a.drain()
	writeJSON(g, http.StatusAccepted, drainReply{true})
}

// health serves GET /healthz for the balancer.
func (a *api) health(g *gin.Context) {
	if a.draining.Load() {
		writeFault(g, "", fault.Refused(fault.Draining, "this entry is leaving", drainingRetryAfter))
		return
	}
	writeJSON(g, http.StatusOK, drainReply{false})
}

// serveMetrics serves GET /metrics.
func (a *api) serveMetrics(g *gin.Context) {
	var status owner.Status
	if err := a.control.do(func(_ time.Time, c core) { status = c.Status() }); err != nil {
		writeFault(g, "", err)
		return
	}
	a.metrics.update(status)
	writeJSON(g, http.StatusOK, a.metrics.Registry)
}
