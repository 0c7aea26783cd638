package gateway

import (
	"context"
	"errors"
	"net"
	"time"

	"arbutusdeck/core/directory"
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

// lookForEnd finds out whether a try broke off because its server has ended, and remembers the
// request if it may be the reason. An answer that had come for longer goes on elsewhere at once,
// without a look: a host that is cut off would hold its caller up. So does one whose connection
// fell silent, since its caller has waited long; the look goes on beside it.
func (e *exchange) lookForEnd(ctx context.Context, choice placement.Choice, result *tryResult) {
	broke := result.lost != nil && result.conclusion == nil && !result.brokenOffHere
	if !broke || !quarantine.JustBegun(time.Now(), result.answerBegan) {
		return
	}
	if isSilence(result.lost) {
		e.fingerprint() // made here, as the request may be over before the look is
		go e.look(context.Background(), choice)
		return
	}
	result.serverEnded = e.look(ctx, choice)
}

// look says whether the server of a try has ended, and remembers the request if it has.
func (e *exchange) look(ctx context.Context, choice placement.Choice) bool {
	if !e.s.hasEnded(ctx, choice.Server) {
		return false
	}
	e.s.counters.serversEnded.Inc(1)
	e.noteEnd(time.Now(), choice)
	return true
}

// isSilence says whether a connection was given up because nothing came.
func isSilence(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// endTimeout bounds the look whether a server has ended: some thirty ways there and back
// between zones. A host that answers nothing is not one whose server has ended.
const endTimeout = 100 * time.Millisecond

// hasEnded says whether a server's process is gone: a later start of it is known, or its host
// refuses connections to its address.
func (s *Server) hasEnded(ctx context.Context, server directory.Server) bool {
	return s.superseded(server) || netopts.Refuses(ctx, server.Address, endTimeout)
}
