package entry

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/httpconn"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/jsonlist"
)

// maxCancelIDs bounds one batch of cancellations, so that it occupies the control
// goroutine for no longer than a few submissions do.
const maxCancelIDs = 1000

// submissionBody is the body of a submission.
type submissionBody struct {
	ID string `json:"id"`
	job.Submission
}

// cancelBody is the body of a batch of cancellations.
type cancelBody struct {
	IDs []string `json:"ids"`
}

// readBody reads a request's body of at most job.MaxBodyBytes. The error is a *fault.Fault.
func readBody(r *http.Request) ([]byte, error) {
	body, err := httpconn.ReadBody(r, job.MaxBodyBytes)
	var tooLong *http.MaxBytesError
	var givenUp *httpconn.GivenUpError
	switch {
	case errors.As(err, &tooLong):
		return nil, tooLarge()
	case errors.As(err, &givenUp):
		return nil, fault.New(fault.BodyIncomplete, givenUp.Reason.String())
	case err != nil:
		return nil, fault.Input(fault.BadBody, "body", "it ended early: "+err.Error())
	}
	return body, nil
}

func tooLarge() *fault.Fault {
	return fault.Input(fault.BodyTooLarge, "body", "at most "+strconv.Itoa(job.MaxBodyBytes)+" bytes")
}

// decodeStrict decodes a body that must be one JSON value without unknown fields and without
// trailing data: a misspelt field would otherwise be ignored silently, together with the value
// that the caller set. The error is a *fault.Fault that names the field.
//
// No array that a body may have is longer than maxCancelIDs; longer ones are refused before memory is
// allocated for their elements.
func decodeStrict(body []byte, v any) error {
	if err := jsonlist.Check(body, maxCancelIDs, jsonlist.AnyDepth); err != nil {
		return fault.Input(fault.BadBody, "body", err.Error())
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return decodeFault(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return fault.Input(fault.BadBody, "body", "there is something behind the JSON value")
	}
	return nil
}

// unknownFieldPrefix is the prefix of encoding/json's error text for an unknown field, which
// has no error type.
const unknownFieldPrefix = "json: unknown field "

// embeddedPrefix is the prefix that encoding/json puts before the names of a submission's
// fields, because the struct is embedded; the caller's body has no such level.
const embeddedPrefix = "Submission."

func decodeFault(err error) *fault.Fault {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) && wrongType.Field != "" {
		field := strings.TrimPrefix(wrongType.Field, embeddedPrefix)
		return fault.Input(fault.BadBody, field, "can't hold a JSON "+wrongType.Value)
	}
	if quoted, ok := strings.CutPrefix(err.Error(), unknownFieldPrefix); ok {
		return fault.Input(fault.BadBody, fieldName(quoted), "unknown field")
	}
	return fault.Input(fault.BadBody, "body", err.Error())
}

// fieldName unquotes the name of a caller's field and truncates it to the length that a
// reply may carry. It returns "body" for an empty name.
func fieldName(quoted string) string {
	name, err := strconv.Unquote(quoted)
	if err != nil || name == "" {
		return "body"
	}
	return strings.ToValidUTF8(name[:min(len(name), job.MaxNameBytes)], "")
}

// decodeSubmission decodes the body of a submission without parsing its id. The error is a
// *fault.Fault.
func decodeSubmission(body []byte, single bool) (*submissionBody, error) {
	b := &submissionBody{}
	if err := decodeStrict(body, b); err != nil {
		return nil, err
	}
	b.Single = single
	return b, nil
}

// peekID returns the id in a body that decodeStrict rejected, or "".
func peekID(body []byte) string {
	var lenient struct {
		ID string `json:"id"`
	}
	if err := json.Unmarshal(body, &lenient); err != nil {
		return ""
	}
	return lenient.ID
}

// decodeCancel decodes the body of a batch of cancellations. The error is a *fault.Fault.
func decodeCancel(body []byte) ([]string, error) {
	b := cancelBody{}
	if err := decodeStrict(body, &b); err != nil {
		return nil, err
	}
	if len(b.IDs) == 0 || len(b.IDs) > maxCancelIDs {
		return nil, fault.Input(fault.BadField, "ids", "takes 1 to "+strconv.Itoa(maxCancelIDs)+" ids")
	}
	return b.IDs, nil
}

const (
	paramWait = "wait_ms"
	// maxWait is the longest wait that a caller may request.
	maxWait = 24 * time.Hour
)

// decodeWait decodes wait_ms, the only query parameter; given is false without it. The error
// is a *fault.Fault.
func decodeWait(query url.Values) (wait time.Duration, given bool, err error) {
	for name, values := range query {
		if name != paramWait || len(values) != 1 {
			return 0, false, fault.Input(fault.BadField, name, "only one "+paramWait+" is taken")
		}
		ms, err := strconv.ParseInt(values[0], 10, 64)
		if err != nil || ms < 0 || ms > maxWait.Milliseconds() {
			return 0, false, fault.Input(fault.BadField, paramWait, "takes 0 to "+strconv.FormatInt(maxWait.Milliseconds(), 10))
		}
		return time.Duration(ms) * time.Millisecond, true, nil
	}
	return 0, false, nil
}
