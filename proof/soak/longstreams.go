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

// Long streams outlast most stops: some are still written when the stop comes to its limit, and some have
// not begun by then.

const (
	// longName begins the names of callers of long streams, and so their requests' ids.
	longPrefix = "long"
	// longWait is how long these callers wait.
	longTimeout = 14 * time.Second
	// longLeast and longSpread are the events of a long stream, longGap and longGapSpread, in ms, the pauses
	// between them: 3 to 9 s in all.
	minLongEvents        = 12
	longEventsSpread     = 12
	minLongEventGap      = 250 * time.Millisecond
	longEventGapSpreadMs = 150
	// lateShare is the share of long streams, in hundredths, that begin late, by lateLeast and up to
	// lateSpread, in ms, more.
	lateStartPercent  = 40
	minLateStart      = 3 * time.Second
	lateStartSpreadMs = 7000
	// honestShare is the share, in hundredths, whose caller's estimate of the answer's length is right;
	// the others' is a seventh of it and less.
	accurateEstimatePercent = 50
	// eventTokens is how many tokens an event has, passTime how long the engines take for one by their
	// configuration.
	tokensPerEvent = 51
	decodeStepTime = 43 * time.Millisecond
)

// longPrompts are their prompts, in tokens; the last one needs the memory of two servers.
var longPromptTokens = []int64{1500, 1500, 6000, 90_000, 420_000}

func isLongStream(id string) bool { return strings.HasPrefix(id, longPrefix) }

func eventGapOf(id string) time.Duration {
	if !isLongStream(id) {
		return eventGap
	}
	return minLongEventGap + time.Duration(hashPick(id, "gap", longEventGapSpreadMs))*time.Millisecond
}

// lateOf is how much later than others a stream begins.
func startDelay(id string) time.Duration {
	if !isLongStream(id) || hashPick(id, "late", 100) >= lateStartPercent {
		return 0
	}
	return minLateStart + time.Duration(hashPick(id, "by", lateStartSpreadMs))*time.Millisecond
}

// answerTokensOf is the length of the answer as the caller believes.
func estimatedAnswerTokens(id string) int64 {
	steps := int64(eventCount(id))
	if hashPick(id, "honest", 100) < accurateEstimatePercent {
		steps *= int64(eventGapOf(id) / decodeStepTime)
	}
	return steps * tokensPerEvent
}

// callLong sends one long stream after the other, and leaves when the context is over.
func (c *caller) runLongStreams(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		c.callCount++
		call := Call{ID: fmt.Sprintf("%s-%d", c.name, c.callCount), Kind: ResumableStream, Path: "/stream/x", Entry: c.entry, Key: permanentKey, Timeout: longTimeout}
		request := standin.Within(standin.Call(c.address, http.MethodPost, call.Path, call.ID, 0, ""), call.Timeout)
		prompt := longPromptTokens[c.random.IntN(len(longPromptTokens))]
		c.sendUntilDone(ctx, &call, standin.Asking(request, prompt, estimatedAnswerTokens(call.ID)))
		c.records.recordCall(call)
		sleep(ctx, time.Duration(c.random.IntN(maxThinkTimeMs))*time.Millisecond)
	}
}

// sendUntil sends a request and leaves when the context is over.
func (c *caller) sendUntilDone(ctx context.Context, call *Call, request *http.Request) {
	leaving, cancel := context.WithCancel(request.Context())
	defer cancel()
	defer context.AfterFunc(ctx, cancel)()
	c.send(call, request.WithContext(leaving), 0)
	call.Disconnected = ctx.Err() != nil
}

// newLongCaller returns a caller of long streams at an entry.
func (w *testbed) newLongCaller(entry, number int) *caller {
	seed := rand.New(rand.NewPCG(w.options.Seed, uint64(1000+entry*10+number))).Uint64()
	return newCaller(fmt.Sprintf("%s%d-%d", longPrefix, entry, number), entry, w.callerLinks[entry].Address(), seed, w.records, w.newestVersion)
}
