package gateway

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"sync"
	"time"
)

// Where all entries of a large fleet start at once, or a configuration comes, many fetch the same view at the same moment. It
// is encoded and compressed once for all of them: each by itself took more memory than a small host has, and a link of
// 20 Mbit/s brought none of them in time.

// viewTTL is how long an encoded view is handed out although nothing that its key names has changed.
const viewTTL = 200 * time.Millisecond

// viewKey tells one view from another.
type viewKey struct {
	version, revision uint64
	// hasConfiguration says that it holds the configuration.
	hasConfiguration bool
}

// viewCache holds the encoded views of the last moment. It is safe for concurrent use; the zero value is empty.
type viewCache struct {
	mu    sync.Mutex
	views map[viewKey]encodedView
}

type encodedView struct {
	content []byte
	at      time.Time
}

// get returns an encoded view; of those that ask for the same one at the same moment one encodes it.
func (c *viewCache) get(now time.Time, key viewKey, build func() view) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cached, ok := c.views[key]; ok && now.Sub(cached.at) < viewTTL {
		return cached.content, nil
	}
	content, err := encodeView(build())
	if err != nil {
		return nil, err
	}
	c.evict(now)
	c.views[key] = encodedView{content, now}
	return content, nil
}

// evict drops what is handed out no more; the lock is held.
func (c *viewCache) evict(now time.Time) {
	if c.views == nil {
		c.views = map[viewKey]encodedView{}
	}
	for key, cached := range c.views {
		if now.Sub(cached.at) >= viewTTL {
			delete(c.views, key)
		}
	}
}

func encodeView(v view) ([]byte, error) {
	var content bytes.Buffer
	compressor, err := gzip.NewWriterLevel(&content, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := json.NewEncoder(compressor).Encode(v); err != nil {
		return nil, err
	}
	if err := compressor.Close(); err != nil {
		return nil, err
	}
	return content.Bytes(), nil
}

// gzipMagic is how compressed content begins.
var gzipMagic = []byte{0x1f, 0x8b}

// maxViewBytes bounds a view once it is expanded: a fleet of ten thousand servers takes a few megabytes.
const maxViewBytes = 64 << 20

// decodeView reads a view, also one that is not compressed, as entries of an earlier version send it.
func decodeView(content []byte) (view, error) {
	var v view
	if !bytes.HasPrefix(content, gzipMagic) {
		err := json.Unmarshal(content, &v)
		return v, err
	}
	expander, err := gzip.NewReader(bytes.NewReader(content))
	if err != nil {
		return v, err
	}
	err = json.NewDecoder(io.LimitReader(expander, maxViewBytes)).Decode(&v)
	return v, err
}
