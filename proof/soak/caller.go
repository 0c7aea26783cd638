package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"arbutusdeck/platform/standin"
)

// caller sends one request after the other to an entry, on a connection that it
// keeps as long as the entry does.
type caller struct {
	name    string
	entry   int
	address string
	random  *rand.Rand
	client  *http.Client
	records *Records
	version func() int
	serial  int
}

// Habits of callers.
const (
	thinkTime   = 60 // ms, at the most between two requests
	waitLeast   = 1500 * time.Millisecond
	waitSpread  = 2500 // ms
	leaveShare  = 0.06
	leaveSpread = 250 // ms
	// connectTime is how long a caller waits for a new connection.
	connectTime = time.Second
	// noAnswer ends a call that nothing else ends, as a finding.
	noAnswer = 30 * time.Second
)

// promptTokens of streams: mostly short, some long enough to be divided, and some
// larger than a server's memory.
var promptTokens = []int{1500, 1500, 1500, 6000, 6000, 90_000, 180_000, 420_000}

func newCaller(name string, entry int, address string, seed uint64, records *Records, version func() int) *caller {
	dialer := &net.Dialer{Timeout: connectTime}
	transport := &http.Transport{DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 1, ResponseHeaderTimeout: noAnswer}
	return &caller{name: name, entry: entry, address: address, random: rand.New(rand.NewPCG(seed, 2)), records: records,
		client: &http.Client{Transport: transport}, version: version}
}

// run calls until the context is over.
func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		c.one([]CallKind{Order, Order, Read, Read, Stream, Stream, Once}[c.random.IntN(7)])
		sleep(ctx, time.Duration(c.random.IntN(thinkTime))*time.Millisecond)
	}
}

// probe asks again and again for the newest configuration and with a taken key.
func (c *caller) probe(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		c.one(Probe)
		c.one(OldKey)
		sleep(ctx, probeGap)
	}
}

const probeGap = 150 * time.Millisecond

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (c *caller) one(kind CallKind) {
	c.serial++
	call := Call{ID: fmt.Sprintf("%s-%d", c.name, c.serial), Kind: kind, Entry: c.entry, Key: lastingKey,
		Wait: waitLeast + time.Duration(c.random.IntN(waitSpread))*time.Millisecond}
	method, tokens := http.MethodPost, 0
	switch kind {
	case Order:
		call.Path = "/order/x"
	case Read:
		method, call.Path = http.MethodGet, "/read/x"
	case Stream:
		call.Path, tokens = "/stream/x", promptTokens[c.random.IntN(len(promptTokens))]
	case Once:
		call.Path, tokens = "/once/x", promptTokens[c.random.IntN(3)]
	case Probe:
		call.Marker = c.version()
		method, call.Path = http.MethodGet, markerPrefix(call.Marker)
	case OldKey:
		call.Marker = c.version()
		method, call.Path, call.Key = http.MethodGet, "/read/x", markerKey(call.Marker-2)
	}
	request := standin.SetAPIKey(standin.SetRemaining(standin.NewRequest(c.address, method, call.Path, call.ID, tokens, ""), call.Wait), call.Key)
	c.do(&call, request)
	c.records.call(call)
}

func (c *caller) do(call *Call, request *http.Request) {
	leave := time.Duration(0)
	if kindLeaves(call.Kind) && c.random.Float64() < leaveShare {
		leave = max(time.Duration(c.random.IntN(leaveSpread))*time.Millisecond, 1)
	}
	c.send(call, request, leave)
}

// send sends a request and leaves after a time, or stays if that is 0.
func (c *caller) send(call *Call, request *http.Request, leave time.Duration) {
	ctx, cancel := context.WithTimeout(request.Context(), noAnswer)
	defer cancel()
	if leave > 0 {
		time.AfterFunc(leave, cancel)
	}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(got httptrace.GotConnInfo) { call.Idle = got.IdleTime }})
	call.Began = time.Now()
	defer func() { call.Ended = time.Now() }()
	response, err := c.client.Do(request.WithContext(ctx))
	if err != nil {
		call.Err, call.Left = err, leave > 0 && errors.Is(err, context.Canceled)
		return
	}
	defer response.Body.Close()
	call.Status, call.Signature = response.StatusCode, standin.Signature(response)
	if id := standin.ResponseRequestID(response); id != call.ID {
		call.Spoiled = fmt.Sprintf("the answer names request %q", id)
	}
	if call.Kind.streams() && call.Status == http.StatusOK {
		call.readStream(response.Body)
	} else {
		call.readPlain(response.Body)
	}
	call.Left = leave > 0 && errors.Is(call.Err, context.Canceled)
}

func kindLeaves(kind CallKind) bool { return kind != Probe && kind != OldKey }

func (call *Call) readPlain(body io.Reader) {
	content, err := io.ReadAll(body)
	call.Body, call.Err, call.Whole = string(content), err, err == nil
	if call.Whole && call.Status == http.StatusOK && call.Body != answerOf(call.ID) {
		call.Spoiled = fmt.Sprintf("the answer is %.60q", call.Body)
	}
}

// readStream checks that events are whole, of this request, and without a gap or a
// repeat, and that the stream ends with the last one.
func (call *Call) readStream(body io.Reader) {
	lines := bufio.NewReader(body)
	seen := 0
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			call.Whole = errors.Is(err, io.EOF)
			if !call.Whole {
				call.Err = err
			} else if line != "" || seen != eventsOf(call.ID) {
				call.Spoiled = fmt.Sprintf("the stream ends as whole after event %d of %d and %q", seen, eventsOf(call.ID), line)
			}
			return
		}
		data, isData := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !isData {
			continue
		}
		seen++
		if data != eventOf(call.ID, seen) {
			call.Spoiled = fmt.Sprintf("event %d is %.60q", seen, data)
		}
	}
}
