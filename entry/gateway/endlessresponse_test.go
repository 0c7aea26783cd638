package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusdeck/core/audit"
	"arbutusdeck/core/process"
	"arbutusdeck/core/responses/responsestest"
	"arbutusdeck/platform"
)

// Guards against a server that answers orders without end.
func TestResponsesToOrdersWithoutEndAreNoAnswers(t *testing.T) {
	s := New(Options{Settings: newTestbed(t).newSettings(), Log: process.NewDiscardLogger(), Trail: audit.NewTrail(nil, 100)})
	responsestest.ForEachEndless(t, func(t *testing.T, url string) {
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		defer cancel()
		target := platform.OrderTarget{Address: strings.TrimPrefix(url, "http://"), Instance: "i-1"}
		_, err := platform.Reserve(ctx, s.orderClient, target, "id", 100, time.Second)
		require.Error(t, err)
		require.NoError(t, ctx.Err(), "it is not read for longer")
	})
}

// Guards against a store that answers without end.
func TestResponsesOfTheStoreWithoutEndAreNoLists(t *testing.T) {
	responsestest.ForEachEndless(t, func(t *testing.T, url string) {
		store := platform.NewStore(strings.TrimPrefix(url, "http://"), storeClient(), testTimeout)
		began := time.Now()
		_, err := store.ReadServers(t.Context())
		require.ErrorIs(t, err, platform.ErrUnavailable)
		require.Less(t, time.Since(began), testTimeout, "it is not read for longer")
	})
}

// Guards against a list of the store that has always one more page.
func TestAListWithoutEndIsNoList(t *testing.T) {
	for name, valueBytes := range map[string]int{"small pages": 1, "large pages": 1 << 20} {
		t.Run(name, func(t *testing.T) {
			pages := atomic.Int64{}
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				n := pages.Add(1)
				_, _ = fmt.Fprintf(w, `{"Items":[{"Key":"servers/%09d","Value":"%s","Revision":1}],"HasMore":true,"StoreRevision":1}`, n, strings.Repeat("A", valueBytes))
			}))
			t.Cleanup(server.Close)
			_, err := platform.NewStore(server.Listener.Addr().String(), storeClient(), testTimeout).ReadServers(t.Context())
			require.ErrorIs(t, err, platform.ErrUnavailable)
			require.LessOrEqual(t, pages.Load(), int64(64))
			require.LessOrEqual(t, pages.Load()*int64(valueBytes), int64(17<<20))
		})
	}
}
