package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"arbutusdeck/core/directory"
	"arbutusdeck/core/execution"
	"arbutusdeck/core/placement"
	"arbutusdeck/platform"
)

// conclude sends the final response of a request that no server completed successfully. A server's
// own error response takes precedence over one of the entry: it is more specific.
func (e *exchange) conclude(c *execution.Conclusion) {
	if errors.Is(e.r.Context().Err(), context.Canceled) {
		e.s.counters.callersGone.Inc(1)
		e.log(string(execution.CodeCallerGone), "").WithFields(logrus.Fields{"sent": c.Attempts, "outcome": c.Outcome.String()}).Info("request ended")
		panic(http.ErrAbortHandler)
	}
	if e.errorResponse != nil && !e.headersSent {
		e.deliverErrorResponse()
		return
	}
	e.fail(statusOf(c), c)
}

// deliverErrorResponse sends a server's own error response to the caller.
func (e *exchange) deliverErrorResponse() {
	e.errorResponse.deliver(e)
	e.responded(string(execution.CodeEngineFailed), execution.Failed)
}

func statusOf(c *execution.Conclusion) int {
	switch {
	case c.Outcome == execution.NotRun:
		return http.StatusServiceUnavailable
	case c.Refusal.Code == CodeTimeout:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

func (e *exchange) refuse(status int, refusal execution.Refusal) {
	e.fail(status, &execution.Conclusion{Outcome: execution.NotRun, Refusal: &refusal})
}

// problem is the body of an error response.
type problem struct {
	Code   execution.Code `json:"code"`
	Detail string         `json:"detail"`
	Run    string         `json:"run"`
}

// fail sends an error response. If the response has begun it aborts the connection instead, so that
// the response does not look complete.
func (e *exchange) fail(status int, c *execution.Conclusion) {
	if c.Outcome == execution.NotRun {
		e.s.counters.refused.Inc(1)
	} else {
		e.s.counters.unknown.Inc(1)
	}
	e.log(string(c.Refusal.Code), c.Refusal.Detail).WithFields(logrus.Fields{"status": status, "sent": c.Attempts, "outcome": c.Outcome.String(),
		"begun": e.headersSent, "retryAfterMs": c.Refusal.RetryAfter.Milliseconds()}).Info("request ended")
	if e.headersSent {
		panic(http.ErrAbortHandler)
	}
	h := e.w.Header()
	platform.SetRequestID(h, e.info.ID)
	h.Set("Content-Type", "application/json")
	if c.Refusal.RetryAfter > 0 && c.Outcome == execution.NotRun {
		platform.SetRetryAfter(h, c.Refusal.RetryAfter)
	}
	if e.deadline.IsZero() {
		e.setDeadline((*http.ResponseController).SetWriteDeadline, time.Now().Add(refusalWriteTimeout))
	}
	if !e.bodyEnded && e.r.ContentLength != 0 {
		// net/http reads the rest of a short body before it writes the headers.
		e.setDeadline((*http.ResponseController).SetReadDeadline, e.discardDeadline(time.Now()))
	}
	if err := e.writeProblem(status, problem{Code: c.Refusal.Code, Detail: c.Refusal.Detail, Run: c.Outcome.String()}); err != nil {
		e.s.log.WithError(err).WithField("request", e.info.ID).Debug("writing the response failed: the caller has disconnected")
		return
	}
	if !e.bodyEnded {
		e.discardBody()
	}
}

// writeProblem writes a whole error response. Its length is stated, so that it is complete for the
// caller while the rest of the request is still read.
func (e *exchange) writeProblem(status int, body problem) error {
	content, err := json.Marshal(body)
	if err != nil {
		return err
	}
	e.w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	e.writeHeader(status)
	if _, err := e.w.Write(content); err != nil {
		return err
	}
	return http.NewResponseController(e.w).Flush()
}

func (e *exchange) succeed() { e.responded("", execution.Finished) }

// responded records that the caller has a server's complete response; code is empty for a success.
func (e *exchange) responded(code string, outcome execution.Outcome) {
	e.s.counters.complete.Inc(1)
	now := time.Now()
	e.s.counters.wholeResponse.Update(now.Sub(e.arrived))
	if !e.firstByteAt.IsZero() {
		e.s.counters.firstByte.Update(e.firstByteAt.Sub(e.arrived))
	}
	e.log(code, "").WithFields(logrus.Fields{"sent": e.forward.Sent(), "outcome": outcome.String()}).Info("request ended")
}

// log returns a log entry with the fields that identify the request.
func (e *exchange) log(code, detail string) *logrus.Entry {
	fields := logrus.Fields{"request": e.info.ID, "tookMs": time.Since(e.arrived).Milliseconds(), "tokens": e.info.PromptTokens}
	if !e.firstByteAt.IsZero() {
		fields["firstMs"] = e.firstByteAt.Sub(e.arrived).Milliseconds()
		fields["events"] = e.eventCount
		fields["longestGapMs"] = e.longestGap.Milliseconds()
	}
	if e.route != nil {
		fields["route"] = e.route.Name
		fields["workspace"] = e.workspace
		fields["targetMs"] = e.route.Target.Milliseconds()
		fields["gapMs"] = e.route.EventGap.Milliseconds()
	}
	if e.table != nil {
		fields["configuration"] = e.table.Version()
	}
	if code != "" {
		fields["code"] = code
	}
	if detail != "" {
		fields["detail"] = detail
	}
	return e.s.log.WithFields(fields)
}

// logChoice logs the chosen server with the figures behind the choice.
func (e *exchange) logChoice(choice placement.Choice) {
	fields := logrus.Fields{"request": e.info.ID, "route": e.route.Name, "service": e.service.Name, "server": choice.Server.IncarnationID(),
		"serverRevision": choice.Server.Revision, "helpers": directory.IncarnationIDs(choice.Helpers), "held": choice.Reserved, "tokens": e.info.PromptTokens,
		"predictedMs": choice.Predicted.Milliseconds(), "loss": math.Round(choice.Loss*100) / 100, "sentBefore": e.forward.Sent(),
		"serverBacklogMs": math.Round(choice.Load.BacklogMs), "serverRequests": choice.Load.Requests, "serverNewsMs": choice.Load.Age.Milliseconds(),
		"waitedMs": time.Since(e.arrived).Milliseconds(), "configuration": e.table.Version(), "lastEvent": e.lastEventID}
	if choice.P90 > 0 {
		fields["predictedP90Ms"] = choice.P90.Milliseconds()
	}
	e.s.log.WithFields(fields).Info("server chosen")
}

// logAttempt logs the result of an attempt. If the server broke the connection, the line has the
// fingerprint, which is the same for all repeats of the request, and the parts of its prompt, and
// states whether the server has crashed, if that was checked.
func (e *exchange) logAttempt(result attemptResult) {
	fields := logrus.Fields{"request": e.info.ID, "server": result.Server, "result": result.Kind.String(),
		"cause": string(result.Refusal.Code), "detail": result.Refusal.Detail, "events": e.eventCount, "lastEvent": e.lastEventID}
	if result.Kind == execution.ForwardBroken {
		fields["fingerprint"] = e.fingerprint().String()
		fields["serverEnded"] = result.serverCrashed
		fields["parts"] = e.info.PromptParts
	}
	if !result.firstEventAt.IsZero() {
		fields["answerMs"] = time.Since(result.firstEventAt).Milliseconds()
	}
	e.s.log.WithFields(fields).Info("try ended")
}
