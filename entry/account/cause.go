package account

import (
	"arbutusdeck/core/execution"
	"arbutusdeck/entry/gateway"
)

// Cause is why a request was not served in time. Each request has exactly one.
type Cause string

// Causes, in the order in which tables show them.
const (
	// InTime: first event and pauses were within the route's bounds.
	InTime Cause = "in time"
	// PredictedLate: the first event was late, as predicted when the server was chosen.
	PredictedLate Cause = "predicted late"
	// PredictedInTime: it was late though predicted to be in time.
	PredictedInTime Cause = "predicted in time"
	// WaitedAtEntry: it would have been in time but for the wait at the entry.
	WaitedAtEntry Cause = "waited at the entry"
	// Pause: the first event was in time, a pause between two events too long.
	Pause Cause = "pause"
	// Retried: it was late, and the first try had failed.
	Retried Cause = "another try"
	// RefusedStopping and the following: refused by the entry, and not run.
	RefusedStopping      Cause = "refused: stopping"
	RefusedConfiguration Cause = "refused: no configuration"
	RefusedQueue         Cause = "refused: queue full"
	RefusedInfeasible    Cause = "refused: too late"
	RefusedNoServer      Cause = "refused: no server"
	RefusedQuarantined   Cause = "refused: servers end under it"
	RefusedOther         Cause = "refused: other"
	// Denied: the caller's own fault (no route, no key, a bad body).
	Denied Cause = "denied"
	// TimedOut: the route's time passed before the answer was whole.
	TimedOut Cause = "timed out"
	// ServerFailed: servers failed or broke off, and no further try was left.
	ServerFailed Cause = "server failed"
	// EntryTerminated: the entry ended before the request did, or had to end it at the limit of its stop.
	EntryTerminated Cause = "entry gone"
	// CallerDisconnected: the caller left.
	CallerDisconnected Cause = "caller gone"
	// Unfinished: the logs end before the request does.
	Unfinished Cause = "not ended in the logs"
)

// Causes are all causes, in the order of tables.
var Causes = []Cause{InTime, PredictedLate, PredictedInTime, WaitedAtEntry, Pause, Retried, RefusedStopping, RefusedConfiguration, RefusedQueue,
	RefusedInfeasible, RefusedNoServer, RefusedQuarantined, RefusedOther, Denied, TimedOut, ServerFailed, EntryTerminated, CallerDisconnected, Unfinished}

// refusals are the causes of refusals by their codes.
var refusals = map[execution.Code]Cause{
	gateway.CodeStopping:        RefusedStopping,
	gateway.CodeNoConfiguration: RefusedConfiguration,
	gateway.CodeNoRoute:         Denied,
	gateway.CodeUnauthorized:    Denied,
	gateway.CodeBodyTooLarge:    Denied,
	gateway.CodeBadBody:         Denied,
	execution.CodeQueueFull:     RefusedQueue,
	execution.CodeInfeasible:    RefusedInfeasible,
	execution.CodeNoServer:      RefusedNoServer,
	execution.CodeQuarantined:   RefusedQuarantined,
}

// history is what is kept of a request until it ends.
type history struct {
	line Line
	// choices counts the servers chosen for it.
	choices int
	// beside says that a much longer prompt was under way when it began.
	beside bool
	// lacked is how many requests at its server the chooser did not know of.
	lacked int
}

// causeOf classifies an ended request by its last choice of a server and its end.
func causeOf(h *history, end *Line) Cause {
	switch {
	case end.Code == execution.CodeCallerGone:
		return CallerDisconnected
	case end.Code == gateway.CodeTimeout:
		return TimedOut
	case end.Code != "" && end.Outcome == execution.NotRun.String():
		if cause, ok := refusals[end.Code]; ok {
			return cause
		}
		return RefusedOther
	case end.Code == gateway.CodeStopping:
		return EntryTerminated
	case end.Code != "" || end.FirstMs == nil:
		return ServerFailed
	case *end.FirstMs > end.TargetMs:
		return causeOfLate(h, end)
	case end.GapMs > 0 && end.LongestGapMs > end.GapMs:
		return pauseCause(h)
	}
	return InTime
}

func pauseCause(h *history) Cause {
	if h.choices > 1 {
		return Retried
	}
	return Pause
}

// causeOfLate tells why a first event was late.
func causeOfLate(h *history, end *Line) Cause {
	switch {
	case h.choices > 1:
		return Retried
	case h.line.PredictedMs > end.TargetMs:
		return PredictedLate
	case h.line.WaitedMs+h.line.PredictedMs > end.TargetMs:
		return WaitedAtEntry
	}
	return PredictedInTime
}
