package entry

import (
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/forward"
	"github.com/camphorrack/camphorrack/internal/job"
)

// ownerRequest returns the request to forward to the owner of its id.
func (a *api) ownerRequest(g *gin.Context, id job.ID, body []byte, wait time.Duration) forward.Request {
	return forward.Request{
		Owner: id.Owner, ID: id.String(), Deadline: id.Deadline,
		Method: g.Request.Method, Path: g.Request.URL.Path, Body: body, Wait: wait, AcceptsWait: true,
	}
}

// forwardToOwner forwards a request to the owner of its id and writes the owner's reply. If
// a complete answer arrives too late to be given, it asks the owner once more.
func (a *api) forwardToOwner(g *gin.Context, id job.ID, r forward.Request) {
	if f := a.checkForwardable(g, id.Owner); f != nil {
		writeFault(g, id.String(), f)
		return
	}
	reply, err := a.forwarder.Do(g.Request.Context(), r)
	if err == nil && a.completePastGrace(id, r, reply) {
		reply, err = a.forwarder.Do(g.Request.Context(), a.withheldRequest(g, id))
	}
	if err == nil && a.completePastGrace(id, r, reply) {
		err = fault.New(fault.Undecided, "the owner's clock is behind; ask again with the same id")
	}
	if err != nil {
		writeFault(g, id.String(), err)
		return
	}
	writeReply(g, reply)
}

// completePastGrace reports whether the owner's reply is a complete answer that may no longer
// be given.
func (a *api) completePastGrace(id job.ID, r forward.Request, reply *forward.Reply) bool {
	return r.AcceptsWait && reply.Status == http.StatusOK && a.pastAnswerGrace(id)
}

// withheldRequest returns the request that asks the owner again after its complete answer
// came too late to be given.
func (a *api) withheldRequest(g *gin.Context, id job.ID) forward.Request {
	r := a.ownerRequest(g, id, nil, 0)
	r.Method, r.Path, r.Withheld = http.MethodGet, forward.JobPath(id.String()), true
	return r
}

// checkForwardable returns the fault that a request gets instead of being forwarded to the
// owner, or nil.
func (a *api) checkForwardable(g *gin.Context, o job.Owner) *fault.Fault {
	if o.Addr == a.owner.Addr {
		// This process listens at the owner's address, so the owner has ended. A call to
		// the address would only find the same.
		return forward.OwnerGone(o)
	}
	if g.GetHeader(forward.HeaderForwarded) != "" {
		return fault.New(fault.Undecided, "a request that was forwarded already belongs to yet another entry")
	}
	return nil
}
