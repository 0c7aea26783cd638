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
	firstPoisonAt  = 1500 * time.Millisecond
	poisonInterval = 4 * time.Second
	// fatalPause and fatalPauseSpread, in ms, lie between two attempts of one.
	poisonAttemptGap         = 100 * time.Millisecond
	poisonAttemptGapSpreadMs = 500
	// fatalDown and fatalDownSpread, in ms, are how long a server is away that has ended.
	crashDowntime         = time.Second
	crashDowntimeSpreadMs = 2000
	// fatalShortest is the part of FatalHold that a server runs it at least. All callers of every second
	// one leave within it, so that none of them waits for the end.
	minCrashDelayShare = 0.25
	// fatalTokens is short enough that it is not divided.
	poisonPromptTokens = 1500
)

// fatalRoutes are the routes to which fatal requests come, by turns.
var poisonRoutes = []struct {
	kind         CallKind
	method, path string
	tokens       int
}{{ResumableStream, http.MethodPost, "/stream/fatal", poisonPromptTokens}, {Retryable, http.MethodGet, "/read/fatal", 0}, {AtMostOnce, http.MethodPost, "/order/fatal", 0},
	{AtMostOnceStream, http.MethodPost, "/once/fatal", poisonPromptTokens}}

// fatalBody is the body of a fatal request; 0 is that of a sound one to the same path.
func poisonBody(number int) string {
	if number == 0 {
		return "sound"
	}
	return fmt.Sprintf("fatal %d", number)
}

// End is the end of a server under a fatal request.
type Crash struct {
	// Fatal is the request's number, from 1.
	PoisonNumber int
	Server       string
	At           time.Time
}

// endUnder ends a server if a request is fatal, and starts the next one later.
func (s *slot) crashIfPoison(w *standin.Worker, run standin.Run) bool {
	number := 0
	if _, err := fmt.Sscanf(run.Body, "fatal %d", &number); err != nil {
		return false
	}
	s.records.recordPoisonRun(run.ID, s.index, w)
	time.Sleep(s.crashDelay(run.ID))
	if !s.markCrashed(w) {
		return true // it has ended already
	}
	s.records.recordCrash(Crash{PoisonNumber: number, Server: w.ID, At: time.Now()})
	endFault := s.records.recordFault(ServerCrashed, s.index)
	s.disconnect()
	s.background.Go(func() {
		defer endFault()
		if !s.replacing.TryLock() {
			return // whoever ends it starts the next one
		}
		defer s.replacing.Unlock()
		if s.current() != w {
			return
		}
		downtime := crashDowntime + time.Duration(hashPick(run.ID, "down", crashDowntimeSpreadMs))*time.Millisecond
		if err := s.crashFor(downtime); err != nil {
			s.records.recordError(err)
		}
	})
	return true
}

// holdOf is for how long the server runs a fatal request before it ends.
func (s *slot) crashDelay(id string) time.Duration {
	spread := s.maxCrashDelay - minCrashDelay(s.maxCrashDelay)
	if spread == 0 {
		return 0
	}
	return minCrashDelay(s.maxCrashDelay) + time.Duration(hashPick(id, "hold", int(spread.Milliseconds())))*time.Millisecond
}

func minCrashDelay(maxDelay time.Duration) time.Duration {
	return time.Duration(minCrashDelayShare * float64(maxDelay))
}

// ends notes that a server ends; it returns false if that is known, or another one runs here by now.
func (s *slot) markCrashed(w *standin.Worker) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashed == w || s.server != w {
		return false
	}
	s.crashed = w
	return true
}

// callFatal sends a fatal request to entries at random, and a sound one beside it now and then,
// until the context is over.
func (w *testbed) sendPoison(ctx context.Context, number int) {
	sleep(ctx, firstPoisonAt+time.Duration(number-1)*poisonInterval)
	random := rand.New(rand.NewPCG(w.options.Seed, uint64(2+number)))
	callers := make([]*caller, len(w.daemons))
	for entry := range w.daemons {
		callers[entry] = newCaller(fmt.Sprintf("f%d-%d", number, entry), entry, w.callerLinks[entry].Address(), w.options.Seed, w.records, w.newestVersion)
		defer callers[entry].client.CloseIdleConnections()
	}
	for ctx.Err() == nil {
		c := callers[random.IntN(len(callers))]
		disconnectAfter := time.Duration(0)
		if number%2 == 0 {
			disconnectAfter = minCrashDelay(w.options.MaxCrashDelay)
		}
		c.callPoison(number, number, disconnectAfter)
		c.callPoison(number, 0, 0)
		sleep(ctx, poisonAttemptGap+time.Duration(random.IntN(poisonAttemptGapSpreadMs))*time.Millisecond)
	}
}

// oneFatal sends the fatal request of a number, or a sound one to its path. It leaves after a time, or
// as usual if that is 0.
func (c *caller) callPoison(number, bodyNumber int, disconnectAfter time.Duration) {
	c.callCount++
	route := poisonRoutes[(number-1)%len(poisonRoutes)]
	call := Call{ID: fmt.Sprintf("%s-%d", c.name, c.callCount), Kind: route.kind, Path: route.path, Entry: c.entry, Key: permanentKey, PoisonNumber: bodyNumber, Timeout: minTimeout}
	request := standin.Within(standin.Call(c.address, route.method, route.path, call.ID, route.tokens, poisonBody(bodyNumber)), call.Timeout)
	if disconnectAfter > 0 {
		c.send(&call, request, disconnectAfter)
	} else {
		c.sendWithRandomDisconnect(&call, request)
	}
	c.records.recordCall(call)
}

// quarantinedCode is what an entry answers that refuses a request because servers end under it.
const quarantinedCode = `"code":"quarantined"`

// fatalEnds is after how many ends a request is known, and fatalMore how many more sends there
// may be by entries that no fault touched; the users' figures.
const (
	crashLimit    = 3
	maxExtraSends = 3
)

// sentOn is the promise that a request which ends servers is refused once it is known.
const sentOn = "a request that ends servers is not sent on"

// checkFatal finds requests that end servers and are sent on, and sound ones that are refused
// for it.
func (c *checker) checkPoison(timed bool) {
	for i := range c.Calls {
		call := &c.Calls[i]
		if call.PoisonNumber == 0 && strings.Contains(call.Body, quarantinedCode) {
			c.report("only a request that ends servers is refused for it", "%s %s was", call.ID, call.Path)
		}
	}
	crashes := map[int][]time.Time{}
	for _, crash := range c.Crashes {
		crashes[crash.PoisonNumber] = append(crashes[crash.PoisonNumber], crash.At)
	}
	for number, crashTimes := range crashes {
		if len(crashTimes) < crashLimit {
			continue
		}
		knownAt := crashTimes[crashLimit-1]
		if timed {
			c.checkPoisonSends(number, knownAt)
		}
		c.checkPoisonInRecovery(number, knownAt)
	}
}

// checkSentOn counts the sends of a fatal request by entries in touch, after it must be known.
func (c *checker) checkPoisonSends(number int, knownAt time.Time) {
	sends := 0
	for _, a := range c.Arrivals {
		call := c.calls[a.ID]
		if call == nil || call.PoisonNumber != number || !a.At.After(knownAt.Add(stableWindow+schedulingSlack)) || !c.isStable(call.Entry, call.StartedAt, a.At) {
			continue
		}
		sends++
	}
	if sends > maxExtraSends {
		c.report(sentOn, "fatal request %d was sent %d times more after it had ended %d servers", number, sends, crashLimit)
	}
}

// checkCalm finds sends in the part without faults that come after the request was known, if an
// entry has lived since and so can tell all others. Where two requests have ended servers under which
// both ran, either may be at fault: each has the three sends more that the users allow.
func (c *checker) checkPoisonInRecovery(number int, knownAt time.Time) {
	from := c.FaultsEndedAt.Add(RecoveryTime / 2)
	if toldBy := knownAt.Add(schedulingSlack); toldBy.After(from) {
		from = toldBy
	}
	hasSurvivor := false
	for entry := range c.Starts {
		hasSurvivor = hasSurvivor || !c.startedBetween(entry, knownAt.Add(-stableWindow), c.FaultsEndedAt)
	}
	var late []Arrival
	for _, a := range c.Arrivals {
		call := c.calls[a.ID]
		if hasSurvivor && call != nil && call.PoisonNumber == number && call.StartedAt.After(from) {
			late = append(late, a)
		}
	}
	allowed := 0
	if c.isAmbiguous(number) {
		allowed = maxExtraSends
	}
	if len(late) <= allowed {
		return
	}
	for _, a := range late {
		c.report(sentOn, "fatal request %d reached %s (%s) long after it had ended %d servers", number, a.Server, a.ID, crashLimit)
	}
}

// hidden says whether another fatal request ran at a server that ended under one of the two.
func (c *checker) isAmbiguous(number int) bool {
	poisonAtServer := map[string]map[int]bool{} // the fatal requests that ran at a server
	for _, run := range c.Runs {
		call := c.calls[run.ID]
		if call == nil || call.PoisonNumber == 0 {
			continue
		}
		if poisonAtServer[run.Server] == nil {
			poisonAtServer[run.Server] = map[int]bool{}
		}
		poisonAtServer[run.Server][call.PoisonNumber] = true
	}
	for _, numbers := range poisonAtServer {
		if numbers[number] && len(numbers) > 1 {
			return true
		}
	}
	return false
}
