package httpconn

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/camphorrack/camphorrack/internal/scheduler/connlimit"
)

const (
	// lingerTime and lingerBytes limit what is read of a body after the response to it. A connection that is
	// closed with unread data is reset, and the response may be lost with it.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 512 << 10
)

// serve sends the response of next as soon as next returns, even if the body of the request has not been
// received. net/http would wait for the rest of the body first, without a limit of time. The connection is
// kept if the rest arrives within lingerTime, and closed otherwise.
func (c *client) serve(next http.Handler, w http.ResponseWriter, r *http.Request) {
	if r.Body == nil || r.Body == http.NoBody {
		c.setPhase(connlimit.Serving)
		next.ServeHTTP(w, r)
		c.setPhase(connlimit.Answered)
		return
	}
	body := &trackedBody{ReadCloser: r.Body, client: c}
	request := *r
	request.Body = body
	response := &heldResponse{ResponseWriter: w}
	next.ServeHTTP(response, &request)
	body.client = nil // the rest of the body is not served
	c.setPhase(connlimit.Answered)
	if body.complete {
		response.send()
		return
	}
	controller := http.NewResponseController(w)
	_ = controller.EnableFullDuplex() // fails for protocols that need not be told
	response.send()
	// A failure to flush or to set the deadline means that the connection is broken.
	if controller.Flush() != nil || controller.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.CopyN(io.Discard, body, lingerBytes) // what counts is whether the body is complete now
	if !body.complete {
		_ = controller.SetReadDeadline(time.Unix(1, 0)) // or net/http reads on
		panic(http.ErrAbortHandler)
	}
}

// trackedBody is the body of a request and records whether it was read to its end.
type trackedBody struct {
	io.ReadCloser
	complete bool
	client   *client // enters phase Serving with the end of the body; nil: it does not
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.complete {
		b.complete = true
		b.client.setPhase(connlimit.Serving)
	}
	return n, err
}

// heldResponse holds a response until send is called, so that it can be sent with its length.
type heldResponse struct {
	http.ResponseWriter
	status int
	body   bytes.Buffer
}

// Unwrap gives http.ResponseController access to the connection.
func (h *heldResponse) Unwrap() http.ResponseWriter { return h.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (h *heldResponse) WriteHeader(status int) {
	if h.status == 0 {
		h.status = status
	}
}

// Write implements http.ResponseWriter.
func (h *heldResponse) Write(p []byte) (int, error) {
	h.WriteHeader(http.StatusOK)
	return h.body.Write(p)
}

// send sends the response.
func (h *heldResponse) send() {
	h.WriteHeader(http.StatusOK)
	if h.status != http.StatusNoContent && h.status != http.StatusNotModified { // which have no body
		h.Header().Set("Content-Length", strconv.Itoa(h.body.Len()))
	}
	h.ResponseWriter.WriteHeader(h.status)
	_, _ = h.ResponseWriter.Write(h.body.Bytes()) // fails if the client has left
}
