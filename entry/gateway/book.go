package gateway

import (
	"strconv"
	"time"

	"arbutusdeck/core/directory"
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
	s.book.Succeeded(time.Now(), server)
}

func (s *Server) serverFailed(server string) {
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

func (s *Server) unreachable(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.Unreachable(time.Now(), server)
}

// notExecuted books a refusal and returns the server at fault: a helper that the
// answer names by its address, else the one that answered. An address that another
// server has now means that the one expected is gone.
func (s *Server) notExecuted(choice placement.Choice, answer platform.Answer) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, helper := range choice.Helpers {
		if answer.FaultyAt != "" && helper.Address == answer.FaultyAt {
			s.book.Unreachable(now, helper.Start())
			return helper.Start()
		}
	}
	if answer.Misdirected {
		s.book.Unreachable(now, choice.Server.Start())
	} else {
		s.book.Failed(now, choice.Server.Start())
	}
	return choice.Server.Start()
}
