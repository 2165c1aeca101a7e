// Package fault defines the numbered, typed failures that callers and operators receive.
// Other packages distinguish them by their Code, never by their text.
package fault

import (
	"fmt"
	"net/http"
	"time"
)

// Code is the number of a kind of failure. Numbers are never reused.
type Code int

// Codes by hundreds: 1xx invalid input, 2xx refusals before acceptance, 3xx failures of
// accepted jobs, 4xx undecided or unknown ids, 5xx operators' requests, 6xx settings.
const (
	BadBody         Code = 101 // the body can't be decoded or names an unknown field
	BodyTooLarge    Code = 102
	BadID           Code = 103 // the submission id or token is malformed or not signed by this fleet
	BadTaskCount    Code = 104
	BadField        Code = 105 // a field is invalid; Field names it
	DeadlinePast    Code = 106
	DeadlineTooFar  Code = 107
	BodyMismatch    Code = 108 // a known id was submitted with another body
	UnknownResource Code = 109 // no such path or method

	Overloaded    Code = 201 // admission control rejected the job
	QuotaExceeded Code = 202 // reserved: work above a quota is queued, not refused
	NeverRunnable Code = 203 // a task exceeds the capacity of every target
	Draining      Code = 204
	TooManyJobs   Code = 205 // the owner's table is full

	NoConfiguration Code = 206 // this process has not received the operator's configuration yet
	NotBuilt        Code = 207 // the request needs a feature that is not implemented
	Evacuated       Code = 208 // every data centre that could run it is evacuated
	Suspected       Code = 209 // targets that ran one of its tasks don't respond; it may have crashed them

	TaskFailed       Code = 301 // a target ran a task and reported failure
	OutcomeUnknown   Code = 302 // the outcome can't be determined, or was not delivered to a caller in time
	DeadlineExceeded Code = 303
	Cancelled        Code = 304
	OwnerGone        Code = 305 // the owner's process ended; the outcome of jobs that it had accepted is unknown
	AnswerExpired    Code = 306 // the answer was delivered and is no longer stored

	Undecided Code = 401 // the owner is unreachable and not known to have ended; query again
	NotFound  Code = 402 // the owner never accepted this id
	// BodyIncomplete says that a request was given up before its body was complete. This copy did not run;
	// earlier ones may have.
	BodyIncomplete Code = 403

	ConfigConflict  Code = 501 // another operator's change took precedence
	ConfigUndecided Code = 502 // the log's answer was lost, and the log can't be read yet to determine the result
	ConfigNotTaken  Code = 503 // the log is unavailable and the change was not accepted
	ConfigInvalid   Code = 504

	BadSetting Code = 601
)

type codeInfo struct {
	name   string
	status int
}

var codes = map[Code]codeInfo{
	BadBody:         {"bad_body", http.StatusBadRequest},
	BodyTooLarge:    {"body_too_large", http.StatusRequestEntityTooLarge},
	BadID:           {"bad_id", http.StatusBadRequest},
	BadTaskCount:    {"bad_task_count", http.StatusBadRequest},
	BadField:        {"bad_field", http.StatusBadRequest},
	DeadlinePast:    {"deadline_past", http.StatusBadRequest},
	DeadlineTooFar:  {"deadline_too_far", http.StatusBadRequest},
	BodyMismatch:    {"body_mismatch", http.StatusConflict},
	UnknownResource: {"unknown_resource", http.StatusNotFound},

	Overloaded:    {"overloaded", http.StatusTooManyRequests},
	QuotaExceeded: {"quota_exceeded", http.StatusTooManyRequests},
	NeverRunnable: {"never_runnable", http.StatusUnprocessableEntity},
	Draining:      {"draining", http.StatusServiceUnavailable},
	TooManyJobs:   {"too_many_jobs", http.StatusServiceUnavailable},

	NoConfiguration: {"no_configuration", http.StatusServiceUnavailable},
	NotBuilt:        {"not_built", http.StatusServiceUnavailable},
	Evacuated:       {"evacuated", http.StatusServiceUnavailable},
	Suspected:       {"suspected", http.StatusServiceUnavailable},

	TaskFailed:       {"task_failed", http.StatusBadGateway},
	OutcomeUnknown:   {"outcome_unknown", http.StatusBadGateway},
	DeadlineExceeded: {"deadline_exceeded", http.StatusGatewayTimeout},
	Cancelled:        {"cancelled", http.StatusConflict},
	OwnerGone:        {"owner_gone", http.StatusBadGateway},
	AnswerExpired:    {"answer_expired", http.StatusGone},

	Undecided: {"undecided", http.StatusServiceUnavailable},
	NotFound:  {"not_found", http.StatusNotFound},

	BodyIncomplete: {"body_incomplete", http.StatusRequestTimeout},

	ConfigConflict:  {"config_conflict", http.StatusConflict},
	ConfigUndecided: {"config_undecided", http.StatusServiceUnavailable},
	ConfigNotTaken:  {"config_not_taken", http.StatusServiceUnavailable},
	ConfigInvalid:   {"config_invalid", http.StatusBadRequest},

	BadSetting: {"bad_setting", http.StatusBadRequest},
}

// String returns the code's stable name, for JSON and logs.
func (c Code) String() string {
	if info, ok := codes[c]; ok {
		return info.name
	}
	return fmt.Sprintf("code_%d", int(c))
}

// Status returns the HTTP status of responses with the code.
func (c Code) Status() int {
	if info, ok := codes[c]; ok {
		return info.status
	}
	return http.StatusInternalServerError
}

// Codes returns all known codes in unspecified order.
func Codes() []Code {
	all := make([]Code, 0, len(codes))
	for c := range codes {
		all = append(all, c)
	}
	return all
}

// Fault is a typed failure. It is an error, and its JSON encoding is part of responses to
// callers.
type Fault struct {
	Code   Code   `json:"code"`
	Name   string `json:"name"`
	Field  string `json:"field,omitempty"`
	Detail string `json:"detail,omitempty"`
	// NotRun states that no task of the request has run or ever will. It is set only if
	// that is certain.
	NotRun bool `json:"not_run"`
	// RetryAfterMs is the time after which a retry makes sense; 0 means never.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
}

// New returns a fault with the given code and detail.
func New(c Code, detail string) *Fault {
	return &Fault{Code: c, Name: c.String(), Detail: detail}
}

// Newf is like New with a formatted detail.
func Newf(c Code, format string, args ...any) *Fault {
	return New(c, fmt.Sprintf(format, args...))
}

// Input returns a fault for an invalid field of a request that started nothing.
func Input(c Code, field, detail string) *Fault {
	f := New(c, detail)
	f.Field = field
	f.NotRun = true
	return f
}

// Refused returns a fault for a request that was refused before any task ran.
func Refused(c Code, detail string, retryAfter time.Duration) *Fault {
	f := New(c, detail)
	f.NotRun = true
	f.RetryAfterMs = retryAfter.Milliseconds()
	return f
}

// Error implements error.
func (f *Fault) Error() string {
	text := fmt.Sprintf("%d %s", int(f.Code), f.Name)
	if f.Field != "" {
		text += " " + f.Field
	}
	if f.Detail != "" {
		text += ": " + f.Detail
	}
	return text
}

// Is reports whether target is a fault with the same code. It implements errors.Is.
func (f *Fault) Is(target error) bool {
	other, ok := target.(*Fault)
	return ok && other.Code == f.Code
}
