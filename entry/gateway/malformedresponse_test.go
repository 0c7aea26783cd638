package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusdeck/core/audit"
	"arbutusdeck/core/process"
	"arbutusdeck/platform"
	"arbutusdeck/platform/standin"
)

const wellFormed = "HTTP/1.1 200 OK"

// malformedResponse is a response whose head the grammar of HTTP doesn't allow.
type malformedResponse struct {
	name, statusLine string
	lines            []string
	body             string
}

// malformedResponses has one for each part of the grammar of a head. Package responses checks the grammar itself.
var malformedResponses = []malformedResponse{
	{"status 000", "HTTP/1.1 000 None", []string{"Content-Length: 4"}, "body"},
	{"status 099", "HTTP/1.1 099 None", []string{"Content-Length: 4"}, "body"},
	{"status 600", "HTTP/1.1 600 None", []string{"Content-Length: 4"}, "body"},
	{"signed status", "HTTP/1.1 +20 OK", []string{"Content-Length: 4"}, "body"},
	{"switched protocols", "HTTP/1.1 101 Switching Protocols", []string{"Connection: Upgrade", "Upgrade: x"}, "body"},
	{"malformed interim response", "HTTP/1.1 103 Early Hints\r\nBad Name: x\r\n\r\nHTTP/1.1 200 OK", []string{"Content-Length: 4"}, "body"},
	{"other version", "HTTP/3.0 200 OK", []string{"Content-Length: 4"}, "body"},
	{"control byte in the reason", "HTTP/1.1 200 O\x01K", []string{"Content-Length: 4"}, "body"},
	{"blank in a name", wellFormed, []string{"Bad Name: x", "Content-Length: 4"}, "body"},
	{"blank after a name", wellFormed, []string{"Content-Length : 4"}, "bodyrest"},
	{"blank after the name of a framing", wellFormed, []string{"Transfer-Encoding : chunked"}, "4\r\nbody\r\n0\r\n\r\n"},
	{"control byte in a name", wellFormed, []string{"Bad\x01Name: x", "Content-Length: 4"}, "body"},
	{"empty name", wellFormed, []string{": x", "Content-Length: 4"}, "body"},
	{"folded line", wellFormed, []string{"X-First: a", " X-Second: b", "Content-Length: 4"}, "body"},
	{"control byte in a value", wellFormed, []string{"X-First: a\x00b", "Content-Length: 4"}, "body"},
	{"line without a name", wellFormed, []string{"no name", "Content-Length: 4"}, "body"},
	{"two lengths", wellFormed, []string{"Content-Length: 4", "Content-Length: 8"}, "bodyrest"},
	{"signed length", wellFormed, []string{"Content-Length: +4"}, "body"},
	{"length and chunks", wellFormed, []string{"Content-Length: 14", "Transfer-Encoding: chunked"}, "4\r\nbody\r\n0\r\n\r\n"},
	{"chunks of HTTP/1.0", "HTTP/1.0 200 OK", []string{"Transfer-Encoding: chunked"}, "4\r\nbody\r\n0\r\n\r\n"},
	{"body of a 204", "HTTP/1.1 204 No Content", []string{"Content-Length: 4"}, "body"},
	{"failure with a blank in a name", "HTTP/1.1 500 Failed", []string{"Bad Name: x", "Content-Length: 4"}, "body"},
	{"missing with a blank in a name", "HTTP/1.1 404 Not Found", []string{"Bad Name: x", "Content-Length: 4"}, "body"},
	{"oversized with a blank in a name", wellFormed, []string{"Bad Name: x"}, strings.Repeat("x", maxBufferedResponse+1)},
}

// Guards against passing on what is no response: a head that HTTP doesn't allow, as its status, with a line that is no field, or
// with a body that was framed by guess. Its sender may have run the request, so the caller gets no promise.
func TestAMalformedResponseIsNotPassedOn(t *testing.T) {
	for _, c := range malformedResponses {
		for _, path := range []string{"/order/x", "/once/x"} {
			t.Run(c.name+" "+path, func(t *testing.T) {
				t.Parallel()
				w := newTestbed(t)
				w.configure(nil)
				service, tokens := "plain", 0
				if path == "/once/x" {
					service, tokens = "engines", 2000
				}
				worker := w.worker("i-1", service, standin.Raw(c.body, c.statusLine, c.lines...))
				r := w.call(w.serve(), http.MethodPost, path, tokens, "body")
				require.NoError(t, r.err)
				require.Equal(t, http.StatusBadGateway, r.status, r.body)
				require.Empty(t, r.signature)
				require.Equal(t, "unknown", problemOf(t, r).Run)
				require.Len(t, worker.Runs(), 1, "a request that may run only once")
			})
		}
	}
}

// Guards against giving up on a request that may be repeated when one server sends what is no response.
func TestARequestIsRepeatedAfterAMalformedResponse(t *testing.T) {
	for _, c := range malformedResponses {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newTestbed(t)
			w.configure(nil)
			broken := w.worker("i-1", "plain", standin.Raw(c.body, c.statusLine, c.lines...))
			w.worker("i-2", "plain", nil)
			s := w.serve()
			for calls := 0; len(broken.Runs()) == 0; calls++ {
				require.Less(t, calls, 100, "the other one is never asked")
				r := w.call(s, http.MethodGet, "/read/x", 0, "")
				require.NoError(t, r.err)
				require.Equal(t, http.StatusOK, r.status, r.body)
				require.Equal(t, "answer of i-2", r.body)
			}
		})
	}
}

// rawServer returns the address of a server with a script.
func rawServer(t *testing.T, script http.HandlerFunc) string {
	server := httptest.NewServer(script)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// Guards against taking an order that got no response for carried out, or for refused.
func TestAMalformedResponseToAnOrderIsNoAnswer(t *testing.T) {
	s := New(Options{Settings: newTestbed(t).newSettings(), Log: process.NewDiscardLogger(), Trail: audit.NewTrail(nil, 100)})
	for _, c := range malformedResponses {
		t.Run(c.name, func(t *testing.T) {
			target := platform.OrderTarget{Address: rawServer(t, standin.Raw(c.body, c.statusLine, c.lines...)), Instance: "i-1"}
			response, err := platform.Reserve(t.Context(), s.orderClient, target, "id", 100, time.Second)
			require.Error(t, err)
			require.NotErrorIs(t, err, platform.ErrInsufficientMemory)
			require.Zero(t, response, "nothing was stated")
		})
	}
}

// Guards against taking what is no response for the store's rows.
func TestAMalformedResponseOfTheStoreIsNoList(t *testing.T) {
	const rows = `{"Items":[],"StoreRevision":7}`
	for _, c := range malformedResponses {
		t.Run(c.name, func(t *testing.T) {
			store := platform.NewStore(rawServer(t, standin.Raw(rows, c.statusLine, lengthOf(rows, c.lines)...)), storeClient(), time.Second)
			_, err := store.ReadServers(t.Context())
			require.ErrorIs(t, err, platform.ErrUnavailable)
		})
	}
	store := platform.NewStore(rawServer(t, standin.Raw(rows, wellFormed)), storeClient(), time.Second)
	changes, err := store.ReadServers(t.Context())
	require.NoError(t, err)
	require.EqualValues(t, 7, changes.Revision)
}

// lengthOf returns the lines of a head with the length of a body where they state one of four bytes.
func lengthOf(body string, lines []string) []string {
	replaced := slices.Clone(lines)
	for i := range replaced {
		if replaced[i] == "Content-Length: 4" {
			replaced[i] = fmt.Sprintf("Content-Length: %d", len(body))
		}
	}
	return replaced
}

// A response that ends inside its head is no response, however much of the head has arrived.
func TestAResponseThatEndsInsideItsHeadIsNotPassedOn(t *testing.T) {
	const length = "Content-Length: 0"
	head := standin.Head(httptest.NewRecorder(), wellFormed, length)
	for missing := 1; missing < len(head); missing++ {
		t.Run(head[:len(head)-missing], func(t *testing.T) {
			t.Parallel()
			w := newTestbed(t)
			w.configure(nil)
			w.worker("i-1", "plain", func(out http.ResponseWriter, _ *http.Request) {
				sent := standin.Head(out, wellFormed, length)
				connection := standin.Hijack(out)
				_, _ = connection.Write([]byte(sent[:len(sent)-missing]))
				_ = connection.Close()
			})
			r := w.call(w.serve(), http.MethodPost, "/order/x", 0, "body")
			require.NoError(t, r.err)
			require.Equal(t, http.StatusBadGateway, r.status)
		})
	}
}
