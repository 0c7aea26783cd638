package peerlink

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusdeck/core/directory"
)

// largeView returns the view of a fleet with many servers.
func largeView(servers int) View {
	v := View{Left: map[string]uint64{}, Revision: 7}
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
			content, err := cache.get(now, viewKey{1, 7, true}, func() View {
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
		_, err := cache.get(at, key, func() View { made.Add(1); return v })
		require.NoError(t, err)
	}
	get(now, viewKey{1, 8, true})
	require.EqualValues(t, 2, made.Load(), "a later one is another view")
	get(now.Add(viewTTL), viewKey{1, 7, true})
	require.EqualValues(t, 3, made.Load(), "what is not in the key may have changed")
	require.Len(t, cache.views, 1, "the others are evicted")
}

// Guards against a view that takes all memory when it is decompressed.
func TestAViewWithoutEndIsNotRead(t *testing.T) {
	var content bytes.Buffer
	compressor := gzip.NewWriter(&content)
	blanks := make([]byte, 1<<20)
	for i := range blanks {
		blanks[i] = ' '
	}
	for range maxViewBytes/len(blanks) + 1 {
		_, err := compressor.Write(blanks)
		require.NoError(t, err)
	}
	_, err := compressor.Write([]byte("{}"))
	require.NoError(t, err)
	require.NoError(t, compressor.Close())
	_, err = decodeView(content.Bytes())
	require.ErrorIs(t, err, errViewTooLarge)
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
