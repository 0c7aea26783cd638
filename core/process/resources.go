package process

import (
	"math"
	"runtime/debug"
	"syscall"
)

// Resources are what the process may take of its machine.
type Resources struct {
	// MemoryMB is the memory in MB, with what the kernel holds for connections.
	MemoryMB int64
	// MaxDescriptors is the number of descriptors, of which FileDescriptors are not for sockets; 0 for the limit of the
	// operating system (RLIMIT_NOFILE), which also bounds a larger value.
	MaxDescriptors int
}

const (
	// FileDescriptors are the descriptors that are not for sockets.
	FileDescriptors = 200
	// DefaultDescriptors bounds the descriptors if neither the settings nor the operating system do.
	DefaultDescriptors = 4096
)

// HeapMemoryShare is the share of the memory for the Go heap and stacks; the rest is for the program, the C library, and
// what the kernel holds of connections. Of what callers may hold the kernel may hold two thirds, while the heap then needs
// less than its share.
const HeapMemoryShare = 0.65

// Memory returns a share of the memory, in bytes.
func (r Resources) Memory(share float64) int64 { return int64(float64(r.MemoryMB<<20) * share) }

// LimitHeap makes the garbage collector keep the heap of the process within its share of the memory.
func (r Resources) LimitHeap() { debug.SetMemoryLimit(r.Memory(HeapMemoryShare)) }

// Descriptors returns the number of descriptors that the process may open.
func (r Resources) Descriptors() int {
	limit := syscall.Rlimit{Cur: DefaultDescriptors}
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		limit.Cur = DefaultDescriptors
	}
	if r.MaxDescriptors > 0 {
		return min(r.MaxDescriptors, int(limit.Cur))
	}
	return int(limit.Cur)
}

// SocketsOf returns how many of a number of descriptors are for sockets.
func SocketsOf(descriptors int) int { return max(descriptors-FileDescriptors, descriptors/2) }
