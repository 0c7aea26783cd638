package storeread

import (
	"context"
	"time"

	"arbutusdeck/core/peering"
)

// bootstrap fetches the view of an up-to-date entry of the zone. Otherwise all entries that start
// at the same time would read the whole list from the store. If a peer does not deliver the list in
// time, the entry reads the store nevertheless: the links of the peers that have it may be
// saturated.
func (r *Reader) bootstrap(ctx context.Context) {
	if !r.Options().AllowsSharedReads() {
		return
	}
	startedAt := time.Now()
	askedAt := startedAt
	for {
		now := time.Now()
		if now.Sub(askedAt) >= peering.SeedRetryInterval {
			askedAt = now
			r.options.Peers.AskSeedsIfIsolated()
		}
		source, known := r.options.Peers.ListSource(now)
		if source != "" && r.options.Peers.FetchFrom(source) {
			r.target.ServeWhenReady()
			return
		}
		if source != "" {
			if _, err := r.readStore(ctx); err == nil || !r.sleep(storeRetryMin) {
				return
			}
		}
		if !known && r.options.Peers.ShouldReadAtStart(now, now.Sub(startedAt)) || !r.sleep(startPoll) {
			return
		}
	}
}
