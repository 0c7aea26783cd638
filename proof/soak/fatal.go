package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"arbutusdeck/platform/standin"
)

// A fatal request ends each server that begins to run it, at once or a while later, whether its
// caller is still there or not. It comes again and again, at any entry, each time in another
// attempt, and beside it others of the same caller to the same path.

const (
	// fatalFirst and fatalGap are when the first and each further fatal request begins to come.
	fatalFirst = 1500 * time.Millisecond
	fatalGap   = 4 * time.Second
	// fatalPause and fatalPauseSpread, in ms, lie between two attempts of one.
	fatalPause       = 100 * time.Millisecond
	fatalPauseSpread = 500
	// fatalDown and fatalDownSpread, in ms, are how long a server is away that has ended.
	fatalDown       = time.Second
	fatalDownSpread = 2000
	// fatalShortest is the part of FatalHold that a server runs it at least. All callers of every second
	// one leave within it, so that none of them waits for the end.
	fatalShortest = 0.25
	// fatalTokens is short enough that it is not divided.
	fatalTokens = 1500
)

// fatalRoutes are the routes to which fatal requests come, by turns.
var fatalRoutes = []struct {
	kind         CallKind
	method, path string
	tokens       int
}{{Stream, http.MethodPost, "/stream/fatal", fatalTokens}, {Read, http.MethodGet, "/read/fatal", 0}, {Order, http.MethodPost, "/order/fatal", 0},
	{Once, http.MethodPost, "/once/fatal", fatalTokens}}

// fatalBody is the body of a fatal request; 0 is that of a sound one to the same path.
func fatalBody(number int) string {
	if number == 0 {
		return "sound"
	}
	return fmt.Sprintf("fatal %d", number)
}

// End is the end of a server under a fatal request.
type End struct {
	// Fatal is the request's number, from 1.
	Fatal  int
	Worker string
	At     time.Time
}

// endUnder ends a server if a request is fatal, and starts the next one later.
func (s *slot) endUnder(w *standin.Worker, run standin.Run) bool {
	number := 0
	if _, err := fmt.Sscanf(run.Body, "fatal %d", &number); err != nil {
		return false
	}
	s.records.ranFatal(run.ID, s.index, w)
	time.Sleep(s.holdOf(run.ID))
	if !s.ends(w) {
		return true // it has ended already
	}
	s.records.end(End{Fatal: number, Worker: w.ID, At: time.Now()})
	over := s.records.fault(WorkerCrashed, s.index)
	s.cutOff()
	s.ending.Go(func() {
		defer over()
		if !s.busy.TryLock() {
			return // whoever ends it starts the next one
		}
		defer s.busy.Unlock()
		if s.current() != w {
			return
		}
		down := fatalDown + time.Duration(pick(run.ID, "down", fatalDownSpread))*time.Millisecond
		if err := s.crashFor(down); err != nil {
			s.records.failure(err)
		}
	})
	return true
}

// holdOf is for how long the server runs a fatal request before it ends.
func (s *slot) holdOf(id string) time.Duration {
	spread := s.fatalHold - shortestHold(s.fatalHold)
	if spread == 0 {
		return 0
	}
	return shortestHold(s.fatalHold) + time.Duration(pick(id, "hold", int(spread.Milliseconds())))*time.Millisecond
}

func shortestHold(longest time.Duration) time.Duration {
	return time.Duration(fatalShortest * float64(longest))
}

// ends notes that a server ends; it returns false if that is known, or another one runs here by now.
func (s *slot) ends(w *standin.Worker) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended == w || s.worker != w {
		return false
	}
	s.ended = w
	return true
}

// callFatal sends a fatal request to entries at random, and a sound one beside it now and then,
// until the context is over.
func (w *world) callFatal(ctx context.Context, number int) {
	sleep(ctx, fatalFirst+time.Duration(number-1)*fatalGap)
	random := rand.New(rand.NewPCG(w.options.Seed, uint64(2+number)))
	callers := make([]*caller, len(w.daemons))
	for entry := range w.daemons {
		callers[entry] = newCaller(fmt.Sprintf("f%d-%d", number, entry), entry, w.fronts[entry].Address(), w.options.Seed, w.records, w.newest)
		defer callers[entry].client.CloseIdleConnections()
	}
	for ctx.Err() == nil {
		c := callers[random.IntN(len(callers))]
		leave := time.Duration(0)
		if number%2 == 0 {
			leave = shortestHold(w.options.FatalHold)
		}
		c.oneFatal(number, number, leave)
		c.oneFatal(number, 0, 0)
		sleep(ctx, fatalPause+time.Duration(random.IntN(fatalPauseSpread))*time.Millisecond)
	}
}

// oneFatal sends the fatal request of a number, or a sound one to its path. It leaves after a time, or
// as usual if that is 0.
func (c *caller) oneFatal(number, body int, leave time.Duration) {
	c.serial++
	route := fatalRoutes[(number-1)%len(fatalRoutes)]
	call := Call{ID: fmt.Sprintf("%s-%d", c.name, c.serial), Kind: route.kind, Path: route.path, Entry: c.entry, Key: lastingKey, Fatal: body, Wait: waitLeast}
	request := standin.SetRemaining(standin.NewRequest(c.address, route.method, route.path, call.ID, route.tokens, fatalBody(body)), call.Wait)
	if leave > 0 {
		c.send(&call, request, leave)
	} else {
		c.do(&call, request)
	}
	c.records.call(call)
}

// quarantinedCode is what an entry answers that refuses a request because servers end under it.
const quarantinedCode = `"code":"quarantined"`

// fatalEnds is after how many ends a request is known, and fatalMore how many more sends there
// may be by entries that no fault touched; the users' figures.
const (
	fatalEnds = 3
	fatalMore = 3
)

// sentOn is the promise that a request which ends servers is refused once it is known.
const sentOn = "a request that ends servers is not sent on"

// checkFatal finds requests that end servers and are sent on, and sound ones that are refused
// for it.
func (c *checker) checkFatal(timed bool) {
	for i := range c.Calls {
		call := &c.Calls[i]
		if call.Fatal == 0 && strings.Contains(call.Body, quarantinedCode) {
			c.found("only a request that ends servers is refused for it", "%s %s was", call.ID, call.Path)
		}
	}
	ends := map[int][]time.Time{}
	for _, end := range c.Ends {
		ends[end.Fatal] = append(ends[end.Fatal], end.At)
	}
	for number, at := range ends {
		if len(at) < fatalEnds {
			continue
		}
		known := at[fatalEnds-1]
		if timed {
			c.checkSentOn(number, known)
		}
		c.checkCalm(number, known)
	}
}

// checkSentOn counts the sends of a fatal request by entries in touch, after it must be known.
func (c *checker) checkSentOn(number int, known time.Time) {
	more := 0
	for _, a := range c.Arrivals {
		call := c.calls[a.ID]
		if call == nil || call.Fatal != number || !a.At.After(known.Add(stableWindow+slack)) || !c.inTouch(call.Entry, call.Began, a.At) {
			continue
		}
		more++
	}
	if more > fatalMore {
		c.found(sentOn, "fatal request %d was sent %d times more after it had ended %d servers", number, more, fatalEnds)
	}
}

// checkCalm finds sends in the part without faults that come after the request was known, if an
// entry has lived since and so can tell all others. Where two requests have ended servers under which
// both ran, either may be at fault: each has the three sends more that the users allow.
func (c *checker) checkCalm(number int, known time.Time) {
	from := c.Calm.Add(CalmTime / 2)
	if told := known.Add(slack); told.After(from) {
		from = told
	}
	lives := false
	for entry := range c.Starts {
		lives = lives || !c.startedBetween(entry, known.Add(-stableWindow), c.Calm)
	}
	var late []Arrival
	for _, a := range c.Arrivals {
		call := c.calls[a.ID]
		if lives && call != nil && call.Fatal == number && call.Began.After(from) {
			late = append(late, a)
		}
	}
	allowed := 0
	if c.hidden(number) {
		allowed = fatalMore
	}
	if len(late) <= allowed {
		return
	}
	for _, a := range late {
		c.found(sentOn, "fatal request %d reached %s (%s) long after it had ended %d servers", number, a.Worker, a.ID, fatalEnds)
	}
}

// hidden says whether another fatal request ran at a server that ended under one of the two.
func (c *checker) hidden(number int) bool {
	ran := map[string]map[int]bool{} // the fatal requests that ran at a server
	for _, run := range c.Runs {
		call := c.calls[run.ID]
		if call == nil || call.Fatal == 0 {
			continue
		}
		if ran[run.Worker] == nil {
			ran[run.Worker] = map[int]bool{}
		}
		ran[run.Worker][call.Fatal] = true
	}
	for _, at := range ran {
		if at[number] && len(at) > 1 {
			return true
		}
	}
	return false
}
