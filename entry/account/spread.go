package account

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxChanges bounds the changes that are remembered; the oldest are forgotten.
const maxChanges = 4000

// spread is how long changes take to reach the entries, counted from the first line of any that tells of one: what the
// first entry needs is not in it. What an entry learns at its start, before it serves, doesn't count.
type spread struct {
	serving map[string]bool
	first   map[string]time.Time
	order   []string
	byKind  map[string]*spreadOf
}

// spreadOf is the delays of the changes of a kind, in milliseconds.
type spreadOf struct {
	changes   int
	delays    *hdrhistogram.Histogram
	last      int64
	lastEntry string
}

func newSpread() spread {
	return spread{serving: map[string]bool{}, first: map[string]time.Time{}, byKind: map[string]*spreadOf{}}
}

// changeOf returns the kind of change that a line tells of, and what tells one change from another; false for others.
func changeOf(line *Line) (kind, key string, ok bool) {
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

// take takes in a line.
func (s *spread) take(line *Line) error {
	switch {
	case line.Message == messageStarted:
		delete(s.serving, line.Entry)
		return nil
	case line.Message == messageState:
		s.serving[line.Entry] = line.To == stateServing
		return nil
	}
	kind, key, ok := changeOf(line)
	if !ok || !s.serving[line.Entry] {
		return nil
	}
	of := s.byKind[kind]
	if of == nil {
		of = &spreadOf{delays: hdrhistogram.New(1, longestMs, histogramDigits)}
		s.byKind[kind] = of
	}
	first, known := s.first[kind+key]
	if !known {
		s.remember(kind+key, line.Time)
		of.changes++
		first = line.Time
	}
	// Clocks differ, so that a later line may bear an earlier time.
	delay := min(max(line.Time.Sub(first).Milliseconds(), 0), longestMs)
	if delay > of.last || of.lastEntry == "" {
		of.last, of.lastEntry = delay, line.Entry
	}
	return of.delays.RecordValue(delay)
}

func (s *spread) remember(key string, at time.Time) {
	s.first[key] = at
	s.order = append(s.order, key)
	if len(s.order) > maxChanges {
		delete(s.first, s.order[0])
		s.order = s.order[1:]
	}
}
