package gateway

import "github.com/rcrowley/go-metrics"

// counters are what an entry counts and times, under the names that its metrics address shows.
type counters struct {
	requests, complete, refused, unknown, gone, crossed, quarantined metrics.Counter
	again, resumed, moved, serversEnded                              metrics.Counter
	storeErrors, rowsRejected, viewsFetched                          metrics.Counter
	linesDropped                                                     metrics.Counter
	firstByte, whole                                                 metrics.Timer
}

func newCounters(r metrics.Registry) counters {
	counter := func(name string) metrics.Counter { return metrics.NewRegisteredCounter(name, r) }
	return counters{
		requests:     counter("requests"),
		complete:     counter("requests.complete"),
		refused:      counter("requests.refused"),
		unknown:      counter("requests.unknown"),
		gone:         counter("requests.caller.gone"),
		crossed:      counter("requests.crossed"),
		quarantined:  counter("requests.quarantined"),
		again:        counter("attempts.again"),
		resumed:      counter("attempts.resumed"),
		moved:        counter("attempts.moved"),
		serversEnded: counter("attempts.server.ended"),
		storeErrors:  counter("store.errors"),
		rowsRejected: counter("store.rows.rejected"),
		viewsFetched: counter("peer.views.fetched"),
		linesDropped: counter("log.lines.dropped"),
		firstByte:    metrics.NewRegisteredTimer("first.byte", r),
		whole:        metrics.NewRegisteredTimer("whole.answer", r),
	}
}
