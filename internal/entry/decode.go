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
	"github.com/camphorrack/camphorrack/internal/job"
)

// maxCancelIDs bounds one wave of cancellations, so that a wave holds the control
// goroutine for no longer than a few submissions do.
const maxCancelIDs = 1000

// submissionBody is the body of a submission.
type submissionBody struct {
	ID string `json:"id"`
	job.Submission
}

// cancelBody is the body of a wave of cancellations.
type cancelBody struct {
	IDs []string `json:"ids"`
}

// readBody reads a request's body up to its cap. The error is a *fault.Fault.
func readBody(r *http.Request) ([]byte, error) {
	if r.ContentLength > job.MaxBodyBytes {
		return nil, tooLarge()
	}
	var body bytes.Buffer
	if r.ContentLength > 0 {
		body.Grow(int(r.ContentLength) + bytes.MinRead)
	}
	if _, err := body.ReadFrom(io.LimitReader(r.Body, job.MaxBodyBytes+1)); err != nil {
		return nil, fault.Input(fault.BadBody, "body", "it ended early: "+err.Error())
	}
	if body.Len() > job.MaxBodyBytes {
		return nil, tooLarge()
	}
	return body.Bytes(), nil
}

func tooLarge() *fault.Fault {
	return fault.Input(fault.BodyTooLarge, "body", "at most "+strconv.Itoa(job.MaxBodyBytes)+" bytes")
}

// decodeStrict reads one JSON value that has no unknown fields and nothing behind
// it: a misspelt field would otherwise be dropped in silence, and with it what the
// caller asked for. The error is a *fault.Fault that names the field.
func decodeStrict(body []byte, v any) error {
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

// unknownField starts the text of encoding/json's error for an unknown field; the
// library has no type for it.
const unknownField = "json: unknown field "

// embedded starts the names that the library gives to a submission's fields; the
// caller's body has no such level.
const embedded = "Submission."

func decodeFault(err error) *fault.Fault {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) && wrongType.Field != "" {
		field := strings.TrimPrefix(wrongType.Field, embedded)
		return fault.Input(fault.BadBody, field, "can't hold a JSON "+wrongType.Value)
	}
	if quoted, ok := strings.CutPrefix(err.Error(), unknownField); ok {
		return fault.Input(fault.BadBody, fieldName(quoted), "unknown field")
	}
	return fault.Input(fault.BadBody, "body", err.Error())
}

// fieldName returns the name that a caller gave a field, cut to a length that a
// reply may carry; "body" stands for an empty one.
func fieldName(quoted string) string {
	name, err := strconv.Unquote(quoted)
	if err != nil || name == "" {
		return "body"
	}
	return strings.ToValidUTF8(name[:min(len(name), job.MaxNameBytes)], "")
}

// decodeSubmission reads the body of a submission; the id in it is still a text.
func decodeSubmission(body []byte, single bool) (*submissionBody, error) {
	b := &submissionBody{}
	if err := decodeStrict(body, b); err != nil {
		return nil, err
	}
	b.Single = single
	return b, nil
}

// peekID reads the id of a body that could not be decoded strictly.
func peekID(body []byte) string {
	var lenient struct {
		ID string `json:"id"`
	}
	if err := json.Unmarshal(body, &lenient); err != nil {
		return ""
	}
	return lenient.ID
}

// decodeCancel reads the body of a wave of cancellations.
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
	// maxWait bounds a wait whatever the caller asks for.
	maxWait = 24 * time.Hour
)

// decodeWait reads the only query parameter there is; given is false without it.
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
