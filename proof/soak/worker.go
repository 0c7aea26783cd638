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
type Habit string

// Habits.
const (
	Sound          Habit = ""
	LosesAnswers   Habit = "loses answers"
	BreaksOff      Habit = "breaks off"
	AnswersTwice   Habit = "answers twice"
	CrossesAnswers Habit = "crosses answers"
	Forges         Habit = "forges answers"
	Fails          Habit = "fails"
	Refuses        Habit = "refuses"
	Hesitates      Habit = "hesitates"
)

var habits = []Habit{LosesAnswers, BreaksOff, AnswersTwice, CrossesAnswers, Forges, Fails, Refuses, Hesitates}

// habitShare is the share of requests that meet a server's habit, in hundredths.
const habitShare = 40

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
	fatalHold time.Duration

	// zone is that of its servers, empty for the usual one; coldFor is for how long those are cold that start during the run.
	zone    string
	coldFor time.Duration

	mu      sync.Mutex
	leaving bool // the server that runs now has reported that it leaves
	service string
	serial  int
	worker  *standin.Worker
	// misbehaves says that a part of the requests meet some habit.
	misbehaves bool
	// ended is the last server that has ended under a fatal request.
	ended  *standin.Worker
	ending sync.WaitGroup
	// busy is held while the server is on its way out and until the next one runs.
	busy sync.Mutex
}

// start runs a new server and lists it.
func (s *slot) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serial++
	w := standin.NewWorker(fmt.Sprintf("w%d-%d", s.index, s.serial), s.service)
	w.PublicAddress = s.link.Address()
	w.OnRequest = func(run standin.Run) {
		s.records.arrival(Arrival{ID: run.ID, Worker: w.ID, Service: w.Service, At: time.Now()})
	}
	w.OnFirstWrite = s.records.used
	w.CrashesOn = func(run standin.Run) bool { return s.endUnder(w, run) }
	w.Script = func(out http.ResponseWriter, r *http.Request) { s.serve(w, out, r) }
	w.Zone = s.zone
	if s.serial > 1 {
		w.WarmupRemaining = s.coldFor
	}
	s.worker, s.leaving = w, false
	if err := s.link.Retarget(w.Address()); err != nil {
		return err
	}
	s.records.lives(w.ID, w.Service)
	s.records.located(w.ID, w.Zone, w.WarmupRemaining)
	s.store.Put(w.Row("ready"))
	if w.WarmupRemaining > 0 {
		s.ending.Go(func() { s.warm(w) })
	}
	return nil
}

// warm writes that a server is no longer cold, if it is still the one that runs.
func (s *slot) warm(w *standin.Worker) {
	time.Sleep(w.WarmupRemaining)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.worker == w && !s.leaving {
		s.store.Put(w.WarmRow())
	}
}

// crash ends the server with all that it runs; its row stays for the time being.
func (s *slot) crash() *standin.Worker {
	w := s.current()
	s.cutOff()
	w.CloseClientConnections()
	s.ending.Go(w.Close)
	return w
}

// cutOff makes the server's host refuse connections to it, and ends those that there are.
func (s *slot) cutOff() {
	s.records.gone(s.current().ID)
	// The listener may be closed already, which is what is asked for.
	_ = s.link.Retarget("")
	s.link.Cut()
}

// crashFor ends the server for a while, and starts the next one. The slot is busy.
func (s *slot) crashFor(length time.Duration) error {
	gone := s.crash()
	time.Sleep(min(length, rowLapse))
	s.unlist(gone)
	time.Sleep(max(length-rowLapse, 0))
	return s.start()
}

// unlist removes a server's row.
func (s *slot) unlist(w *standin.Worker) {
	key, _ := w.Row("")
	s.store.Remove(key)
	s.records.leaves(w.ID)
}

// leave reports the server as leaving and lets it serve for a while.
func (s *slot) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	s.store.Put(s.worker.Row("draining"))
	s.records.leaves(s.worker.ID)
}

// writeAgain writes the row of a server that runs once more.
func (s *slot) writeAgain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.leaving:
		s.store.Put(s.worker.Row("draining"))
	case s.records.isAlive(s.worker.ID):
		s.store.Put(s.worker.Row("ready"))
	}
}

// relist brings the row of a server back that is alive.
func (s *slot) relist() {
	if !s.busy.TryLock() {
		return // it crashed, or tells of itself later
	}
	defer s.busy.Unlock()
	s.store.Put(s.current().Row("ready"))
}

func (s *slot) serves() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.service
}

// swapService makes the next server here one of the other service.
func (s *slot) swapService() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.service == engines {
		s.service = plain
	} else {
		s.service = engines
	}
}

func (s *slot) misbehave(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.misbehaves = on
}

// habit is what a request meets here now.
func (s *slot) habit(id string) Habit {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.misbehaves || pick(id, "habit", 100) >= habitShare {
		return Sound
	}
	return habits[pick(id, "which", len(habits))]
}

// current is the server that runs now.
func (s *slot) current() *standin.Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.worker
}

func (s *slot) close() {
	s.ending.Wait() // one that ended under a request may be about to start again
	s.crash()
	s.ending.Wait()
}

func (s *slot) serve(w *standin.Worker, out http.ResponseWriter, r *http.Request) {
	told := standin.RunFromRequest(r)
	habit := s.habit(told.ID)
	if habit == Refuses {
		standin.NotExecuted(out, r)
		return
	}
	wait, _ := strconv.Atoi(told.Remaining)
	run := &Run{ID: told.ID, Worker: w.ID, Service: w.Service, Workspace: told.Workspace, Slot: s.index, Key: told.Header.Get("Authorization"), Began: time.Now(),
		LastEvent: told.LastEventID, Remaining: time.Duration(wait) * time.Millisecond}
	s.records.run(run)
	status := 0
	defer func() { s.records.ended(run, status) }()
	if habit != Sound && habit != Hesitates {
		s.records.spoiled(run)
	}
	if !work(r, habit, run.ID) {
		return
	}
	if w.Service == engines {
		status = writeStream(out, r, habit, run)
		return
	}
	status = writePlain(out, r, habit, run.ID)
}

// Times that a run takes.
const (
	workTime      = 5 * time.Millisecond
	workSpread    = 60 // ms
	hesitation    = 700 * time.Millisecond
	eventGap      = 15 * time.Millisecond
	eventsLeast   = 3
	eventsSpread  = 9
	bodySpread    = 6000
	unframedShare = 15 // of a hundred answers have no length
)

// work takes the time of a run; it returns false if the caller has left.
func work(r *http.Request, habit Habit, id string) bool {
	d := workTime + time.Duration(pick(id, "work", workSpread))*time.Millisecond + lateOf(id)
	if habit == Hesitates {
		d += hesitation
	}
	return pause(r, d)
}

func pause(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

// pick returns a number below limit that depends on the request alone, so that any
// server gives the same answer and the caller can check it.
func pick(id, purpose string, limit int) int {
	h := fnv.New32a()
	// A hash never fails to take bytes.
	_, _ = h.Write([]byte(id + purpose))
	return int(h.Sum32() % uint32(limit))
}

// answerOf is the whole body of a plain request's answer.
func answerOf(id string) string {
	return "answer to " + id + strings.Repeat(".", pick(id, "body", bodySpread))
}

func eventsOf(id string) int {
	if isLong(id) {
		return longLeast + pick(id, "events", longSpread)
	}
	return eventsLeast + pick(id, "events", eventsSpread)
}

// eventOf is the data of one event: whose it is, which, and of how many.
func eventOf(id string, number int) string { return fmt.Sprintf("%s %d %d", id, number, eventsOf(id)) }

func writePlain(out http.ResponseWriter, r *http.Request, habit Habit, id string) int {
	body := answerOf(id)
	switch {
	case habit == LosesAnswers:
		panic(http.ErrAbortHandler)
	case habit == Fails:
		out.WriteHeader(http.StatusInternalServerError)
		_, _ = fmt.Fprintf(out, "failure of %s", id)
		return http.StatusInternalServerError
	case habit == CrossesAnswers:
		standin.WrongRequest(out, r)
		return http.StatusOK
	case habit == Forges:
		standin.Unsigned(out, r)
		return http.StatusOK
	case habit == BreaksOff, habit == AnswersTwice, pick(id, "framing", 100) < unframedShare:
		writeRaw(out, habit, body)
		return http.StatusOK
	}
	_, _ = out.Write([]byte(body))
	return http.StatusOK
}

// writeRaw writes an answer by hand: one that breaks off, one with a second answer
// behind it, or one that has no length and ends with its connection.
func writeRaw(out http.ResponseWriter, habit Habit, body string) {
	head := "HTTP/1.1 200 OK\r\n"
	for name := range out.Header() {
		head += name + ": " + out.Header().Get(name) + "\r\n"
	}
	connection, buffered, err := http.NewResponseController(out).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	framed := fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, len(body))
	switch habit {
	case BreaksOff:
		_, _ = buffered.WriteString(framed + body[:len(body)/2])
	case AnswersTwice:
		_, _ = buffered.WriteString(framed + body + framed + body)
	default:
		_, _ = buffered.WriteString(head + "Connection: close\r\n\r\n" + body)
	}
	// A caller that has left gets nothing; the run is over either way.
	_ = buffered.Flush()
	if habit == BreaksOff {
		resetConnection(connection)
		return
	}
	_ = connection.Close()
}

// writeStream writes the events after the last one that the request names.
func writeStream(out http.ResponseWriter, r *http.Request, habit Habit, run *Run) int {
	switch habit {
	case LosesAnswers:
		panic(http.ErrAbortHandler)
	case Fails:
		out.WriteHeader(http.StatusInternalServerError)
		return http.StatusInternalServerError
	case CrossesAnswers:
		standin.SetWrongRequestID(out)
	case Forges:
		standin.RemoveSignature(out)
	}
	from, _ := strconv.Atoi(run.LastEvent)
	out.Header().Set("Content-Type", "text/event-stream")
	last := eventsOf(run.ID)
	for i := from + 1; i <= last; i++ {
		if habit == BreaksOff && i > from+last/2 {
			_, _ = fmt.Fprintf(out, "id: %d\ndata: %s", i, run.ID)
			_ = http.NewResponseController(out).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(out, "id: %d\ndata: %s\n\n", i, eventOf(run.ID, i))
		_ = http.NewResponseController(out).Flush()
		if !pause(r, gapOf(run.ID)) {
			return http.StatusOK
		}
	}
	return http.StatusOK
}
