package quarantine

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Record holds the crashes and the clearings of one request, as entries exchange them. Merging two records of a
// request is commutative: the one cleared more often wins, and between equals the crashes of both count. Fields
// are numbered for the wire.
type Record struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	// Cleared counts the complete answers that have cleared the request since its record was created.
	Cleared uint32 `cbor:"2,keyasint,omitempty"`
	// Crashes are the servers that have crashed under the request since then, as hashed by hashOf; CrashLimit at
	// most.
	Crashes []uint64 `cbor:"3,keyasint,omitempty"`
	// Age is the time since the last crash, or since the answer that cleared the request.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
}

// hashOf returns the hash of a server's incarnation. The names take some 25 bytes, and a record holds several;
// two incarnations with the same hash would count as one.
func hashOf(incarnation string) uint64 { return xxhash.Sum64String(incarnation) }

// record is a Record as an entry stores it.
type record struct {
	cleared uint32
	// crashes is sorted in ascending order.
	crashes []uint64
	// changed is the time of the last crash or clearing.
	changed time.Time
}

// crashCount and lastChange order records for evictionCandidate.
func (r *record) crashCount() int       { return len(r.crashes) }
func (r *record) lastChange() time.Time { return r.changed }

// addCrash adds a crash and reports whether it is new. Of more than CrashLimit the lowest hashes are kept, so
// that entries that learn of the same crashes keep the same ones.
func (r *record) addCrash(crash uint64) bool {
	at, found := slices.BinarySearch(r.crashes, crash)
	if found || at >= CrashLimit {
		return false
	}
	r.crashes = slices.Insert(r.crashes, at, crash)
	r.crashes = r.crashes[:min(len(r.crashes), CrashLimit)]
	return true
}

func (r *record) hasCrash(crash uint64) bool {
	_, found := slices.BinarySearch(r.crashes, crash)
	return found
}

// sharedCrashes returns the number of crashes at which both requests were.
func (r *record) sharedCrashes(other *record) int {
	count := 0
	for _, crash := range r.crashes {
		if other.hasCrash(crash) {
			count++
		}
	}
	return count
}

// merge merges another entry's record of the same request and reports whether anything changed.
func (r *record) merge(other Record, changed time.Time) bool {
	if other.Cleared < r.cleared {
		return false
	}
	changes := other.Cleared > r.cleared
	if changes {
		r.cleared, r.crashes = other.Cleared, nil
	}
	for _, crash := range other.Crashes {
		changes = r.addCrash(crash) || changes
	}
	if changes && changed.After(r.changed) {
		r.changed = changed
	}
	return changes
}
