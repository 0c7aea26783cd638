// Package engine is a stand-in for a model engine: continuous batching with
// prefill and decode speeds, priorities, limited KV memory, pause, resume and
// cancel, and orders with or without fencing numbers. Model is the pure part; it
// serves experiments in virtual time as well as the HTTP stand-in.
package engine

import (
	"errors"
	"slices"
	"time"
)

// Spec is what an engine can do.
type Spec struct {
	// PrefillRate is in prompt tokens a second.
	PrefillRate float64
	// StepTime is the time of one batch: every decoding stream gets one token in
	// it, and prefills share PrefillRate times StepTime tokens.
	StepTime time.Duration
	// MemoryTokens is the size of the KV memory.
	MemoryTokens int64
	// CachedPrefixes is the number of prompt prefixes that are kept.
	CachedPrefixes int
	// PrefixSaving is the part of a prompt that a cached prefix saves.
	PrefixSaving float64
}

// DefaultSpec returns an engine of middling size.
func DefaultSpec() Spec {
	return Spec{PrefillRate: 16000, StepTime: 25 * time.Millisecond, MemoryTokens: 400_000, CachedPrefixes: 64, PrefixSaving: 0.5}
}

// Errors of Model.Add.
var (
	ErrDuplicate          = errors.New("the stream exists already")
	ErrInsufficientMemory = errors.New("not enough KV memory")
)

// Stream is one request in the engine.
type Stream struct {
	ID           string
	PromptTokens int64
	OutputTokens int64
	Priority     int
	Prefix       uint64
	// Share is the part of the memory and the prefill that this engine bears,
	// for a group; 0 means all.
	Share float64

	order    uint64
	left     float64 // prompt tokens not yet prefilled
	decoded  int64
	paused   bool
	finished bool
}

// MemoryTokens is what the stream holds here.
func (s *Stream) MemoryTokens() int64 {
	if s.Share > 0 {
		return int64(s.Share * float64(s.PromptTokens+s.OutputTokens))
	}
	return s.PromptTokens + s.OutputTokens
}

// Token is one token given out. The first has Index 1.
type Token struct {
	Stream string
	Index  int64
	Last   bool
}

// Model is an engine's state.
type Model struct {
	spec    Spec
	streams map[string]*Stream
	next    uint64
	slow    float64
	cache   []uint64
	events  []CacheEvent
}

// CacheEvent is one change of the prefix cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   uint64 `json:"prefix"`
	Evicted  bool   `json:"evicted"`
}

func (m *Model) changed(prefix uint64, evicted bool) {
	m.events = append(m.events, CacheEvent{uint64(len(m.events) + 1), prefix, evicted})
}

// NewModel returns an idle engine.
func NewModel(spec Spec) *Model {
	return &Model{spec: spec, streams: map[string]*Stream{}, slow: 1}
}

// SetSlowdown makes the engine slower by a factor.
func (m *Model) SetSlowdown(factor float64) { m.slow = factor }

// StepTime returns the present time of one batch.
func (m *Model) StepTime() time.Duration { return time.Duration(float64(m.spec.StepTime) * m.slow) }

// UsedTokens returns the memory in use, in tokens.
func (m *Model) UsedTokens() int64 {
	var used int64
	for _, s := range m.streams {
		used += s.MemoryTokens()
	}
	return used
}

// Streams returns the streams that hold memory, in order of arrival.
func (m *Model) Streams() []Stream {
	var all []Stream
	for _, s := range m.ordered() {
		all = append(all, *s)
	}
	return all
}

// Add takes a stream in.
func (m *Model) Add(s Stream) error {
	if m.streams[s.ID] != nil {
		return ErrDuplicate
	}
	if m.UsedTokens()+s.MemoryTokens() > m.spec.MemoryTokens {
		return ErrInsufficientMemory
	}
	m.next++
	s.order = m.next
	s.left = float64(s.PromptTokens)
	if s.Share > 0 {
		s.left *= s.Share
	}
	if slices.Contains(m.cache, s.Prefix) && s.Prefix != 0 {
		s.left *= 1 - m.spec.PrefixSaving
	}
	m.streams[s.ID] = &s
	return nil
}

// Remove ends a stream and frees its memory. It is idempotent.
func (m *Model) Remove(id string) { delete(m.streams, id) }

// SetPaused stops a stream, with its memory kept, or lets it go on.
func (m *Model) SetPaused(id string, paused bool) {
	if s := m.streams[id]; s != nil {
		s.paused = paused
	}
}

// SetPriority changes a stream's priority; lower goes first.
func (m *Model) SetPriority(id string, priority int) {
	if s := m.streams[id]; s != nil {
		s.Priority = priority
	}
}

func (m *Model) ordered() []*Stream {
	var all []*Stream
	for _, s := range m.streams {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *Stream) int { return int(a.order) - int(b.order) })
	return all
}

// Idle says that no stream would go on in a batch.
func (m *Model) Idle() bool {
	for _, s := range m.streams {
		if !s.paused && !s.finished {
			return false
		}
	}
	return true
}

// Batch does the work of one step and returns the tokens given out at its end.
// A finished stream keeps its memory until Remove.
func (m *Model) Batch() []Token {
	all := m.ordered()
	var tokens []Token
	for _, s := range all {
		if s.paused || s.finished || s.left > 0 {
			continue
		}
		tokens = append(tokens, s.decode())
	}
	budget := m.spec.PrefillRate * m.spec.StepTime.Seconds()
	slices.SortStableFunc(all, func(a, b *Stream) int { return a.Priority - b.Priority })
	for _, s := range all {
		if s.paused || s.left <= 0 || budget <= 0 {
			continue
		}
		done := min(budget, s.left)
		s.left -= done
		budget -= done
		if s.left <= 0 {
			m.remember(s.Prefix)
			tokens = append(tokens, s.decode())
		}
	}
	return tokens
}

func (s *Stream) decode() Token {
	s.decoded++
	s.finished = s.decoded >= max(s.OutputTokens, 1)
	return Token{Stream: s.ID, Index: s.decoded, Last: s.finished}
}

func (m *Model) remember(prefix uint64) {
	if prefix == 0 || m.spec.CachedPrefixes == 0 || slices.Contains(m.cache, prefix) {
		return
	}
	m.cache = append(m.cache, prefix)
	m.changed(prefix, false)
	if len(m.cache) > m.spec.CachedPrefixes {
		m.changed(m.cache[0], true)
		m.cache = m.cache[1:]
	}
}
