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

// A poison request crashes every server that starts to run it, at once or after a delay,
// whether its caller is still connected or not. Its caller repeats it at random entries,
// each time under a new request ID, and sends harmless requests to the same path as well.

const (
	// The callers of the first poison request start at firstPoisonAt, those of each further
	// one poisonInterval later.
	firstPoisonAt  = 1500 * time.Millisecond
	poisonInterval = 4 * time.Second
	// poisonAttemptGap, plus a random part of the spread, lies between two repetitions.
	poisonAttemptGap         = 100 * time.Millisecond
	poisonAttemptGapSpreadMs = 500
	// crashDowntime, plus a part of the spread, is how long a crashed server is down.
	crashDowntime         = time.Second
	crashDowntimeSpreadMs = 2000
	// minCrashDelayShare is the share of MaxCrashDelay that a server runs a poison request
	// at least. All callers of every second one disconnect at the end of that time, so
	// that none of them is still waiting at the crash.
	minCrashDelayShare = 0.25
	// poisonPromptTokens is short enough that the prompt is not divided among servers.
	poisonPromptTokens = 1500
)

type poisonRouteSpec struct {
	kind         CallKind
	method, path string
	tokens       int
}

// poisonRoutes are assigned to the poison requests in turn.
var poisonRoutes = []poisonRouteSpec{{ResumableStream, http.MethodPost, "/stream/fatal", poisonPromptTokens}, {Retryable, http.MethodGet, "/read/fatal", 0}, {AtMostOnce, http.MethodPost, "/order/fatal", 0},
	{AtMostOnceStream, http.MethodPost, "/once/fatal", poisonPromptTokens}}

func poisonRoute(number int) poisonRouteSpec { return poisonRoutes[(number-1)%len(poisonRoutes)] }

// firstPartNumber is the lowest number of a poison part.
const firstPartNumber = 101

// poisonPartNumber returns the number of the poison part at an index: one whose poisonRoute takes prompts.
func poisonPartNumber(index int) int { return firstPartNumber + 4*(index/2) + 3*(index%2) }

func isPoisonPart(number int) bool { return number >= firstPartNumber }

// soundPart is a part of the prompts of all requests to the paths of poison requests.
const soundPart = "sound"

func poisonPart(number int) string { return fmt.Sprintf("fatal-%d", number) }

// poisonNumberOf returns the number of the poison request or part in a run; 0 for neither.
func poisonNumberOf(run standin.Run) int {
	number := 0
	if _, err := fmt.Sscanf(run.Body, "fatal %d", &number); err == nil {
		return number
	}
	for _, part := range run.PromptParts() {
		if _, err := fmt.Sscanf(part, "fatal-%d", &number); err == nil {
			return number
		}
	}
	return 0
}

// poisonBody returns the body of a poison request; number 0 stands for a harmless request
// to the same path.
func poisonBody(number int) string {
	if number == 0 {
		return "sound"
	}
	return fmt.Sprintf("fatal %d", number)
}

// Crash is the crash of a server under a poison request.
type Crash struct {
	// PoisonNumber identifies the poison request; it counts from 1.
	PoisonNumber int
	Server       string
	At           time.Time
}

// crashIfPoison crashes the server if the request is a poison request, and starts the next
// server after a downtime. It returns whether the server has crashed.
func (s *slot) crashIfPoison(w *standin.Worker, run standin.Run) bool {
	number := poisonNumberOf(run)
	if number == 0 {
		return false
	}
	s.records.recordPoisonRun(run.ID, s.index, w)
	time.Sleep(s.crashDelay(run.ID))
	if !s.markCrashed(w) {
		return true // it has already crashed
	}
	s.records.recordCrash(Crash{PoisonNumber: number, Server: w.ID, At: time.Now()})
	endFault := s.records.recordFault(ServerCrashed, s.index)
	s.disconnect()
	s.background.Go(func() {
		defer endFault()
		if !s.replacing.TryLock() {
			return // a concurrent fault replaces the server
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

// crashDelay returns how long the server runs a poison request before it crashes.
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

// markCrashed marks a server as crashed. It returns false if it is already marked or has
// been replaced.
func (s *slot) markCrashed(w *standin.Worker) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashed == w || s.server != w {
		return false
	}
	s.crashed = w
	return true
}

// sendPoison repeats a poison request, or requests with a poison part, each time followed by a
// harmless one, at random entries until the context ends. index orders the first sends.
func (tb *testbed) sendPoison(ctx context.Context, number, index int) {
	sleep(ctx, firstPoisonAt+time.Duration(index)*poisonInterval)
	random := rand.New(rand.NewPCG(tb.options.Seed, uint64(2+number)))
	callers := make([]*caller, len(tb.daemons))
	for entry := range tb.daemons {
		callers[entry] = newCaller(fmt.Sprintf("f%d-%d", number, entry), entry, tb.callerLinks[entry].Address(), tb.options.Seed, tb.records, tb.newestVersion)
		defer callers[entry].client.CloseIdleConnections()
	}
	for ctx.Err() == nil {
		c := callers[random.IntN(len(callers))]
		disconnectAfter := time.Duration(0)
		if number%2 == 0 {
			disconnectAfter = minCrashDelay(tb.options.MaxCrashDelay)
		}
		c.callPoison(number, true, disconnectAfter)
		c.callPoison(number, false, 0)
		sleep(ctx, poisonAttemptGap+time.Duration(random.IntN(poisonAttemptGapSpreadMs))*time.Millisecond)
	}
}

// callPoison sends a request to the path of a poison request, or of a poison part: that
// request itself or one with the part if poison is set, else a harmless one. The caller
// disconnects after the given time, or at random as other callers do if that is 0.
func (c *caller) callPoison(number int, poison bool, disconnectAfter time.Duration) {
	c.callCount++
	route := poisonRoute(number)
	call := Call{ID: fmt.Sprintf("%s-%d", c.name, c.callCount), Kind: route.kind, Path: route.path, Entry: c.entry, Key: permanentKey, Timeout: minTimeout}
	body, parts := poisonBody(0), []string{soundPart}
	if poison {
		call.PoisonNumber = number
	}
	switch {
	case poison && isPoisonPart(number):
		body, parts = call.ID, append(parts, poisonPart(number))
	case poison:
		body = poisonBody(number)
	}
	request := standin.SetRemaining(standin.NewRequest(c.address, route.method, route.path, call.ID, route.tokens, body), call.Timeout)
	if isPoisonPart(number) {
		standin.SetPromptParts(request, append(parts, call.ID)...)
	}
	if disconnectAfter > 0 {
		c.send(&call, request, disconnectAfter)
	} else {
		c.sendWithRandomDisconnect(&call, request)
	}
	c.records.recordCall(call)
}

// quarantinedCode occurs in the response of an entry that refuses a quarantined request.
const quarantinedCode = `"code":"quarantined"`

// A request is quarantined after crashLimit crashes; entries that no fault affected may
// send it maxExtraSends more times. Both figures are requirements.
const (
	crashLimit    = 3
	maxExtraSends = 3
)

// sentOn is the guarantee that a poison request is refused once it is quarantined.
const sentOn = "a request that ends servers is not sent on"

// checkPoison finds poison requests that are still sent to servers after their quarantine,
// and harmless requests that are refused as quarantined.
func (c *checker) checkPoison(timed bool) {
	for i := range c.Calls {
		call := &c.Calls[i]
		if call.PoisonNumber == 0 && strings.Contains(call.Body, quarantinedCode) {
			c.report("only a request that ends servers is refused for it", "%s %s was refused as quarantined", call.ID, call.Path)
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

// checkPoisonSends counts the sends of a poison request by stable entries after they must
// know its quarantine.
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
		c.report(sentOn, "poison request %d was sent %d more times after it had crashed %d servers", number, sends, crashLimit)
	}
}

// checkPoisonInRecovery finds sends in the second half of the recovery phase that come after
// the quarantine, if an entry has run since then and so can inform all others. If two poison
// requests ran at the same crashed server, either may be the cause: each is allowed the
// maxExtraSends further sends of the requirement.
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
		c.report(sentOn, "poison request %d reached %s (%s) long after it had crashed %d servers", number, a.Server, a.ID, crashLimit)
	}
}

// isAmbiguous returns whether a crash can't be attributed to this poison request: another one ran
// at a server at which this one ran, or one of the two may have been under way to the server that
// the other one crashed.
func (c *checker) isAmbiguous(number int) bool {
	return c.ranBesideAnother(number) || c.wasUnderWayAtCrash(number)
}

// ranBesideAnother returns whether another poison request ran at a server at which this one ran.
func (c *checker) ranBesideAnother(number int) bool {
	poisonAtServer := map[string]map[int]bool{} // numbers of poison requests by server
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

// wasUnderWayAtCrash returns whether this poison request was under way to a service while another
// one crashed a server of it, or the other way round. An entry that has sent a request to the server
// can't tell whether it ran there: the crash resets its connection before the server reads it.
func (c *checker) wasUnderWayAtCrash(number int) bool {
	for _, crash := range c.Crashes {
		for _, call := range c.calls {
			if call.PoisonNumber == 0 || call.PoisonNumber == crash.PoisonNumber || call.PoisonNumber != number && crash.PoisonNumber != number {
				continue
			}
			if call.Kind.service() == poisonRoute(crash.PoisonNumber).kind.service() && call.mayBeUnderWay(crash.At) {
				return true
			}
		}
	}
	return false
}

// mayBeUnderWay returns whether the request may have been open at a server at a time, which is also
// possible for maxCancelDelay after its caller has disconnected.
func (call *Call) mayBeUnderWay(at time.Time) bool {
	until := call.EndedAt
	if call.Disconnected {
		until = until.Add(maxCancelDelay)
	}
	return !at.Before(call.StartedAt) && !at.After(until)
}
