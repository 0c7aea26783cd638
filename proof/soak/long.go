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
	longName = "long"
	// longWait is how long these callers wait.
	longWait = 14 * time.Second
	// longLeast and longSpread are the events of a long stream, longGap and longGapSpread, in ms, the pauses
	// between them: 3 to 9 s in all.
	longLeast     = 12
	longSpread    = 12
	longGap       = 250 * time.Millisecond
	longGapSpread = 150
	// lateShare is the share of long streams, in hundredths, that begin late, by lateLeast and up to
	// lateSpread, in ms, more.
	lateShare  = 40
	lateLeast  = 3 * time.Second
	lateSpread = 7000
	// honestShare is the share, in hundredths, whose caller's estimate of the answer's length is right;
	// the others' is a seventh of it and less.
	honestShare = 50
	// eventTokens is how many tokens an event has, passTime how long the engines take for one by their
	// configuration.
	eventTokens = 51
	passTime    = 43 * time.Millisecond
)

// longPrompts are their prompts, in tokens; the last one needs the memory of two servers.
var longPrompts = []int64{1500, 1500, 6000, 90_000, 420_000}

func isLong(id string) bool { return strings.HasPrefix(id, longName) }

func gapOf(id string) time.Duration {
	if !isLong(id) {
		return eventGap
	}
	return longGap + time.Duration(pick(id, "gap", longGapSpread))*time.Millisecond
}

// lateOf is how much later than others a stream begins.
func lateOf(id string) time.Duration {
	if !isLong(id) || pick(id, "late", 100) >= lateShare {
		return 0
	}
	return lateLeast + time.Duration(pick(id, "by", lateSpread))*time.Millisecond
}

// answerTokensOf is the length of the answer as the caller believes.
func answerTokensOf(id string) int64 {
	passes := int64(eventsOf(id))
	if pick(id, "honest", 100) < honestShare {
		passes *= int64(gapOf(id) / passTime)
	}
	return passes * eventTokens
}

// callLong sends one long stream after the other, and leaves when the context is over.
func (c *caller) callLong(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		c.serial++
		call := Call{ID: fmt.Sprintf("%s-%d", c.name, c.serial), Kind: Stream, Path: "/stream/x", Entry: c.entry, Key: lastingKey, Wait: longWait}
		request := standin.SetRemaining(standin.NewRequest(c.address, http.MethodPost, call.Path, call.ID, 0, ""), call.Wait)
		prompt := longPrompts[c.random.IntN(len(longPrompts))]
		c.sendUntil(ctx, &call, standin.SetTokens(request, prompt, answerTokensOf(call.ID)))
		c.records.call(call)
		sleep(ctx, time.Duration(c.random.IntN(thinkTime))*time.Millisecond)
	}
}

// sendUntil sends a request and leaves when the context is over.
func (c *caller) sendUntil(ctx context.Context, call *Call, request *http.Request) {
	leaving, cancel := context.WithCancel(request.Context())
	defer cancel()
	defer context.AfterFunc(ctx, cancel)()
	c.send(call, request.WithContext(leaving), 0)
	call.Left = ctx.Err() != nil
}

// newLongCaller returns a caller of long streams at an entry.
func (w *world) newLongCaller(entry, number int) *caller {
	seed := rand.New(rand.NewPCG(w.options.Seed, uint64(1000+entry*10+number))).Uint64()
	return newCaller(fmt.Sprintf("%s%d-%d", longName, entry, number), entry, w.fronts[entry].Address(), seed, w.records, w.newest)
}
