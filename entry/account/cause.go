package account

import (
	"arbutusdeck/core/execution"
	"arbutusdeck/entry/gateway"
)

// Cause classifies how a request ended. Each request has exactly one: InTime, or the reason why
// it was not served in time.
type Cause string

// Causes, in the order in which tables show them.
const (
	// InTime: the first event and all pauses were within the route's bounds.
	InTime Cause = "in time"
	// PredictedLate: the first event was late, as predicted when the server was chosen.
	PredictedLate Cause = "predicted late"
	// PredictedInTime: the first event was late, though predicted to be in time.
	PredictedInTime Cause = "predicted in time"
	// WaitedAtEntry: the first event was late only because of the wait at the entry.
	WaitedAtEntry Cause = "waited at the entry"
	// Pause: the first event was in time, but a pause between two events was too long.
	Pause Cause = "pause"
	// Retried: the response was late or paused, and its first attempt had failed.
	Retried Cause = "another try"
	// RefusedStopping and the causes that follow: the entry refused the request; it was not run.
	RefusedStopping      Cause = "refused: stopping"
	RefusedConfiguration Cause = "refused: no configuration"
	RefusedQueue         Cause = "refused: queue full"
	RefusedInfeasible    Cause = "refused: too late"
	RefusedNoServer      Cause = "refused: no server"
	RefusedQuarantined   Cause = "refused: servers end under it"
	RefusedOther         Cause = "refused: other"
	// Denied: the request was invalid (no route, no key, a bad body).
	Denied Cause = "denied"
	// TimedOut: the route's timeout passed before the response was complete.
	TimedOut Cause = "timed out"
	// ServerFailed: servers failed or broke the response off, and no attempt was left.
	ServerFailed Cause = "server failed"
	// EntryTerminated: the entry terminated before the request ended, or aborted it at the
	// time limit of its graceful shutdown.
	EntryTerminated Cause = "entry gone"
	// CallerDisconnected: the caller closed its connection.
	CallerDisconnected Cause = "caller gone"
	// Unfinished: the logs end before the request does.
	Unfinished Cause = "not ended in the logs"
)

// Causes lists all causes in the order of the tables.
var Causes = []Cause{InTime, PredictedLate, PredictedInTime, WaitedAtEntry, Pause, Retried, RefusedStopping, RefusedConfiguration, RefusedQueue,
	RefusedInfeasible, RefusedNoServer, RefusedQuarantined, RefusedOther, Denied, TimedOut, ServerFailed, EntryTerminated, CallerDisconnected, Unfinished}

// causeByCode maps the codes of refusals to causes.
var causeByCode = map[execution.Code]Cause{
	gateway.CodeStopping:        RefusedStopping,
	gateway.CodeNoConfiguration: RefusedConfiguration,
	gateway.CodeUnconfirmed:     RefusedConfiguration,
	gateway.CodeNoRoute:         Denied,
	gateway.CodeUnauthorized:    Denied,
	gateway.CodeBodyTooLarge:    Denied,
	gateway.CodeBadBody:         Denied,
	execution.CodeQueueFull:     RefusedQueue,
	execution.CodeInfeasible:    RefusedInfeasible,
	execution.CodeNoServer:      RefusedNoServer,
	execution.CodeQuarantined:   RefusedQuarantined,
}

// openRequest is a request that has begun and not ended.
type openRequest struct {
	line Line
	// choices counts the servers that were chosen for it.
	choices int
	// besideLong is set if a much longer prompt was open when it began.
	besideLong bool
	// unseen counts the requests at its server that were missing from the load table of the
	// choosing entry.
	unseen int
}

// causeOf returns the cause of an ended request, from the last choice of a server for it and
// from the line of its end.
func causeOf(req *openRequest, end *Line) Cause {
	switch {
	case end.Code == execution.CodeCallerGone:
		return CallerDisconnected
	case end.Code == gateway.CodeTimeout:
		return TimedOut
	case end.Code != "" && end.Outcome == execution.NotRun.String():
		if cause, ok := causeByCode[end.Code]; ok {
			return cause
		}
		return RefusedOther
	case end.Code == gateway.CodeStopping:
		return EntryTerminated
	case end.Code != "" || end.FirstMs == nil:
		return ServerFailed
	case *end.FirstMs > end.TargetMs:
		return causeOfLate(req, end)
	case end.GapMs > 0 && end.LongestGapMs > end.GapMs:
		return causeOfPause(req)
	}
	return InTime
}

func causeOfPause(req *openRequest) Cause {
	if req.choices > 1 {
		return Retried
	}
	return Pause
}

// causeOfLate returns the cause of a late first event.
func causeOfLate(req *openRequest, end *Line) Cause {
	switch {
	case req.choices > 1:
		return Retried
	case req.line.PredictedMs > end.TargetMs:
		return PredictedLate
	case req.line.WaitedMs+req.line.PredictedMs > end.TargetMs:
		return WaitedAtEntry
	}
	return PredictedInTime
}
