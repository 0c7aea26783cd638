// Package audit records changes of configuration, membership, orders, limits and
// lifecycle, and refused changes. The trail keeps a bounded number of events in
// memory and writes them as JSON lines.
package audit

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// Area is the part of the system that an event concerns.
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

// Event is a change or a refused change.
type Event struct {
	Sequence uint64    `json:"sequence"`
	Time     time.Time `json:"time"`
	Area     Area      `json:"area"`
	// Subject names what changed: a server, an engine or a configuration path.
	Subject string `json:"subject"`
	From    string `json:"from"`
	To      string `json:"to"`
	Reason  string `json:"why"`
	// Source is the origin of the change: platform, peer, list or message.
	Source   string `json:"source"`
	Revision uint64 `json:"revision"`
	Refused  bool   `json:"refused,omitempty"`
}

// Trail is a ring buffer of the last events. It is safe for concurrent use.
type Trail struct {
	mu           sync.Mutex
	out          io.Writer
	limit        int
	nextSequence uint64
	events       []Event
	oldest       int
}

// DefaultMaxEvents is the default number of events kept in memory.
const DefaultMaxEvents = 2000

// NewTrail returns a Trail that keeps the last limit events and writes each event
// to out as a JSON line. out can be nil.
func NewTrail(out io.Writer, limit int) *Trail {
	return &Trail{out: out, limit: max(limit, 1), nextSequence: 1}
}

// Add assigns the next sequence number to the event and records it. The caller sets
// the time. An event that can't be written to out is still kept.
func (t *Trail) Add(event Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	event.Sequence = t.nextSequence
	t.nextSequence++
	if len(t.events) < t.limit {
		t.events = append(t.events, event)
	} else {
		t.events[t.oldest] = event
		t.oldest = (t.oldest + 1) % t.limit
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

// Since returns up to limit kept events with a sequence number above sequence, oldest
// first. A limit of 0 means all.
func (t *Trail) Since(sequence uint64, limit int) []Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []Event
	for i := range t.events {
		event := t.events[(t.oldest+i)%len(t.events)]
		if event.Sequence > sequence {
			found = append(found, event)
		}
		if limit > 0 && len(found) == limit {
			break
		}
	}
	return found
}
