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

// fingerprint returns the identity of the request across its repeats. It is computed when first
// needed, at the latest when the response is complete: hashing a body of megabytes takes a small
// host some milliseconds.
func (e *exchange) fingerprint() quarantine.Fingerprint {
	if !e.hashed {
		e.hashed = true
		e.hash = quarantine.FingerprintOf(e.workspace, e.r.Method, e.r.Host, e.r.RequestURI, e.body)
	}
	return e.hash
}

// partFingerprints returns the identities of the parts of the request's prompt.
func (e *exchange) partFingerprints() []quarantine.Fingerprint {
	if e.parts == nil {
		for _, id := range e.info.PromptParts {
			e.parts = append(e.parts, quarantine.PartFingerprint(id))
		}
	}
	return e.parts
}

// startedRequest is a request that had just started at a server which may have crashed.
type startedRequest struct {
	id          execution.RequestID
	fingerprint quarantine.Fingerprint
	parts       []quarantine.Fingerprint
	// sentAt is the time at which it was sent to the server.
	sentAt time.Time
}

// partNames returns the fingerprints of the parts as in log lines.
func (r startedRequest) partNames() []string {
	names := make([]string, 0, len(r.parts))
	for _, part := range r.parts {
		names = append(names, part.String())
	}
	return names
}

// checkCrash checks whether the server of an incomplete attempt has crashed, and records
// the request as a possible cause. A response that had been arriving for longer is resumed
// elsewhere at once, without a check: an unreachable host would delay its caller. If the server
// broke the connection, the caller waits for the check, which decides whether the request may be
// sent to another server. If the server became unresponsive, the caller has already waited long,
// and the check runs concurrently.
func (e *exchange) checkCrash(ctx context.Context, choice placement.Choice, result *attemptResult) {
	if result.connErr == nil || !quarantine.RecentlyStarted(time.Now(), result.firstEventAt) {
		return
	}
	request := startedRequest{e.info.ID, e.fingerprint(), e.partFingerprints(), result.sentAt}
	switch {
	case result.conclusion != nil || result.cancelledHere:
		e.s.checkCrashLater(request, choice)
	case isTimeout(result.connErr):
		go e.s.checkServerCrash(context.Background(), request, choice)
	default:
		result.serverCrashed = e.s.checkServerCrash(ctx, request, choice)
	}
}

// crashCheckDelay is the delay between the cancellation of an attempt and the check of its server.
// A server that continues with a cancelled request may crash under it while no connection is left
// that would break; a request whose callers disconnected early crashed one server after the other.
// Servers are required to drop a cancelled request within half a second, so that no later crash is
// caused by it.
const crashCheckDelay = 500 * time.Millisecond

// checkCrashLater checks a server when it should have dropped the request. A stopping entry stays until
// then: no other entry knows of the request.
func (s *Server) checkCrashLater(request startedRequest, choice placement.Choice) {
	s.manager.Join()
	go func() {
		defer s.manager.End()
		select {
		case <-time.After(crashCheckDelay):
		case <-s.manager.Aborting().Done():
		}
		s.checkServerCrash(context.Background(), request, choice)
	}()
}

// checkServerCrash reports whether the server of an attempt has crashed, and records the request if
// it has.
func (s *Server) checkServerCrash(ctx context.Context, request startedRequest, choice placement.Choice) bool {
	if !s.hasCrashed(ctx, choice.Server) {
		return false
	}
	s.counters.serversCrashed.Inc(1)
	s.recordCrash(time.Now(), request, choice)
	return true
}

// isTimeout reports whether a connection was given up because nothing arrived.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// crashProbeTimeout bounds the check whether a server has crashed: some thirty round trips
// between zones. A host that does not respond is not evidence of a crashed server.
const crashProbeTimeout = 100 * time.Millisecond

// hasCrashed reports whether a server's process is gone: a later incarnation of it is known, or
// its host refuses connections to its address.
func (s *Server) hasCrashed(ctx context.Context, server directory.Server) bool {
	return s.superseded(server) || netopts.RefusesConnections(ctx, server.Address, crashProbeTimeout)
}
