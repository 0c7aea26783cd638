package gateway

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"arbutusdeck/core/peering"
	"arbutusdeck/platform"
)

// trafficInterval is how often a line tells what the exchange with other entries and the store has cost so far. An entry
// that is killed leaves out what came after its last one.
const trafficInterval = 10 * time.Second

// kindView is a whole view that another entry fetches; it is no datagram.
const kindView peering.Kind = "view"

// datagramHeaders are the bytes of a datagram beyond its message.
const datagramHeaders = 28

// direction is which way a message goes, and whether to or from another zone.
type direction struct {
	sent, far bool
}

var directionNames = map[direction]string{{true, false}: "sent.near", {true, true}: "sent.far", {false, false}: "received.near", {false, true}: "received.far"}

// traffic counts messages between entries by kind, and calls of the store. It is safe for concurrent use.
type traffic struct {
	registry metrics.Registry
	mu       sync.Mutex
	// messages and bytes are by direction and kind, calls by what they read.
	messages, bytes map[direction]map[peering.Kind]metrics.Counter
	calls           map[platform.CallKind]metrics.Counter
}

func newTraffic(registry metrics.Registry) *traffic {
	return &traffic{registry: registry, messages: map[direction]map[peering.Kind]metrics.Counter{}, bytes: map[direction]map[peering.Kind]metrics.Counter{},
		calls: map[platform.CallKind]metrics.Counter{}}
}

// add counts messages of a kind with their bytes.
func (t *traffic) add(way direction, kind peering.Kind, messages, bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counter(t.messages, way, kind, ".messages").Inc(int64(messages))
	t.counter(t.bytes, way, kind, ".bytes").Inc(int64(bytes))
}

// counter returns the counter of a direction and kind; the lock is held.
func (t *traffic) counter(counters map[direction]map[peering.Kind]metrics.Counter, way direction, kind peering.Kind, unit string) metrics.Counter {
	if counters[way] == nil {
		counters[way] = map[peering.Kind]metrics.Counter{}
	}
	if counters[way][kind] == nil {
		counters[way][kind] = metrics.NewRegisteredCounter("peer."+directionNames[way]+"."+string(kind)+unit, t.registry)
	}
	return counters[way][kind]
}

// called counts a call of the store.
func (t *traffic) called(call platform.CallKind) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.calls[call] == nil {
		t.calls[call] = metrics.NewRegisteredCounter("store.calls."+string(call), t.registry)
	}
	t.calls[call].Inc(1)
}

// fields are what a log line tells: of each direction and kind the messages and bytes, and the calls of the store.
func (t *traffic) fields() logrus.Fields {
	t.mu.Lock()
	defer t.mu.Unlock()
	told := map[string]map[peering.Kind][2]int64{}
	for way, kinds := range t.messages {
		counts := map[peering.Kind][2]int64{}
		for kind, counter := range kinds {
			counts[kind] = [2]int64{counter.Count(), t.bytes[way][kind].Count()}
		}
		told[directionNames[way]] = counts
	}
	calls := map[platform.CallKind]int64{}
	for call, counter := range t.calls {
		calls[call] = counter.Count()
	}
	return logrus.Fields{"exchanged": told, "storeCalls": calls}
}

// trafficLoop writes a line now and then, and one at the end.
func (s *Server) trafficLoop() error {
	ticker := time.NewTicker(trafficInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.log.WithFields(s.traffic.fields()).Info("exchange so far")
		case <-s.tomb.Dying():
			s.log.WithFields(s.traffic.fields()).Info("exchange so far")
			return nil
		}
	}
}
