package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusdeck/platform/standin"
)

// Servers restart cold during a burst of callers. They crashed under more requests per second than
// they sustain, and the callers' responses were lost. One entry sends each of them one request per
// second; what no server may take is refused at once, as not run.
func TestAColdServerGetsFewRequests(t *testing.T) {
	w := newTestbed(t)
	w.configure(func(c map[string]any) { standin.LimitColdRate(c, 8) })
	events := func(out http.ResponseWriter, r *http.Request) { standin.ServeEvents(out, r, 1, 0) }
	var cold []*standin.Worker
	for _, service := range []string{"engines", "plain"} {
		worker := standin.NewWorker("cold-"+service, service)
		worker.WarmupRemaining = time.Minute
		if service == "engines" {
			worker.Script = events
		}
		w.addRow(worker)
		cold = append(cold, worker)
	}
	w.worker("warm-engine", "engines", events)
	s := w.serve()
	statuses := map[int]int{}
	began := time.Now()
	for range 10 {
		require.Equal(t, 200, w.call(s, http.MethodPost, "/stream/x", 200_000, "x").status, "the warm one serves")
		statuses[w.call(s, http.MethodPost, "/order/x", 0, "x").status]++
	}
	allowed := 1 + int(time.Since(began)/time.Second)
	for _, worker := range cold {
		require.LessOrEqual(t, len(worker.Runs()), allowed)
	}
	require.NotEmpty(t, cold[1].Runs(), "a service whose servers are all cold warms up")
	require.Equal(t, len(cold[1].Runs()), statuses[200])
	require.Equal(t, 10-statuses[200], statuses[http.StatusServiceUnavailable])
}
