package platformlog

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// HeaderNotWritten marks an error answer to an append that certainly did not
// write the record. Without it an error answer leaves the append undecided.
const HeaderNotWritten = "Log-Not-Written"

// DefaultTimeout bounds one call. The service writes in milliseconds; a call
// that takes seconds is an outage to its caller, who must be told so at once.
const DefaultTimeout = 2 * time.Second

// maxAnswerBytes bounds an answer in memory: base64 makes 4 bytes of 3, and the
// envelope of each record is small.
const maxAnswerBytes = 2*MaxReadBytes + MaxReadRecords*64

// AppendAnswer is the service's answer to an append.
type AppendAnswer struct {
	Offset uint64 `json:"offset"`
}

// ReadAnswer is the service's answer to a read.
type ReadAnswer struct {
	Records []Record `json:"records"`
	Next    uint64   `json:"next"`
}

// BoundsAnswer comes with 410 (truncated) and 416 (past the end).
type BoundsAnswer struct {
	Lowest uint64 `json:"lowest"`
	End    uint64 `json:"end"`
}

// HTTP is the log over HTTP. It is safe for concurrent use.
type HTTP struct {
	base    string
	timeout time.Duration
	client  *http.Client
}

// NewHTTP returns a client of the service at base, such as "http://10.0.0.7:7000".
// A timeout of 0 means DefaultTimeout.
func NewHTTP(base string, timeout time.Duration) *HTTP {
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: timeout}).DialContext,
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     time.Minute,
	}
	return &HTTP{base: base, timeout: timeout, client: &http.Client{Transport: transport}}
}

var _ Log = (*HTTP)(nil)

func (h *HTTP) url(stream string) string {
	return h.base + "/v1/streams/" + url.PathEscape(stream) + "/records"
}

// Append implements Log.
func (h *HTTP) Append(ctx context.Context, stream string, record []byte) (uint64, error) {
	if len(record) > MaxRecordBytes {
		return 0, &RefusedError{Status: http.StatusRequestEntityTooLarge, Detail: "record too large"}
	}
	// POST is never repeated by net/http once it may have been sent.
	status, header, body, err := h.call(ctx, http.MethodPost, h.url(stream), record)
	if err != nil {
		if neverSent(err) {
			return 0, &DownError{Op: "append", Cause: err}
		}
		return 0, &UndecidedError{Stream: stream, Cause: err}
	}
	switch {
	case status == http.StatusOK:
		var a AppendAnswer
		if err := json.Unmarshal(body, &a); err != nil {
			return 0, &UndecidedError{Stream: stream, Cause: err}
		}
		return a.Offset, nil
	case status >= 400 && status < 500:
		return 0, &RefusedError{Status: status, Detail: string(body)}
	case header.Get(HeaderNotWritten) != "":
		return 0, &DownError{Op: "append", Cause: &RefusedError{Status: status, Detail: string(body)}}
	}
	return 0, &UndecidedError{Stream: stream, Cause: &RefusedError{Status: status, Detail: string(body)}}
}

// Read implements Log.
func (h *HTTP) Read(ctx context.Context, stream string, from uint64, max int) ([]Record, uint64, error) {
	query := "?from=" + strconv.FormatUint(from, 10) + "&max=" + strconv.Itoa(max)
	status, _, body, err := h.call(ctx, http.MethodGet, h.url(stream)+query, nil)
	if err != nil {
		return nil, from, &DownError{Op: "read", Cause: err}
	}
	switch {
	case status == http.StatusOK:
		var a ReadAnswer
		if err := json.Unmarshal(body, &a); err != nil {
			return nil, from, &DownError{Op: "read", Cause: err}
		}
		return a.Records, a.Next, nil
	case status == http.StatusGone, status == http.StatusRequestedRangeNotSatisfiable:
		var b BoundsAnswer
		if err := json.Unmarshal(body, &b); err != nil {
			return nil, from, &DownError{Op: "read", Cause: err}
		}
		if status == http.StatusGone {
			return nil, from, &TruncatedError{From: from, Lowest: b.Lowest}
		}
		return nil, from, &AheadError{From: from, End: b.End}
	case status >= 400 && status < 500:
		return nil, from, &RefusedError{Status: status, Detail: string(body)}
	}
	return nil, from, &DownError{Op: "read", Cause: &RefusedError{Status: status, Detail: string(body)}}
}

func (h *HTTP) call(ctx context.Context, method, target string, body []byte) (int, http.Header, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, h.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, err
	}
	res, err := h.client.Do(req)
	if err != nil {
		return 0, nil, nil, err
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes+1))
	if err != nil {
		return 0, nil, nil, err
	}
	if len(answer) > maxAnswerBytes {
		return 0, nil, nil, &RefusedError{Status: res.StatusCode, Detail: "answer too large"}
	}
	return res.StatusCode, res.Header, answer, nil
}

// neverSent reports whether the request can't have reached the service: no
// connection was made. Anything else, such as a reset or a timeout after the
// connection stood, may hide a write.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
