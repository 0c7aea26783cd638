// Package placement decides which backend server runs a request that an entry forwards, and into how many
// parts a long prompt is divided for prefill. It keeps a load table of all servers, from this entry's own
// dispatches and from those that its peers report. With the engines' published speeds it predicts how a
// choice affects the request itself and the answers that are being written. The package does no I/O; times
// and random numbers are passed in.
package placement

import (
	"maps"
	"math"
	"slices"
	"time"

	"arbutusdeck/core/enginemodel"
	"arbutusdeck/core/servertimes"
)

// workItem is the part of one dispatch that runs at one server.
type workItem struct {
	dispatch *Dispatch
	index    int // 0 at the server itself, else one plus the index in Helpers
	// prefillMs is the prefill that is left here, in milliseconds.
	prefillMs float64
	// prefillDone is the predicted time at which the prefill ended; zero before.
	prefillDone time.Time
	// writing is set while the server writes the answer.
	writing bool
	memory  int64
	began   time.Time
}

// split reports whether several servers prefill the prompt.
func (w *workItem) split() bool { return len(w.dispatch.Helpers) > 0 }

// server is the load and the health of one backend server as known here.
type server struct {
	id        string
	engine    *enginemodel.Engine
	workItems []*workItem
	// advanced is the time up to which prefillMs was worked off.
	advanced time.Time
	// updatedAt is the time of the latest begin, first event or end at the server.
	updatedAt time.Time
	// lastAnsweredStart is the start time of the newest request that has its first event.
	lastAnsweredStart time.Time
	health            serverHealth
	// holdTime is the smoothed time for which requests held a slot here; 0 before the first one ended.
	holdTime time.Duration
	// times is what the server has shown, service and startedAt what the directory says of it; unused where
	// Options.LearnedTimes is off.
	times     servertimes.Server
	pooled    *servertimes.Service
	service   string
	startedAt time.Time
}

type activeDispatch struct {
	dispatch Dispatch
	// peer is the entry that reported the dispatch, empty for this entry's own.
	peer    string
	expires time.Time
	began   time.Time
	// predicted is the predicted time to the first event.
	predicted time.Duration
	modelled  modelled
	// answering is set once the first event has come.
	answering bool
	// answeringSince is the time at which it came.
	answeringSince time.Time
	// prefillMs is the predicted prefill of all parts, in milliseconds.
	prefillMs float64
	// reported is the time up to which the held slot and memory were reported as usage.
	reported        time.Time
	prefillReported bool
}

// LoadTable records the dispatches that are in progress and predicts each server's load from them. It is not
// safe for concurrent use.
type LoadTable struct {
	options Options
	servers map[string]*server
	active  map[string]*activeDispatch
	// ended holds the dispatches that ended lately: a begin that was overtaken by its end must not count until its
	// lifetime is over.
	ended   map[string]time.Time
	packing packing
	// observeUsage is told what dispatches use; nil if nobody is.
	observeUsage func(now time.Time, u Usage)
	learned      *learnedTimes
}

// NewLoadTable returns an empty load table.
func NewLoadTable(options Options) *LoadTable {
	return &LoadTable{options: options, packing: packing{options.PackShare}, learned: newLearnedTimes(options), servers: map[string]*server{}, active: map[string]*activeDispatch{}, ended: map[string]time.Time{}}
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

// Retain removes the state of servers that are no longer known.
func (t *LoadTable) Retain(known func(id string) bool) {
	for id := range t.servers {
		if !known(id) {
			delete(t.servers, id)
		}
	}
	t.retainServices()
}

// Begin records a dispatch of this entry; engine is nil for a plain service.
func (t *LoadTable) Begin(now time.Time, d Dispatch, engine *enginemodel.Engine, predicted time.Duration) {
	t.begin(now, &activeDispatch{dispatch: d, predicted: predicted}, engine)
}

// BeginPeerDispatch records a dispatch that a peer reports.
func (t *LoadTable) BeginPeerDispatch(now time.Time, from string, d Dispatch, engine *enginemodel.Engine) {
	t.begin(now, &activeDispatch{dispatch: d, peer: from}, engine)
}

func (t *LoadTable) begin(now time.Time, a *activeDispatch, engine *enginemodel.Engine) {
	d := &a.dispatch
	if _, ended := t.ended[d.ID]; ended || t.active[d.ID] != nil {
		return
	}
	a.began, a.reported, a.expires = now, now, now.Add(d.Lifetime)
	a.modelled = t.model(now, d, engine)
	t.active[d.ID] = a
	for index, id := range append([]string{d.Server}, d.Helpers...) {
		s := t.server(id, engine)
		s.advance(now)
		s.updatedAt = now
		w := &workItem{dispatch: &a.dispatch, index: index, memory: a.dispatch.memoryAt(index), began: now}
		if engine != nil && d.PromptTokens > 0 {
			w.prefillMs = engine.PrefillMs(d.PromptTokens, d.parts()) * s.slowdown(now)
		}
		a.prefillMs += w.prefillMs
		s.workItems = append(s.workItems, w)
		if engine != nil && index == 0 {
			t.packing.observe(s.requests(), engine.Slots)
		}
	}
}

// FirstEvent records that the prompt is prefilled and the answer has begun.
func (t *LoadTable) FirstEvent(now time.Time, id string) {
	a := t.active[id]
	if a == nil {
		return
	}
	if !a.answering {
		a.answeringSince = now
	}
	a.answering = true
	if t.observeUsage != nil {
		t.reportPrefill(now, a, 1)
	}
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
	if a.began.After(s.lastAnsweredStart) {
		s.lastAnsweredStart = a.began
	}
	if t.learned != nil {
		t.observeTimes(now, s, a)
		return
	}
	if a.predicted > 0 {
		s.observeLatency(now.Sub(a.began), a.predicted)
	}
}

// End records that a dispatch has ended.
func (t *LoadTable) End(now time.Time, id string) {
	t.observeHold(now, t.active[id])
	t.end(now, id)
}

func (t *LoadTable) end(now time.Time, id string) {
	t.ended[id] = now
	a := t.active[id]
	if a == nil {
		return
	}
	delete(t.active, id)
	t.reportEnd(now, a)
	for _, name := range append([]string{a.dispatch.Server}, a.dispatch.Helpers...) {
		if s := t.servers[name]; s != nil {
			s.advance(now)
			s.updatedAt = now
			s.remove(id)
		}
	}
}

// EndPeerDispatches ends all dispatches that a peer reported, since the peer has restarted.
func (t *LoadTable) EndPeerDispatches(now time.Time, from string) {
	for id, a := range t.active {
		if a.peer == from {
			t.end(now, id)
		}
	}
}

// overtakeTime bounds the time by which messages overtake each other.
const overtakeTime = 2 * time.Second

// Expire ends the dispatches whose lifetime is over. A peer that was killed or is unreachable never reports
// their ends.
func (t *LoadTable) Expire(now time.Time) {
	for id, a := range t.active {
		if now.After(a.expires) {
			t.end(now, id)
		}
	}
	maps.DeleteFunc(t.ended, func(_ string, ended time.Time) bool { return now.Sub(ended) > overtakeTime })
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

// removeFinishedParts removes parts that are prefilled and hold no memory.
func (s *server) removeFinishedParts() {
	kept := s.workItems[:0]
	for _, w := range s.workItems {
		if w.index == 0 || w.prefillMs > 0 || w.memory > 0 {
			kept = append(kept, w)
		}
	}
	s.workItems = kept
}

// advance works off the backlog up to now, in the engine's order. While answers are written, only a share of
// the time goes to prefill: a pass consists of its steps and the waiting prefills, so the prefill's share is
// its part of the whole pass.
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
			w.prefillDone = now.Add(-enginemodel.MillisToDuration(left / share))
		}
	}
}

const (
	msPerSecond = 1000
	// minPrefillShare is the least share of the time that goes to prefill. By its share alone a small backlog
	// beside many answers would never end in the load table, although each pass prefills all of it.
	minPrefillShare = 0.5
)

// prefillOrder returns the waiting prefills in the order in which the engine takes them: parts of divided
// prompts first, the newest first; then undivided prompts in the order of their arrival.
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

// backlogMs returns the prefill that is left, in milliseconds.
func (s *server) backlogMs() float64 {
	sum := 0.0
	for _, w := range s.workItems {
		sum += w.prefillMs
	}
	return sum
}

// batch returns the answers that are being written.
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

// context returns the number of tokens that each step of the answer attends to here: the share of this server
// if the prompt is spread over reservations, else the whole prompt.
func (w *workItem) context() int64 {
	if len(w.dispatch.Reserved) > 0 {
		return w.dispatch.PromptTokens / int64(w.dispatch.parts())
	}
	return w.dispatch.PromptTokens
}

// requests returns the number of requests that run or wait here. Parts of other servers' prompts take no
// slot.
func (s *server) requests() int {
	count := 0
	for _, w := range s.workItems {
		if w.index == 0 {
			count++
		}
	}
	return count
}

// memoryUsed returns the KV memory in use, in tokens.
func (s *server) memoryUsed() int64 {
	sum := int64(0)
	for _, w := range s.workItems {
		sum += w.memory
	}
	return sum
}

// OpenDispatches returns this entry's own dispatches in progress with their remaining times, and the
// identifiers of those that have their first event. A peer that has missed them records them like new ones.
func (t *LoadTable) OpenDispatches(now time.Time) (dispatches []Dispatch, firstEvents []string) {
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
		dispatches = append(dispatches, d)
		if a.answering {
			firstEvents = append(firstEvents, id)
		}
	}
	return dispatches, firstEvents
}

// CountOwnAt returns the number of this entry's own dispatches in progress whose server or one of whose
// helpers satisfies a condition.
func (t *LoadTable) CountOwnAt(holds func(id string) bool) int {
	count := 0
	for _, a := range t.active {
		if a.peer == "" && (holds(a.dispatch.Server) || slices.ContainsFunc(a.dispatch.Helpers, holds)) {
			count++
		}
	}
	return count
}

// ActiveCount returns the number of dispatches in progress.
func (t *LoadTable) ActiveCount() int { return len(t.active) }
