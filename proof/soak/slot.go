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

// Misbehavior is a way in which a backend server mishandles a request.
type Misbehavior string

// Ways to misbehave.
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

// misbehaviorPercent of the requests are mishandled while a server misbehaves.
const misbehaviorPercent = 40

// Services of the backend servers.
const (
	engines = "engines"
	plain   = "plain"
)

// slot is an address behind a link, at which backend servers run one after the other.
type slot struct {
	index   int
	link    *Link
	store   *standin.Store
	records *Records
	// maxCrashDelay bounds how long a poison request runs before the server crashes.
	maxCrashDelay time.Duration

	// zone is the zone of the servers, empty for the default one. Servers that start during
	// the run are cold for coldDuration.
	zone         string
	coldDuration time.Duration

	mu          sync.Mutex
	draining    bool // the current server has reported that it drains
	service     string
	serverCount int
	server      *standin.Worker
	// misbehaving tells that a share of the requests are mishandled.
	misbehaving bool
	// crashed is the last server that crashed under a poison request.
	crashed    *standin.Worker
	background sync.WaitGroup
	// replacing is held from the time the server is shut down or crashes until the next one runs.
	replacing sync.Mutex
}

// start starts a new server and writes its row to the store.
func (s *slot) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serverCount++
	w := standin.NewWorker(fmt.Sprintf("w%d-%d", s.index, s.serverCount), s.service)
	w.PublicAddress = s.link.Address()
	w.OnRequest = func(run standin.Run) {
		s.records.recordArrival(Arrival{ID: run.ID, Server: w.ID, Service: w.Service, At: time.Now()})
	}
	w.OnFirstWrite = s.records.recordFirstUse
	w.CrashesOn = func(run standin.Run) bool { return s.crashIfPoison(w, run) }
	w.Script = func(out http.ResponseWriter, r *http.Request) { s.serve(w, out, r) }
	w.Zone = s.zone
	if s.serverCount > 1 {
		w.WarmupRemaining = s.coldDuration
	}
	s.server, s.draining = w, false
	if err := s.link.Retarget(w.Address()); err != nil {
		return err
	}
	s.records.recordServer(w.ID, w.Service)
	s.records.recordLocation(w.ID, w.Zone, w.WarmupRemaining)
	s.store.Put(w.Row("ready"))
	if w.WarmupRemaining > 0 {
		s.background.Go(func() { s.markWarm(w) })
	}
	return nil
}

// markWarm writes that a server is no longer cold, if it is still the current one and not draining.
func (s *slot) markWarm(w *standin.Worker) {
	time.Sleep(w.WarmupRemaining)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server == w && !s.draining {
		s.store.Put(w.WarmRow())
	}
}

// crash stops the server and aborts its requests, and returns it. Its row stays in the store.
func (s *slot) crash() *standin.Worker {
	w := s.current()
	s.disconnect()
	w.CloseClientConnections()
	s.background.Go(w.Close)
	return w
}

// disconnect refuses new connections to the server and resets the open ones.
func (s *slot) disconnect() {
	s.records.recordServerGone(s.current().ID)
	// Closing the listener fails only if it is already closed.
	_ = s.link.Retarget("")
	s.link.ResetConnections()
}

// crashFor crashes the server, and starts the next one after a downtime. The caller holds
// replacing.
func (s *slot) crashFor(length time.Duration) error {
	crashed := s.crash()
	time.Sleep(min(length, rowTTL))
	s.removeRow(crashed)
	time.Sleep(max(length-rowTTL, 0))
	return s.start()
}

// removeRow removes the row of a server from the store.
func (s *slot) removeRow(w *standin.Worker) {
	key, _ := w.Row("")
	s.store.Remove(key)
	s.records.recordDraining(w.ID)
}

// drain reports the server as draining; it goes on serving.
func (s *slot) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	s.store.Put(s.server.Row("draining"))
	s.records.recordDraining(s.server.ID)
}

// rewriteRow writes the current state of the server again, if it still runs.
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

// restoreRow writes the row of a running server again.
func (s *slot) restoreRow() {
	if !s.replacing.TryLock() {
		return // it crashed, or its replacement writes a row
	}
	defer s.replacing.Unlock()
	s.store.Put(s.current().Row("ready"))
}

func (s *slot) currentService() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.service
}

// switchService assigns the next server of the slot to the other service.
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

// misbehaviorFor returns how the server mishandles a request, or NoMisbehavior.
func (s *slot) misbehaviorFor(id string) Misbehavior {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.misbehaving || hashPick(id, "habit", 100) >= misbehaviorPercent {
		return NoMisbehavior
	}
	return misbehaviors[hashPick(id, "which", len(misbehaviors))]
}

// current returns the server that was started last.
func (s *slot) current() *standin.Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.server
}

func (s *slot) close() {
	s.background.Wait() // a crash under a poison request may be about to start the next server
	s.crash()
	s.background.Wait()
}

func (s *slot) serve(w *standin.Worker, out http.ResponseWriter, r *http.Request) {
	forwarded := standin.RunFromRequest(r)
	misbehavior := s.misbehaviorFor(forwarded.ID)
	if misbehavior == RefusesRequest {
		standin.NotExecuted(out, r)
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

// Durations and sizes of runs.
const (
	minWorkTime      = 5 * time.Millisecond
	workTimeSpreadMs = 60
	responseDelay    = 700 * time.Millisecond
	eventGap         = 15 * time.Millisecond
	minEvents        = 3
	eventsSpread     = 9
	maxPadding       = 6000
	unframedPercent  = 15 // responses without a Content-Length
)

// simulateWork waits for the processing time of a run; it returns false if the caller disconnects.
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

// hashPick returns a number below limit that depends only on the request, so that every
// server gives the same response and the caller can check it.
func hashPick(id, purpose string, limit int) int {
	h := fnv.New32a()
	// Write of a hash.Hash never returns an error.
	_, _ = h.Write([]byte(id + purpose))
	return int(h.Sum32() % uint32(limit))
}

// responseBody returns the complete body of the response to a plain request.
func responseBody(id string) string {
	return "answer to " + id + strings.Repeat(".", hashPick(id, "body", maxPadding))
}

func eventCount(id string) int {
	if isLongStream(id) {
		return minLongEvents + hashPick(id, "events", longEventsSpread)
	}
	return minEvents + hashPick(id, "events", eventsSpread)
}

// eventData returns the data of one event: the request ID, its number and the number of events.
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
		standin.WrongRequest(out, r)
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

// writeRaw writes a response to the connection directly: a truncated one, one followed by a
// second copy, or one without Content-Length that ends with its connection.
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
	// The caller may have disconnected; the run is over either way.
	_ = buffered.Flush()
	if misbehavior == TruncatesResponse {
		resetConnection(connection)
		return
	}
	_ = connection.Close()
}

// writeStream writes the events that follow the Last-Event-ID of the request.
func writeStream(out http.ResponseWriter, r *http.Request, misbehavior Misbehavior, run *Run) int {
	switch misbehavior {
	case DropsResponse:
		panic(http.ErrAbortHandler)
	case ReturnsError:
		out.WriteHeader(http.StatusInternalServerError)
		return http.StatusInternalServerError
	case SwapsResponse:
		standin.SetWrongRequestID(out)
	case ForgesResponse:
		standin.RemoveSignature(out)
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
