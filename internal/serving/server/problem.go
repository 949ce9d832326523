package server

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/heatherrock/heatherrock/internal/client/caller"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// The headers of answers.
const (
	// HeaderOutcome carries the outcome of the request: not-run, completed or unknown.
	HeaderOutcome = caller.HeaderOutcome
	// HeaderRequest carries the request's id.
	HeaderRequest = "X-Request-Id"
)

// Code is the stable name of a kind of problem, for use by programs.
type Code string

// The codes of problems.
const (
	CodeInvalid            Code = "invalid_request"
	CodeUnsupported        Code = "unsupported_parameter"
	CodeBodyTooLarge       Code = "body_too_large"
	CodeBodyTimeout        Code = "body_timeout"
	CodeInvalidCredential  Code = "invalid_api_key"
	CodeModelNotFound      Code = "model_not_found"
	CodeServiceNotFound    Code = "service_not_found"
	CodePathNotFound       Code = "path_not_found"
	CodeMethodNotAllowed   Code = "method_not_allowed"
	CodeRateLimited        Code = "rate_limited"
	CodeQueueFull          Code = "queue_full"
	CodeDeadline           Code = "deadline"
	CodeNoCapacity         Code = "no_capacity"
	CodeQuarantined        Code = "request_quarantined"
	CodeConfigurationStale Code = "configuration_stale"
	CodeInstanceLeaving    Code = "instance_leaving"
	CodeInterrupted        Code = "interrupted"
)

// statusByCode maps each code to its HTTP status.
var statusByCode = map[Code]int{
	CodeInvalid:            http.StatusBadRequest,
	CodeUnsupported:        http.StatusBadRequest,
	CodeBodyTooLarge:       http.StatusRequestEntityTooLarge,
	CodeBodyTimeout:        http.StatusRequestTimeout,
	CodeInvalidCredential:  http.StatusUnauthorized,
	CodeModelNotFound:      http.StatusNotFound,
	CodeServiceNotFound:    http.StatusNotFound,
	CodePathNotFound:       http.StatusNotFound,
	CodeMethodNotAllowed:   http.StatusMethodNotAllowed,
	CodeRateLimited:        http.StatusTooManyRequests,
	CodeQueueFull:          http.StatusTooManyRequests,
	CodeDeadline:           http.StatusServiceUnavailable,
	CodeNoCapacity:         http.StatusServiceUnavailable,
	CodeQuarantined:        http.StatusUnprocessableEntity,
	CodeConfigurationStale: http.StatusServiceUnavailable,
	CodeInstanceLeaving:    http.StatusServiceUnavailable,
	CodeInterrupted:        http.StatusBadGateway,
}

// Problem is the reason why a request has no complete answer.
type Problem struct {
	Code    Code
	Message string
	// Parameter names the field of the request that caused the problem, if there is one.
	Parameter string
	Verdict   classifier.Verdict
	// RetryAfter is how long the caller should wait before a retry; 0 means that a retry would not help.
	RetryAfter time.Duration
}

// RefusalProblem returns the problem of a request that did not run.
func RefusalProblem(code Code, message string) *Problem {
	return &Problem{Code: code, Message: message, Verdict: classifier.VerdictNotRun}
}

// errorBody is the body of an error answer in the format of the OpenAI API.
type errorBody struct {
	Error errorDetail `json:"error"`
}

// errorDetail is the error in an errorBody.
type errorDetail struct {
	Message   string  `json:"message"`
	Type      string  `json:"type"`
	Parameter *string `json:"param"`
	Code      Code    `json:"code"`
}

// encode returns the problem as the body of an error answer.
func (p *Problem) encode() errorBody {
	d := errorDetail{Message: p.Message, Code: p.Code, Type: "server_error"}
	if statusByCode[p.Code] < http.StatusInternalServerError {
		d.Type = "invalid_request_error"
	}
	if p.Parameter != "" {
		d.Parameter = &p.Parameter
	}
	return errorBody{Error: d}
}

// Write answers a request with the problem. It must not be called after any part of an answer was written.
func (p *Problem) Write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, p.Verdict.String())
	if p.RetryAfter > 0 {
		seconds := int64((p.RetryAfter + time.Second - 1) / time.Second)
		h.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(statusByCode[p.Code])
	_ = json.NewEncoder(w).Encode(p.encode())
}
