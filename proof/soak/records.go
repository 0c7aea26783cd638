package soak

import (
	"errors"
	"sync"
	"time"

	"arbutusdeck/platform/standin"
)

// Call is one request as its caller saw it.
type Call struct {
	ID, Path, Key string
	Kind          CallKind
	Entry         int
	Began, Ended  time.Time
	// Wait is how long the caller said that it waits.
	Wait time.Duration
	// Status is 0 if no answer came.
	Status    int
	Signature string
	Body      string
	// Whole says that the answer came to its orderly end; Err why it did not.
	Whole bool
	Err   error
	// Left says that the caller gave up early, at Ended.
	Left bool
	// Spoiled says what of the answer can't be this request's own; empty if
	// nothing.
	Spoiled string
	// Marker is the configuration that a probe asked for, 0 for none.
	Marker int
	// Idle is for how long its connection had lain idle; 0 for a new one.
	Idle time.Duration
	// Fatal is the number of a request that ends servers, 0 for a sound one.
	Fatal int
}

// CallKind is what may be done with a request.
type CallKind uint8

// Kinds of calls.
const (
	Order  CallKind = iota // at most once
	Read                   // any number of times
	Stream                 // may be resumed elsewhere
	Once                   // a stream, at most once
	Probe                  // shows the configuration in force
	OldKey                 // carries a key that was taken away
)

func (k CallKind) atMostOnce() bool { return k == Order || k == Once }
func (k CallKind) streams() bool    { return k == Stream || k == Once }

// Run is one run of a request at a backend server.
type Run struct {
	ID, Worker, Service, Workspace, Key string
	Slot                                int
	Began, Ended                        time.Time
	Status                              int
	LastEvent                           string
	Remaining                           time.Duration
	// Spoiled says that the server broke or forged its answer.
	Spoiled bool
}

// Arrival is a request that reached a backend server, run or not.
type Arrival struct {
	ID, Worker, Service string
	At                  time.Time
}

// Interval is a time in which a fault struck.
type Interval struct {
	Kind     Kind
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
	ChangeBound time.Duration

	Calls    []Call
	Runs     []*Run
	Arrivals []Arrival
	Faults   []Interval
	Configs  []ConfigChange
	// Leaving is when the store acknowledged that a server leaves.
	Leaving map[string]time.Time
	// Starts are when each entry's processes were started.
	Starts map[int][]time.Time
	// Ends are the ends of servers under fatal requests, in the order of time.
	Ends []End
	// Lives are the lives of backend servers, by their names.
	Lives map[string]*Life
	// Exits are the ends that were asked for by a planned stop or by nothing.
	Exits []Exit
	// Evacuations are the spans from the store's acknowledgement that the second zone is evacuated until it is taken back.
	Evacuations []Interval
	// Calm is when the last fault was over.
	Calm time.Time
	// Reserved are the reservations that stand at the end, by server.
	Reserved map[string]int
	// Failure is why the run itself could not go on, if it couldn't.
	Failure error
	// Held are the spans in which servers set memory aside, Used the first uses by id.
	Held []standin.ReservationSpan
	Used map[string]time.Time
}

// Life is how long a backend server could be reached; To is zero while it can.
type Life struct {
	Service  string
	From, To time.Time
	// Zone is the server's, Cold until when it is cold.
	Zone string
	Cold time.Time
}

// covers says whether the server could be reached at a time.
func (l *Life) covers(at time.Time) bool {
	return !l.From.After(at) && (l.To.IsZero() || l.To.After(at))
}

// isAlive says whether a backend server can be reached.
func (r *Records) isAlive(worker string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	life := r.Lives[worker]
	return life != nil && life.To.IsZero()
}

// endedServers are the backend servers that can't be reached any more.
func (r *Records) endedServers() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for id, life := range r.Lives {
		if !life.To.IsZero() {
			ids = append(ids, id)
		}
	}
	return ids
}

// Exit is the end of a process that was asked to stop.
type Exit struct {
	Entry int
	Code  int
	Began time.Time
	Took  time.Duration
	// ByItself says that nothing asked for it.
	ByItself bool
}

func newRecords() *Records {
	return &Records{Leaving: map[string]time.Time{}, Starts: map[int][]time.Time{}, Reserved: map[string]int{}, Used: map[string]time.Time{}, Lives: map[string]*Life{}}
}

// lives notes that a backend server can be reached, gone that it can't any more.
func (r *Records) lives(worker, service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Lives[worker] = &Life{Service: service, From: time.Now()}
}

// located notes where a backend server is and for how long it is cold.
func (r *Records) located(worker, zone string, cold time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Lives[worker].Zone, r.Lives[worker].Cold = zone, r.Lives[worker].From.Add(cold)
}

// evacuated notes that the second zone is evacuated and returns what notes that it is about to be taken back.
func (r *Records) evacuated() func() {
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

func (r *Records) gone(worker string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if life := r.Lives[worker]; life != nil && life.To.IsZero() {
		life.To = time.Now()
	}
}

func (r *Records) call(c Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Calls = append(r.Calls, c)
}

func (r *Records) arrival(a Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Arrivals = append(r.Arrivals, a)
}

func (r *Records) run(run *Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Runs = append(r.Runs, run)
}

// ranFatal notes a run under which its server ends.
func (r *Records) ranFatal(id string, slot int, w *standin.Worker) {
	now := time.Now()
	r.run(&Run{ID: id, Worker: w.ID, Service: w.Service, Workspace: "press", Slot: slot, Began: now, Ended: now, Remaining: time.Nanosecond, Spoiled: true})
}

func (r *Records) end(e End) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Ends = append(r.Ends, e)
}

func (r *Records) failure(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Failure = errors.Join(r.Failure, err)
}

// ended notes how a run ended.
func (r *Records) ended(run *Run, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.Ended, run.Status = time.Now(), status
}

// spoiled notes that a run's answer is broken or forged.
func (r *Records) spoiled(run *Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.Spoiled = true
}

// fault notes a fault's beginning and returns what notes its end.
func (r *Records) fault(kind Kind, target int) func() {
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

func (r *Records) configured(version int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Configs = append(r.Configs, ConfigChange{version, time.Now()})
}

func (r *Records) leaves(worker string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.Leaving[worker]; !ok {
		r.Leaving[worker] = time.Now()
	}
}

func (r *Records) started(entry int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Starts[entry] = append(r.Starts[entry], time.Now())
}

func (r *Records) exited(e Exit) {
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
func (r *Records) calm() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Calm = time.Now()
}

// reserved notes what is left of reservations at the end, and those that there were.
func (r *Records) reserved(left map[string]int, held []standin.ReservationSpan) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Reserved, r.Held = left, held
}

// used notes the first use of reservations.
func (r *Records) used(ids []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ids {
		if r.Used[id].IsZero() {
			r.Used[id] = time.Now()
		}
	}
}
