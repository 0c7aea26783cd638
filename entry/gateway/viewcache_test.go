package gateway

import (
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusdeck/core/config"
	"arbutusdeck/core/directory"
	"arbutusdeck/core/lifecycle"
	"arbutusdeck/core/peering"
)

// largeView returns the view of a fleet with many servers.
func largeView(servers int) view {
	v := view{Left: map[string]uint64{}, Revision: 7}
	for i := range servers {
		v.Servers = append(v.Servers, directory.Server{ID: fmt.Sprintf("i-%010x", i*7919), Service: "engines", Address: fmt.Sprintf("10.1.%d.%d:8143", i/250, i%250),
			Zone: "here", Slots: 10, StartedAtMs: int64(1_700_000_000_000 + i), Revision: uint64(i)})
	}
	return v
}

// All entries of a zone fetch the view at the same moment. Encoded for each of them, the view of
// ten thousand servers took an entry 344 MB, and its link delivered none of them in time.
func TestAViewThatManyFetchIsEncodedOnce(t *testing.T) {
	v := largeView(3000)
	plain, err := json.Marshal(v)
	require.NoError(t, err)
	var cache viewCache
	var made atomic.Int32
	var all sync.WaitGroup
	now := time.Now()
	for range 50 {
		all.Go(func() {
			content, err := cache.get(now, viewKey{1, 7, true}, func() view {
				made.Add(1)
				return v
			})
			if err != nil || len(content) > len(plain)/4 {
				t.Errorf("%d of %d bytes, %v", len(content), len(plain), err)
			}
		})
	}
	all.Wait()
	require.EqualValues(t, 1, made.Load())
	get := func(at time.Time, key viewKey) {
		_, err := cache.get(at, key, func() view { made.Add(1); return v })
		require.NoError(t, err)
	}
	get(now, viewKey{1, 8, true})
	require.EqualValues(t, 2, made.Load(), "a later one is another view")
	get(now.Add(viewTTL), viewKey{1, 7, true})
	require.EqualValues(t, 3, made.Load(), "what is not in the key may have changed")
	require.Len(t, cache.views, 1, "the others are evicted")
}

// During a rolling update some entries send views that are not compressed.
func TestAViewIsReadAsItIsSent(t *testing.T) {
	v := largeView(3)
	plain, err := json.Marshal(v)
	require.NoError(t, err)
	packed, err := encodeView(v)
	require.NoError(t, err)
	for _, content := range [][]byte{plain, packed} {
		read, err := decodeView(content)
		require.NoError(t, err)
		require.Equal(t, v, read)
	}
	for _, broken := range [][]byte{nil, packed[:len(packed)/2], []byte("{")} {
		_, err := decodeView(broken)
		require.Error(t, err)
	}
}

// The local peers that have the list do not deliver it in time, since many entries fetch it at once
// over their links. A starting entry asked them again and again, and did not serve for half a
// minute in a fleet of 300 entries and 3,000 servers.
func TestAStartingEntryIsNotDelayedByItsPeers(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	w.worker("i-1", "plain", nil)
	settings := w.newSettings(newSilentPeer(t))
	settings.ApplyLimit, settings.DrainLimit = config.Duration(4*time.Second), config.Duration(4*time.Second)
	began := time.Now()
	s := w.start(settings)
	require.Eventually(t, func() bool { return s.manager.State() == lifecycle.Serving && w.isCurrent(s) }, 2*peerFetchTimeout, 10*time.Millisecond)
	require.Greater(t, time.Since(began), peerFetchTimeout/2, "it has asked the peer first")
}

// newSilentPeer starts an entry of the zone that claims to read the store, accepts connections and
// never responds. It returns its address.
func newSilentPeer(t *testing.T) string {
	listener, err := net.Listen("tcp", loopbackHost()+":7803")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	address := listener.Addr().String()
	conn, err := net.ListenPacket("udp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	go func() {
		buffer := make([]byte, 64<<10)
		for {
			_, from, err := conn.ReadFrom(buffer)
			if err != nil {
				return
			}
			m := peering.Message{From: address, Incarnation: "silent", Zone: "here", Version: 1, Revision: 1}
			m.SetStoreState(peering.StoreState{Reads: true})
			data, err := peering.Encode(m)
			if err != nil {
				return
			}
			_, _ = conn.WriteTo(data, from)
		}
	}()
	return address
}
