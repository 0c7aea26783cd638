package admission

import "sync"

// ByteBudget bounds the bytes that are held at once for all requests, such as their bodies: a burst of enormous prompts would
// otherwise end the process, and every short request with it. It is safe for concurrent use; the zero value allows
// nothing.
type ByteBudget struct {
	mu    sync.Mutex
	held  int64
	limit int64
}

// NewByteBudget returns a budget with a limit in bytes.
func NewByteBudget(limit int64) *ByteBudget { return &ByteBudget{limit: limit} }

// SetLimit sets the limit in bytes. What is held beyond it stays.
func (b *ByteBudget) SetLimit(limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
}

// Reserve reserves some bytes; false if there is no room.
func (b *ByteBudget) Reserve(count int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.held+count > b.limit {
		return false
	}
	b.held += count
	return true
}

// Release returns bytes that were taken.
func (b *ByteBudget) Release(count int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held -= count
}

// Reserved is how many bytes are taken.
func (b *ByteBudget) Reserved() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}
