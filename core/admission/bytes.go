package admission

import "sync"

// ByteBudget bounds the bytes that are held at once for all requests, such as their bodies. Otherwise a burst of very
// large prompts would exhaust the process's memory and crash it with all its requests. It is safe for concurrent use;
// the zero value allows nothing.
type ByteBudget struct {
	mu       sync.Mutex
	reserved int64
	limit    int64
}

// NewByteBudget returns a budget with a limit in bytes.
func NewByteBudget(limit int64) *ByteBudget { return &ByteBudget{limit: limit} }

// SetLimit sets the limit in bytes. Bytes already reserved beyond it stay reserved.
func (b *ByteBudget) SetLimit(limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
}

// Reserve reserves count bytes. It reports false if that would exceed the limit.
func (b *ByteBudget) Reserve(count int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reserved+count > b.limit {
		return false
	}
	b.reserved += count
	return true
}

// Release releases count reserved bytes.
func (b *ByteBudget) Release(count int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserved -= count
}

// Reserved returns the number of reserved bytes.
func (b *ByteBudget) Reserved() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reserved
}
