package directory

import (
	"strconv"
	"strings"
	"time"
)

// Server is one start of a backend server. A restarted server is another one, also
// where it keeps its identifier.
type Server struct {
	ID string `json:"id" cbor:"1,keyasint,omitempty"`
	// StartedAtMs is the start's birth by the server's own clock, in Unix milliseconds; 0 if
	// the server doesn't tell it.
	StartedAtMs int64  `json:"born,omitempty" cbor:"2,keyasint,omitempty"`
	Service     string `json:"service" cbor:"3,keyasint,omitempty"`
	Address     string `json:"address" cbor:"4,keyasint,omitempty"`
	Zone        string `json:"zone" cbor:"5,keyasint,omitempty"`
	Slots       int    `json:"slots" cbor:"6,keyasint,omitempty"`
	// Draining says that the server takes no new work.
	Draining bool `json:"leaving,omitempty" cbor:"7,keyasint,omitempty"`
	// WarmupRemaining is how much longer the server is slow after its start.
	WarmupRemaining time.Duration `json:"slowFor,omitempty" cbor:"8,keyasint,omitempty"`
	// Revision is the platform's revision of the row.
	Revision uint64 `json:"revision" cbor:"9,keyasint,omitempty"`
	// incarnationID is the name of the incarnationID, kept so that a choice need not build it.
	incarnationID string
}

// IncarnationID names this start of the server: its identifier, and its birth if it is told.
// What is believed of a server (load, memory, failures, leaving) hangs on this name, so
// that nothing of a start that has died counts for the next one under its identifier.
func (s Server) IncarnationID() string {
	switch {
	case s.incarnationID != "":
		return s.incarnationID
	case s.StartedAtMs == 0:
		return s.ID
	}
	return s.ID + startTimeSeparator + strconv.FormatInt(s.StartedAtMs, startTimeBase)
}

const (
	// startTimeSeparator separates identifier and birth in the name of a start.
	startTimeSeparator = "@"
	// startTimeBase writes the birth in as few letters as the library can.
	startTimeBase = 36
)

// parseIncarnationID is the reverse of Start; born is 0 if the name has none.
func parseIncarnationID(start string) (id string, born int64) {
	id, mark, found := strings.Cut(start, startTimeSeparator)
	if !found {
		return start, 0
	}
	born, err := strconv.ParseInt(mark, startTimeBase, 64)
	if err != nil {
		return start, 0
	}
	return id, born
}

// IncarnationIDs returns the names of servers' starts, in their order.
func IncarnationIDs(servers []Server) []string {
	starts := make([]string, 0, len(servers))
	for _, server := range servers {
		starts = append(starts, server.IncarnationID())
	}
	return starts
}
