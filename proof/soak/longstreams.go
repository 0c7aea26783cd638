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

// Long streams outlast most graceful shutdowns: at the stop limit some are still being
// written, and some have not started.

const (
	// longPrefix is the prefix of the names of callers of long streams, and so of their
	// request IDs.
	longPrefix  = "long"
	longTimeout = 14 * time.Second
	// The number of events and the gaps between them give a long stream 3 to 9 s in all.
	minLongEvents        = 12
	longEventsSpread     = 12
	minLongEventGap      = 250 * time.Millisecond
	longEventGapSpreadMs = 150
	// lateStartPercent of the long streams start late, by minLateStart plus a part of the
	// spread.
	lateStartPercent  = 40
	minLateStart      = 3 * time.Second
	lateStartSpreadMs = 7000
	// accurateEstimatePercent of the callers estimate the length of the response correctly;
	// the others estimate a seventh of it or less.
	accurateEstimatePercent = 50
	// An event has tokensPerEvent output tokens. decodeStepTime is the time of one step as
	// the engines are configured.
	tokensPerEvent = 51
	decodeStepTime = 43 * time.Millisecond
)

// longPromptTokens are the prompt lengths of long streams; the last one needs the memory of
// two servers.
var longPromptTokens = []int64{1500, 1500, 6000, 90_000, 420_000}

func isLongStream(id string) bool { return strings.HasPrefix(id, longPrefix) }

func eventGapOf(id string) time.Duration {
	if !isLongStream(id) {
		return eventGap
	}
	return minLongEventGap + time.Duration(hashPick(id, "gap", longEventGapSpreadMs))*time.Millisecond
}

// startDelay returns the additional delay before the first event of a stream.
func startDelay(id string) time.Duration {
	if !isLongStream(id) || hashPick(id, "late", 100) >= lateStartPercent {
		return 0
	}
	return minLateStart + time.Duration(hashPick(id, "by", lateStartSpreadMs))*time.Millisecond
}

// estimatedAnswerTokens returns the caller's estimate of the output tokens of a response.
func estimatedAnswerTokens(id string) int64 {
	steps := int64(eventCount(id))
	if hashPick(id, "honest", 100) < accurateEstimatePercent {
		steps *= int64(eventGapOf(id) / decodeStepTime)
	}
	return steps * tokensPerEvent
}

// runLongStreams requests one long stream after the other until the context ends.
func (c *caller) runLongStreams(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		c.callCount++
		call := Call{ID: fmt.Sprintf("%s-%d", c.name, c.callCount), Kind: ResumableStream, Path: "/stream/x", Entry: c.entry, Key: permanentKey, Timeout: longTimeout}
		request := standin.SetRemaining(standin.NewRequest(c.address, http.MethodPost, call.Path, call.ID, 0, ""), call.Timeout)
		prompt := longPromptTokens[c.random.IntN(len(longPromptTokens))]
		c.sendUntilDone(ctx, &call, standin.SetTokens(request, prompt, estimatedAnswerTokens(call.ID)))
		c.records.recordCall(call)
		sleep(ctx, time.Duration(c.random.IntN(maxThinkTimeMs))*time.Millisecond)
	}
}

// sendUntilDone sends a request and disconnects when the context ends.
func (c *caller) sendUntilDone(ctx context.Context, call *Call, request *http.Request) {
	leaving, cancel := context.WithCancel(request.Context())
	defer cancel()
	defer context.AfterFunc(ctx, cancel)()
	c.send(call, request.WithContext(leaving), 0)
	call.Disconnected = ctx.Err() != nil
}

func (tb *testbed) newLongCaller(entry, number int) *caller {
	seed := rand.New(rand.NewPCG(tb.options.Seed, uint64(1000+entry*10+number))).Uint64()
	return newCaller(fmt.Sprintf("%s%d-%d", longPrefix, entry, number), entry, tb.callerLinks[entry].Address(), seed, tb.records, tb.newestVersion)
}
