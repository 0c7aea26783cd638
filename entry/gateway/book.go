package gateway

import (
	"strconv"
	"time"

	"arbutusdeck/core/directory"
	"arbutusdeck/core/peering"
	"arbutusdeck/core/placement"
	"arbutusdeck/platform"
)

// dispatchID names one try among all entries.
func (s *Server) dispatchID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strconv.FormatUint(s.random.Uint64(), 36)
}

func (s *Server) serverSucceeded(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.RecordSuccess(time.Now(), server)
}

func (s *Server) serverFailed(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.RecordFailure(time.Now(), server)
}

// superseded says whether a later start of a server is known.
func (s *Server) superseded(server directory.Server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.directory.Superseded(server.IncarnationID())
}

// unreachable books that a server takes no requests, and tells the other entries, which
// would otherwise each find out with requests of their own.
func (s *Server) unreachable(server string) {
	s.mu.Lock()
	s.book.MarkUnreachable(time.Now(), server, s.random.Float64())
	s.mu.Unlock()
	s.peers.tell(booking{}, func(m *peering.Message) { m.Unreachable = append(m.Unreachable, server) })
	s.peers.flushSoon()
}

// notExecuted books a refusal and returns the server at fault.
func (s *Server) notExecuted(choice placement.Choice, answer platform.Response) string {
	fault := atFault(choice, answer)
	s.unreachable(fault)
	return fault
}

// atFault is the server because of which a request was not run: a helper that the answer
// names by its address, else the one that answered.
func atFault(choice placement.Choice, answer platform.Response) string {
	for _, helper := range choice.Helpers {
		if answer.FaultyHelper != "" && helper.Address == answer.FaultyHelper {
			return helper.IncarnationID()
		}
	}
	return choice.Server.IncarnationID()
}
