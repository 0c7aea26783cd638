package peerlink

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"io"
	"sync"
	"time"
)

// viewTTL bounds the time for which an encoded view is reused although nothing in its key has
// changed.
const viewTTL = 200 * time.Millisecond

// viewKey identifies a view by the versions of its parts.
type viewKey struct {
	version, revision uint64
	// hasConfiguration is set if the view contains the configuration.
	hasConfiguration bool
}

// viewCache caches encoded views. When all entries of a large fleet start at once, or a
// configuration changes, many fetch the same view at the same moment, and it is encoded and
// compressed once for all of them: done for each, it took more memory than a small host has, and a
// link of 20 Mbit/s delivered none of them in time.
// It is safe for concurrent use; the zero value is empty.
type viewCache struct {
	mu    sync.Mutex
	views map[viewKey]encodedView
}

type encodedView struct {
	content []byte
	at      time.Time
}

// get returns an encoded view; concurrent callers with the same key share one encoding.
func (c *viewCache) get(now time.Time, key viewKey, build func() View) ([]byte, error) {
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

// evict drops expired views; the caller holds the lock.
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

func encodeView(v View) ([]byte, error) {
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

// gzipMagic starts compressed content.
var gzipMagic = []byte{0x1f, 0x8b}

// maxViewBytes bounds a decompressed view: a fleet of ten thousand servers takes a few megabytes.
const maxViewBytes = 16 << 20

// errViewTooLarge is returned for a larger view.
var errViewTooLarge = errors.New("the view is too large")

// decodeView decodes a view, also an uncompressed one, as earlier versions send it.
func decodeView(content []byte) (View, error) {
	var v View
	if !bytes.HasPrefix(content, gzipMagic) {
		err := json.Unmarshal(content, &v)
		return v, err
	}
	decompressor, err := gzip.NewReader(bytes.NewReader(content))
	if err != nil {
		return v, err
	}
	decompressed, err := io.ReadAll(io.LimitReader(decompressor, maxViewBytes+1))
	if err != nil {
		return v, err
	}
	if len(decompressed) > maxViewBytes {
		return v, errViewTooLarge
	}
	err = json.Unmarshal(decompressed, &v)
	return v, err
}
