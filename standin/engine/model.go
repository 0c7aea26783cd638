// Package engine simulates a model engine: continuous batching with prefill and
// decode speeds, priorities, limited KV memory, pause, resume and cancel, and
// orders with or without fencing tokens. Model has no I/O and no clock; the
// experiments in virtual time and the HTTP server share it.
package engine

import (
	"errors"
	"slices"
	"time"
)

// Spec describes the speed and the capacity of an engine.
type Spec struct {
	// PrefillRate is in prompt tokens per second.
	PrefillRate float64
	// StepTime is the time of one batch: every decoding stream gets one token in
	// it, and prefills share PrefillRate times StepTime tokens.
	StepTime time.Duration
	// MemoryTokens is the size of the KV memory in tokens.
	MemoryTokens int64
	// CachedPrefixes bounds the number of prompt prefixes in the cache.
	CachedPrefixes int
	// PrefixSaving is the fraction of a prompt's prefill that a cached prefix saves.
	PrefixSaving float64
}

// DefaultSpec returns the spec of a medium-sized engine.
func DefaultSpec() Spec {
	return Spec{PrefillRate: 16000, StepTime: 25 * time.Millisecond, MemoryTokens: 400_000, CachedPrefixes: 64, PrefixSaving: 0.5}
}

// Errors returned by Model.Add.
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
	// Share is the fraction of the memory and the prefill that falls to this engine
	// if the stream runs on a group; 0 means all.
	Share float64

	order       uint64
	prefillLeft float64 // prompt tokens not yet prefilled
	decoded     int64
	paused      bool
	finished    bool
}

// MemoryTokens returns the KV memory that the stream takes on this engine.
func (s *Stream) MemoryTokens() int64 {
	if s.Share > 0 {
		return int64(s.Share * float64(s.PromptTokens+s.OutputTokens))
	}
	return s.PromptTokens + s.OutputTokens
}

// Token is one generated token. Index starts at 1.
type Token struct {
	Stream string
	Index  int64
	Last   bool
}

// Model simulates one engine, step by step.
type Model struct {
	spec     Spec
	streams  map[string]*Stream
	next     uint64
	slowdown float64
	cache    []uint64
	events   []CacheEvent
}

// CacheEvent reports that a prefix was added to the prefix cache or evicted.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   uint64 `json:"prefix"`
	Evicted  bool   `json:"evicted"`
}

func (m *Model) recordCacheEvent(prefix uint64, evicted bool) {
	m.events = append(m.events, CacheEvent{uint64(len(m.events) + 1), prefix, evicted})
}

// NewModel returns a model without streams.
func NewModel(spec Spec) *Model {
	return &Model{spec: spec, streams: map[string]*Stream{}, slowdown: 1}
}

// SetSlowdown multiplies the duration of every batch by factor.
func (m *Model) SetSlowdown(factor float64) { m.slowdown = factor }

// StepTime returns the duration of one batch at the current slowdown.
func (m *Model) StepTime() time.Duration { return time.Duration(float64(m.spec.StepTime) * m.slowdown) }

// UsedTokens returns the memory in use, in tokens.
func (m *Model) UsedTokens() int64 {
	var used int64
	for _, s := range m.streams {
		used += s.MemoryTokens()
	}
	return used
}

// Streams returns the streams that occupy memory, in order of arrival.
func (m *Model) Streams() []Stream {
	var all []Stream
	for _, s := range m.byArrival() {
		all = append(all, *s)
	}
	return all
}

// Add starts a stream and reserves its memory.
func (m *Model) Add(s Stream) error {
	if m.streams[s.ID] != nil {
		return ErrDuplicate
	}
	if m.UsedTokens()+s.MemoryTokens() > m.spec.MemoryTokens {
		return ErrInsufficientMemory
	}
	m.next++
	s.order = m.next
	s.prefillLeft = float64(s.PromptTokens)
	if s.Share > 0 {
		s.prefillLeft *= s.Share
	}
	if slices.Contains(m.cache, s.Prefix) && s.Prefix != 0 {
		s.prefillLeft *= 1 - m.spec.PrefixSaving
	}
	m.streams[s.ID] = &s
	return nil
}

// Remove deletes a stream and frees its memory. It is idempotent.
func (m *Model) Remove(id string) { delete(m.streams, id) }

// SetPaused pauses or resumes a stream. A paused stream keeps its memory.
func (m *Model) SetPaused(id string, paused bool) {
	if s := m.streams[id]; s != nil {
		s.paused = paused
	}
}

// SetPriority changes a stream's priority; lower values are prefilled first.
func (m *Model) SetPriority(id string, priority int) {
	if s := m.streams[id]; s != nil {
		s.Priority = priority
	}
}

func (m *Model) byArrival() []*Stream {
	var all []*Stream
	for _, s := range m.streams {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *Stream) int { return int(a.order) - int(b.order) })
	return all
}

// Idle reports whether no stream would make progress in a batch.
func (m *Model) Idle() bool {
	for _, s := range m.streams {
		if !s.paused && !s.finished {
			return false
		}
	}
	return true
}

// Batch runs one step and returns the tokens generated at its end. A finished
// stream keeps its memory until Remove.
func (m *Model) Batch() []Token {
	all := m.byArrival()
	var tokens []Token
	for _, s := range all {
		if s.paused || s.finished || s.prefillLeft > 0 {
			continue
		}
		tokens = append(tokens, s.decode())
	}
	budget := m.spec.PrefillRate * m.spec.StepTime.Seconds()
	slices.SortStableFunc(all, func(a, b *Stream) int { return a.Priority - b.Priority })
	for _, s := range all {
		if s.paused || s.prefillLeft <= 0 || budget <= 0 {
			continue
		}
		done := min(budget, s.prefillLeft)
		s.prefillLeft -= done
		budget -= done
		if s.prefillLeft <= 0 {
			m.cachePrefix(s.Prefix)
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

func (m *Model) cachePrefix(prefix uint64) {
	if prefix == 0 || m.spec.CachedPrefixes == 0 || slices.Contains(m.cache, prefix) {
		return
	}
	m.cache = append(m.cache, prefix)
	m.recordCacheEvent(prefix, false)
	if len(m.cache) > m.spec.CachedPrefixes {
		m.recordCacheEvent(m.cache[0], true)
		m.cache = m.cache[1:]
	}
}
