package gateway

import (
	"strconv"
	"time"

	"arbutusdeck/core/directory"
	"arbutusdeck/core/placement"
	"arbutusdeck/platform"
)

// newDispatchID returns an identifier of one attempt that is unique among all entries.
func (s *Server) newDispatchID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strconv.FormatUint(s.random.Uint64(), 36)
}

func (s *Server) recordSuccess(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loadTable.RecordSuccess(time.Now(), server)
}

func (s *Server) recordFailure(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loadTable.RecordFailure(time.Now(), server)
}

// superseded reports whether a later incarnation of a server is known.
func (s *Server) superseded(server directory.Server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.directory.Superseded(server.IncarnationID())
}

// reportUnreachable records that a server accepts no requests, and notifies the other entries, each
// of which would otherwise lose a request to find out.
func (s *Server) reportUnreachable(server string) {
	s.mu.Lock()
	s.loadTable.MarkUnreachable(time.Now(), server, s.random.Float64())
	s.mu.Unlock()
	s.peers.SendUnreachable(server)
}

// reportNotExecuted records that a request was not executed and returns the server at fault.
func (s *Server) reportNotExecuted(choice placement.Choice, response platform.Response) string {
	fault := faultyServer(choice, response)
	s.reportUnreachable(fault)
	return fault
}

// faultyServer returns the server because of which a request was not executed: a helper that the
// response names by its address, or the server that responded.
func faultyServer(choice placement.Choice, response platform.Response) string {
	for _, helper := range choice.Helpers {
		if response.FaultyHelper != "" && helper.Address == response.FaultyHelper {
			return helper.IncarnationID()
		}
	}
	return choice.Server.IncarnationID()
}
