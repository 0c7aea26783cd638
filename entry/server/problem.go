package server

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"arbutusdeck/core/callers"
	"arbutusdeck/core/execution"
)

// Headers of the callers' API.
const (
	headerKind     = "X-Request-Kind"
	headerDeadline = "X-Request-Deadline"
	headerID       = "X-Request-Id"
	headerRun      = "X-Request-Run"
	headerKey      = "Idempotency-Key"
)

// Error codes of the entry's own refusals.
const (
	codeUnauthorized execution.Code = "unauthorized"
	codeBadRequest   execution.Code = "bad_request"
	codeTooLarge     execution.Code = "body_too_large"
	codeNotFound     execution.Code = "not_found"
	codeForbidden    execution.Code = "not_allowed"
	codeBadMethod    execution.Code = "method_not_allowed"
	codeNotReady     execution.Code = "not_ready"

	codeHeadersTooLarge execution.Code = "headers_too_large"
	codeMemoryFull      execution.Code = "memory_full"
)

// memoryRefusal is the refusal of requests for which callers leave no memory.
var memoryRefusal = execution.Refusal{Code: codeMemoryFull, Detail: "the requests of callers take all the memory that they may", RetryAfter: time.Second}

// problem is the JSON body of every error response.
type problem struct {
	Error problemDetail `json:"error"`
}

type problemDetail struct {
	// Code is stable and meant for programs; Message may change.
	Code    execution.Code `json:"code"`
	Message string         `json:"message"`
	// Run says whether the request was run: notRun, failed or unknown.
	Run string `json:"run"`
	// RetryAfterMS is the delay in milliseconds after which a retry may succeed; absent
	// where a retry does not help.
	RetryAfterMS int64  `json:"retryAfterMs,omitempty"`
	RequestID    string `json:"requestId"`
}

var statusByCode = map[execution.Code]int{
	codeUnauthorized: http.StatusUnauthorized, codeBadRequest: http.StatusBadRequest, codeTooLarge: http.StatusRequestEntityTooLarge,
	codeNotFound: http.StatusNotFound, codeForbidden: http.StatusForbidden, codeBadMethod: http.StatusMethodNotAllowed, codeHeadersTooLarge: http.StatusRequestHeaderFieldsTooLarge, codeNotReady: http.StatusServiceUnavailable,
	execution.CodeTooLong: http.StatusRequestEntityTooLarge, execution.CodeOverQuota: http.StatusTooManyRequests,
	execution.CodeKeyInProgress: http.StatusConflict, execution.CodeKeyMismatch: http.StatusUnprocessableEntity,
	execution.CodeKeyTooOld: http.StatusGone, execution.CodeKeyHomeLost: http.StatusGone, execution.CodeKeyFromFuture: http.StatusBadRequest,
	execution.CodeWrongIncarnation: http.StatusGone, execution.CodeDeadline: http.StatusGatewayTimeout,
	execution.CodeConnectionLost: http.StatusBadGateway, execution.CodeEngineFailed: http.StatusBadGateway, execution.CodeEngineEnded: http.StatusBadGateway,
	execution.CodeCancelled: http.StatusBadGateway,
}

func statusOf(code execution.Code) int {
	if status, ok := statusByCode[code]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}

// defaultMessages holds the messages for refusals without a detail.
var defaultMessages = map[execution.Code]string{
	execution.CodeNoServer:  "no backend server can take the request now",
	execution.CodeDeadline:  "the request's deadline has passed",
	execution.CodeTombstone: "the attempt was cancelled before it ran",
}

func newProblem(id execution.RequestID, outcome execution.Outcome, refusal execution.Refusal) problem {
	message := refusal.Detail
	if message == "" {
		message = defaultMessages[refusal.Code]
	}
	return problem{problemDetail{Code: refusal.Code, Message: message, Run: outcome.String(),
		RetryAfterMS: refusal.RetryAfter.Milliseconds(), RequestID: string(id)}}
}

// refusedOutcome returns the outcome of a request that the entry itself refuses. If it has a key, an earlier submission
// may have run: the key's home server was not queried. A nil request stands for one whose headers were not read.
func refusedOutcome(r *http.Request) execution.Outcome {
	if r == nil || r.Header.Get(headerKey) != "" {
		return execution.Unknown
	}
	return execution.NotRun
}

// closingProblem returns the complete error response to a refused request, after which the connection closes.
func closingProblem(outcome execution.Outcome, refusal execution.Refusal) []byte {
	content, err := json.Marshal(newProblem("", outcome, refusal))
	if err != nil {
		panic(err) // the type can be encoded
	}
	header := http.Header{}
	setProblemHeaders(header, outcome, refusal)
	return callers.ClosingResponse(statusOf(refusal.Code), header, content)
}

func setProblemHeaders(h http.Header, outcome execution.Outcome, refusal execution.Refusal) {
	h.Set("Content-Type", "application/json")
	h.Set(headerRun, outcome.String())
	if refusal.RetryAfter > 0 {
		h.Set("Retry-After", retryAfterSeconds(refusal.RetryAfter))
	}
}

// writeProblem writes an error response as JSON.
func writeProblem(w http.ResponseWriter, id execution.RequestID, outcome execution.Outcome, refusal execution.Refusal) error {
	setProblemHeaders(w.Header(), outcome, refusal)
	w.WriteHeader(statusOf(refusal.Code))
	return json.NewEncoder(w).Encode(newProblem(id, outcome, refusal))
}

// retryAfterSeconds formats a Retry-After value. It rounds up, so that no caller retries
// too early.
func retryAfterSeconds(d time.Duration) string { return strconv.Itoa(int(math.Ceil(d.Seconds()))) }
