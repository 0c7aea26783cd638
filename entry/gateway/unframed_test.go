package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"arbutusdeck/platform/standin"
)

// Guards against taking an answer without a length or chunks for broken, or a broken one for whole: a stream that ends
// inside an event, and an answer whose connection is reset.
func TestAnswersThatEndWithTheirConnection(t *testing.T) {
	events := func(from, to int) string {
		var text strings.Builder
		for i := from; i <= to; i++ {
			fmt.Fprintf(&text, "id: %d\ndata: event %d\n\n", i, i)
		}
		return text.String()
	}
	unframed := func(next http.HandlerFunc) http.HandlerFunc {
		return func(out http.ResponseWriter, r *http.Request) {
			standin.OmitLength(out)
			next(out, r)
		}
	}
	halfEvent := unframed(func(out http.ResponseWriter, r *http.Request) {
		if standin.RunFromRequest(r).LastEventID != "" {
			standin.ServeEvents(out, r, 3, 0)
			return
		}
		standin.WriteEvents(out, 1, 2)
		_, _ = fmt.Fprint(out, "id: 3\ndata: ha")
	})
	for _, c := range []struct {
		name, method, path, service string
		script                      http.HandlerFunc
		body                        string // of a whole answer; empty if the caller must not take it for whole
	}{
		{"plain", http.MethodGet, "/read/x", "plain", unframed(func(out http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(out, "whole") }), "whole"},
		{"plain, reset", http.MethodPost, "/order/x", "plain", unframed(func(out http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprint(out, "half")
			_ = http.NewResponseController(out).Flush()
			standin.Reset(standin.Hijack(out))
		}), ""},
		{"stream", http.MethodPost, "/once/x", "engines", unframed(func(out http.ResponseWriter, r *http.Request) { standin.ServeEvents(out, r, 3, 0) }), events(1, 3)},
		{"stream, ended inside an event", http.MethodPost, "/once/x", "engines", halfEvent, ""},
		{"stream, ended inside an event and resumed", http.MethodPost, "/stream/x", "engines", halfEvent, events(1, 3)},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newTestbed(t)
			w.configure(nil)
			for i := range 2 {
				w.worker(fmt.Sprintf("i-%d", i), c.service, c.script)
			}
			tokens := 0
			if c.service == "engines" {
				tokens = 2000
			}
			r := w.call(w.serve(), c.method, c.path, tokens, "prompt")
			if c.body == "" {
				require.True(t, r.err != nil || r.status != 200, "%d %q", r.status, r.body)
				return
			}
			require.NoError(t, r.err)
			require.Equal(t, 200, r.status, r.body)
			require.Equal(t, c.body, r.body)
		})
	}
}
