package gateway

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// phase is what an open request waits for.
type phase int32

// Phases of a request, in their order; one that is tried again goes back to placing.
const (
	phaseReading   phase = iota // its body
	phasePlacing                // a server, also while it is held back or another zone is asked
	phaseReserving              // memory at servers
	phaseSent                   // a connection to a server, or the first event
	phaseAnswering              // the rest of the answer
	phaseReleasing              // the memory of a failed try
)

var phaseNames = [...]string{"reading", "placing", "reserving", "sent", "answering", "releasing"}

func (p phase) String() string { return phaseNames[p] }

// openSet holds what has come and not ended. It is safe for concurrent use.
type openSet[T comparable] struct {
	mu  sync.Mutex
	all map[T]struct{}
}

func (o *openSet[T]) add(member T) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.all == nil {
		o.all = map[T]struct{}{}
	}
	o.all[member] = struct{}{}
}

func (o *openSet[T]) remove(member T) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.all, member)
}

func (o *openSet[T]) list() []T {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Collect(maps.Keys(o.all))
}

// atomicPhase is set by the request's own goroutine and read by others.
type atomicPhase struct{ value atomic.Int32 }

func (p *atomicPhase) set(to phase) { p.value.Store(int32(to)) }
func (p *atomicPhase) get() phase   { return phase(p.value.Load()) }

// logAborted names the requests that the exit cuts off, and where they are.
func (s *Server) logAborted() {
	for _, e := range s.open.list() {
		s.log.WithFields(logrus.Fields{"request": e.info.ID, "phase": e.phase.get().String(), "tokens": e.info.PromptTokens,
			"tookMs": time.Since(e.arrived).Milliseconds()}).Warn("the exit cuts a request off")
	}
}
