// Package orders brings the engines of one host to the state that the
// configuration asks for: model, version, adapters and role. Reconciler is
// level-triggered and does no I/O: it compares the desired with the observed state
// and returns at most one order at a time for each engine.
package orders

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

// EngineState is the desired or observed state of an engine.
type EngineState struct {
	Model    string
	Version  string
	Adapters []string
	Role     string
}

// Equal reports whether two states are the same.
func (s EngineState) Equal(other EngineState) bool {
	return s.Model == other.Model && s.Version == other.Version && s.Role == other.Role &&
		slices.Equal(s.Adapters, other.Adapters)
}

func (s EngineState) String() string {
	return fmt.Sprintf("%s@%s %v %s", s.Model, s.Version, s.Adapters, s.Role)
}

// Observation holds the state that an engine reports.
type Observation struct {
	State EngineState
	// Fence is the highest fencing number that the engine has seen.
	Fence uint64
	// Busy reports that an order is still being carried out.
	Busy bool
}

// Order is a request to an engine to change to the desired state.
type Order struct {
	Engine   string
	Fence    uint64
	Revision uint64
	Desired  EngineState
	// LoadsWeights reports that the order loads weights from the weight store.
	LoadsWeights bool
}

// Options configures a Reconciler.
type Options struct {
	Server string
	// MaxOrderDuration bounds the time for which an order may be in flight. A
	// daemon that has just started waits that long before its first order to an
	// engine that does not check fencing numbers: an order of the previous
	// incarnation may still arrive and would be carried out after the new one.
	MaxOrderDuration time.Duration
	// MaxObservationAge bounds the age of an observation on which an order is based.
	MaxObservationAge time.Duration
	// LoadInterval is the intended interval between two loads from the weight
	// store by the whole fleet.
	LoadInterval time.Duration
	// InitialBackoff is the first wait after a failed order; it doubles up to
	// MaxBackoff.
	InitialBackoff time.Duration
	MaxBackoff     time.Duration
}

// DefaultOptions returns the options used where the settings give none.
func DefaultOptions() Options {
	return Options{MaxOrderDuration: 30 * time.Second, MaxObservationAge: 3 * time.Second,
		LoadInterval: 200 * time.Millisecond, InitialBackoff: time.Second, MaxBackoff: time.Minute}
}

type engine struct {
	desired       EngineState
	checksFencing bool
	observed      Observation
	observedAt    time.Time
	inFlight      bool
	fence         uint64 // highest fencing number used or seen
	notBefore     time.Time
	backoff       time.Duration
	loadSlot      time.Time
}

// Reconciler tracks the desired and observed state of the engines of one host.
type Reconciler struct {
	options  Options
	started  time.Time
	revision uint64
	engines  map[string]*engine
}

// New returns a Reconciler for a daemon that started at now.
func New(now time.Time, options Options) *Reconciler {
	return &Reconciler{options: options, started: now, engines: map[string]*engine{}}
}

// Spec is the configuration of one engine.
type Spec struct {
	Desired       EngineState
	ChecksFencing bool
}

// Configure applies a snapshot. fleet lists all engines of the snapshot in any
// order, as server/engine; it serves to spread weight loads over time without
// communication between hosts. A revision below the last is ignored.
func (r *Reconciler) Configure(now time.Time, revision uint64, specs map[string]Spec, fleet []string) {
	if revision < r.revision {
		return
	}
	r.revision = revision
	for name, spec := range specs {
		e := r.engines[name]
		if e == nil {
			e = &engine{}
			r.engines[name] = e
		}
		if !e.desired.Equal(spec.Desired) {
			e.loadSlot = now.Add(r.loadDelay(name, revision, fleet))
		}
		e.desired, e.checksFencing = spec.Desired, spec.ChecksFencing
	}
	for name, e := range r.engines {
		if _, ok := specs[name]; !ok && !e.inFlight {
			delete(r.engines, name)
		}
	}
}

// loadDelay returns the delay before this engine may load from the weight store. All
// hosts sort the fleet's engines by the same hash, which includes the revision, and
// load one LoadInterval apart.
func (r *Reconciler) loadDelay(name string, revision uint64, fleet []string) time.Duration {
	own := r.options.Server + "/" + name
	mine := slotHash(own, revision)
	before := 0
	for _, other := range fleet {
		if t := slotHash(other, revision); t < mine || (t == mine && other < own) {
			before++
		}
	}
	return time.Duration(before) * r.options.LoadInterval
}

func slotHash(engine string, revision uint64) uint64 {
	sum := fnv.New64a()
	fmt.Fprintf(sum, "%d %s", revision, engine)
	return sum.Sum64()
}

// Observe records an engine's report.
func (r *Reconciler) Observe(now time.Time, name string, observed Observation) {
	e := r.engines[name]
	if e == nil {
		return
	}
	e.observed, e.observedAt = observed, now
	e.fence = max(e.fence, observed.Fence)
}

// Result classifies the end of an order.
type Result uint8

const (
	// Done: the engine has carried it out.
	Done Result = iota + 1
	// Fenced: the engine has seen a higher fencing number.
	Fenced
	// Throttled: the weight store has refused the load for now.
	Throttled
	// OrderFailed: any other failure, including a missing reply.
	OrderFailed
)

// OrderEnded records the end of an order. It requires a new observation of the
// engine, because the next step depends on the engine's report and not on what was
// ordered.
func (r *Reconciler) OrderEnded(now time.Time, name string, result Result, retryAfter time.Duration) {
	e := r.engines[name]
	if e == nil {
		return
	}
	e.inFlight = false
	e.observedAt = time.Time{}
	if result == Done {
		e.backoff = 0
		return
	}
	e.backoff = min(max(e.backoff*2, r.options.InitialBackoff), r.options.MaxBackoff)
	e.notBefore = now.Add(max(e.backoff, retryAfter))
	if result == OrderFailed && !e.checksFencing {
		// The order may still be in flight.
		e.notBefore = now.Add(r.options.MaxOrderDuration)
	}
}

// DiscardObservations requires a new observation of every engine. It is called after
// the process was paused.
func (r *Reconciler) DiscardObservations(now time.Time) {
	for _, e := range r.engines {
		e.observedAt = time.Time{}
	}
}

// Due returns the orders to send now.
func (r *Reconciler) Due(now time.Time) []Order {
	var due []Order
	for _, name := range slices.Sorted(maps.Keys(r.engines)) {
		e := r.engines[name]
		if !r.ready(now, e) {
			continue
		}
		// The number exceeds all that this daemon has used, all that the engine
		// has seen and the revision, so that an engine that checks numbers
		// refuses orders of an older configuration or a previous incarnation.
		e.fence = max(e.fence, e.observed.Fence, r.revision) + 1
		e.inFlight = true
		due = append(due, Order{Engine: name, Fence: e.fence, Revision: r.revision, Desired: e.desired, LoadsWeights: e.needsLoad()})
	}
	return due
}

func (r *Reconciler) ready(now time.Time, e *engine) bool {
	switch {
	case e.inFlight || e.observed.Busy:
		return false
	case e.observedAt.IsZero() || now.Sub(e.observedAt) > r.options.MaxObservationAge:
		return false
	case e.observed.State.Equal(e.desired):
		return false
	case now.Before(e.notBefore):
		return false
	case !e.checksFencing && now.Sub(r.started) < r.options.MaxOrderDuration:
		return false
	case e.needsLoad() && now.Before(e.loadSlot):
		return false
	}
	return true
}

func (e *engine) needsLoad() bool {
	return e.observed.State.Model != e.desired.Model || e.observed.State.Version != e.desired.Version ||
		!slices.Equal(e.observed.State.Adapters, e.desired.Adapters)
}

// Status is the state of one engine, for operators.
type Status struct {
	Engine   string `json:"engine"`
	Desired  string `json:"wanted"`
	Observed string `json:"observed"`
	Fence    uint64 `json:"fence"`
	InFlight bool   `json:"inFlight"`
	Matches  bool   `json:"matches"`
}

// Matches reports whether the engine is known to be in its desired state.
func (r *Reconciler) Matches(name string) bool {
	e := r.engines[name]
	return e != nil && e.observed.State.Equal(e.desired) && !e.inFlight
}

// Statuses lists the status of every engine, sorted by name.
func (r *Reconciler) Statuses() []Status {
	var rows []Status
	for _, name := range slices.Sorted(maps.Keys(r.engines)) {
		e := r.engines[name]
		rows = append(rows, Status{Engine: name, Desired: e.desired.String(), Observed: e.observed.State.String(),
			Fence: e.fence, InFlight: e.inFlight, Matches: r.Matches(name)})
	}
	return rows
}
