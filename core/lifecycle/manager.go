// Package lifecycle tracks a daemon's state from its start to its exit: starting,
// serving, draining, stopped. It alone decides whether new requests are admitted.
package lifecycle

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// State is a daemon's state.
type State string

// States, in their order.
const (
	Starting State = "starting"
	Serving  State = "serving"
	Draining State = "draining"
	Stopped  State = "stopped"
)

// ErrAborted is wrapped by the error of a shutdown that aborted open requests.
var ErrAborted = errors.New("stopped with requests still open")

// ErrNotServing is wrapped by the error of Begin in any state but Serving.
var ErrNotServing = errors.New("not serving")

// Manager holds a daemon's state and counts its open requests. It is safe for
// concurrent use.
type Manager struct {
	mu       sync.Mutex
	state    State
	open     int
	idle     chan struct{} // closed when draining and no request is open
	aborting context.Context
	abort    context.CancelFunc
	onChange func(from, to State)
}

// FinalReplyTime bounds the time that open requests have for a final reply to their callers once Aborting is done.
const FinalReplyTime = 250 * time.Millisecond

// NewManager returns a manager in Starting. onChange may be nil; it is called
// without the lock.
func NewManager(onChange func(from, to State)) *Manager {
	if onChange == nil {
		onChange = func(State, State) {}
	}
	aborting, abort := context.WithCancel(context.Background())
	return &Manager{state: Starting, idle: make(chan struct{}), aborting: aborting, abort: abort, onChange: onChange}
}

// State returns the current state.
func (m *Manager) State() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

// Open returns the number of open requests.
func (m *Manager) Open() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.open
}

// Serve moves from Starting to Serving. In any other state it does nothing: a
// draining daemon never serves again.
func (m *Manager) Serve() { m.move(Starting, Serving) }

func (m *Manager) move(from, to State) bool {
	m.mu.Lock()
	moved := m.state == from
	if moved {
		m.state = to
	}
	m.mu.Unlock()
	if moved {
		m.onChange(from, to)
	}
	return moved
}

// Begin counts a new request. Its error wraps ErrNotServing.
func (m *Manager) Begin() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state != Serving {
		return fmt.Errorf("%w: %s", ErrNotServing, m.state)
	}
	m.open++
	return nil
}

// Join counts a request that was accepted by other means, in any state.
func (m *Manager) Join() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.open++
}

// End counts the end of a request that Begin or Join has counted.
func (m *Manager) End() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.open--
	if m.state != Draining || m.open > 0 {
		return
	}
	select {
	case <-m.idle:
	default:
		close(m.idle)
	}
}

// Drain refuses new requests from now on. It counts itself as open while onChange runs: otherwise the shutdown would
// be complete if the last open request ended before onChange had called Join.
func (m *Manager) Drain() {
	m.Join()
	defer m.End()
	if !m.move(Serving, Draining) {
		m.move(Starting, Draining)
	}
}

// Aborting returns a context that is done once the shutdown timeout has passed or the shutdown was interrupted: open
// requests then have FinalReplyTime for a final reply to their callers.
func (m *Manager) Aborting() context.Context { return m.aborting }

// Wait returns nil once no request is open after Drain. When ctx is done or the timeout has passed it ends the context
// of Aborting and returns within FinalReplyTime. The error then wraps ErrAborted and names the number of requests that
// were open.
func (m *Manager) Wait(ctx context.Context, timeout time.Duration) error {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	var reason string
	select {
	case <-m.idle:
		m.move(Draining, Stopped)
		return nil
	case <-ctx.Done():
		reason = "received SIGINT during the shutdown"
	case <-timer.C:
		reason = fmt.Sprintf("shutdown timeout of %s exceeded", timeout)
	}
	open := m.Open()
	m.abort()
	m.awaitReplies()
	m.move(Draining, Stopped)
	return fmt.Errorf("%w: %s, %d open", ErrAborted, reason, open)
}

// awaitReplies returns when no request is open any more, or after FinalReplyTime.
func (m *Manager) awaitReplies() {
	timer := time.NewTimer(FinalReplyTime)
	defer timer.Stop()
	select {
	case <-m.idle:
	case <-timer.C:
	}
}
