package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// AttributedCrashLimit is the number of attributed crashes after which a request is refused. One may be
	// chance, and so may two where servers fail one after the other; a request that is repeated reaches this many
	// within seconds. The users allow three.
	AttributedCrashLimit = 3
	// CrashLimit is the number of crashes after which a request is refused whatever else ran at these servers.
	// Two culprits that always meet at the same servers would otherwise hide each other. The users allow three
	// sends after the third crash; one of them is reserved for a second attempt that is under way when the last
	// server crashes. An innocent request is sent to four servers on the users' deployments: two in an attempt,
	// and its caller repeats it once.
	CrashLimit = 5
	// StartWindow is the time after its first event for which a request counts as recently started. A server
	// crashes as it begins to run the culprit, before the first event. The window is much longer than that, since
	// events are late on a busy host, and short beside the time that answers last.
	StartWindow = time.Second
	// RecordTTL is the time for which a request is remembered after its last crash. It limits a culprit to three
	// servers an hour, and a request that servers survive again after a release is served within the hour.
	RecordTTL = time.Hour
	// MaxRecords bounds the remembered requests, and what is sent to a starting entry, up to 76 bytes each. Where
	// half of a fleet fails at once, a few requests have just started at each server.
	MaxRecords = 256
)

// RecentlyStarted reports whether a request had just started at a crashed server: it had no event from it
// (firstEvent is zero), or its first one within StartWindow.
func RecentlyStarted(now, firstEvent time.Time) bool {
	return firstEvent.IsZero() || now.Sub(firstEvent) < StartWindow
}

// Tracker records requests under which servers have crashed. It is not safe for concurrent use.
type Tracker struct {
	records    map[Fingerprint]*record
	exonerated exonerated
	// parts are the parts of prompts that explain crashes; nil if none are tracked.
	parts *PartTracker
}

// NewTracker returns a Tracker without records.
func NewTracker() *Tracker {
	return &Tracker{records: map[Fingerprint]*record{}, exonerated: exonerated{generation: ExonerationTime}}
}

// SetParts sets the tracker of the parts of prompts. Crashes under a part that may have caused them don't count against
// requests: one that is repeated beside different requests with that part would be at more of them than each.
func (tr *Tracker) SetParts(parts *PartTracker) { tr.parts = parts }

// Empty reports whether no request is remembered.
func (tr *Tracker) Empty() bool { return len(tr.records) == 0 }

// ServerCrashed records that a server crashed under a request that had just started there. It returns the record
// to send to the other entries, or false if nothing changed. Exonerated requests are not recorded.
func (tr *Tracker) ServerCrashed(now time.Time, f Fingerprint, incarnation string) (Record, bool) {
	if tr.exonerated.has(now, f) {
		return Record{}, false
	}
	r := tr.records[f]
	if r == nil {
		r = tr.insert(f)
	}
	if !r.addCrash(hashOf(incarnation)) {
		return Record{}, false
	}
	r.changed = now
	return r.export(now, f), true
}

// Completed records a complete, successful answer to a request, which clears it. It returns the record to send to
// the other entries, or false if the request had no crashes.
func (tr *Tracker) Completed(now time.Time, f Fingerprint) (Record, bool) {
	tr.exonerated.add(now, f)
	r := tr.records[f]
	if r == nil || len(r.crashes) == 0 {
		return Record{}, false
	}
	r.cleared++
	r.crashes, r.changed = nil, now
	return r.export(now, f), true
}

// Merge merges records of another entry and returns the requests whose records changed. Records with an age
// outside 0 to RecordTTL are ignored.
func (tr *Tracker) Merge(now time.Time, received []Record) []Fingerprint {
	var changed []Fingerprint
	for _, t := range received {
		if t.Age < 0 || t.Age >= RecordTTL {
			continue
		}
		r := tr.records[t.Fingerprint]
		if r == nil {
			r = tr.insert(t.Fingerprint)
		}
		if r.merge(t, now.Add(-t.Age)) {
			changed = append(changed, t.Fingerprint)
		}
	}
	return changed
}

// insert adds an empty record.
func (tr *Tracker) insert(f Fingerprint) *record {
	if len(tr.records) >= MaxRecords {
		delete(tr.records, evictionCandidate(tr.records))
	}
	r := &record{}
	tr.records[f] = r
	return r
}

// evictable is a record that may be evicted when there are too many.
type evictable interface {
	crashCount() int
	lastChange() time.Time
}

// evictionCandidate returns the oldest of the records with the fewest crashes, so that those of what is refused stay.
func evictionCandidate[R evictable](records map[Fingerprint]R) Fingerprint {
	var found Fingerprint
	var least evictable
	for f, r := range records {
		if least == nil || cmp.Or(cmp.Compare(r.crashCount(), least.crashCount()), r.lastChange().Compare(least.lastChange()), Compare(f, found)) < 0 {
			found, least = f, r
		}
	}
	return found
}

// RefusedFor returns for how long a request is not to be sent to any server; 0 if it may be sent.
func (tr *Tracker) RefusedFor(now time.Time, f Fingerprint) time.Duration {
	return tr.refusedFor(f, now, func(r *record, crash uint64) bool { return tr.parts.refusedAt(now, crash) })
}

// RefusedForWith is RefusedFor for a request whose parts are known: crashes under other parts that may have caused
// them don't count either.
func (tr *Tracker) RefusedForWith(now time.Time, f Fingerprint, own []Fingerprint) time.Duration {
	return tr.refusedFor(f, now, func(r *record, crash uint64) bool {
		return tr.parts.refusedAt(now, crash) || tr.parts.mayExplain(r, crash, own)
	})
}

func (tr *Tracker) refusedFor(f Fingerprint, now time.Time, explained func(r *record, crash uint64) bool) time.Duration {
	r := tr.records[f]
	if r == nil || len(r.crashes) < AttributedCrashLimit {
		return 0
	}
	if r = tr.withoutCrashes(r, explained); len(r.crashes) < CrashLimit && tr.attributedCrashes(f, r) < AttributedCrashLimit {
		return 0
	}
	return max(RecordTTL-now.Sub(r.changed), 0)
}

// withoutCrashes returns a record without the crashes that parts explain.
func (tr *Tracker) withoutCrashes(r *record, explained func(r *record, crash uint64) bool) *record {
	if tr.parts == nil || tr.parts.Empty() {
		return r
	}
	remaining := *r
	remaining.crashes = slices.DeleteFunc(slices.Clone(r.crashes), func(crash uint64) bool { return explained(r, crash) })
	return &remaining
}

// SuspectCrashes is the number of crashes from which on a request is a suspect, which Separator keeps apart from
// others.
const SuspectCrashes = 2

// IsSuspect reports whether a request may be the cause of crashes.
func (tr *Tracker) IsSuspect(f Fingerprint) bool {
	r := tr.records[f]
	return r != nil && len(r.crashes) >= SuspectCrashes
}

// attributedCrashes counts the crashes that no other request explains as well.
func (tr *Tracker) attributedCrashes(f Fingerprint, r *record) int {
	if len(r.crashes) < AttributedCrashLimit {
		return 0
	}
	count := len(r.crashes)
	for _, crash := range r.crashes {
		if tr.isExplained(crash, f, r) {
			count--
		}
	}
	return count
}

// isExplained reports whether another request was at a crash of this one and may have caused it.
func (tr *Tracker) isExplained(crash uint64, f Fingerprint, r *record) bool {
	for other, o := range tr.records {
		if other != f && o.hasCrash(crash) && o.mayExplain(r) {
			return true
		}
	}
	return false
}

// mayExplain reports whether this request may have caused the crashes that it shares with another one: it was at as
// many crashes, or at all crashes of the other one except one, whose record may not have arrived. Without that
// allowance a request beside the culprit would be refused until it has. The allowance requires all the others to be
// shared: a request that was beside a refused culprit once, and then beside another one, would release the first.
func (r *record) mayExplain(other *record) bool {
	return len(r.crashes) >= len(other.crashes) || r.sharedCrashes(other) >= len(other.crashes)-1
}

// Expire drops the records older than RecordTTL.
func (tr *Tracker) Expire(now time.Time) {
	for f, r := range tr.records {
		if now.Sub(r.changed) >= RecordTTL {
			delete(tr.records, f)
		}
	}
}

// AllRefused returns the refused requests.
func (tr *Tracker) AllRefused(now time.Time) map[Fingerprint]bool {
	refused := map[Fingerprint]bool{}
	for f := range tr.records {
		if tr.RefusedFor(now, f) > 0 {
			refused[f] = true
		}
	}
	return refused
}

// Records returns all records, those with the most crashes first, for an entry that has none.
func (tr *Tracker) Records(now time.Time) []Record {
	records := make([]Record, 0, len(tr.records))
	for f, r := range tr.records {
		records = append(records, r.export(now, f))
	}
	slices.SortFunc(records, func(a, b Record) int {
		return cmp.Or(cmp.Compare(len(b.Crashes), len(a.Crashes)), Compare(a.Fingerprint, b.Fingerprint))
	})
	return records
}

// export returns the record as it is sent to other entries.
func (r *record) export(now time.Time, f Fingerprint) Record {
	return Record{Fingerprint: f, Cleared: r.cleared, Crashes: slices.Clone(r.crashes), Age: max(now.Sub(r.changed), 0)}
}

// minDigestCrashes is the number of crashes from which on a record counts in Digest. Most records have one crash,
// of a request beside others, and decide nothing.
const minDigestCrashes = 2

// Digest returns a hash of the records that matter. Heartbeats carry it; entries whose digests differ exchange
// their records, so that a record lost on its way still reaches all, at no cost once it has.
func (tr *Tracker) Digest() uint32 {
	sum := uint64(0)
	for f, r := range tr.records {
		if len(r.crashes) < minDigestCrashes {
			continue
		}
		data := binary.BigEndian.AppendUint32(slices.Clone(f[:]), r.cleared)
		for _, crash := range r.crashes {
			data = binary.BigEndian.AppendUint64(data, crash)
		}
		sum += xxhash.Sum64(data)
	}
	return uint32(sum ^ sum>>32)
}
