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

// caller sends sequential requests to one entry, on a keep-alive connection.
type caller struct {
	name          string
	entry         int
	address       string
	random        *rand.Rand
	client        *http.Client
	records       *Records
	newestVersion func() int
	callCount     int
}

// Behavior of callers.
const (
	maxThinkTimeMs       = 60 // between two requests
	minTimeout           = 1500 * time.Millisecond
	timeoutSpreadMs      = 2500
	disconnectShare      = 0.06
	maxDisconnectDelayMs = 250
	connectTimeout       = time.Second
	// callTimeout ends a call that nothing else ends. It exceeds all timeouts that the
	// callers announce, so the timing checks report such a call.
	callTimeout = 30 * time.Second
)

// promptTokens are the prompt lengths of streams: mostly short, some long enough to be
// divided among servers, and some larger than one server's memory.
var promptTokens = []int{1500, 1500, 1500, 6000, 6000, 90_000, 180_000, 420_000}

func newCaller(name string, entry int, address string, seed uint64, records *Records, version func() int) *caller {
	dialer := &net.Dialer{Timeout: connectTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 1, ResponseHeaderTimeout: callTimeout}
	return &caller{name: name, entry: entry, address: address, random: rand.New(rand.NewPCG(seed, 2)), records: records,
		client: &http.Client{Transport: transport}, newestVersion: version}
}

// run sends random requests until the context ends.
func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		c.call([]CallKind{AtMostOnce, AtMostOnce, Retryable, Retryable, ResumableStream, ResumableStream, AtMostOnceStream}[c.random.IntN(7)])
		sleep(ctx, time.Duration(c.random.IntN(maxThinkTimeMs))*time.Millisecond)
	}
}

// probe repeatedly requests a route of the newest configuration, and one with a revoked key.
func (c *caller) probe(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		c.call(ConfigProbe)
		c.call(RevokedKeyProbe)
		sleep(ctx, probeInterval)
	}
}

const probeInterval = 150 * time.Millisecond

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// call sends one request of a kind and records it.
func (c *caller) call(kind CallKind) {
	c.callCount++
	call := Call{ID: fmt.Sprintf("%s-%d", c.name, c.callCount), Kind: kind, Entry: c.entry, Key: permanentKey,
		Timeout: minTimeout + time.Duration(c.random.IntN(timeoutSpreadMs))*time.Millisecond}
	method, tokens := http.MethodPost, 0
	switch kind {
	case AtMostOnce:
		call.Path = "/order/x"
	case Retryable:
		method, call.Path = http.MethodGet, "/read/x"
	case ResumableStream:
		call.Path, tokens = "/stream/x", promptTokens[c.random.IntN(len(promptTokens))]
	case AtMostOnceStream:
		call.Path, tokens = "/once/x", promptTokens[c.random.IntN(3)]
	case ConfigProbe:
		call.ConfigVersion = c.newestVersion()
		method, call.Path = http.MethodGet, versionPrefix(call.ConfigVersion)
	case RevokedKeyProbe:
		call.ConfigVersion = c.newestVersion()
		method, call.Path, call.Key = http.MethodGet, "/read/x", versionKey(call.ConfigVersion-2)
	}
	request := standin.SetAPIKey(standin.SetRemaining(standin.NewRequest(c.address, method, call.Path, call.ID, tokens, ""), call.Timeout), call.Key)
	c.sendWithRandomDisconnect(&call, request)
	c.records.recordCall(call)
}

// sendWithRandomDisconnect sends a request and disconnects early in a share of cases.
func (c *caller) sendWithRandomDisconnect(call *Call, request *http.Request) {
	disconnectAfter := time.Duration(0)
	if mayDisconnect(call.Kind) && c.random.Float64() < disconnectShare {
		disconnectAfter = max(time.Duration(c.random.IntN(maxDisconnectDelayMs))*time.Millisecond, 1)
	}
	c.send(call, request, disconnectAfter)
}

// send sends a request and disconnects after the given time, or not at all if it is 0.
func (c *caller) send(call *Call, request *http.Request, disconnectAfter time.Duration) {
	ctx, cancel := context.WithTimeout(request.Context(), callTimeout)
	defer cancel()
	if disconnectAfter > 0 {
		time.AfterFunc(disconnectAfter, cancel)
	}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(got httptrace.GotConnInfo) { call.ConnIdleTime = got.IdleTime }})
	call.StartedAt = time.Now()
	defer func() { call.EndedAt = time.Now() }()
	response, err := c.client.Do(request.WithContext(ctx))
	if err != nil {
		call.Err, call.Disconnected = err, disconnectAfter > 0 && errors.Is(err, context.Canceled)
		return
	}
	defer response.Body.Close()
	call.Status, call.Signature = response.StatusCode, standin.Signature(response)
	if id := standin.ResponseRequestID(response); id != call.ID {
		call.Corruption = fmt.Sprintf("the response is for request %q", id)
	}
	if call.Kind.streams() && call.Status == http.StatusOK {
		call.readStream(response.Body)
	} else {
		call.readPlain(response.Body)
	}
	call.Disconnected = disconnectAfter > 0 && errors.Is(call.Err, context.Canceled)
}

func mayDisconnect(kind CallKind) bool { return kind != ConfigProbe && kind != RevokedKeyProbe }

func (call *Call) readPlain(body io.Reader) {
	content, err := io.ReadAll(body)
	call.Body, call.Err, call.Complete = string(content), err, err == nil
	if call.Complete && call.Status == http.StatusOK && call.Body != responseBody(call.ID) {
		call.Corruption = fmt.Sprintf("the response body is %.60q", call.Body)
	}
}

// readStream checks that the events are complete, belong to this request, have no gaps
// or repetitions, and that the stream ends after the last one.
func (call *Call) readStream(body io.Reader) {
	lines := bufio.NewReader(body)
	seen := 0
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			call.Complete = errors.Is(err, io.EOF)
			if !call.Complete {
				call.Err = err
			} else if line != "" || seen != eventCount(call.ID) {
				call.Corruption = fmt.Sprintf("the stream ends regularly after event %d of %d and %q", seen, eventCount(call.ID), line)
			}
			return
		}
		data, isData := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !isData {
			continue
		}
		seen++
		if data != eventData(call.ID, seen) {
			call.Corruption = fmt.Sprintf("event %d is %.60q", seen, data)
		}
	}
}
