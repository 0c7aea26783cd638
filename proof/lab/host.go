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

// Host is one backend server: its daemon and its engines. The engines outlive
// the daemon.
type Host struct {
	process
	Name    string
	Core    *backend.Core
	Engines map[string]*Engine

	lab     *Lab
	epoch   int
	streams map[execution.AttemptID]*stream
	pause   *membership.PauseDetector
	// Starts counts what the engines were asked to run, by attempt.
	Starts map[execution.AttemptID]int
}

// Engine is one stand-in engine in virtual time.
type Engine struct {
	Model   *engine.Model
	State   orders.EngineState
	Fence   uint64
	ticking bool
	sinks   map[string]func(engine.Token)
	// Orders are the orders carried out, and OrderEpochs the daemon starts
	// that sent them.
	Orders []orders.Order
}

// stream is an attempt's answer on its way to an entry.
type stream struct {
	writer    *execution.FrameWriter
	sent      uint64
	entry     *Entry
	submitted *Submission
	attached  bool
	engine    string
	members   []*Engine // of a group
}

func newHost(l *Lab, name string) *Host {
	h := &Host{Name: name, lab: l, Engines: map[string]*Engine{}, Starts: map[execution.AttemptID]int{}}
	for engineName, spec := range l.Snapshot.Servers[name].Engines {
		model := l.Engine
		model.MemoryTokens = spec.MemoryTokens
		hall := l.Snapshot.Halls[spec.Hall]
		h.Engines[engineName] = &Engine{Model: engine.NewModel(model), sinks: map[string]func(engine.Token){},
			State: orders.EngineState{Model: hall.Model, Version: hall.Version, Adapters: hall.Adapters, Role: spec.Role}}
	}
	h.Start()
	return h
}

// Start starts a fresh daemon.
func (h *Host) Start() {
	h.epoch++
	h.alive, h.frozen, h.held = true, false, nil
	options := backend.DefaultOptions(h.Name, execution.Incarnation(fmt.Sprintf("%s#%d", h.Name, h.epoch)))
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
	h.pause = membership.NewPauseDetector(2 * time.Second)
	h.tick(h.epoch)
	h.observe(h.epoch)
}

// Kill ends the daemon. Its engines go on.
func (h *Host) Kill() {
	h.alive = false
	h.held = nil
	for _, id := range sortedKeys(h.streams) {
		h.breakStream(id, h.streams[id])
	}
	for _, e := range h.Engines {
		clear(e.sinks)
	}
}

// Freeze stops the daemon until Thaw.
func (h *Host) Freeze() { h.frozen = true }

// Thaw wakes the daemon; its first act is a tick.
func (h *Host) Thaw() {
	if !h.alive || !h.frozen {
		return
	}
	h.frozen = false
	h.tickOnce()
	h.wake()
}

// SetSlow makes the engines slower by a factor.
func (h *Host) SetSlow(factor float64) {
	for _, e := range h.Engines {
		e.Model.SetSlow(factor)
	}
}

// Drain is a planned stop: no new work, open streams go on.
func (h *Host) Drain() { h.Core.Drain() }

const hostTick = 25 * time.Millisecond

func (h *Host) tick(epoch int) {
	if epoch != h.epoch || !h.alive {
		return
	}
	if !h.frozen {
		h.tickOnce()
	}
	h.lab.After(hostTick, func() { h.tick(epoch) })
}

func (h *Host) tickOnce() {
	if h.pause.Tick(h.lab.Now) > 0 {
		h.Core.ExpireAfterPause(h.lab.Now)
	}
	h.carryOut(h.Core.Tick(h.lab.Now))
}

// observe asks the engines for their state, as the daemon does each second, and
// writes heartbeats on streams.
func (h *Host) observe(epoch int) {
	if epoch != h.epoch || !h.alive {
		return
	}
	if !h.frozen {
		for _, name := range sortedKeys(h.Engines) {
			e := h.Engines[name]
			var held []memory.EngineStream
			for _, s := range e.Model.Streams() {
				held = append(held, memory.EngineStream{Engine: name, ID: s.ID, Tokens: s.Memory()})
			}
			h.carryOut(h.Core.ObserveEngine(h.lab.Now, name, orders.Observation{State: e.State, Fence: e.Fence}, held))
		}
		h.sendOrders()
		for _, id := range sortedKeys(h.streams) {
			if s := h.streams[id]; s.attached {
				h.heartbeat(id, s)
			}
		}
	}
	h.lab.After(time.Second, func() { h.observe(epoch) })
}

// OrderTime is how long an order is under way and being carried out.
const OrderTime = 300 * time.Millisecond

func (h *Host) sendOrders() {
	epoch := h.epoch
	for _, order := range h.Core.OrdersDue(h.lab.Now) {
		checks := h.lab.Snapshot.Servers[h.Name].Engines[order.Engine].ChecksFencing
		h.lab.After(OrderTime, func() {
			e := h.Engines[order.Engine]
			result := orders.Done
			if checks && order.Fence <= e.Fence {
				result = orders.Fenced
			} else {
				e.Fence, e.State = max(e.Fence, order.Fence), order.Desired
				e.Orders = append(e.Orders, order)
			}
			if epoch == h.epoch {
				h.reach(func() { h.Core.OrderEnded(h.lab.Now, order.Engine, result, 0) })
			}
		})
	}
}

func (h *Host) carryOut(effects []backend.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case backend.StartRun:
			h.start(e)
		case backend.StopRun:
			h.stopRun(e.Attempt)
		case backend.CloseStream:
			h.ended(e)
		case backend.Pause:
			h.Engines[e.Engine].Model.SetPaused(string(e.Attempt), true)
		case backend.Resume:
			h.Engines[e.Engine].Model.SetPaused(string(e.Attempt), false)
			h.kick(h.Engines[e.Engine])
		case backend.SetPriority:
			h.Engines[e.Engine].Model.SetPriority(string(e.Attempt), e.Priority)
		case backend.CancelOrphan:
			h.Engines[e.Stream.Engine].Model.Remove(e.Stream.ID)
		case backend.RequestPart:
			h.askPart(e)
		case backend.ReleasePart:
			h.giveBackPart(e)
		}
	}
}

func (h *Host) ended(e backend.CloseStream) {
	s := h.streams[e.Attempt]
	if s == nil {
		return
	}
	s.writer.End(e.Outcome, e.Refusal)
	h.push(e.Attempt, s)
	epoch := h.epoch
	h.lab.After(5*time.Second, func() {
		if epoch == h.epoch {
			delete(h.streams, e.Attempt)
		}
	})
}

func (h *Host) offer(o backend.Offer, submitted *Submission, e *Entry) backend.Reply {
	reply := h.Core.Offer(h.lab.Now, o)
	if reply.Verdict == execution.Accepted && h.streams[o.Attempt] == nil {
		h.streams[o.Attempt] = &stream{writer: execution.NewFrameWriter(o.Request, o.Attempt), entry: e, submitted: submitted}
	}
	return reply
}

func (h *Host) cancel(request execution.CancelRequest) execution.Outcome {
	outcome, effects := h.Core.Cancel(h.lab.Now, request)
	h.carryOut(effects)
	return outcome
}

func (h *Host) askPart(ask backend.RequestPart) {
	member := h.lab.Host(ask.Part.Server)
	epoch := h.epoch
	h.lab.call("reserve", h.Name, member.Name, 2*time.Second, func() any {
		return member.Core.ReservePart(h.lab.Now, ask.Reservation, ask.Part, ask.Expires) == nil
	}, func(reply any, ok bool) {
		if epoch == h.epoch {
			h.carryOut(h.Core.PartReplied(h.lab.Now, ask, ok && reply.(bool)))
		}
	})
}

func (h *Host) giveBackPart(e backend.ReleasePart) {
	member := h.lab.Host(e.Part.Server)
	h.lab.send(Message{"release", h.Name, member.Name}, func() { member.carryOut(member.Core.ReleasePart(h.lab.Now, e.Reservation)) }, nil)
}

// Used returns the memory in use on the host's engines, in tokens.
func (h *Host) Used() int64 {
	var used int64
	for _, e := range h.Engines {
		used += e.Model.Used()
	}
	return used
}
