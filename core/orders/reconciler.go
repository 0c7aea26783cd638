// Package orders brings the engines of one host to the state that the
// configuration asks for: model, version, adapters and role. Reconciler is a
// pure core and level-triggered: it compares the wanted with the observed state
// and returns at most one order at a time for an engine.
package orders

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

// EngineState is the state that the configuration asks of an engine.
type EngineState struct {
	Model    string
	Version  string
	Adapters []string
	Role     string
}

// Equal compares two wanted states.
func (w EngineState) Equal(other EngineState) bool {
	return w.Model == other.Model && w.Version == other.Version && w.Role == other.Role &&
		slices.Equal(w.Adapters, other.Adapters)
}

func (w EngineState) String() string {
	return fmt.Sprintf("%s@%s %v %s", w.Model, w.Version, w.Adapters, w.Role)
}

// Observation is what an engine reports.
type Observation struct {
	State EngineState
	// Fence is the highest fencing number that the engine has seen.
	Fence uint64
	// Busy says that an order is still being carried out.
	Busy bool
}

// Order asks an engine to become as wanted.
type Order struct {
	Engine   string
	Fence    uint64
	Revision uint64
	Desired  EngineState
	// LoadsWeights says that weights have to be read from the weight store.
	LoadsWeights bool
}

// Options are the bounds of a Reconciler.
type Options struct {
	Server string
	// MaxOrderDuration is the longest time that an order may be under way. A
	// daemon that has just started waits it out before its first order to an
	// engine that does not check fencing numbers: an order of the daemon
	// before it may still arrive and would be carried out after ours.
	MaxOrderDuration time.Duration
	// MaxObservationAge is the oldest observation that an order may rest on.
	MaxObservationAge time.Duration
	// LoadInterval is the least time between two loads that the weight store
	// is meant to see from the whole fleet.
	LoadInterval time.Duration
	// InitialBackoff is the first wait after a failed order; it doubles up to
	// BackoffMax.
	InitialBackoff time.Duration
	MaxBackoff     time.Duration
}

// DefaultOptions returns the bounds used when the settings name none.
func DefaultOptions() Options {
	return Options{MaxOrderDuration: 30 * time.Second, MaxObservationAge: 3 * time.Second,
		LoadInterval: 200 * time.Millisecond, InitialBackoff: time.Second, MaxBackoff: time.Minute}
}

type engine struct {
	wanted        EngineState
	checksFencing bool
	observed      Observation
	observedAt    time.Time
	inFlight      bool
	fence         uint64 // highest number used or seen
	notBefore     time.Time
	backoff       time.Duration
	loadSlot      time.Time
}

// Reconciler holds the engines of one host.
type Reconciler struct {
	options  Options
	started  time.Time
	revision uint64
	engines  map[string]*engine
}

// New returns a reconciler of a daemon that started now.
func New(now time.Time, options Options) *Reconciler {
	return &Reconciler{options: options, started: now, engines: map[string]*engine{}}
}

// Spec is one engine as configured.
type Spec struct {
	Desired       EngineState
	ChecksFencing bool
}

// Configure takes over a snapshot. fleet lists, in any order, all engines that
// the snapshot names, as server/engine: it spreads weight loads over time
// without any message between hosts. A revision below the last is ignored.
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
		if !e.wanted.Equal(spec.Desired) {
			e.loadSlot = now.Add(r.slot(name, revision, fleet))
		}
		e.wanted, e.checksFencing = spec.Desired, spec.ChecksFencing
	}
	for name, e := range r.engines {
		if _, ok := specs[name]; !ok && !e.inFlight {
			delete(r.engines, name)
		}
	}
}

// slot returns how long this engine waits before it reads the weight store. All
// hosts order the fleet's engines in the same way, by a hash with the revision,
// and take their turns one LoadInterval apart.
func (r *Reconciler) slot(name string, revision uint64, fleet []string) time.Duration {
	own := r.options.Server + "/" + name
	mine := turn(own, revision)
	before := 0
	for _, other := range fleet {
		if t := turn(other, revision); t < mine || (t == mine && other < own) {
			before++
		}
	}
	return time.Duration(before) * r.options.LoadInterval
}

func turn(engine string, revision uint64) uint64 {
	sum := fnv.New64a()
	fmt.Fprintf(sum, "%d %s", revision, engine)
	return sum.Sum64()
}

// Observe takes in what an engine reports.
func (r *Reconciler) Observe(now time.Time, name string, observed Observation) {
	e := r.engines[name]
	if e == nil {
		return
	}
	e.observed, e.observedAt = observed, now
	e.fence = max(e.fence, observed.Fence)
}

// Result is how an order ended.
type Result uint8

const (
	// Done: the engine has carried it out.
	Done Result = iota + 1
	// Fenced: the engine has seen a higher number.
	Fenced
	// Throttled: the weight store has refused for now.
	Throttled
	// OrderFailed: anything else, also no answer.
	OrderFailed
)

// OrderEnded takes in the end of an order. Every order ends with a fresh look at
// the engine: what it reports decides, not what was asked of it.
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
		// The order may still be on its way; wait it out.
		e.notBefore = now.Add(r.options.MaxOrderDuration)
	}
}

// DiscardObservations makes every engine be observed afresh, after the process was paused.
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
		// The number is above all this daemon has used, all the engine has
		// seen and the revision, so that an order of an older configuration
		// or of a former daemon is refused where numbers are checked.
		e.fence = max(e.fence, e.observed.Fence, r.revision) + 1
		e.inFlight = true
		due = append(due, Order{Engine: name, Fence: e.fence, Revision: r.revision, Desired: e.wanted, LoadsWeights: e.loads()})
	}
	return due
}

func (r *Reconciler) ready(now time.Time, e *engine) bool {
	switch {
	case e.inFlight || e.observed.Busy:
		return false
	case e.observedAt.IsZero() || now.Sub(e.observedAt) > r.options.MaxObservationAge:
		return false
	case e.observed.State.Equal(e.wanted):
		return false
	case now.Before(e.notBefore):
		return false
	case !e.checksFencing && now.Sub(r.started) < r.options.MaxOrderDuration:
		return false
	case e.loads() && now.Before(e.loadSlot):
		return false
	}
	return true
}

func (e *engine) loads() bool {
	return e.observed.State.Model != e.wanted.Model || e.observed.State.Version != e.wanted.Version ||
		!slices.Equal(e.observed.State.Adapters, e.wanted.Adapters)
}

// Status is one row for operators.
type Status struct {
	Engine   string `json:"engine"`
	Desired  string `json:"wanted"`
	Observed string `json:"observed"`
	Fence    uint64 `json:"fence"`
	InFlight bool   `json:"inFlight"`
	Matches  bool   `json:"matches"`
}

// Matches says whether the engine is known to be as wanted.
func (r *Reconciler) Matches(name string) bool {
	e := r.engines[name]
	return e != nil && e.observed.State.Equal(e.wanted) && !e.inFlight
}

// Statuses lists the engines by name.
func (r *Reconciler) Statuses() []Status {
	var rows []Status
	for _, name := range slices.Sorted(maps.Keys(r.engines)) {
		e := r.engines[name]
		rows = append(rows, Status{Engine: name, Desired: e.wanted.String(), Observed: e.observed.State.String(),
			Fence: e.fence, InFlight: e.inFlight, Matches: r.Matches(name)})
	}
	return rows
}
