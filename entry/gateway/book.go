package gateway

import (
	"strconv"
	"time"

	"arbutusdeck/core/directory"
	"arbutusdeck/core/peering"
	"arbutusdeck/core/placement"
	"arbutusdeck/platform"
)

// newDispatchID names one try among all entries.
func (s *Server) newDispatchID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strconv.FormatUint(s.random.Uint64(), 36)
}

func (s *Server) recordSuccess(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.Succeeded(time.Now(), server)
}

func (s *Server) recordFailure(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.Failed(time.Now(), server)
}

// superseded says whether a later start of a server is known.
func (s *Server) superseded(server directory.Server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.directory.Superseded(server.Start())
}

// reportUnreachable books that a server takes no requests, and tells the other entries, which
// would otherwise each find out with requests of their own.
func (s *Server) reportUnreachable(server string) {
	s.mu.Lock()
	s.book.Unreachable(time.Now(), server, s.random.Float64())
	s.mu.Unlock()
	s.peers.enqueue(dispatchRef{}, func(m *peering.Message) { m.Unreachable = append(m.Unreachable, server) })
	s.peers.scheduleFlush()
}

// reportNotExecuted books a refusal and returns the server at fault.
func (s *Server) reportNotExecuted(choice placement.Choice, answer platform.Answer) string {
	fault := faultyServer(choice, answer)
	s.reportUnreachable(fault)
	return fault
}

// faultyServer is the server because of which a request was not run: a helper that the answer
// names by its address, else the one that answered.
func faultyServer(choice placement.Choice, answer platform.Answer) string {
	for _, helper := range choice.Helpers {
		if answer.FaultyAt != "" && helper.Address == answer.FaultyAt {
			return helper.Start()
		}
	}
	return choice.Server.Start()
}
