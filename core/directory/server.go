package directory

import (
	"strconv"
	"strings"
	"time"
)

// Server is one incarnation of a backend server. A restarted server is another incarnation, even if it keeps
// its identifier.
type Server struct {
	ID string `json:"id" cbor:"1,keyasint,omitempty"`
	// StartedAtMs is the start time of the incarnation by the server's own clock, in Unix milliseconds; 0 if
	// the server doesn't report it.
	StartedAtMs int64  `json:"born,omitempty" cbor:"2,keyasint,omitempty"`
	Service     string `json:"service" cbor:"3,keyasint,omitempty"`
	Address     string `json:"address" cbor:"4,keyasint,omitempty"`
	Zone        string `json:"zone" cbor:"5,keyasint,omitempty"`
	Slots       int    `json:"slots" cbor:"6,keyasint,omitempty"`
	// Draining is set once the server takes no new work.
	Draining bool `json:"leaving,omitempty" cbor:"7,keyasint,omitempty"`
	// WarmupRemaining is the time for which the server remains slow after its start.
	WarmupRemaining time.Duration `json:"slowFor,omitempty" cbor:"8,keyasint,omitempty"`
	// Revision is the platform's revision of the row.
	Revision uint64 `json:"revision" cbor:"9,keyasint,omitempty"`
	// incarnationID caches the identifier, so that a choice need not build it.
	incarnationID string
}

// IncarnationID returns the identifier of this incarnation: the server's identifier, and its start time if it
// is reported. The state kept for a server (load, memory, failures, draining) is keyed by it, so that nothing
// of an incarnation that has ended counts for the next one with the same server identifier.
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
	// startTimeSeparator separates the server's identifier and start time in an incarnation identifier.
	startTimeSeparator = "@"
	// startTimeBase is the largest base of strconv, for the shortest start time.
	startTimeBase = 36
)

// parseIncarnationID splits an incarnation identifier; the start time is 0 if there is none.
func parseIncarnationID(incarnationID string) (id string, startedAtMs int64) {
	id, startTime, found := strings.Cut(incarnationID, startTimeSeparator)
	if !found {
		return incarnationID, 0
	}
	startedAtMs, err := strconv.ParseInt(startTime, startTimeBase, 64)
	if err != nil {
		return incarnationID, 0
	}
	return id, startedAtMs
}

// IncarnationIDs returns the incarnation identifiers of servers, in their order.
func IncarnationIDs(servers []Server) []string {
	ids := make([]string, 0, len(servers))
	for _, server := range servers {
		ids = append(ids, server.IncarnationID())
	}
	return ids
}
