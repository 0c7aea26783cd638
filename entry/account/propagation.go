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

// observe records which entries are serving, and the change that a line reports, if any.
func (p *propagation) observe(line *Line) error {
	switch {
	case line.Message == messageStarted:
		delete(p.serving, line.Entry)
		return nil
	case line.Message == messageState:
		p.serving[line.Entry] = line.To == stateServing
		return nil
	}
	kind, key, ok := changeIn(line)
	if !ok || !p.serving[line.Entry] {
		return nil
	}
	stats := p.byKind[kind]
	if stats == nil {
		stats = &changeDelays{delays: hdrhistogram.New(1, maxHistogramMs, histogramDigits)}
		p.byKind[kind] = stats
	}
	first, known := p.firstSeen[kind+key]
	if !known {
		p.track(kind+key, line.Time)
		stats.changes++
		first = line.Time
	}
	// The clocks of hosts differ, so that a later line may have an earlier time.
	delay := min(max(line.Time.Sub(first).Milliseconds(), 0), maxHistogramMs)
	if delay > stats.maxMs || stats.maxEntry == "" {
		stats.maxMs, stats.maxEntry = delay, line.Entry
	}
	return stats.delays.RecordValue(delay)
}

func (p *propagation) track(key string, at time.Time) {
	p.firstSeen[key] = at
	p.order = append(p.order, key)
	if len(p.order) > maxChanges {
		delete(p.firstSeen, p.order[0])
		p.order = p.order[1:]
	}
}
