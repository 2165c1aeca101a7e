package entry

import (
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/forward"
	"github.com/camphorrack/camphorrack/internal/job"
)

// request describes this request for its owner.
func (a *api) request(g *gin.Context, id job.ID, body []byte, wait time.Duration) forward.Request {
	return forward.Request{
		Owner: id.Owner, ID: id.String(), Deadline: id.Deadline,
		Method: g.Request.Method, Path: g.Request.URL.Path, Body: body, Wait: wait, AcceptsWait: true,
	}
}

// pass sends a request on to the owner of its id and writes the owner's reply.
func (a *api) pass(g *gin.Context, id job.ID, r forward.Request) {
	if f := a.dontPass(g, id.Owner); f != nil {
		writeFault(g, id.String(), f)
		return
	}
	reply, err := a.forwarder.Do(g.Request.Context(), r)
	if err == nil && a.completeLapsed(id, r, reply) {
		reply, err = a.forwarder.Do(g.Request.Context(), a.withheldRequest(g, id))
	}
	if err == nil && a.completeLapsed(id, r, reply) {
		err = fault.New(fault.Undecided, "the owner's clock is behind; ask again with the same id")
	}
	if err != nil {
		writeFault(g, id.String(), err)
		return
	}
	writeReply(g, reply)
}

// completeLapsed reports whether the owner's reply is a complete answer that must no
// longer be given.
func (a *api) completeLapsed(id job.ID, r forward.Request, reply *forward.Reply) bool {
	return r.AcceptsWait && reply.Status == http.StatusOK && a.lapsed(id)
}

// withheldRequest asks the owner again after its complete answer came too late to be
// passed on.
func (a *api) withheldRequest(g *gin.Context, id job.ID) forward.Request {
	r := a.request(g, id, nil, 0)
	r.Method, r.Path, r.Withheld = http.MethodGet, forward.JobPath(id.String()), true
	return r
}

// dontPass returns why a request must not be passed on to the owner, or nil.
func (a *api) dontPass(g *gin.Context, o job.Owner) *fault.Fault {
	if o.Addr == a.owner.Addr {
		// This process listens where the owner did, so the owner has ended; calling
		// the address would only prove it the long way.
		return forward.OwnerGone(o)
	}
	if g.GetHeader(forward.HeaderForwarded) != "" {
		return fault.New(fault.Undecided, "a request that was forwarded already belongs to yet another entry")
	}
	return nil
}
