package lab

import (
	"fmt"
	"time"

	"arbutusdeck/core/backend"
	"arbutusdeck/core/execution"
	"arbutusdeck/core/membership"
	"arbutusdeck/core/memory"
	"arbutusdeck/core/orders"
	"arbutusdeck/standin/engine"
)

// Host simulates one backend server: its host daemon and its engines. The engines
// outlive the daemon.
type Host struct {
	process
	Name    string
	Core    *backend.Core
	Engines map[string]*Engine

	lab *Lab
	// incarnation counts the starts of the daemon. Callbacks of earlier ones are dropped.
	incarnation   int
	streams       map[execution.AttemptID]*stream
	pauseDetector *membership.PauseDetector
	// StartedRuns counts, by attempt, the runs that engines and services were told to start.
	StartedRuns map[execution.AttemptID]int
}

// Engine is one simulated engine in virtual time.
type Engine struct {
	Model          *engine.Model
	State          orders.EngineState
	Fence          uint64
	batchScheduled bool
	tokenSinks     map[string]func(engine.Token)
	// Orders are the orders that the engine has applied, in sequence.
	Orders []orders.Order
}

// stream carries the answer of one attempt to an entry.
type stream struct {
	writer    *execution.FrameWriter
	sent      uint64 // sequence number of the last frame sent
	entry     *Entry
	submitted *Submission
	attached  bool
	engine    string
	members   []*Engine // engines of the group, if the attempt runs on one
}

func newHost(l *Lab, name string) *Host {
	h := &Host{Name: name, lab: l, Engines: map[string]*Engine{}, StartedRuns: map[execution.AttemptID]int{}}
	for engineName, spec := range l.Snapshot.Servers[name].Engines {
		model := l.Engine
		model.MemoryTokens = spec.MemoryTokens
		hall := l.Snapshot.Halls[spec.Hall]
		h.Engines[engineName] = &Engine{Model: engine.NewModel(model), tokenSinks: map[string]func(engine.Token){},
			State: orders.EngineState{Model: hall.Model, Version: hall.Version, Adapters: hall.Adapters, Role: spec.Role}}
	}
	h.Start()
	return h
}

// Start starts the daemon with a new, empty core.
func (h *Host) Start() {
	h.incarnation++
	h.alive, h.suspended, h.deferred = true, false, nil
	options := backend.DefaultOptions(h.Name, execution.Incarnation(fmt.Sprintf("%s#%d", h.Name, h.incarnation)))
	if h.lab.Scheduling != "" {
		options.Schedule.Policy = h.lab.Scheduling
	}
	if h.lab.Patience != 0 {
		options.Limits.WaitTolerance = h.lab.Patience
	}
	if h.lab.TuneHost != nil {
		h.lab.TuneHost(&options)
	}
	h.Core = backend.New(h.lab.Now, options)
	h.Core.Configure(h.lab.Now, h.lab.Snapshot)
	h.Core.StartServing()
	h.streams = map[execution.AttemptID]*stream{}
	h.pauseDetector = membership.NewPauseDetector(2 * time.Second)
	h.tick(h.incarnation)
	h.observeEngines(h.incarnation)
}

// Kill kills the daemon's process and resets its streams. Its engines go on.
func (h *Host) Kill() {
	h.alive = false
	h.deferred = nil
	for _, id := range sortedKeys(h.streams) {
		h.resetStream(id, h.streams[id])
	}
	for _, e := range h.Engines {
		clear(e.tokenSinks)
	}
}

// Suspend stops the daemon's process until Resume, as SIGSTOP does.
func (h *Host) Suspend() { h.suspended = true }

// Resume continues a suspended daemon. It runs a tick, which detects the pause,
// before it handles the events that arrived meanwhile.
func (h *Host) Resume() {
	if !h.alive || !h.suspended {
		return
	}
	h.suspended = false
	h.runTick()
	h.runDeferred()
}

// SetSlowdown multiplies the duration of the engines' batches by factor.
func (h *Host) SetSlowdown(factor float64) {
	for _, e := range h.Engines {
		e.Model.SetSlowdown(factor)
	}
}

// Drain starts a graceful shutdown: the daemon accepts no new work, and open
// streams go on.
func (h *Host) Drain() { h.Core.Drain() }

const hostTick = 25 * time.Millisecond

func (h *Host) tick(incarnation int) {
	if incarnation != h.incarnation || !h.alive {
		return
	}
	if !h.suspended {
		h.runTick()
	}
	h.lab.After(hostTick, func() { h.tick(incarnation) })
}

func (h *Host) runTick() {
	if h.pauseDetector.Tick(h.lab.Now) > 0 {
		h.Core.ExpireAfterPause(h.lab.Now)
	}
	h.applyEffects(h.Core.Tick(h.lab.Now))
}

// observeEngines polls the state of the engines, as the daemon does each second, and
// writes heartbeats on open streams.
func (h *Host) observeEngines(incarnation int) {
	if incarnation != h.incarnation || !h.alive {
		return
	}
	if !h.suspended {
		for _, name := range sortedKeys(h.Engines) {
			e := h.Engines[name]
			var streams []memory.EngineStream
			for _, s := range e.Model.Streams() {
				streams = append(streams, memory.EngineStream{Engine: name, ID: s.ID, Tokens: s.MemoryTokens()})
			}
			h.applyEffects(h.Core.ObserveEngine(h.lab.Now, name, orders.Observation{State: e.State, Fence: e.Fence}, streams))
		}
		h.sendOrders()
		for _, id := range sortedKeys(h.streams) {
			if s := h.streams[id]; s.attached {
				h.heartbeat(id, s)
			}
		}
	}
	h.lab.After(time.Second, func() { h.observeEngines(incarnation) })
}

// OrderDelay is the time from sending an order until the engine has applied it.
const OrderDelay = 300 * time.Millisecond

func (h *Host) sendOrders() {
	incarnation := h.incarnation
	for _, order := range h.Core.OrdersDue(h.lab.Now) {
		checks := h.lab.Snapshot.Servers[h.Name].Engines[order.Engine].ChecksFencing
		h.lab.After(OrderDelay, func() {
			e := h.Engines[order.Engine]
			result := orders.Done
			if checks && order.Fence <= e.Fence {
				result = orders.Fenced
			} else {
				e.Fence, e.State = max(e.Fence, order.Fence), order.Desired
				e.Orders = append(e.Orders, order)
			}
			if incarnation == h.incarnation {
				h.runOrDefer(func() { h.Core.OrderEnded(h.lab.Now, order.Engine, result, 0) })
			}
		})
	}
}

func (h *Host) applyEffects(effects []backend.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case backend.StartRun:
			h.startRun(e)
		case backend.StopRun:
			h.stopRun(e.Attempt)
		case backend.CloseStream:
			h.closeStream(e)
		case backend.Pause:
			h.Engines[e.Engine].Model.SetPaused(string(e.Attempt), true)
		case backend.Resume:
			h.Engines[e.Engine].Model.SetPaused(string(e.Attempt), false)
			h.scheduleBatch(h.Engines[e.Engine])
		case backend.SetPriority:
			h.Engines[e.Engine].Model.SetPriority(string(e.Attempt), e.Priority)
		case backend.CancelOrphan:
			h.Engines[e.Stream.Engine].Model.Remove(e.Stream.ID)
		case backend.RequestPart:
			h.requestPart(e)
		case backend.ReleasePart:
			h.releasePart(e)
		}
	}
}

func (h *Host) closeStream(e backend.CloseStream) {
	s := h.streams[e.Attempt]
	if s == nil {
		return
	}
	s.writer.End(e.Outcome, e.Refusal)
	h.pushFrames(e.Attempt, s)
	incarnation := h.incarnation
	h.lab.After(5*time.Second, func() {
		if incarnation == h.incarnation {
			delete(h.streams, e.Attempt)
		}
	})
}

func (h *Host) handleOffer(o backend.Offer, submitted *Submission, e *Entry) backend.Reply {
	reply := h.Core.Offer(h.lab.Now, o)
	if reply.Verdict == execution.Accepted && h.streams[o.Attempt] == nil {
		h.streams[o.Attempt] = &stream{writer: execution.NewFrameWriter(o.Request, o.Attempt), entry: e, submitted: submitted}
	}
	return reply
}

func (h *Host) cancelAttempt(request execution.CancelRequest) execution.Outcome {
	outcome, effects := h.Core.Cancel(h.lab.Now, request)
	h.applyEffects(effects)
	return outcome
}

func (h *Host) requestPart(ask backend.RequestPart) {
	member := h.lab.Host(ask.Part.Server)
	incarnation := h.incarnation
	h.lab.call("reserve", h.Name, member.Name, 2*time.Second, func() any {
		return member.Core.ReservePart(h.lab.Now, ask.Reservation, ask.Part, ask.Expires) == nil
	}, func(reply any, ok bool) {
		if incarnation == h.incarnation {
			h.applyEffects(h.Core.PartReplied(h.lab.Now, ask, ok && reply.(bool)))
		}
	})
}

func (h *Host) releasePart(e backend.ReleasePart) {
	member := h.lab.Host(e.Part.Server)
	h.lab.send(Message{"release", h.Name, member.Name}, func() { member.applyEffects(member.Core.ReleasePart(h.lab.Now, e.Reservation)) }, nil)
}

// UsedTokens returns the KV memory in use on the host's engines, in tokens.
func (h *Host) UsedTokens() int64 {
	var used int64
	for _, e := range h.Engines {
		used += e.Model.UsedTokens()
	}
	return used
}
