package processes

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"arbutusdeck/platform/standin"
	"arbutusdeck/standin/fleet"
)

// Guards against a part of a service's response that reaches a caller of the product's own interface as all of it: the service
// has sent a part, without a length or with one, and its connection ends or is reset.
func TestABrokenResponseOfAServiceIsNotComplete(t *testing.T) {
	for name, head := range map[string]string{"a length": "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n", "chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n",
		"a reset": "HTTP/1.1 200 OK\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			spec := fastSpec()
			spec.Servers, spec.Entries = 1, 1
			spec.Intercept = func(next http.Handler) http.Handler {
				return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path != "/broken" {
						next.ServeHTTP(w, r)
						return
					}
					connection := standin.Hijack(w)
					_, _ = connection.Write([]byte(head + "half"))
					if name == "a reset" {
						standin.Reset(connection)
						return
					}
					_ = connection.Close()
				})
			}
			s := startTestbed(t, spec)
			r := s.do(call{path: "/v1/services/" + fleet.Service + "/broken", body: "one"})
			require.True(t, r.err != nil || r.status >= http.StatusInternalServerError, "%d %q", r.status, r.body)
		})
	}
}
