package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// AttributedCrashLimit is after how many ends of servers that are charged to a request it is
	// refused. One is chance, and two can be where servers fail one after the other; a request
	// that comes again ends this many within seconds. The users allow three.
	AttributedCrashLimit = 3
	// CrashLimit is after how many ends it is refused whatever else ran at these servers.
	// Two requests at fault that always meet at the same servers would otherwise hide each
	// other. The users allow three sends after the third end; one of them is kept for a second
	// attempt that is under way as the last server ends. A sound request is sent to four servers
	// on the users' deployments: two in an attempt, and its caller repeats it once.
	CrashLimit = 5
	// StartWindow is for how long after its first event a request has just begun. A server that
	// a request ends does so as it begins to run it, before its first event. It is longer by
	// much, since events are late on a busy host, and short beside the time that answers last.
	StartWindow = time.Second
	// RecordTTL is how long a request is remembered after the last end. It bounds what such a
	// request may do to three servers an hour, and a request that servers bear again after
	// a release is served within the hour.
	RecordTTL = time.Hour
	// MaxRecords bounds the requests that are remembered, and what an entry is told that has
	// started, up to 76 bytes each. Where half of a fleet fails at once, a few requests have just
	// begun at each server.
	MaxRecords = 256
)

// RecentlyStarted says whether a request had just begun at a server that has ended: it had no event
// from it (answerBegan is zero), or its first one lately.
func RecentlyStarted(now, firstEvent time.Time) bool {
	return firstEvent.IsZero() || now.Sub(firstEvent) < StartWindow
}

// Tracker remembers requests under which servers have ended. It is not safe for concurrent use.
type Tracker struct {
	records    map[Fingerprint]*record
	exonerated exonerated
}

// NewTracker returns a watch that knows no request.
func NewTracker() *Tracker { return &Tracker{records: map[Fingerprint]*record{}} }

// Empty says whether no request is remembered.
func (tr *Tracker) Empty() bool { return len(tr.records) == 0 }

// ServerCrashed takes in that a start of a server has ended under a request that had just begun there.
// It returns what the other entries are to be told; false if nothing is new. A request that was
// answered lately is not at fault.
func (tr *Tracker) ServerCrashed(now time.Time, f Fingerprint, server string) (Record, bool) {
	if tr.exonerated.has(now, f) {
		return Record{}, false
	}
	r := tr.records[f]
	if r == nil {
		r = tr.insert(f)
	}
	if !r.addCrash(hashOf(server)) {
		return Record{}, false
	}
	r.changed = now
	return r.export(now, f), true
}

// Completed takes in that a request has got a whole answer that tells of success: no server ends
// under it. It returns what the other entries are to be told; false if nothing was believed of it.
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

// Merge takes in what another entry tells. It returns the requests of which something is new.
func (tr *Tracker) Merge(now time.Time, records []Record) []Fingerprint {
	var changed []Fingerprint
	for _, t := range records {
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

// insert adds a record without an end. Where there are too many the one with the fewest ends
// goes, the oldest of these: those that are refused stay.
func (tr *Tracker) insert(f Fingerprint) *record {
	if len(tr.records) >= MaxRecords {
		delete(tr.records, tr.evictionCandidate())
	}
	r := &record{}
	tr.records[f] = r
	return r
}

func (tr *Tracker) evictionCandidate() Fingerprint {
	var found Fingerprint
	var least *record
	for f, r := range tr.records {
		order := -1
		if least != nil {
			order = cmp.Or(cmp.Compare(len(r.crashes), len(least.crashes)), r.changed.Compare(least.changed), Compare(f, found))
		}
		if order < 0 {
			found, least = f, r
		}
	}
	return found
}

// RefusedFor says whether a request is not to be sent to any server, and for how long; 0 if it may
// be sent.
func (tr *Tracker) RefusedFor(now time.Time, f Fingerprint) time.Duration {
	r := tr.records[f]
	if r == nil || len(r.crashes) < CrashLimit && tr.attributedCrashes(f, r) < AttributedCrashLimit {
		return 0
	}
	return max(RecordTTL-now.Sub(r.changed), 0)
}

// suspectCrashes is from how many ends on a request is a suspect, which is kept apart from others.
const suspectCrashes = 2

// IsSuspect says whether a request may well be the reason why servers have ended.
func (tr *Tracker) IsSuspect(f Fingerprint) bool {
	r := tr.records[f]
	return r != nil && len(r.crashes) >= suspectCrashes
}

// attributedCrashes is the number of ends of servers that no other request explains as well. One does that
// was there too and was at as many ends, or at one less: of the newest end it may not have been
// heard yet, and without that allowance a request beside the one at fault would be taken for it
// until the news is there.
func (tr *Tracker) attributedCrashes(f Fingerprint, r *record) int {
	if len(r.crashes) < AttributedCrashLimit {
		return 0
	}
	count := len(r.crashes)
	for _, end := range r.crashes {
		if tr.isExplained(end, f, len(r.crashes)-1) {
			count--
		}
	}
	return count
}

// isExplained says whether another request was at an end, and at as many ends in all as given.
func (tr *Tracker) isExplained(crash uint64, f Fingerprint, crashes int) bool {
	for other, o := range tr.records {
		if other == f || len(o.crashes) < crashes {
			continue
		}
		if _, found := slices.BinarySearch(o.crashes, crash); found {
			return true
		}
	}
	return false
}

// Expire forgets the requests whose term is over.
func (tr *Tracker) Expire(now time.Time) {
	for f, r := range tr.records {
		if now.Sub(r.changed) >= RecordTTL {
			delete(tr.records, f)
		}
	}
}

// AllRefused returns the requests that are refused.
func (tr *Tracker) AllRefused(now time.Time) map[Fingerprint]bool {
	refused := map[Fingerprint]bool{}
	for f := range tr.records {
		if tr.RefusedFor(now, f) > 0 {
			refused[f] = true
		}
	}
	return refused
}

// Records returns what an entry is told that knows nothing, those with most ends first.
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

// export returns a record as other entries are export of it.
func (r *record) export(now time.Time, f Fingerprint) Record {
	return Record{Fingerprint: f, Cleared: r.cleared, Crashes: slices.Clone(r.crashes), Age: max(now.Sub(r.changed), 0)}
}

// minDigestCrashes is how many ends a record has that counts for Sum. Most records have one, of
// requests that ran beside others, and decide nothing.
const minDigestCrashes = 2

// Digest stands for the records that matter. Entries tell it with their heartbeats; those whose
// sums differ tell each other their records, so that a record that was lost on its way reaches
// everybody, and costs nothing once it has.
func (tr *Tracker) Digest() uint32 {
	sum := uint64(0)
	for f, r := range tr.records {
		if len(r.crashes) < minDigestCrashes {
			continue
		}
		data := binary.BigEndian.AppendUint32(slices.Clone(f[:]), r.cleared)
		for _, end := range r.crashes {
			data = binary.BigEndian.AppendUint64(data, end)
		}
		sum += xxhash.Sum64(data)
	}
	return uint32(sum ^ sum>>32)
}
