package soak

import (
	"errors"
	"sync"
	"time"

	"arbutusdeck/platform/standin"
)

// Call is one request as its caller saw it.
type Call struct {
	ID, Path, Key      string
	Kind               CallKind
	Entry              int
	StartedAt, EndedAt time.Time
	// Wait is how long the caller said that it waits.
	Timeout time.Duration
	// Status is 0 if no answer came.
	Status    int
	Signature string
	Body      string
	// Whole says that the answer came to its orderly end; Err why it did not.
	Complete bool
	Err      error
	// Left says that the caller gave up early, at Ended.
	Disconnected bool
	// Spoiled says what of the answer can't be this request's own; empty if
	// nothing.
	Corruption string
	// Marker is the configuration that a probe asked for, 0 for none.
	ConfigVersion int
	// Idle is for how long its connection had lain idle; 0 for a new one.
	ConnIdleTime time.Duration
	// Fatal is the number of a request that ends servers, 0 for a sound one.
	PoisonNumber int
}

// CallKind is what may be done with a request.
type CallKind uint8

// Kinds of calls.
const (
	AtMostOnce       CallKind = iota // at most once
	Retryable                        // any number of times
	ResumableStream                  // may be resumed elsewhere
	AtMostOnceStream                 // a stream, at most once
	ConfigProbe                      // shows the configuration in force
	RevokedKeyProbe                  // carries a key that was taken away
)

func (k CallKind) atMostOnce() bool { return k == AtMostOnce || k == AtMostOnceStream }
func (k CallKind) streams() bool    { return k == ResumableStream || k == AtMostOnceStream }

// Run is one run of a request at a backend server.
type Run struct {
	ID, Server, Service, Workspace, Key string
	Slot                                int
	StartedAt, EndedAt                  time.Time
	Status                              int
	LastEvent                           string
	Remaining                           time.Duration
	// Spoiled says that the server broke or forged its answer.
	Faulty bool
}

// Arrival is a request that reached a backend server, run or not.
type Arrival struct {
	ID, Server, Service string
	At                  time.Time
}

// Interval is a time in which a fault struck.
type Interval struct {
	Kind     FaultKind
	Target   int
	From, To time.Time
}

// ConfigChange is a version that the store has acknowledged.
type ConfigChange struct {
	Version int
	At      time.Time
}

// Records is everything that was seen. The fields may be read once all has ended.
type Records struct {
	mu sync.Mutex
	// ChangeBound is that of the run's options.
	MaxPropagationDelay time.Duration

	Calls    []Call
	Runs     []*Run
	Arrivals []Arrival
	Faults   []Interval
	Configs  []ConfigChange
	// Leaving is when the store acknowledged that a server leaves.
	DrainingSince map[string]time.Time
	// Starts are when each entry's processes were started.
	Starts map[int][]time.Time
	// Ends are the ends of servers under fatal requests, in the order of time.
	Crashes []Crash
	// Lives are the lives of backend servers, by their names.
	Servers map[string]*ServerLifetime
	// Exits are the ends that were asked for by a planned stop or by nothing.
	Exits []Exit
	// Evacuations are the spans from the store's acknowledgement that the second zone is evacuated until it is taken back.
	Evacuations []Interval
	// Calm is when the last fault was over.
	FaultsEndedAt time.Time
	// Reserved are the reservations that stand at the end, by server.
	LeftoverReservations map[string]int
	// Failure is why the run itself could not go on, if it couldn't.
	Err error
	// Held are the spans in which servers set memory aside, Used the first uses by id.
	ReservationSpans []standin.Held
	FirstUsedAt      map[string]time.Time
}

// Life is how long a backend server could be reached; To is zero while it can.
type ServerLifetime struct {
	Service  string
	From, To time.Time
	// Zone is the server's, Cold until when it is cold.
	Zone      string
	ColdUntil time.Time
}

// covers says whether the server could be reached at a time.
func (l *ServerLifetime) wasReachable(at time.Time) bool {
	return !l.From.After(at) && (l.To.IsZero() || l.To.After(at))
}

// isAlive says whether a backend server can be reached.
func (r *Records) isAlive(worker string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	life := r.Servers[worker]
	return life != nil && life.To.IsZero()
}

// endedServers are the backend servers that can't be reached any more.
func (r *Records) stoppedServers() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for id, life := range r.Servers {
		if !life.To.IsZero() {
			ids = append(ids, id)
		}
	}
	return ids
}

// Exit is the end of a process that was asked to stop.
type Exit struct {
	Entry           int
	Code            int
	StopRequestedAt time.Time
	Took            time.Duration
	// ByItself says that nothing asked for it.
	Unrequested bool
}

func newRecords() *Records {
	return &Records{DrainingSince: map[string]time.Time{}, Starts: map[int][]time.Time{}, LeftoverReservations: map[string]int{}, FirstUsedAt: map[string]time.Time{}, Servers: map[string]*ServerLifetime{}}
}

// lives notes that a backend server can be reached, gone that it can't any more.
func (r *Records) recordServer(worker, service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Servers[worker] = &ServerLifetime{Service: service, From: time.Now()}
}

// located notes where a backend server is and for how long it is cold.
func (r *Records) recordLocation(worker, zone string, cold time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Servers[worker].Zone, r.Servers[worker].ColdUntil = zone, r.Servers[worker].From.Add(cold)
}

// evacuated notes that the second zone is evacuated and returns what notes that it is about to be taken back.
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

func (r *Records) recordServerGone(worker string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if life := r.Servers[worker]; life != nil && life.To.IsZero() {
		life.To = time.Now()
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

// ranFatal notes a run under which its server ends.
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

// ended notes how a run ended.
func (r *Records) recordRunEnd(run *Run, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.EndedAt, run.Status = time.Now(), status
}

// spoiled notes that a run's answer is broken or forged.
func (r *Records) recordFaulty(run *Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.Faulty = true
}

// fault notes a fault's beginning and returns what notes its end.
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

func (r *Records) recordDraining(worker string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.DrainingSince[worker]; !ok {
		r.DrainingSince[worker] = time.Now()
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

// calm notes that the last fault is over.
func (r *Records) recordFaultsEnded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.FaultsEndedAt = time.Now()
}

// reserved notes what is left of reservations at the end, and those that there were.
func (r *Records) recordReservations(left map[string]int, spans []standin.Held) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.LeftoverReservations, r.ReservationSpans = left, spans
}

// used notes the first use of reservations.
func (r *Records) recordFirstUse(ids []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ids {
		if r.FirstUsedAt[id].IsZero() {
			r.FirstUsedAt[id] = time.Now()
		}
	}
}
