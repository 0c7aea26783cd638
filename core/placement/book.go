// Package placement decides which backend server runs a request that an entry
// forwards, and in how many parts a long prompt is read. It keeps a book of what
// every server is believed to do, from this entry's own dispatches and from those
// that other entries tell of, and predicts with the engines' published speeds
// what a choice does to the request itself and to the answers that are being
// written there. It is pure: times and random numbers are passed in.
package placement

import (
	"maps"
	"math"
	"slices"
	"time"

	"arbutusdeck/core/enginemodel"
)

// workItem is one dispatch as one server sees it.
type workItem struct {
	dispatch *Dispatch
	index    int // 0 at the server itself, else a helper's place
	// prefillMs is what is left to read here, in milliseconds.
	prefillMs float64
	// prefillDone is when that came to an end by the book; zero before.
	prefillDone time.Time
	// writing says that the server writes the answer.
	writing bool
	memory  int64
	began   time.Time
}

// split says that several servers read the prompt.
func (w *workItem) split() bool { return len(w.dispatch.Helpers) > 0 }

// server is what is believed of one backend server.
type server struct {
	id        string
	engine    *enginemodel.Engine
	workItems []*workItem
	// advanced is the time up to which readMs was worked off.
	advanced time.Time
	// updatedAt is when something was last heard of it: a begin, a first event or an end.
	updatedAt time.Time
	// lastAnswered is when the newest request began that has its first event.
	lastAnswered time.Time
	health       serverHealth
}

type activeDispatch struct {
	dispatch Dispatch
	// peer is the entry that told of it, empty for this one's own.
	peer    string
	expires time.Time
	began   time.Time
	// predicted is the time to the first event that was expected.
	predicted time.Duration
	// answering says that the first event has come.
	answering bool
}

// LoadTable is not safe for concurrent use.
type LoadTable struct {
	options Options
	servers map[string]*server
	active  map[string]*activeDispatch
	packing packing
}

// NewLoadTable returns an empty book.
func NewLoadTable(options Options) *LoadTable {
	return &LoadTable{options: options, packing: packing{options.PackShare}, servers: map[string]*server{}, active: map[string]*activeDispatch{}}
}

func (t *LoadTable) server(id string, engine *enginemodel.Engine) *server {
	s := t.servers[id]
	if s == nil {
		s = &server{id: id}
		t.servers[id] = s
	}
	if engine != nil {
		s.engine = engine
	}
	return s
}

// Retain drops what is believed of the servers that are gone.
func (t *LoadTable) Retain(known func(id string) bool) {
	for id := range t.servers {
		if !known(id) {
			delete(t.servers, id)
		}
	}
}

// Begin books a dispatch of this entry; engine is nil for a plain service.
func (t *LoadTable) Begin(now time.Time, d Dispatch, engine *enginemodel.Engine, predicted time.Duration) {
	t.begin(now, &activeDispatch{dispatch: d, predicted: predicted}, engine)
}

// BeginPeerDispatch books a dispatch that another entry tells of.
func (t *LoadTable) BeginPeerDispatch(now time.Time, from string, d Dispatch, engine *enginemodel.Engine) {
	t.begin(now, &activeDispatch{dispatch: d, peer: from}, engine)
}

func (t *LoadTable) begin(now time.Time, a *activeDispatch, engine *enginemodel.Engine) {
	d := &a.dispatch
	if t.active[d.ID] != nil {
		return
	}
	a.began, a.expires = now, now.Add(d.Lifetime)
	t.active[d.ID] = a
	for index, id := range append([]string{d.Server}, d.Helpers...) {
		s := t.server(id, engine)
		s.advance(now)
		s.updatedAt = now
		w := &workItem{dispatch: &a.dispatch, index: index, memory: a.dispatch.memoryAt(index), began: now}
		if engine != nil && d.PromptTokens > 0 {
			w.prefillMs = engine.ReadMs(d.PromptTokens, d.parts()) * s.health.slowdown()
		}
		s.workItems = append(s.workItems, w)
		if engine != nil && index == 0 {
			t.packing.observe(s.requests(), engine.Slots)
		}
	}
}

// FirstEvent books that the prompt was read and the answer has begun.
func (t *LoadTable) FirstEvent(now time.Time, id string) {
	a := t.active[id]
	if a == nil {
		return
	}
	a.answering = true
	for index, name := range append([]string{a.dispatch.Server}, a.dispatch.Helpers...) {
		s := t.servers[name]
		if s == nil {
			continue
		}
		s.advance(now)
		s.updatedAt = now
		for _, w := range s.workItems {
			if w.dispatch.ID == id {
				w.prefillMs = 0
				w.writing = index == 0
			}
		}
		s.removeFinishedParts()
	}
	s := t.servers[a.dispatch.Server]
	if s == nil {
		return
	}
	s.health.answered(a.began)
	if a.began.After(s.lastAnswered) {
		s.lastAnswered = a.began
	}
	if a.predicted > 0 {
		s.observeLatency(now.Sub(a.began), a.predicted)
	}
}

// End books that a dispatch is over.
func (t *LoadTable) End(now time.Time, id string) {
	a := t.active[id]
	if a == nil {
		return
	}
	delete(t.active, id)
	for _, name := range append([]string{a.dispatch.Server}, a.dispatch.Helpers...) {
		if s := t.servers[name]; s != nil {
			s.advance(now)
			s.updatedAt = now
			s.remove(id)
		}
	}
}

// EndPeerDispatches books that all that another entry told of is over: it has started anew.
func (t *LoadTable) EndPeerDispatches(now time.Time, from string) {
	for id, a := range t.active {
		if a.peer == from {
			t.End(now, id)
		}
	}
}

// Expire ends the dispatches whose time is over. Another entry that was killed or
// cut off never tells of their ends.
func (t *LoadTable) Expire(now time.Time) {
	for id, a := range t.active {
		if now.After(a.expires) {
			t.End(now, id)
		}
	}
}

func (s *server) remove(id string) {
	kept := s.workItems[:0]
	for _, w := range s.workItems {
		if w.dispatch.ID != id {
			kept = append(kept, w)
		}
	}
	s.workItems = kept
}

// removeFinishedParts forgets parts that are read and hold nothing.
func (s *server) removeFinishedParts() {
	kept := s.workItems[:0]
	for _, w := range s.workItems {
		if w.index == 0 || w.prefillMs > 0 || w.memory > 0 {
			kept = append(kept, w)
		}
	}
	s.workItems = kept
}

// advance works the backlog off up to now, in the engine's order. Beside answers
// only a part of the time goes into reading: a pass takes its steps and the reads
// that wait, so the reads' share is theirs over the whole.
func (s *server) advance(now time.Time) {
	elapsed := now.Sub(s.advanced).Seconds() * msPerSecond
	s.advanced = now
	if s.engine == nil || elapsed <= 0 {
		return
	}
	backlog := s.backlogMs()
	if backlog == 0 {
		return
	}
	share := 1.0
	if batch := s.batch(); batch.Answers > 0 {
		share = backlog / (backlog + s.engine.PassMs(batch))
	}
	share = math.Max(share, minPrefillShare)
	left := elapsed * share
	for _, w := range s.prefillOrder() {
		done := math.Min(left, w.prefillMs)
		w.prefillMs -= done
		left -= done
		if w.prefillMs == 0 {
			w.prefillDone = now.Add(-enginemodel.Millis(left / share))
		}
	}
}

const (
	msPerSecond = 1000
	// minPrefillShare keeps a small backlog beside many answers from lasting for
	// ever in the book: each pass reads all of it.
	minPrefillShare = 0.5
)

// prefillOrder returns the reads that wait, in the order in which the engine takes
// them: parts of divided prompts go before all others, the newest first; whole
// prompts follow in the order of their arrival.
func (s *server) prefillOrder() []*workItem {
	order := make([]*workItem, 0, len(s.workItems))
	for i := len(s.workItems) - 1; i >= 0; i-- {
		if w := s.workItems[i]; w.prefillMs > 0 && w.split() {
			order = append(order, w)
		}
	}
	for _, w := range s.workItems {
		if w.prefillMs > 0 && !w.split() {
			order = append(order, w)
		}
	}
	return order
}

// backlogMs is what is left to read.
func (s *server) backlogMs() float64 {
	sum := 0.0
	for _, w := range s.workItems {
		sum += w.prefillMs
	}
	return sum
}

// batch is the answers being written.
func (s *server) batch() enginemodel.Batch {
	var batch enginemodel.Batch
	for _, w := range s.workItems {
		if w.writing {
			batch.Answers++
			batch.ContextTokens += w.context()
		}
	}
	return batch
}

// context is how many tokens each step of the answer has to look at here: the
// largest part of a prompt that is spread over reservations, else all of it.
func (w *workItem) context() int64 {
	if len(w.dispatch.Reserved) > 0 {
		return w.dispatch.PromptTokens / int64(w.dispatch.parts())
	}
	return w.dispatch.PromptTokens
}

// requests is how many requests run or wait here; parts of others' prompts take
// no slot.
func (s *server) requests() int {
	count := 0
	for _, w := range s.workItems {
		if w.index == 0 {
			count++
		}
	}
	return count
}

// memoryUsed is the KV memory that is taken, in tokens.
func (s *server) memoryUsed() int64 {
	sum := int64(0)
	for _, w := range s.workItems {
		sum += w.memory
	}
	return sum
}

// OpenDispatches returns this entry's own dispatches that are under way, with what is left of
// their times, and which of them have their first event. Another entry that has missed
// them takes them in like new ones.
func (t *LoadTable) OpenDispatches(now time.Time) (begun []Dispatch, first []string) {
	for _, id := range slices.Sorted(maps.Keys(t.active)) {
		a := t.active[id]
		if a.peer != "" || !now.Before(a.expires) {
			continue
		}
		d := a.dispatch
		d.Lifetime = a.expires.Sub(now)
		if d.Target > 0 {
			d.Target = max(d.Target-now.Sub(a.began), time.Millisecond)
		}
		begun = append(begun, d)
		if a.answering {
			first = append(first, id)
		}
	}
	return begun, first
}

// CountOwnAt returns how many of this entry's own dispatches are under way at servers for which a condition holds, helpers
// among them.
func (t *LoadTable) CountOwnAt(holds func(id string) bool) int {
	count := 0
	for _, a := range t.active {
		if a.peer == "" && (holds(a.dispatch.Server) || slices.ContainsFunc(a.dispatch.Helpers, holds)) {
			count++
		}
	}
	return count
}

// ActiveCount returns how many dispatches are booked.
func (t *LoadTable) ActiveCount() int { return len(t.active) }
