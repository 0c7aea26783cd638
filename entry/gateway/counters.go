package gateway

import "github.com/rcrowley/go-metrics"

// counters are the metrics of an entry, registered under the names that its metrics address
// exports.
type counters struct {
	requests, complete, refused, unknown, callersGone, crossZone, quarantined metrics.Counter
	retried, resumed, redispatched, serversCrashed                            metrics.Counter
	storeErrors, rowsRejected                                                 metrics.Counter
	claimsGranted, claimsHopeless, claimsFull, claimsEnded                    metrics.Counter
	linesDropped                                                              metrics.Counter
	firstByte, wholeResponse                                                  metrics.Timer
}

func newCounters(r metrics.Registry) counters {
	counter := func(name string) metrics.Counter { return metrics.NewRegisteredCounter(name, r) }
	return counters{
		requests:       counter("requests"),
		complete:       counter("requests.complete"),
		refused:        counter("requests.refused"),
		unknown:        counter("requests.unknown"),
		callersGone:    counter("requests.caller.gone"),
		crossZone:      counter("requests.crossed"),
		quarantined:    counter("requests.quarantined"),
		retried:        counter("attempts.again"),
		resumed:        counter("attempts.resumed"),
		redispatched:   counter("attempts.moved"),
		serversCrashed: counter("attempts.server.ended"),
		storeErrors:    counter("store.errors"),
		rowsRejected:   counter("store.rows.rejected"),
		claimsGranted:  counter("claims.granted"),
		claimsHopeless: counter("claims.refused.hopeless"),
		claimsFull:     counter("claims.refused.full"),
		claimsEnded:    counter("claims.ended"),
		linesDropped:   counter("log.lines.dropped"),
		firstByte:      metrics.NewRegisteredTimer("first.byte", r),
		wholeResponse:  metrics.NewRegisteredTimer("whole.answer", r),
	}
}
