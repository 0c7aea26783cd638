package gateway

import (
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"arbutusdeck/platform/standin"
)

// Guards against requests whose connections to servers take the descriptors of the store and the other entries: what
// is over the limit is refused as not run, the server is not held unreachable, and closed connections make room.
func TestConnectionsToServersAreLimited(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	entered, released := make(chan struct{}), make(chan struct{})
	release := sync.OnceFunc(func() { close(released) })
	worker := w.worker("i-1", "plain", func(out http.ResponseWriter, r *http.Request) {
		if standin.RunFromRequest(r).ID == "first" {
			entered <- struct{}{}
			<-released
		}
	})
	t.Cleanup(release)
	s := w.serve()
	s.serverDialer.SetLimit(1)
	address := s.settings.ListenAddress
	first := make(chan reply, 1)
	go func() { first <- call(standin.NewRequest(address, http.MethodPost, "/order/x", "first", 0, "")) }()
	<-entered
	refused := call(standin.NewRequest(address, http.MethodPost, "/order/x", "second", 0, ""))
	require.Equal(t, http.StatusServiceUnavailable, refused.status)
	require.Equal(t, "notRun", problemOf(t, refused).Run)
	release()
	require.Equal(t, http.StatusOK, (<-first).status)
	w.eventually("the connection is closed", func() bool { return s.serverDialer.Open() == 0 })
	require.Equal(t, http.StatusOK, call(standin.NewRequest(address, http.MethodPost, "/order/x", "third", 0, "")).status)
	require.Len(t, worker.Runs(), 2)
}
