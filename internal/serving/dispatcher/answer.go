package dispatcher

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/heatherrock/heatherrock/internal/control/claimer"
	"github.com/heatherrock/heatherrock/internal/dispatch/classifier"
)

// The headers of calls and answers.
const (
	// HeaderKey carries the caller's idempotency key.
	HeaderKey = "Idempotency-Key"
	// HeaderAttempt carries the number of the caller's attempt with one key, from 1.
	HeaderAttempt = "Heatherrock-Attempt"
	// HeaderCode carries the stable error code of an answer that is not the service's own.
	HeaderCode = "Heatherrock-Code"
)

// The stable error codes of this package. Those of claims are in package claimer.
const (
	CodeServiceUnknown = "service_unknown"
	CodeCallUnknown    = "call_unknown"
	CodeBodyTooLarge   = "body_too_large"
	CodeBodyUnreadable = "body_unreadable"
	CodeAttemptInvalid = "attempt_invalid"
	CodeNoEndpoint     = "no_endpoint"
	CodeServiceFailed  = "service_failed"
	CodeTooManyCalls   = "too_many_calls"
	// CodeQuarantined rejects an idempotent call that has crashed the endpoints that ran it. CodeOnTrial rejects one
	// that is suspected to, while the same call runs on trial.
	CodeQuarantined = "request_quarantined"
	CodeOnTrial     = "request_on_trial"
)

// retryAfterSeconds is the value of Retry-After in answers to calls that may soon succeed if retried.
const retryAfterSeconds = 1

// reason is the HTTP status and the message of an error code.
type reason struct {
	status  int
	message string
}

// reasons maps each error code to its HTTP status and message.
var reasons = map[string]reason{
	CodeServiceUnknown:             {http.StatusNotFound, "there is no such service"},
	CodeCallUnknown:                {http.StatusNotFound, "the service has no such call"},
	CodeBodyTooLarge:               {http.StatusRequestEntityTooLarge, "the body is too large"},
	CodeBodyUnreadable:             {http.StatusBadRequest, "the body could not be read"},
	CodeAttemptInvalid:             {http.StatusBadRequest, "the attempt is not a number from 1"},
	CodeNoEndpoint:                 {http.StatusServiceUnavailable, "no endpoint of the service is live"},
	CodeTooManyCalls:               {http.StatusServiceUnavailable, "too many calls are in flight on this instance"},
	CodeServiceFailed:              {http.StatusBadGateway, "the service gave no whole answer"},
	CodeQuarantined:                {http.StatusUnprocessableEntity, "the request has crashed the endpoints that ran it"},
	CodeOnTrial:                    {http.StatusServiceUnavailable, "the same request may have crashed an endpoint and is being tried"},
	claimer.CodeKeyMissing:         {http.StatusBadRequest, "the call may not be repeated and needs an Idempotency-Key"},
	claimer.CodeKeyUndated:         {http.StatusBadRequest, "the key is neither a version 7 UUID nor begins with a day and a dash"},
	claimer.CodeKeyFuture:          {http.StatusBadRequest, "the key's day lies ahead"},
	claimer.CodeKeyExpired:         {http.StatusGone, "the key is older than keys are kept; nothing is said of earlier sends of it"},
	claimer.CodeKeyReused:          {http.StatusUnprocessableEntity, "the key was used for another call or body"},
	claimer.CodeTableBusy:          {http.StatusServiceUnavailable, "the budget of writes to the table service is spent; nothing is said of earlier sends of the key"},
	claimer.CodeTableUnavailable:   {http.StatusServiceUnavailable, "the table service cannot be reached; nothing is said of earlier sends of the key"},
	claimer.CodeDeadlinePassed:     {http.StatusServiceUnavailable, "the call could not be sent in time"},
	claimer.CodeServiceRefused:     {http.StatusServiceUnavailable, "the service refused the call before running it"},
	claimer.CodeServiceUnreachable: {http.StatusServiceUnavailable, "no endpoint of the service could be reached"},
	claimer.CodeSettledByOperator:  {http.StatusConflict, "an operator has settled the call as not run"},
	claimer.CodeOutcomeUnknown:     {http.StatusGatewayTimeout, "the call may have run"},
	claimer.CodeStillRunning:       {http.StatusGatewayTimeout, "the call is running or its owner is gone"},
}

// errorBody is the body of an error answer, in the format of the callers' interface.
type errorBody struct {
	Error errorDetail `json:"error"`
}

// errorDetail is the error in an errorBody.
type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// writeAnswer writes an answer.
func writeAnswer(w http.ResponseWriter, a claimer.Answer) {
	w.Header().Set(HeaderOutcome, a.Verdict.String())
	if a.Code == "" {
		writeReply(w, a.Reply)
		return
	}
	r := reasons[a.Code]
	status := r.status
	if a.Verdict == classifier.VerdictUnknown {
		status = http.StatusGatewayTimeout
	}
	if a.Retryable {
		w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	}
	w.Header().Set(HeaderCode, a.Code)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	body := errorBody{Error: errorDetail{Message: r.message, Type: a.Verdict.String(), Code: a.Code}}
	if err := json.NewEncoder(w).Encode(body); err != nil {
		return
	}
}

// writeReply writes a service's reply, or status 204 if there is none.
func writeReply(w http.ResponseWriter, r *claimer.Reply) {
	if r == nil {
		r = &claimer.Reply{Status: http.StatusNoContent}
	}
	if r.ContentType != "" {
		w.Header().Set("Content-Type", r.ContentType)
	}
	if r.Truncated {
		w.Header().Set("Heatherrock-Cut", "true")
	}
	if len(r.Body) > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(r.Body)))
	}
	w.WriteHeader(r.Status)
	if _, err := w.Write(r.Body); err != nil {
		return
	}
}

// rejectionAnswer returns the answer to an attempt that was rejected before its key's row was read, and that would fail
// again if retried unchanged. An earlier attempt may have run.
func rejectionAnswer(attempt int, code string) claimer.Answer {
	a := claimer.RefusalAnswer(attempt, code)
	a.Retryable = false
	return a
}
