package gateway

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// phase classifies an open request by what it waits for.
type phase int32

// Phases of a request, in order; a retried request returns to phasePlacing.
const (
	phaseReading   phase = iota // its body
	phasePlacing                // a server, also while it is queued or another zone is asked
	phaseReserving              // memory at servers
	phaseSent                   // a connection to a server, or the first event
	phaseAnswering              // the rest of the response
	phaseReleasing              // the release of a failed attempt's memory
)

var phaseNames = [...]string{"reading", "placing", "reserving", "sent", "answering", "releasing"}

func (p phase) String() string { return phaseNames[p] }

// openSet is a set of open requests or connections. It is safe for concurrent use; the zero value
// is empty.
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

// atomicPhase is a phase that the request's goroutine sets and others read.
type atomicPhase struct{ value atomic.Int32 }

func (p *atomicPhase) set(to phase) { p.value.Store(int32(to)) }
func (p *atomicPhase) get() phase   { return phase(p.value.Load()) }

// logAborted logs the requests that the exit aborts, with their phases.
func (s *Server) logAborted() {
	for _, e := range s.open.list() {
		s.log.WithFields(logrus.Fields{"request": e.info.ID, "phase": e.phase.get().String(), "tokens": e.info.PromptTokens,
			"tookMs": time.Since(e.arrived).Milliseconds()}).Warn("the exit cuts a request off")
	}
}
