package peerlink

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"arbutusdeck/core/peering"
	"arbutusdeck/platform"
)

// trafficInterval is the period of the log line with the total traffic to peers and the store. The
// traffic after the last line of a killed entry is not logged.
const trafficInterval = 10 * time.Second

// kindView is a view fetched by another entry; it is not a datagram.
const kindView peering.Kind = "view"

// datagramHeaders is the size of the IP and UDP headers of a datagram.
const datagramHeaders = 28

// direction says whether a message was sent or received, and whether its peer is in another zone.
type direction struct {
	sent, remote bool
}

var directionNames = map[direction]string{{true, false}: "sent.near", {true, true}: "sent.far", {false, false}: "received.near", {false, true}: "received.far"}

// Traffic counts messages between entries by kind, and calls of the store. It is safe for
// concurrent use.
type Traffic struct {
	registry metrics.Registry
	mu       sync.Mutex
	// messages and bytes are by direction and kind, calls by what they read.
	messages, bytes map[direction]map[peering.Kind]metrics.Counter
	calls           map[platform.CallKind]metrics.Counter
	viewsFetched    metrics.Counter
}

// NewTraffic returns counters that are registered in a registry.
func NewTraffic(registry metrics.Registry) *Traffic {
	return &Traffic{registry: registry, messages: map[direction]map[peering.Kind]metrics.Counter{}, bytes: map[direction]map[peering.Kind]metrics.Counter{},
		calls: map[platform.CallKind]metrics.Counter{}, viewsFetched: metrics.NewRegisteredCounter("peer.views.fetched", registry)}
}

// add counts messages of a kind and their bytes.
func (t *Traffic) add(dir direction, kind peering.Kind, messages, bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counter(t.messages, dir, kind, ".messages").Inc(int64(messages))
	t.counter(t.bytes, dir, kind, ".bytes").Inc(int64(bytes))
}

// counter returns the counter of a direction and kind; the lock is held.
func (t *Traffic) counter(counters map[direction]map[peering.Kind]metrics.Counter, dir direction, kind peering.Kind, unit string) metrics.Counter {
	if counters[dir] == nil {
		counters[dir] = map[peering.Kind]metrics.Counter{}
	}
	if counters[dir][kind] == nil {
		counters[dir][kind] = metrics.NewRegisteredCounter("peer."+directionNames[dir]+"."+string(kind)+unit, t.registry)
	}
	return counters[dir][kind]
}

// CountCall counts a call of the store.
func (t *Traffic) CountCall(call platform.CallKind) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.calls[call] == nil {
		t.calls[call] = metrics.NewRegisteredCounter("store.calls."+string(call), t.registry)
	}
	t.calls[call].Inc(1)
}

// fields returns the log fields: messages and bytes by direction and kind, and the calls of the
// store.
func (t *Traffic) fields() logrus.Fields {
	t.mu.Lock()
	defer t.mu.Unlock()
	exchanged := map[string]map[peering.Kind][2]int64{}
	for dir, kinds := range t.messages {
		counts := map[peering.Kind][2]int64{}
		for kind, counter := range kinds {
			counts[kind] = [2]int64{counter.Count(), t.bytes[dir][kind].Count()}
		}
		exchanged[directionNames[dir]] = counts
	}
	storeCalls := map[platform.CallKind]int64{}
	for call, counter := range t.calls {
		storeCalls[call] = counter.Count()
	}
	return logrus.Fields{"exchanged": exchanged, "storeCalls": storeCalls}
}

// ViewsFetched returns the number of views that this entry has fetched.
func (t *Traffic) ViewsFetched() int64 { return t.viewsFetched.Count() }

// LogLoop logs the traffic periodically until dying is closed, and once at the end.
func (t *Traffic) LogLoop(dying <-chan struct{}, log *logrus.Entry) error {
	ticker := time.NewTicker(trafficInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			log.WithFields(t.fields()).Info("exchange so far")
		case <-dying:
			log.WithFields(t.fields()).Info("exchange so far")
			return nil
		}
	}
}
