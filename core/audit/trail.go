// Package audit keeps the trail of changes: of configuration, membership, roles
// and limits, and every refusal of one. The trail is bounded in memory and
// written as JSON lines.
package audit

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// Area is the part of the system that an event belongs to.
type Area string

// Areas of events.
const (
	Configuration Area = "configuration"
	Membership    Area = "membership"
	Orders        Area = "orders"
	Limits        Area = "limits"
	Memory        Area = "memory"
	Lifecycle     Area = "lifecycle"
	Requests      Area = "requests"
)

// Event is one change, or the refusal of one.
type Event struct {
	Sequence uint64    `json:"sequence"`
	Time     time.Time `json:"time"`
	Area     Area      `json:"area"`
	// Subject is what changed: a server, an engine, a configuration path.
	Subject string `json:"subject"`
	From    string `json:"from"`
	To      string `json:"to"`
	Why     string `json:"why"`
	// Source is where the cause came from: platform, peer, list, message.
	Source   string `json:"source"`
	Revision uint64 `json:"revision"`
	Refused  bool   `json:"refused,omitempty"`
}

// Trail is safe for concurrent use.
type Trail struct {
	mu     sync.Mutex
	out    io.Writer
	limit  int
	next   uint64
	events []Event
	start  int
}

// DefaultLimit is the number of events kept in memory.
const DefaultLimit = 2000

// NewTrail returns a trail that keeps limit events and writes each to out as one
// JSON line; out may be nil.
func NewTrail(out io.Writer, limit int) *Trail {
	return &Trail{out: out, limit: max(limit, 1), next: 1}
}

// Add numbers the event and records it. The event's time is the caller's.
func (t *Trail) Add(event Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	event.Sequence = t.next
	t.next++
	if len(t.events) < t.limit {
		t.events = append(t.events, event)
	} else {
		t.events[t.start] = event
		t.start = (t.start + 1) % t.limit
	}
	if t.out == nil {
		return
	}
	line, err := json.Marshal(struct {
		Audit Event `json:"audit"`
	}{event})
	if err == nil {
		_, _ = t.out.Write(append(line, '\n'))
	}
}

// Since returns the kept events after a sequence, oldest first, at most limit.
func (t *Trail) Since(sequence uint64, limit int) []Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []Event
	for i := range t.events {
		event := t.events[(t.start+i)%len(t.events)]
		if event.Sequence > sequence {
			found = append(found, event)
		}
		if limit > 0 && len(found) == limit {
			break
		}
	}
	return found
}
