package agent

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/camphorrack/camphorrack/internal/attempt"
	"github.com/camphorrack/camphorrack/internal/targetapi"
	"github.com/camphorrack/camphorrack/internal/wire"
)

const (
	// dialTimeout limits connecting to the target, which is on the same host or near it. No
	// byte of the request has been sent at that point, so the task can run on another target.
	dialTimeout = time.Second
	// When a middlebox drops the state of a connection, requests on it get no answer while new
	// connections work. HTTP/1 has no heartbeat, so the kernel detects this: it resets the
	// connection when data is unacknowledged for unackedTimeout or three keep-alive probes in
	// a row are unanswered. The caller of the job then learns in seconds that the outcome is
	// unknown, instead of at the deadline.
	unackedTimeout    = 1500 * time.Millisecond
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	// maxResultBytes limits the result of a task: a job of 290 such results still fits in the
	// memory of an entry, and one fits in a frame beside other content.
	maxResultBytes = 1 << 20
	// maxDetailBytes limits how much of a target's error body is passed on as detail.
	maxDetailBytes = 1 << 10
)

// targetClient runs tasks on one target over HTTP. It never sends a request twice: the body
// cannot be rewound, and the transport does not retry POST.
type targetClient struct {
	url       string
	transport *http.Transport
}

func newTargetClient(address string, connections int) *targetClient {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
	return &targetClient{url: "http://" + address + targetapi.RunPath, transport: &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &trackedConn{Conn: conn}, nil
		},
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
		Protocols:           http1Only(),
	}}
}

func http1Only() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	return p
}

// setUserTimeout sets TCP_USER_TIMEOUT, the limit for sent data to stay unacknowledged.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.CombineErrors(failure, err)
}

// callResult is the outcome of one call.
type callResult struct {
	attempt.Outcome
	// unreachable is set if no connection to the target could be obtained and the call was not
	// cancelled.
	unreachable bool
}

// call runs a task on the target and returns the outcome, with its duration in milliseconds.
// Cancelling ctx closes the connection.
func (c *targetClient) call(ctx context.Context, s *wire.Start) callResult {
	startedAt := time.Now()
	out := c.roundTrip(ctx, s)
	out.RunMs = float64(time.Since(startedAt).Microseconds()) / 1000
	return out
}

// roundTrip sends the request and reads the answer. An error counts as "not run" only if the
// tracker proves that nothing was written.
func (c *targetClient) roundTrip(ctx context.Context, s *wire.Start) callResult {
	var p writeTracker
	request, err := c.request(httptrace.WithClientTrace(ctx, p.trace()), s)
	if err != nil {
		return callResult{Outcome: notRunOutcome(err)}
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil && p.nothingWritten() {
		return callResult{Outcome: notRunOutcome(err), unreachable: p.neverConnected() && ctx.Err() == nil}
	}
	if err != nil {
		return callResult{Outcome: attempt.Outcome{State: wire.Unknown, Detail: err.Error()}}
	}
	defer func() { _ = response.Body.Close() }() // the outcome is known; a close error does not change it
	return callResult{Outcome: readResponse(response)}
}

// notRunOutcome returns the outcome of a task that the target cannot have received.
func notRunOutcome(err error) attempt.Outcome {
	return attempt.Outcome{State: wire.NotRun, Reason: wire.ReasonTargetUnavailable, Detail: err.Error()}
}

// request builds a request that can be sent only once. GetBody stays unset: with it, net/http
// would resend the request when a connection breaks. The body has a type that net/http
// recognises as in-memory, so that it is sent in one write with the header.
func (c *targetClient) request(ctx context.Context, s *wire.Start) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url, nil)
	if err != nil {
		return nil, err
	}
	if len(s.Payload) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(s.Payload))
		request.ContentLength = int64(len(s.Payload))
	}
	request.Header.Set(targetapi.HeaderTask, s.Job+"/"+strconv.Itoa(s.Task))
	request.Header.Set(targetapi.HeaderClass, s.Class)
	return request, nil
}

// readResponse maps a response to an outcome. Only status 503 with the "not run" header proves
// that the task did not begin.
func readResponse(response *http.Response) attempt.Outcome {
	if response.StatusCode == http.StatusOK {
		return readResult(response.Body)
	}
	detail, _ := io.ReadAll(io.LimitReader(response.Body, maxDetailBytes)) // a partial detail is good enough
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(targetapi.HeaderNotRun) == "1" {
		return attempt.Outcome{State: wire.NotRun, Reason: wire.ReasonTargetUnavailable, Detail: string(detail)}
	}
	return attempt.Outcome{State: wire.FailedRun, Detail: fmt.Sprintf("status %d: %s", response.StatusCode, detail)}
}

func readResult(body io.Reader) attempt.Outcome {
	result, err := io.ReadAll(io.LimitReader(body, maxResultBytes+1))
	switch {
	case err != nil:
		return attempt.Outcome{State: wire.Unknown, Detail: "the answer broke off: " + err.Error()}
	case len(result) > maxResultBytes:
		return attempt.Outcome{State: wire.FailedRun, Detail: "it ran, but its result is larger than 1048576 bytes"}
	}
	return attempt.Outcome{State: wire.Succeeded, Result: result}
}

// close closes idle connections; calls in progress continue.
func (c *targetClient) close() { c.transport.CloseIdleConnections() }
