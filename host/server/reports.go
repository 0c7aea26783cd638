package server

import (
	"context"
	"maps"
	"sync"

	"github.com/rcrowley/go-metrics"

	"arbutusdeck/host/engine"
)

// EngineReport is an engine's self-reported load and cache size. Load lags and
// cache events may be delayed or missing, so no decision depends on them:
// operators compare them with the daemon's own accounting.
type EngineReport struct {
	Running        int   `json:"running"`
	UsedTokens     int64 `json:"usedTokens"`
	CachedPrefixes int   `json:"cachedPrefixes"`
}

// reports holds the latest report of each engine.
type reports struct {
	registry metrics.Registry

	mu    sync.Mutex
	last  map[string]EngineReport
	cache map[string]*cacheView
}

// cacheView is the prefix cache of one engine, rebuilt from its events.
type cacheView struct {
	lastSequence uint64
	prefixes     map[uint64]bool
}

// maxPrefixes bounds a cacheView: an eviction event may be lost, so entries
// might never be removed.
const maxPrefixes = 10_000

func newReports(registry metrics.Registry) *reports {
	return &reports{registry: registry, last: map[string]EngineReport{}, cache: map[string]*cacheView{}}
}

// fetch fetches the report of one engine. An engine without reports is omitted.
func (r *reports) fetch(ctx context.Context, name string, client *engine.Client) {
	load, err := client.Load(ctx)
	if err != nil {
		return
	}
	r.mu.Lock()
	view := r.cache[name]
	if view == nil {
		view = &cacheView{prefixes: map[uint64]bool{}}
		r.cache[name] = view
	}
	after := view.lastSequence
	r.mu.Unlock()
	events, err := client.CacheEvents(ctx, after)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	view.apply(events)
	r.last[name] = EngineReport{Running: load.Running, UsedTokens: load.UsedTokens, CachedPrefixes: len(view.prefixes)}
	metrics.GetOrRegisterGauge("engine."+name+".used.tokens", r.registry).Update(load.UsedTokens)
	metrics.GetOrRegisterGauge("engine."+name+".cached.prefixes", r.registry).Update(int64(len(view.prefixes)))
}

func (v *cacheView) apply(events []engine.CacheEvent) {
	for _, event := range events {
		v.lastSequence = max(v.lastSequence, event.Sequence)
		if event.Evicted {
			delete(v.prefixes, event.Prefix)
			continue
		}
		if len(v.prefixes) >= maxPrefixes {
			clear(v.prefixes)
		}
		v.prefixes[event.Prefix] = true
	}
}

func (r *reports) latest() map[string]EngineReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.last)
}
