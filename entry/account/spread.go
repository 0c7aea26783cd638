package account

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxChanges bounds the changes that are tracked; the oldest are dropped first.
const maxChanges = 4000

// propagation measures how long changes take to reach the entries. A delay starts at the first line of any entry
// about the change, so the delay to the first entry is not included. Changes that an entry learns at its start,
// before it serves, don't count.
type propagation struct {
	serving   map[string]bool
	firstSeen map[string]time.Time
	order     []string
	byKind    map[string]*changeDelays
}

// changeDelays holds the propagation delays of all changes of one kind, in milliseconds.
type changeDelays struct {
	changes  int
	delays   *hdrhistogram.Histogram
	maxMs    int64
	maxEntry string
}

func newPropagation() propagation {
	return propagation{serving: map[string]bool{}, firstSeen: map[string]time.Time{}, byKind: map[string]*changeDelays{}}
}

// changeIn returns the kind of change that a line reports and a key that identifies the change; false if the line
// reports none.
func changeIn(line *Line) (kind, key string, ok bool) {
	switch line.Message {
	case messageConfiguration:
		return "configuration", fmt.Sprint(line.Version), true
	case messageServer:
		return "server " + string(line.To), fmt.Sprint(line.Server, line.To, line.Revision), true
	case messageZone:
		return "zone " + string(line.To), fmt.Sprint(line.Zone, line.To, line.Revision), true
	}
	return "", "", false
}

// observe records the change that a line reports, if any.
func (s *propagation) observe(line *Line) error {
	switch {
	case line.Message == messageStarted:
		delete(s.serving, line.Entry)
		return nil
	case line.Message == messageState:
		s.serving[line.Entry] = line.To == stateServing
		return nil
	}
	kind, key, ok := changeIn(line)
	if !ok || !s.serving[line.Entry] {
		return nil
	}
	of := s.byKind[kind]
	if of == nil {
		of = &changeDelays{delays: hdrhistogram.New(1, maxHistogramMs, histogramDigits)}
		s.byKind[kind] = of
	}
	first, known := s.firstSeen[kind+key]
	if !known {
		s.remember(kind+key, line.Time)
		of.changes++
		first = line.Time
	}
	// The clocks of hosts differ, so that a later line may have an earlier time.
	delay := min(max(line.Time.Sub(first).Milliseconds(), 0), maxHistogramMs)
	if delay > of.maxMs || of.maxEntry == "" {
		of.maxMs, of.maxEntry = delay, line.Entry
	}
	return of.delays.RecordValue(delay)
}

func (s *propagation) remember(key string, at time.Time) {
	s.firstSeen[key] = at
	s.order = append(s.order, key)
	if len(s.order) > maxChanges {
		delete(s.firstSeen, s.order[0])
		s.order = s.order[1:]
	}
}
