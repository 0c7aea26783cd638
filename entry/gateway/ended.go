package gateway

import (
	"context"
	"errors"
	"syscall"

	"arbutusdeck/core/directory"
	"arbutusdeck/core/execution"
	"arbutusdeck/core/placement"
	"arbutusdeck/core/quarantine"
)

// fingerprint names the request over all its attempts. It is made when it is first needed:
// the hash of the body of a long prompt takes a small host some milliseconds.
func (e *exchange) fingerprint() quarantine.Fingerprint {
	if !e.hashed {
		e.hashed = true
		e.hash = quarantine.FingerprintOf(e.workspace, e.r.Method, e.r.Host, e.r.RequestURI, e.body)
	}
	return e.hash
}

// lookForEnd finds out whether a try broke off because its server has ended.
func (e *exchange) lookForEnd(ctx context.Context, choice placement.Choice, result *tryResult) {
	if result.Kind != execution.ForwardBroken || result.conclusion != nil || result.brokenOffHere {
		return
	}
	if result.serverEnded = hasEnded(ctx, choice.Server); result.serverEnded {
		e.s.counters.serversEnded.Inc(1)
	}
}

// hasEnded says whether a server's process is gone: its host refuses connections to the
// server's address. A server that breaks off an answer and lives, one that is full, and one
// that is cut off don't refuse them.
func hasEnded(ctx context.Context, server directory.Server) bool {
	connection, err := newDialer().DialContext(ctx, "tcp", server.Address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	// Nothing was sent on it.
	_ = connection.Close()
	return false
}
