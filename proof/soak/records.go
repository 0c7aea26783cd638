package soak

import (
	"errors"
	"sync"
	"time"

	"arbutusdeck/platform/standin"
)

// Call records one request as its caller observed it.
type Call struct {
	ID, Path, Key      string
	Kind               CallKind
	Entry              int
	StartedAt, EndedAt time.Time
	// Timeout is the time limit that the caller announced in the request.
	Timeout time.Duration
	// Status is 0 if no response came.
	Status    int
	Signature string
	Body      string
	// Complete tells that the response ended regularly; otherwise Err is the cause.
	Complete bool
	Err      error
	// Disconnected tells that the caller gave up early, at EndedAt.
	Disconnected bool
	// Corruption describes content of the response that can't belong to this request.
	Corruption string
	// ConfigVersion is the configuration that a probe checks for, 0 for other calls.
	ConfigVersion int
	// ConnIdleTime is how long the connection had been idle; 0 for a new one.
	ConnIdleTime time.Duration
	// PoisonNumber identifies a poison request; 0 for a harmless one.
	PoisonNumber int
}

// CallKind determines how often a request may run, or what a probe checks.
type CallKind uint8

// Kinds of calls.
const (
	AtMostOnce       CallKind = iota // a plain request that may run at most once
	Retryable                        // a plain request that may run any number of times
	ResumableStream                  // a stream that may be resumed at another server
	AtMostOnceStream                 // a stream that may run at most once
	ConfigProbe                      // shows the current configuration of the entry
	RevokedKeyProbe                  // carries a revoked key
)

func (k CallKind) atMostOnce() bool { return k == AtMostOnce || k == AtMostOnceStream }
func (k CallKind) streams() bool    { return k == ResumableStream || k == AtMostOnceStream }

// service returns the service of the servers that run a call of this kind.
func (k CallKind) service() string {
	if k.streams() {
		return engines
	}
	return plain
}

// Run records one execution of a request at a backend server.
type Run struct {
	ID, Server, Service, Workspace, Key string
	Slot                                int
	StartedAt, EndedAt                  time.Time
	Status                              int
	LastEvent                           string
	Remaining                           time.Duration
	// Faulty tells that the server mishandled the request, which excuses an incomplete response.
	Faulty bool
}

// Arrival records that a request reached a backend server, whether it was run or not.
type Arrival struct {
	ID, Server, Service string
	At                  time.Time
}

// Interval is the time during which a fault was injected; To is zero while it lasts.
type Interval struct {
	Kind     FaultKind
	Target   int
	From, To time.Time
}

// ConfigChange records when the store acknowledged a version of the configuration.
type ConfigChange struct {
	Version int
	At      time.Time
}

// Records collects everything that callers and servers observed in a run. Its fields may be
// read without the lock only after the run.
type Records struct {
	mu sync.Mutex
	// MaxPropagationDelay is copied from the options of the run.
	MaxPropagationDelay time.Duration

	Calls    []Call
	Runs     []*Run
	Arrivals []Arrival
	Faults   []Interval
	Configs  []ConfigChange
	// DrainingSince is when the store acknowledged that a server drains, by server ID.
	DrainingSince map[string]time.Time
	// Starts are the start times of the processes of each entry.
	Starts map[int][]time.Time
	// Crashes are the crashes of servers under poison requests, ordered by time.
	Crashes []Crash
	// Servers are the lifetimes of backend servers by ID.
	Servers map[string]*ServerLifetime
	// Exits are exits of daemons after a graceful shutdown, or without a signal from the run.
	Exits []Exit
	// Evacuations last from the store's acknowledgement that the second zone is evacuated
	// until just before the evacuation is revoked.
	Evacuations []Interval
	// FaultsEndedAt is when the last fault was over; the recovery phase starts then.
	FaultsEndedAt time.Time
	// LeftoverReservations are the numbers of reservations at the end, by server ID.
	LeftoverReservations map[string]int
	// Err joins the errors that kept the run itself from being carried out.
	Err error
	// ReservationSpans are the times during which servers reserved memory, FirstUsedAt the
	// times of the first use by reservation ID.
	ReservationSpans []standin.ReservationSpan
	FirstUsedAt      map[string]time.Time
}

// ServerLifetime is the time in which a backend server was reachable; To is zero while it is.
type ServerLifetime struct {
	Service  string
	From, To time.Time
	// The server is cold until ColdUntil.
	Zone      string
	ColdUntil time.Time
}

// wasReachable returns whether the server could be reached at a time.
func (l *ServerLifetime) wasReachable(at time.Time) bool {
	return !l.From.After(at) && (l.To.IsZero() || l.To.After(at))
}

// isAlive returns whether a backend server can be reached now.
func (r *Records) isAlive(server string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	lifetime := r.Servers[server]
	return lifetime != nil && lifetime.To.IsZero()
}

// stoppedServers returns the IDs of backend servers that are no longer reachable.
func (r *Records) stoppedServers() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for id, lifetime := range r.Servers {
		if !lifetime.To.IsZero() {
			ids = append(ids, id)
		}
	}
	return ids
}

// Exit records the exit of a process after a graceful shutdown, or by itself.
type Exit struct {
	Entry           int
	Code            int
	StopRequestedAt time.Time
	Took            time.Duration
	// Unrequested tells that the run had sent no signal that terminates the process.
	Unrequested bool
}

func newRecords() *Records {
	return &Records{DrainingSince: map[string]time.Time{}, Starts: map[int][]time.Time{}, LeftoverReservations: map[string]int{}, FirstUsedAt: map[string]time.Time{}, Servers: map[string]*ServerLifetime{}}
}

func (r *Records) recordServer(server, service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Servers[server] = &ServerLifetime{Service: service, From: time.Now()}
}

func (r *Records) recordLocation(server, zone string, cold time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Servers[server].Zone, r.Servers[server].ColdUntil = zone, r.Servers[server].From.Add(cold)
}

// recordEvacuation records the start of an evacuation of the second zone, and returns a
// function that records its end.
func (r *Records) recordEvacuation() func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	index := len(r.Evacuations)
	r.Evacuations = append(r.Evacuations, Interval{Kind: ZoneEvacuated, From: time.Now()})
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.Evacuations[index].To = time.Now()
	}
}

func (r *Records) recordServerGone(server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if lifetime := r.Servers[server]; lifetime != nil && lifetime.To.IsZero() {
		lifetime.To = time.Now()
	}
}

func (r *Records) recordCall(c Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Calls = append(r.Calls, c)
}

func (r *Records) recordArrival(a Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Arrivals = append(r.Arrivals, a)
}

func (r *Records) recordRun(run *Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Runs = append(r.Runs, run)
}

// recordPoisonRun records the run of a poison request, under which its server crashes.
func (r *Records) recordPoisonRun(id string, slot int, w *standin.Worker) {
	now := time.Now()
	r.recordRun(&Run{ID: id, Server: w.ID, Service: w.Service, Workspace: "press", Slot: slot, StartedAt: now, EndedAt: now, Remaining: time.Nanosecond, Faulty: true})
}

func (r *Records) recordCrash(e Crash) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Crashes = append(r.Crashes, e)
}

func (r *Records) recordError(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Err = errors.Join(r.Err, err)
}

// recordRunEnd records the end and the status of a run.
func (r *Records) recordRunEnd(run *Run, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.EndedAt, run.Status = time.Now(), status
}

// recordFaulty records that the server misbehaves in a run.
func (r *Records) recordFaulty(run *Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.Faulty = true
}

// recordFault records the start of a fault and returns a function that records its end.
func (r *Records) recordFault(kind FaultKind, target int) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	index := len(r.Faults)
	r.Faults = append(r.Faults, Interval{Kind: kind, Target: target, From: time.Now()})
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.Faults[index].To = time.Now()
	}
}

func (r *Records) recordConfig(version int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Configs = append(r.Configs, ConfigChange{version, time.Now()})
}

func (r *Records) recordDraining(server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.DrainingSince[server]; !ok {
		r.DrainingSince[server] = time.Now()
	}
}

func (r *Records) recordStart(entry int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Starts[entry] = append(r.Starts[entry], time.Now())
}

func (r *Records) recordExit(e Exit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Exits = append(r.Exits, e)
}

func (r *Records) counts() (calls, runs int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.Calls), len(r.Runs)
}

func (r *Records) recordFaultsEnded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.FaultsEndedAt = time.Now()
}

// recordReservations records the reservations that are left at the end, and all spans.
func (r *Records) recordReservations(leftover map[string]int, spans []standin.ReservationSpan) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.LeftoverReservations, r.ReservationSpans = leftover, spans
}

// recordFirstUse records the first use of reservations; later uses are ignored.
func (r *Records) recordFirstUse(ids []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ids {
		if r.FirstUsedAt[id].IsZero() {
			r.FirstUsedAt[id] = time.Now()
		}
	}
}
