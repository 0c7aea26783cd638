package soak

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"arbutusdeck/platform/standin"
)

// Habit is how a backend server misbehaves towards a request.
type Misbehavior string

// Habits.
const (
	NoMisbehavior      Misbehavior = ""
	DropsResponse      Misbehavior = "loses answers"
	TruncatesResponse  Misbehavior = "breaks off"
	DuplicatesResponse Misbehavior = "answers twice"
	SwapsResponse      Misbehavior = "crosses answers"
	ForgesResponse     Misbehavior = "forges answers"
	ReturnsError       Misbehavior = "fails"
	RefusesRequest     Misbehavior = "refuses"
	DelaysResponse     Misbehavior = "hesitates"
)

var misbehaviors = []Misbehavior{DropsResponse, TruncatesResponse, DuplicatesResponse, SwapsResponse, ForgesResponse, ReturnsError, RefusesRequest, DelaysResponse}

// habitShare is the share of requests that meet a server's habit, in hundredths.
const misbehaviorPercent = 40

// Services of the run.
const (
	engines = "engines"
	plain   = "plain"
)

// slot is an address at which one backend server after the other runs, behind a
// link.
type slot struct {
	index   int
	link    *Link
	store   *standin.Store
	records *Records
	// fatalHold is for how long at the most a fatal request runs before the server ends.
	maxCrashDelay time.Duration

	// zone is that of its servers, empty for the usual one; coldFor is for how long those are cold that start during the run.
	zone         string
	coldDuration time.Duration

	mu          sync.Mutex
	draining    bool // the server that runs now has reported that it leaves
	service     string
	serverCount int
	server      *standin.Worker
	// misbehaves says that a part of the requests meet some habit.
	misbehaving bool
	// ended is the last server that has ended under a fatal request.
	crashed    *standin.Worker
	background sync.WaitGroup
	// busy is held while the server is on its way out and until the next one runs.
	replacing sync.Mutex
}

// start runs a new server and lists it.
func (s *slot) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serverCount++
	w := standin.NewWorker(fmt.Sprintf("w%d-%d", s.index, s.serverCount), s.service)
	w.PublicAddress = s.link.Address()
	w.Arrived = func(run standin.Run) {
		s.records.recordArrival(Arrival{ID: run.ID, Server: w.ID, Service: w.Service, At: time.Now()})
	}
	w.Used = s.records.recordFirstUse
	w.EndsUnder = func(run standin.Run) bool { return s.crashIfPoison(w, run) }
	w.Script = func(out http.ResponseWriter, r *http.Request) { s.serve(w, out, r) }
	w.Zone = s.zone
	if s.serverCount > 1 {
		w.ColdFor = s.coldDuration
	}
	s.server, s.draining = w, false
	if err := s.link.Retarget(w.Address()); err != nil {
		return err
	}
	s.records.recordServer(w.ID, w.Service)
	s.records.recordLocation(w.ID, w.Zone, w.ColdFor)
	s.store.Put(w.Row("ready"))
	if w.ColdFor > 0 {
		s.background.Go(func() { s.markWarm(w) })
	}
	return nil
}

// warm writes that a server is no longer cold, if it is still the one that runs.
func (s *slot) markWarm(w *standin.Worker) {
	time.Sleep(w.ColdFor)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server == w && !s.draining {
		s.store.Put(w.WarmRow())
	}
}

// crash ends the server with all that it runs; its row stays for the time being.
func (s *slot) crash() *standin.Worker {
	w := s.current()
	s.disconnect()
	w.CloseClientConnections()
	s.background.Go(w.Close)
	return w
}

// cutOff makes the server's host refuse connections to it, and ends those that there are.
func (s *slot) disconnect() {
	s.records.recordServerGone(s.current().ID)
	// The listener may be closed already, which is what is asked for.
	_ = s.link.Retarget("")
	s.link.ResetConnections()
}

// crashFor ends the server for a while, and starts the next one. The slot is busy.
func (s *slot) crashFor(length time.Duration) error {
	crashed := s.crash()
	time.Sleep(min(length, rowTTL))
	s.removeRow(crashed)
	time.Sleep(max(length-rowTTL, 0))
	return s.start()
}

// unlist removes a server's row.
func (s *slot) removeRow(w *standin.Worker) {
	key, _ := w.Row("")
	s.store.Remove(key)
	s.records.recordDraining(w.ID)
}

// leave reports the server as leaving and lets it serve for a while.
func (s *slot) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	s.store.Put(s.server.Row("draining"))
	s.records.recordDraining(s.server.ID)
}

// writeAgain writes the row of a server that runs once more.
func (s *slot) rewriteRow() {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.draining:
		s.store.Put(s.server.Row("draining"))
	case s.records.isAlive(s.server.ID):
		s.store.Put(s.server.Row("ready"))
	}
}

// relist brings the row of a server back that is alive.
func (s *slot) restoreRow() {
	if !s.replacing.TryLock() {
		return // it crashed, or tells of itself later
	}
	defer s.replacing.Unlock()
	s.store.Put(s.current().Row("ready"))
}

func (s *slot) currentService() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.service
}

// swapService makes the next server here one of the other service.
func (s *slot) switchService() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.service == engines {
		s.service = plain
	} else {
		s.service = engines
	}
}

func (s *slot) setMisbehaving(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.misbehaving = on
}

// habit is what a request meets here now.
func (s *slot) misbehaviorFor(id string) Misbehavior {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.misbehaving || hashPick(id, "habit", 100) >= misbehaviorPercent {
		return NoMisbehavior
	}
	return misbehaviors[hashPick(id, "which", len(misbehaviors))]
}

// current is the server that runs now.
func (s *slot) current() *standin.Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.server
}

func (s *slot) close() {
	s.background.Wait() // one that ended under a request may be about to start again
	s.crash()
	s.background.Wait()
}

func (s *slot) serve(w *standin.Worker, out http.ResponseWriter, r *http.Request) {
	forwarded := standin.RunOf(r)
	misbehavior := s.misbehaviorFor(forwarded.ID)
	if misbehavior == RefusesRequest {
		standin.NotRun(out, r)
		return
	}
	remainingMs, _ := strconv.Atoi(forwarded.Remaining)
	run := &Run{ID: forwarded.ID, Server: w.ID, Service: w.Service, Workspace: forwarded.Workspace, Slot: s.index, Key: forwarded.Header.Get("Authorization"), StartedAt: time.Now(),
		LastEvent: forwarded.LastEventID, Remaining: time.Duration(remainingMs) * time.Millisecond}
	s.records.recordRun(run)
	status := 0
	defer func() { s.records.recordRunEnd(run, status) }()
	if misbehavior != NoMisbehavior && misbehavior != DelaysResponse {
		s.records.recordFaulty(run)
	}
	if !simulateWork(r, misbehavior, run.ID) {
		return
	}
	if w.Service == engines {
		status = writeStream(out, r, misbehavior, run)
		return
	}
	status = writePlain(out, r, misbehavior, run.ID)
}

// Times that a run takes.
const (
	minWorkTime      = 5 * time.Millisecond
	workTimeSpreadMs = 60 // ms
	responseDelay    = 700 * time.Millisecond
	eventGap         = 15 * time.Millisecond
	minEvents        = 3
	eventsSpread     = 9
	maxPadding       = 6000
	unframedPercent  = 15 // of a hundred answers have no length
)

// work takes the time of a run; it returns false if the caller has left.
func simulateWork(r *http.Request, misbehavior Misbehavior, id string) bool {
	d := minWorkTime + time.Duration(hashPick(id, "work", workTimeSpreadMs))*time.Millisecond + startDelay(id)
	if misbehavior == DelaysResponse {
		d += responseDelay
	}
	return sleepUnlessCancelled(r, d)
}

func sleepUnlessCancelled(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

// pick returns a number below limit that depends on the request alone, so that any
// server gives the same answer and the caller can check it.
func hashPick(id, purpose string, limit int) int {
	h := fnv.New32a()
	// A hash never fails to take bytes.
	_, _ = h.Write([]byte(id + purpose))
	return int(h.Sum32() % uint32(limit))
}

// answerOf is the whole body of a plain request's answer.
func responseBody(id string) string {
	return "answer to " + id + strings.Repeat(".", hashPick(id, "body", maxPadding))
}

func eventCount(id string) int {
	if isLongStream(id) {
		return minLongEvents + hashPick(id, "events", longEventsSpread)
	}
	return minEvents + hashPick(id, "events", eventsSpread)
}

// eventOf is the data of one event: whose it is, which, and of how many.
func eventData(id string, number int) string {
	return fmt.Sprintf("%s %d %d", id, number, eventCount(id))
}

func writePlain(out http.ResponseWriter, r *http.Request, misbehavior Misbehavior, id string) int {
	body := responseBody(id)
	switch {
	case misbehavior == DropsResponse:
		panic(http.ErrAbortHandler)
	case misbehavior == ReturnsError:
		out.WriteHeader(http.StatusInternalServerError)
		_, _ = fmt.Fprintf(out, "failure of %s", id)
		return http.StatusInternalServerError
	case misbehavior == SwapsResponse:
		standin.Crossed(out, r)
		return http.StatusOK
	case misbehavior == ForgesResponse:
		standin.Unsigned(out, r)
		return http.StatusOK
	case misbehavior == TruncatesResponse, misbehavior == DuplicatesResponse, hashPick(id, "framing", 100) < unframedPercent:
		writeRaw(out, misbehavior, body)
		return http.StatusOK
	}
	_, _ = out.Write([]byte(body))
	return http.StatusOK
}

// writeRaw writes an answer by hand: one that breaks off, one with a second answer
// behind it, or one that has no length and ends with its connection.
func writeRaw(out http.ResponseWriter, misbehavior Misbehavior, body string) {
	head := "HTTP/1.1 200 OK\r\n"
	for name := range out.Header() {
		head += name + ": " + out.Header().Get(name) + "\r\n"
	}
	connection, buffered, err := http.NewResponseController(out).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	framed := fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, len(body))
	switch misbehavior {
	case TruncatesResponse:
		_, _ = buffered.WriteString(framed + body[:len(body)/2])
	case DuplicatesResponse:
		_, _ = buffered.WriteString(framed + body + framed + body)
	default:
		_, _ = buffered.WriteString(head + "Connection: close\r\n\r\n" + body)
	}
	// A caller that has left gets nothing; the run is over either way.
	_ = buffered.Flush()
	if misbehavior == TruncatesResponse {
		resetConnection(connection)
		return
	}
	_ = connection.Close()
}

// writeStream writes the events after the last one that the request names.
func writeStream(out http.ResponseWriter, r *http.Request, misbehavior Misbehavior, run *Run) int {
	switch misbehavior {
	case DropsResponse:
		panic(http.ErrAbortHandler)
	case ReturnsError:
		out.WriteHeader(http.StatusInternalServerError)
		return http.StatusInternalServerError
	case SwapsResponse:
		standin.NameAnother(out)
	case ForgesResponse:
		standin.Unsign(out)
	}
	from, _ := strconv.Atoi(run.LastEvent)
	out.Header().Set("Content-Type", "text/event-stream")
	last := eventCount(run.ID)
	for i := from + 1; i <= last; i++ {
		if misbehavior == TruncatesResponse && i > from+last/2 {
			_, _ = fmt.Fprintf(out, "id: %d\ndata: %s", i, run.ID)
			_ = http.NewResponseController(out).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(out, "id: %d\ndata: %s\n\n", i, eventData(run.ID, i))
		_ = http.NewResponseController(out).Flush()
		if !sleepUnlessCancelled(r, eventGapOf(run.ID)) {
			return http.StatusOK
		}
	}
	return http.StatusOK
}
