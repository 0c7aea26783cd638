package processes

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"arbutusdeck/entry/gateway"
	"arbutusdeck/platform/standin"
	"arbutusdeck/standin/fleet"
)

// Servers that send without end, and the callers whose requests they get.
const (
	// smallestHostMB is the memory of the smallest host.
	smallestHostMB = 184
	endlessServers = 8
	endlessCallers = 400
	// endlessTime is the time for which callers come.
	endlessTime = 3 * time.Second
	// endlessRemaining is the time that a caller waits for a response.
	endlessRemaining = 2 * time.Second
	// endlessBytes is written at a time.
	endlessBytes = 64 << 10
)

// endlessResponse begins a response and then repeats a piece until the connection is closed.
type endlessResponse struct {
	name, begin, piece string
	// lines are those of the head; nil for a head that does not end.
	lines []string
	// most bounds the bytes after begin, after which nothing comes any more; 0 for no bound.
	most int
	// stream is set for responses to streams.
	stream bool
}

var endlessResponses = []endlessResponse{
	{name: "a status line", begin: "HTTP/1.1 200 ", piece: "x"},
	{name: "a field", begin: "HTTP/1.1 200 OK\r\nX-Field: x", piece: "x"},
	{name: "very many short fields", begin: "HTTP/1.1 200 OK\r\n", piece: shortFields(endlessBytes)},
	{name: "very many short fields of a stream", begin: "HTTP/1.1 200 OK\r\n", piece: shortFields(endlessBytes), stream: true},
	{name: "a field that stops short of a usual limit", begin: "HTTP/1.1 200 OK\r\nX-Field: x", piece: "x", most: 15 << 10},
	{name: "interim responses", piece: "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
	{name: "a body without a length", begin: "HTTP/1.1 200 OK", lines: []string{}, piece: "x"},
	{name: "a failure without a length", begin: "HTTP/1.1 500 Failed", lines: []string{}, piece: "x"},
	{name: "a body of a length", begin: "HTTP/1.1 200 OK", lines: []string{"Content-Length: 99999999999"}, piece: "x"},
	{name: "a body that stops short of what is buffered", begin: "HTTP/1.1 200 OK", lines: []string{}, piece: "x", most: 255 << 10},
	{name: "chunks", begin: "HTTP/1.1 200 OK", lines: []string{"Transfer-Encoding: chunked"}, piece: "4\r\nbody\r\n"},
	{name: "an extension of a chunk", begin: "HTTP/1.1 200 OK", lines: []string{"Transfer-Encoding: chunked"}, piece: "4;x"},
	{name: "trailers", begin: "HTTP/1.1 200 OK", lines: []string{"Transfer-Encoding: chunked"}, piece: "0\r\nabc:x\r\n"},
	{name: "an event", begin: "HTTP/1.1 200 OK", lines: []string{}, piece: "data: x\n", stream: true},
	{name: "an event that stops short of its limit", begin: "HTTP/1.1 200 OK", lines: []string{}, piece: "data: x\n", most: 1000 << 10, stream: true},
	{name: "events", begin: "HTTP/1.1 200 OK", lines: []string{}, piece: "id: 1\ndata: x\n\n", stream: true},
}

// send answers a request without end.
func (e endlessResponse) send(out http.ResponseWriter, _ *http.Request) {
	begin := e.begin
	if e.lines != nil {
		begin = standin.Head(out, e.begin, e.lines...)
	}
	connection := standin.Hijack(out)
	defer connection.Close()
	piece := strings.Repeat(e.piece, max(1, endlessBytes/len(e.piece)))
	_, err := connection.Write([]byte(begin))
	for sent := 0; err == nil; sent += len(piece) {
		if e.most > 0 && sent+len(piece) > e.most {
			_, _ = connection.Write([]byte(piece[:e.most-sent]))
			_, _ = connection.Read(make([]byte, 1)) // until it is closed
			return
		}
		_, err = connection.Write([]byte(piece))
	}
}

// Guards against servers that send without end, in a head or a body, many at once: the process was killed for want of
// memory, with the requests of all other servers.
func TestResponsesWithoutEndStayWithinTheMemory(t *testing.T) {
	plain, stream := endlessTarget{"plain", "/read/x", 0}, endlessTarget{"engines", "/stream/x", 2000}
	for _, e := range endlessResponses {
		t.Run(strings.ReplaceAll(e.name, " ", "_"), func(t *testing.T) {
			if e.stream {
				testEndless(t, e, stream, plain)
			} else {
				testEndless(t, e, plain, stream)
			}
		})
	}
}

// endlessTarget is a service with the path and the prompt of its requests.
type endlessTarget struct {
	service, path string
	tokens        int
}

// testEndless sends requests to servers that send without end, and checks that the entry stays within the memory and serves
// another service.
func testEndless(t *testing.T, e endlessResponse, to, other endlessTarget) {
	ordinary := standin.NewWorker("i-ordinary", other.service)
	ordinary.Script = func(out http.ResponseWriter, r *http.Request) { standin.ServeEvents(out, r, 3, 0) }
	workers := []*standin.Worker{ordinary}
	for i := range endlessServers {
		worker := standin.NewWorker(fmt.Sprint("i-", i), to.service)
		worker.BeforeBody = e.send
		workers = append(workers, worker)
	}
	for _, worker := range workers {
		t.Cleanup(worker.Close)
		t.Cleanup(worker.CloseClientConnections)
	}
	f := startForwardTestbed(t, forwardSpec{entries: 1, processors: 2, stopLimit: usualStopLimit, memoryMB: smallestHostMB, descriptors: hostDescriptors}, workers...)
	entry := f.entries[0]
	usage := f.watchUsage(entry.Name, entry.ListenAddress)
	callUntil(entry, time.Now().Add(endlessTime), to)
	f.eventually("an ordinary request is answered", func() bool {
		return statusOf(standin.NewRequest(entry.ListenAddress, http.MethodPost, other.path, "ordinary", other.tokens, "x")) == http.StatusOK
	})
	f.requireWithinLimits(entry.Name, usage, smallestHostMB, hostDescriptors)
}

// endlessMarker is in the body of the requests to which the engines and services of a fleet respond without end.
const endlessMarker = "without end"

// ownEndlessResponses are responses of engines and services at the product's own interface.
var ownEndlessResponses = []endlessResponse{
	{name: "a field", begin: "HTTP/1.1 200 OK\r\nX-Field: x", piece: "x"},
	{name: "very many short fields", begin: "HTTP/1.1 200 OK\r\n", piece: shortFields(endlessBytes)},
	{name: "an event", begin: "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", piece: "data: x"},
	{name: "events", begin: "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n",
		piece: `data: {"choices":[{"text":"` + strings.Repeat("x", 1000) + "\"}]}\n\n"},
	{name: "a body", begin: "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n", piece: "x"},
}

// intercept lets an engine or service respond without end to the requests with endlessMarker.
func (e endlessResponse) intercept(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if strings.Contains(string(body), endlessMarker) {
			e.send(w, r)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

// Guards against the same at the product's own interface: an engine or a service that sends without end to a host, and
// through it to an entry that collects the response.
func TestOwnResponsesWithoutEndStayWithinTheMemory(t *testing.T) {
	for _, name := range []string{fleet.ServerName(0), fleet.EntryName(0)} {
		for _, e := range ownEndlessResponses {
			t.Run(strings.ReplaceAll(e.name, " ", "_")+"_at_"+name, func(t *testing.T) {
				spec := fastSpec()
				spec.Intercept = e.intercept
				s := startLimitedWith(t, name, spec, smallestHostMB)
				usage := s.watchDaemon(name)
				s.callEndless(time.Now().Add(endlessTime))
				s.requireServed(name, usage, smallestHostMB)
			})
		}
	}
}

// ownEndlessCallers is the number of callers, half of them of an engine and half of a service.
const ownEndlessCallers = 40

// callEndless sends requests that are responded to without end, until a time.
func (s *testbed) callEndless(end time.Time) {
	var callers sync.WaitGroup
	for i := range ownEndlessCallers {
		callers.Go(func() {
			for time.Now().Before(end) {
				c := call{path: "/v1/services/" + fleet.Service + "/x", body: endlessMarker}
				if i%2 == 0 {
					c = call{path: "/v1/completions", body: completionBody(endlessMarker, 5, false)}
				}
				c.headers = map[string]string{"X-Request-Deadline": endlessRemaining.String()}
				s.do(c)
			}
		})
	}
	callers.Wait()
}

// callUntil lets many callers send requests until a time, and returns when the last response has ended.
func callUntil(entry gateway.Settings, end time.Time, to endlessTarget) {
	var callers sync.WaitGroup
	for i := range endlessCallers {
		callers.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				request := standin.NewRequest(entry.ListenAddress, http.MethodPost, to.path, fmt.Sprintf("%d-%d", i, n), to.tokens, "x")
				statusOf(standin.SetRemaining(request, endlessRemaining))
			}
		})
	}
	callers.Wait()
}
