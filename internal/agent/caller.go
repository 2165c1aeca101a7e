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
	// dialTimeout bounds connecting to the target, which is on the same host or
	// next to it. Nothing was sent by then, so the task may go elsewhere.
	dialTimeout = time.Second
	// A connection whose middle has lost track of it takes a request and never
	// brings an answer, while new ones work. HTTP/1 has no heartbeat of its own, so
	// the kernel is asked to notice: data not acknowledged for unackedTimeout, or
	// three keep-alives in a row without an answer, break the connection. A caller
	// then learns in seconds that the outcome is unknown, not at the deadline.
	unackedTimeout    = 1500 * time.Millisecond
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	// maxResultBytes caps a task's result: a job of 290 such results still fits
	// in an entry's memory, and one fits in a frame beside others.
	maxResultBytes = 1 << 20
	// maxDetailBytes caps what is passed on of a target's own words on a failure.
	maxDetailBytes = 1 << 10
)

// caller calls one target over HTTP. It never sends a request twice: the body
// can't be read again and POST is not retried by the transport.
type caller struct {
	url       string
	transport *http.Transport
}

func newCaller(address string, connections int) *caller {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		Control: limitUnacked,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
	return &caller{url: "http://" + address + targetapi.RunPath, transport: &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: conn}, nil
		},
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
		Protocols:           onlyHTTP1(),
	}}
}

func onlyHTTP1() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	return p
}

// limitUnacked sets how long sent data may stay unacknowledged.
func limitUnacked(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.CombineErrors(failure, err)
}

// callResult is how a call ended.
type callResult struct {
	attempt.Outcome
	// unreachable says that the target took no connection, although nobody
	// cancelled the call.
	unreachable bool
}

// call runs a task on the target and returns how that ended. Cancelling ctx
// closes the connection.
func (c *caller) call(ctx context.Context, s *wire.Start) callResult {
	began := time.Now()
	out := c.exchange(ctx, s)
	out.RunMs = float64(time.Since(began).Microseconds()) / 1000
	return out
}

func (c *caller) exchange(ctx context.Context, s *wire.Start) callResult {
	var p proof
	request, err := c.request(httptrace.WithClientTrace(ctx, p.trace()), s)
	if err != nil {
		return callResult{Outcome: notRun(err)}
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil && p.nothingWritten() {
		return callResult{Outcome: notRun(err), unreachable: p.gotNone() && ctx.Err() == nil}
	}
	if err != nil {
		return callResult{Outcome: attempt.Outcome{State: wire.Unknown, Detail: err.Error()}}
	}
	defer func() { _ = response.Body.Close() }() // nothing is left to be learned from it
	return callResult{Outcome: read(response)}
}

func notRun(err error) attempt.Outcome {
	return attempt.Outcome{State: wire.NotRun, Reason: wire.ReasonTargetUnavailable, Detail: err.Error()}
}

// request makes a request that can be sent only once. GetBody stays unset: with it
// net/http would send the request a second time on a connection that breaks. The
// body is of a kind that net/http knows to be in memory, so that it goes out in
// one write with the header.
func (c *caller) request(ctx context.Context, s *wire.Start) (*http.Request, error) {
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

func read(response *http.Response) attempt.Outcome {
	if response.StatusCode == http.StatusOK {
		return readResult(response.Body)
	}
	detail, _ := io.ReadAll(io.LimitReader(response.Body, maxDetailBytes)) // what came is enough
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

// close drops idle connections; calls under way go on.
func (c *caller) close() { c.transport.CloseIdleConnections() }
