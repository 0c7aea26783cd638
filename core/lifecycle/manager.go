// Package lifecycle owns a daemon's state from its start to its exit: starting,
// serving, draining, stopped. Nothing else decides whether new work is taken.
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

// ErrAborted is wrapped by the error of a stop that had to cut requests off.
var ErrAborted = errors.New("stopped with requests still open")

// ErrNotServing is returned by Begin while no new work is taken.
var ErrNotServing = errors.New("not serving")

// Manager is safe for concurrent use.
type Manager struct {
	mu       sync.Mutex
	state    State
	open     int
	idle     chan struct{} // closed when draining and nothing is open
	ending   context.Context
	end      context.CancelFunc
	onChange func(from, to State)
}

// FinalReplyTime is how long open requests have to answer their callers once Ending is done.
const FinalReplyTime = 250 * time.Millisecond

// NewManager returns a manager in Starting. onChange may be nil; it is called
// without the lock.
func NewManager(onChange func(from, to State)) *Manager {
	if onChange == nil {
		onChange = func(State, State) {}
	}
	ending, end := context.WithCancel(context.Background())
	return &Manager{state: Starting, idle: make(chan struct{}), ending: ending, end: end, onChange: onChange}
}

// State returns the present state.
func (m *Manager) State() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

// Open returns the number of requests that have begun and not ended.
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

// Begin counts a new request, or returns ErrNotServing.
func (m *Manager) Begin() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state != Serving {
		return fmt.Errorf("%w: %s", ErrNotServing, m.state)
	}
	m.open++
	return nil
}

// Join counts a request that was accepted by other means, also while draining.
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

// Drain refuses new work from now on. What onChange joins is open in any case: without the count held
// here the stop would be over if the last open request ended before that.
func (m *Manager) Drain() {
	m.Join()
	defer m.End()
	if !m.move(Serving, Draining) {
		m.move(Starting, Draining)
	}
}

// Aborting is done when the limit of a stop has passed: what is still open has AnswerTime to give
// its caller a final answer.
func (m *Manager) Aborting() context.Context { return m.ending }

// Wait returns once nothing is open after Drain. It gives up when the context
// ends or the limit has passed: Ending is done then, and Wait returns within AnswerTime.
// The error wraps ErrCut and says how many requests have to end before their time.
func (m *Manager) Wait(ctx context.Context, limit time.Duration) error {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	var why string
	select {
	case <-m.idle:
		m.move(Draining, Stopped)
		return nil
	case <-ctx.Done():
		why = "SIGINT came during the stop"
	case <-timer.C:
		why = fmt.Sprintf("the limit of %s has passed", limit)
	}
	open := m.Open()
	m.end()
	m.awaitAnswers()
	m.move(Draining, Stopped)
	return fmt.Errorf("%w: %s, %d open", ErrAborted, why, open)
}

// awaitAnswers returns when nothing is open any more, or after AnswerTime.
func (m *Manager) awaitAnswers() {
	timer := time.NewTimer(FinalReplyTime)
	defer timer.Stop()
	select {
	case <-m.idle:
	case <-timer.C:
	}
}
