package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"arbutusdeck/core/directory"
	"arbutusdeck/core/execution"
	"arbutusdeck/core/placement"
	"arbutusdeck/platform"
)

// conclude gives the final answer of a request that no server answered with success. A
// server's own failure goes before one of the entry's: it is an answer, and says more.
func (e *exchange) conclude(c *execution.Conclusion) {
	if errors.Is(e.r.Context().Err(), context.Canceled) {
		e.s.counters.gone.Inc(1)
		e.log(string(execution.CodeCallerGone), "").WithFields(logrus.Fields{"sent": c.Attempts, "outcome": c.Outcome.String()}).Info("request ended")
		panic(http.ErrAbortHandler)
	}
	if e.failure != nil && !e.begun {
		e.deliverFailure()
		return
	}
	e.fail(statusOf(c), c)
}

// deliverFailure gives the caller a server's own failure.
func (e *exchange) deliverFailure() {
	e.failure.deliver(e)
	e.answered(string(execution.CodeEngineFailed), execution.Failed)
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

// problem is the body of an error.
type problem struct {
	Code   execution.Code `json:"code"`
	Detail string         `json:"detail"`
	Run    string         `json:"run"`
}

// fail answers with an error, or breaks the connection if the answer has begun:
// it must not look complete.
func (e *exchange) fail(status int, c *execution.Conclusion) {
	if c.Outcome == execution.NotRun {
		e.s.counters.refused.Inc(1)
	} else {
		e.s.counters.unknown.Inc(1)
	}
	e.log(string(c.Refusal.Code), c.Refusal.Detail).WithFields(logrus.Fields{"status": status, "sent": c.Attempts, "outcome": c.Outcome.String(),
		"begun": e.begun, "retryAfterMs": c.Refusal.RetryAfter.Milliseconds()}).Info("request ended")
	if e.begun {
		panic(http.ErrAbortHandler)
	}
	h := e.w.Header()
	platform.SetRequestID(h, e.info.ID)
	h.Set("Content-Type", "application/json")
	if c.Refusal.RetryAfter > 0 && c.Outcome == execution.NotRun {
		platform.SetRetryAfter(h, c.Refusal.RetryAfter)
	}
	e.writeHeader(status)
	body := problem{Code: c.Refusal.Code, Detail: c.Refusal.Detail, Run: c.Outcome.String()}
	if err := json.NewEncoder(e.w).Encode(body); err != nil {
		e.s.log.WithError(err).WithField("request", e.info.ID).Debug("the caller was gone before its answer")
	}
}

func (e *exchange) succeed() { e.answered("", execution.Finished) }

// answered notes that the caller has a server's whole answer; code is empty for a success.
func (e *exchange) answered(code string, outcome execution.Outcome) {
	e.s.counters.complete.Inc(1)
	now := time.Now()
	e.s.counters.whole.Update(now.Sub(e.arrived))
	if !e.firstAt.IsZero() {
		e.s.counters.firstByte.Update(e.firstAt.Sub(e.arrived))
	}
	e.log(code, "").WithFields(logrus.Fields{"sent": e.core.Sent(), "outcome": outcome.String()}).Info("request ended")
}

// log returns a line with what identifies the request.
func (e *exchange) log(code, detail string) *logrus.Entry {
	fields := logrus.Fields{"request": e.info.ID, "tookMs": time.Since(e.arrived).Milliseconds(), "tokens": e.info.PromptTokens}
	if !e.firstAt.IsZero() {
		fields["firstMs"] = e.firstAt.Sub(e.arrived).Milliseconds()
		fields["events"] = e.events
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

// logChoice tells why the request goes where it goes.
func (e *exchange) logChoice(choice placement.Choice) {
	e.s.log.WithFields(logrus.Fields{"request": e.info.ID, "route": e.route.Name, "service": e.service.Name, "server": choice.Server.IncarnationID(),
		"serverRevision": choice.Server.Revision, "helpers": directory.IncarnationIDs(choice.Helpers), "held": choice.Reserved, "tokens": e.info.PromptTokens,
		"predictedMs": choice.Predicted.Milliseconds(), "loss": math.Round(choice.Loss*100) / 100, "sentBefore": e.core.Sent(),
		"serverBacklogMs": math.Round(choice.Load.BacklogMs), "serverRequests": choice.Load.Requests, "serverNewsMs": choice.Load.Age.Milliseconds(),
		"waitedMs": time.Since(e.arrived).Milliseconds(), "configuration": e.table.Version(), "lastEvent": e.lastEvent}).Info("server chosen")
}

// logTry tells how a try ended. Where the server broke it off, the line names the request as it
// is named in all its attempts, and says whether the server has ended if that was looked for.
func (e *exchange) logTry(result tryResult) {
	fields := logrus.Fields{"request": e.info.ID, "server": result.Server, "result": result.Kind.String(),
		"cause": string(result.Refusal.Code), "detail": result.Refusal.Detail, "events": e.events, "lastEvent": e.lastEvent}
	if result.Kind == execution.ForwardBroken {
		fields["fingerprint"] = e.fingerprint().String()
		fields["serverEnded"] = result.serverEnded
	}
	if !result.answerBegan.IsZero() {
		fields["answerMs"] = time.Since(result.answerBegan).Milliseconds()
	}
	e.s.log.WithFields(fields).Info("try ended")
}
