package gateway

import (
	"context"
	"errors"
	"net"
	"time"

	"arbutusdeck/core/directory"
	"arbutusdeck/core/execution"
	"arbutusdeck/core/netopts"
	"arbutusdeck/core/placement"
	"arbutusdeck/core/quarantine"
)

// fingerprint names the request over all its attempts. It is made when it is first needed, at
// the latest when the answer is whole: the hash of a body of megabytes takes a small host
// some milliseconds.
func (e *exchange) fingerprint() quarantine.Fingerprint {
	if !e.hashed {
		e.hashed = true
		e.hash = quarantine.FingerprintOf(e.workspace, e.r.Method, e.r.Host, e.r.RequestURI, e.body)
	}
	return e.hash
}

// startedRequest is a request that had just begun at a server which may have ended.
type startedRequest struct {
	id          execution.RequestID
	fingerprint quarantine.Fingerprint
}

// checkTermination finds out whether the server of a try that ended without a whole answer has ended, and
// remembers the request if it may be the reason. An answer that had come for longer goes on elsewhere at
// once, without a look: a host that is cut off would hold its caller up. Where the server broke the
// connection the caller waits for the look, which tells whether the request may be sent on. Where it fell
// silent the caller has waited long, and the look goes on beside it.
func (e *exchange) checkTermination(ctx context.Context, choice placement.Choice, result *attemptResult) {
	if result.connErr == nil || !quarantine.JustBegun(time.Now(), result.firstEventAt) {
		return
	}
	request := startedRequest{e.info.ID, e.fingerprint()}
	switch {
	case result.conclusion != nil || result.cancelledHere:
		e.s.checkTerminationLater(request, choice)
	case isTimeout(result.connErr):
		go e.s.checkServer(context.Background(), request, choice)
	default:
		result.serverTerminated = e.s.checkServer(ctx, request, choice)
	}
}

// terminationCheckDelay is how long after this side has broken a try off its server is looked at. A server that
// goes on with a request for which nobody waits any more may end under it, and no connection is left that
// would break: a request whose callers leave early ended one server after the other. Servers drop within
// half a second what nobody waits for (the users' bound), so that there is no end to be seen later.
const terminationCheckDelay = 500 * time.Millisecond

// checkTerminationLater looks at a server when it should have dropped the request.
func (s *Server) checkTerminationLater(request startedRequest, choice placement.Choice) {
	time.AfterFunc(terminationCheckDelay, func() { s.checkServer(context.Background(), request, choice) })
}

// checkServer says whether the server of a try has ended, and remembers the request if it has.
func (s *Server) checkServer(ctx context.Context, request startedRequest, choice placement.Choice) bool {
	if !s.hasTerminated(ctx, choice.Server) {
		return false
	}
	s.counters.serversTerminated.Inc(1)
	s.recordTermination(time.Now(), request, choice)
	return true
}

// isTimeout says whether a connection was given up because nothing came.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// terminationProbeTimeout bounds the look whether a server has ended: some thirty ways there and back
// between zones. A host that answers nothing is not one whose server has ended.
const terminationProbeTimeout = 100 * time.Millisecond

// hasTerminated says whether a server's process is gone: a later start of it is known, or its host
// refuses connections to its address.
func (s *Server) hasTerminated(ctx context.Context, server directory.Server) bool {
	return s.superseded(server) || netopts.Refuses(ctx, server.Address, terminationProbeTimeout)
}
