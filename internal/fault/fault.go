// Package fault holds the numbered, typed failures that callers and operators
// see. Code inside the system branches on the Code and never on a text.
package fault

import (
	"fmt"
	"net/http"
	"time"
)

// Code numbers a failure. Numbers are never reused.
type Code int

// Failures by hundreds: 1xx bad input, 2xx refusals before acceptance, 3xx
// endings of accepted jobs, 4xx undecided, 5xx operators' requests, 6xx settings.
const (
	BadBody         Code = 101 // the body can't be decoded or names an unknown field
	BodyTooLarge    Code = 102
	BadID           Code = 103 // the submission id or token is of another form or not signed by this fleet
	BadTaskCount    Code = 104
	BadField        Code = 105 // one field is out of range; Field names it
	DeadlinePast    Code = 106
	DeadlineTooFar  Code = 107
	BodyMismatch    Code = 108 // an id that is known came again with another body
	UnknownResource Code = 109 // no such path or method

	Overloaded    Code = 201 // admission turned the job away
	QuotaExceeded Code = 202 // reserved: work above a quota waits and is not refused for it
	NeverRunnable Code = 203 // no target could ever hold one of the tasks
	Draining      Code = 204
	TooManyJobs   Code = 205 // the owner's table is full

	NoConfiguration Code = 206 // the operator's configuration is not known here yet
	NotBuilt        Code = 207 // it asks for something that the product can't do yet
	Evacuated       Code = 208 // each data centre that could run it is evacuated
	Suspected       Code = 209 // targets that ran a task of it don't answer; it may have crashed them

	TaskFailed       Code = 301 // a target ran a task and reported failure
	OutcomeUnknown   Code = 302 // what became of it can't be learned, or nobody was given it in time
	DeadlineExceeded Code = 303
	Cancelled        Code = 304
	OwnerGone        Code = 305 // the owner's process ended; what it had accepted has an unknown outcome
	AnswerExpired    Code = 306 // the answer was given and is no longer held

	Undecided Code = 401 // the owner can't be reached and is not proved dead: ask again
	NotFound  Code = 402 // the owner never accepted this id

	ConfigConflict  Code = 501 // another operator's change won
	ConfigUndecided Code = 502 // the log's answer was lost and can't be read back yet
	ConfigNotTaken  Code = 503 // the log is down and nothing was accepted
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

	ConfigConflict:  {"config_conflict", http.StatusConflict},
	ConfigUndecided: {"config_undecided", http.StatusServiceUnavailable},
	ConfigNotTaken:  {"config_not_taken", http.StatusServiceUnavailable},
	ConfigInvalid:   {"config_invalid", http.StatusBadRequest},

	BadSetting: {"bad_setting", http.StatusBadRequest},
}

// String returns the code's stable name.
func (c Code) String() string {
	if info, ok := codes[c]; ok {
		return info.name
	}
	return fmt.Sprintf("code_%d", int(c))
}

// Status returns the HTTP status that carries the code.
func (c Code) Status() int {
	if info, ok := codes[c]; ok {
		return info.status
	}
	return http.StatusInternalServerError
}

// Codes returns every known code, in no order.
func Codes() []Code {
	all := make([]Code, 0, len(codes))
	for c := range codes {
		all = append(all, c)
	}
	return all
}

// Fault is a typed failure. It is an error and is also what callers get as JSON.
type Fault struct {
	Code   Code   `json:"code"`
	Name   string `json:"name"`
	Field  string `json:"field,omitempty"`
	Detail string `json:"detail,omitempty"`
	// NotRun states that no task of the request has run or ever will. It is set
	// only where that is certain for ever after.
	NotRun bool `json:"not_run"`
	// RetryAfterMs tells the caller when coming back makes sense; 0 means never.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
}

// New returns a fault with the given code and detail.
func New(c Code, detail string) *Fault {
	return &Fault{Code: c, Name: c.String(), Detail: detail}
}

// Newf is New with a format.
func Newf(c Code, format string, args ...any) *Fault {
	return New(c, fmt.Sprintf(format, args...))
}

// Input returns a fault about one field of a request that started nothing.
func Input(c Code, field, detail string) *Fault {
	f := New(c, detail)
	f.Field = field
	f.NotRun = true
	return f
}

// Refused returns a fault for a request that was turned away before anything ran.
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

// Is reports whether target is a fault of the same code, for errors.Is.
func (f *Fault) Is(target error) bool {
	other, ok := target.(*Fault)
	return ok && other.Code == f.Code
}
