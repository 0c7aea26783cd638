package quarantine

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Record is what entries tell each other of one request. Two records of a request are joined
// the same way in any order: the one that was cleared more often goes before the other, and of
// two that were cleared equally often all ends count. Fields are numbered for the wire.
type Record struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	// Cleared is how often a whole answer has cleared the request since it is remembered.
	Cleared uint32 `cbor:"2,keyasint,omitempty"`
	// Crashes are the starts of servers that have ended under it since, see hashOf; EndsInAnyCase
	// at the most.
	Crashes []uint64 `cbor:"3,keyasint,omitempty"`
	// Age is how long ago the last of these ends, or the answer that cleared it, was.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
}

// hashOf stands for the name of a start of a server. The names are some 25 bytes long, and a
// record holds several; two starts that share a hash would count as one.
func hashOf(server string) uint64 { return xxhash.Sum64String(server) }

// record is a Record as an entry keeps it.
type record struct {
	cleared uint32
	// crashes is in ascending order.
	crashes []uint64
	// changed is when the last end or clearing was.
	changed time.Time
}

// addCrash adds an end and returns whether that is new. Of more than EndsInAnyCase the least hashes
// are kept, so that entries that hear of the same ends keep the same ones.
func (r *record) addCrash(end uint64) bool {
	at, found := slices.BinarySearch(r.crashes, end)
	if found || at >= CrashLimit {
		return false
	}
	r.crashes = slices.Insert(r.crashes, at, end)
	r.crashes = r.crashes[:min(len(r.crashes), CrashLimit)]
	return true
}

// merge takes in another entry's record of the same request, and returns whether anything is new.
func (r *record) merge(other Record, changed time.Time) bool {
	if other.Cleared < r.cleared {
		return false
	}
	changes := other.Cleared > r.cleared
	if changes {
		r.cleared, r.crashes = other.Cleared, nil
	}
	for _, end := range other.Crashes {
		changes = r.addCrash(end) || changes
	}
	if changes && changed.After(r.changed) {
		r.changed = changed
	}
	return changes
}
