package quarantine

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// partCrashLimit is the number of crashes, one after the other and without another explanation, after which
	// requests with a part are refused.
	partCrashLimit = 3
	// answeredPartCrashLimit is the same for a part with an answer within answeredTime here, or after an earlier crash
	// anywhere: one that servers have borne until now is rather beside the cause, or beside several.
	answeredPartCrashLimit = 2 * partCrashLimit
	// inseparablePartCrashLimit is the number of such crashes after which parts that were at the same ones are no longer
	// told apart: requests with any of them are refused.
	inseparablePartCrashLimit = 5
	// answeredTime is the shortest time for which an answer counts for answeredPartCrashLimit.
	answeredTime = time.Minute
	// partExonerationTime is the shortest time for which an answer keeps crashes from being recorded: parts that
	// most requests share are answered many times a second.
	partExonerationTime = time.Second
	// maxPartCrashes bounds the crashes of a record; the latest are kept.
	maxPartCrashes = 16
)

// PartFingerprint returns the fingerprint of a part of a prompt. It doesn't depend on the caller or the service: the
// part crashes servers whatever else a request holds.
func PartFingerprint(id string) Fingerprint {
	hash := sha256.Sum256([]byte("part\x00" + id))
	return Fingerprint(hash[:len(Fingerprint{})])
}

// PartRecord holds the crashes under requests with one part, and its clearings, as entries exchange them. Merging is
// commutative like that of Record. Fields are numbered for the wire.
type PartRecord struct {
	Part Fingerprint `cbor:"1,keyasint"`
	// Cleared counts the complete answers that have cleared the part since its record was created.
	Cleared uint32 `cbor:"2,keyasint,omitempty"`
	// Crashes are those since then; maxPartCrashes at most.
	Crashes []PartCrash `cbor:"3,keyasint,omitempty"`
	// Age is the time since the last crash, or since the answer that cleared the part.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
}

// PartCrash is the crash of a server under a request.
type PartCrash struct {
	// Server is the server's incarnation, as hashed by hashOf.
	Server uint64 `cbor:"1,keyasint"`
	// SentAge is the time since the request was sent to the server, Age that since the crash.
	SentAge time.Duration `cbor:"2,keyasint,omitempty"`
	Age     time.Duration `cbor:"3,keyasint,omitempty"`
}

// valid reports whether the times of a record of another entry are possible and not over.
func (r *PartRecord) valid() bool {
	return r.Age >= 0 && r.Age < RecordTTL && len(r.Crashes) <= maxPartCrashes &&
		!slices.ContainsFunc(r.Crashes, func(c PartCrash) bool { return c.Age < 0 || c.SentAge < c.Age })
}

// partCrash is a PartCrash as an entry stores it.
type partCrash struct {
	server     uint64
	sentAt, at time.Time
}

// partRecord is a PartRecord as an entry stores it. Its crashes are in the order of their times.
type partRecord struct {
	cleared uint32
	crashes []partCrash
	changed time.Time
}

func (r *partRecord) hasCrash(server uint64) bool {
	return slices.ContainsFunc(r.crashes, func(c partCrash) bool { return c.server == server })
}

// addCrash adds a crash and reports whether it is new. Of the times that entries report of the same crash, the
// earliest are kept.
func (r *partRecord) addCrash(crash partCrash) bool {
	known := slices.IndexFunc(r.crashes, func(c partCrash) bool { return c.server == crash.server })
	if known >= 0 {
		crash.sentAt, crash.at = earliest(crash.sentAt, r.crashes[known].sentAt), earliest(crash.at, r.crashes[known].at)
		r.crashes = slices.Delete(r.crashes, known, known+1)
		r.insert(crash)
		return false
	}
	if len(r.crashes) == maxPartCrashes && crash.at.Before(r.crashes[0].at) {
		return false
	}
	r.insert(crash)
	r.crashes = r.crashes[max(len(r.crashes)-maxPartCrashes, 0):]
	return true
}

// insert inserts a crash in the order of the times.
func (r *partRecord) insert(crash partCrash) {
	at, _ := slices.BinarySearchFunc(r.crashes, crash, func(a, b partCrash) int { return a.at.Compare(b.at) })
	r.crashes = slices.Insert(r.crashes, at, crash)
	if crash.at.After(r.changed) {
		r.changed = crash.at
	}
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// clear drops the crashes.
func (r *partRecord) clear(now time.Time) {
	r.cleared++
	r.crashes, r.changed = nil, now
}

// sameCrashes reports whether two parts were at the same crashes.
func (r *partRecord) sameCrashes(other *partRecord) bool {
	return len(r.crashes) == len(other.crashes) && !slices.ContainsFunc(r.crashes, func(c partCrash) bool { return !other.hasCrash(c.server) })
}

// merge merges another entry's record of the same part and reports whether anything changed.
func (r *partRecord) merge(now time.Time, other PartRecord) bool {
	if other.Cleared < r.cleared {
		return false
	}
	changes := other.Cleared > r.cleared
	if changes {
		r.cleared, r.crashes = other.Cleared, nil
		if clearedAt := now.Add(-other.Age); clearedAt.After(r.changed) {
			r.changed = clearedAt
		}
	}
	for _, c := range other.Crashes {
		changes = r.addCrash(partCrash{c.Server, now.Add(-c.SentAge), now.Add(-c.Age)}) || changes
	}
	return changes
}

// export returns the record as it is sent to other entries.
func (r *partRecord) export(now time.Time, part Fingerprint) PartRecord {
	record := PartRecord{Part: part, Cleared: r.cleared, Age: max(now.Sub(r.changed), 0)}
	for _, c := range r.crashes {
		age := max(now.Sub(c.at), 0)
		record.Crashes = append(record.Crashes, PartCrash{c.server, max(now.Sub(c.sentAt), age), age})
	}
	return record
}

// PartTracker records parts of prompts under which servers have crashed. Requests that share such a part are otherwise
// all different, so that Tracker sees none of them twice. A part is cleared by each complete answer to a request that
// holds it, and is accused where servers crash one after the other without an answer in between. It is not safe for
// concurrent use.
type PartTracker struct {
	records map[Fingerprint]*partRecord
	// exonerated holds the parts with an answer a moment ago, answered those with one within the last minutes.
	exonerated, answered exonerated
}

// NewPartTracker returns a PartTracker without records.
func NewPartTracker() *PartTracker {
	return &PartTracker{records: map[Fingerprint]*partRecord{}, exonerated: exonerated{generation: partExonerationTime}, answered: exonerated{generation: answeredTime}}
}

// Empty reports whether no part is remembered.
func (tr *PartTracker) Empty() bool { return len(tr.records) == 0 }

// ServerCrashed records that a server crashed under a request with some parts, which was sent there at sentAt and had
// just started. It returns the records to send to the other entries.
func (tr *PartTracker) ServerCrashed(now, sentAt time.Time, parts []Fingerprint, incarnation string) []PartRecord {
	var changed []PartRecord
	for _, part := range parts {
		if tr.exonerated.has(now, part) {
			continue
		}
		if r := tr.record(part); r.addCrash(partCrash{hashOf(incarnation), sentAt, now}) {
			changed = append(changed, r.export(now, part))
		}
	}
	return changed
}

// Completed records a complete, successful answer of a server to a request with some parts, which clears them. It
// returns the records to send to the other entries.
func (tr *PartTracker) Completed(now time.Time, parts []Fingerprint) []PartRecord {
	var changed []PartRecord
	for _, part := range parts {
		tr.exonerated.add(now, part)
		tr.answered.add(now, part)
		if r := tr.records[part]; r != nil && len(r.crashes) > 0 {
			r.clear(now)
			changed = append(changed, r.export(now, part))
		}
	}
	return changed
}

// Merge merges records of another entry. It returns those that this entry clears, to be sent to the other entries:
// their parts were answered here a moment ago.
func (tr *PartTracker) Merge(now time.Time, received []PartRecord) []PartRecord {
	var cleared []PartRecord
	for _, t := range received {
		if !t.valid() {
			continue
		}
		r := tr.record(t.Part)
		if r.merge(now, t) && len(r.crashes) > 0 && tr.exonerated.has(now, t.Part) {
			r.clear(now)
			cleared = append(cleared, r.export(now, t.Part))
		}
	}
	return cleared
}

// crashCount and lastChange order records for evictionCandidate.
func (r *partRecord) crashCount() int       { return len(r.crashes) }
func (r *partRecord) lastChange() time.Time { return r.changed }

// record returns the record of a part, a new one if there is none.
func (tr *PartTracker) record(part Fingerprint) *partRecord {
	if r := tr.records[part]; r != nil {
		return r
	}
	if len(tr.records) >= MaxRecords {
		delete(tr.records, evictionCandidate(tr.records))
	}
	r := &partRecord{}
	tr.records[part] = r
	return r
}

// RefusedFor returns for how long a request with these parts is not to be sent to any server; 0 if it may be sent.
// Parts that were at the same crashes can't be told apart: requests that hold all of them are refused, and, until
// inseparablePartCrashLimit, those with some of them are served and tell which is the cause.
func (tr *PartTracker) RefusedFor(now time.Time, parts []Fingerprint) time.Duration {
	longest := time.Duration(0)
	for _, part := range parts {
		r := tr.records[part]
		if r == nil || !tr.isAccused(now, part, r) {
			continue
		}
		if tr.unexplainedCrashes(part, r) >= inseparablePartCrashLimit || tr.holdsCompanions(parts, part, r) {
			longest = max(longest, RecordTTL-now.Sub(r.changed))
		}
	}
	return longest
}

// isAccused reports whether servers have crashed often enough under a part, one after the other, without an
// explanation by another part.
func (tr *PartTracker) isAccused(now time.Time, part Fingerprint, r *partRecord) bool {
	if len(r.crashes) < partCrashLimit {
		return false
	}
	limit := partCrashLimit
	if r.cleared > 0 || tr.answered.has(now, part) {
		limit = answeredPartCrashLimit
	}
	return tr.unexplainedCrashes(part, r) >= limit
}

// unexplainedCrashes counts the crashes under a part that no part at more crashes explains. Of requests that were
// under way at the same time only one counts: when a rack fails, a part that many requests share has just started at
// several of its servers.
func (tr *PartTracker) unexplainedCrashes(part Fingerprint, r *partRecord) int {
	count := 0
	var last time.Time
	for _, c := range r.crashes {
		if !c.sentAt.Before(last) && !tr.isExplained(c.server, part, r) {
			count, last = count+1, c.at
		}
	}
	return count
}

func (tr *PartTracker) isExplained(server uint64, part Fingerprint, r *partRecord) bool {
	for other, o := range tr.records {
		if other != part && len(o.crashes) > len(r.crashes) && o.hasCrash(server) {
			return true
		}
	}
	return false
}

// refusedAt reports whether a part that is refused was at a crash.
func (tr *PartTracker) refusedAt(now time.Time, server uint64) bool {
	for part, r := range tr.records {
		if r.hasCrash(server) && tr.isAccused(now, part, r) {
			return true
		}
	}
	return false
}

// mayExplain reports whether a part, none of a request's own, was at a crash of that request and may have caused it: by
// the same rule as between requests.
func (tr *PartTracker) mayExplain(request *record, crash uint64, own []Fingerprint) bool {
	for part, r := range tr.records {
		if !r.hasCrash(crash) || slices.Contains(own, part) {
			continue
		}
		shared := 0
		for _, c := range request.crashes {
			if r.hasCrash(c) {
				shared++
			}
		}
		if len(r.crashes) >= len(request.crashes) || shared >= len(request.crashes)-1 {
			return true
		}
	}
	return false
}

// MaxCrashes returns the highest number of crashes under one of some parts since its last answer. Separator keeps
// requests apart by it, like suspects.
func (tr *PartTracker) MaxCrashes(parts []Fingerprint) int {
	most := 0
	for _, part := range parts {
		if r := tr.records[part]; r != nil {
			most = max(most, len(r.crashes))
		}
	}
	return most
}

// holdsCompanions reports whether a request with some parts holds all that were at the same crashes as one of them.
func (tr *PartTracker) holdsCompanions(parts []Fingerprint, part Fingerprint, r *partRecord) bool {
	for other, o := range tr.records {
		if other != part && r.sameCrashes(o) && !slices.Contains(parts, other) {
			return false
		}
	}
	return true
}

// AllRefused returns the parts because of which requests are refused.
func (tr *PartTracker) AllRefused(now time.Time) map[Fingerprint]bool {
	refused := map[Fingerprint]bool{}
	for part, r := range tr.records {
		if tr.isAccused(now, part, r) {
			refused[part] = true
		}
	}
	return refused
}

// Expire drops the records older than RecordTTL.
func (tr *PartTracker) Expire(now time.Time) {
	for part, r := range tr.records {
		if now.Sub(r.changed) >= RecordTTL {
			delete(tr.records, part)
		}
	}
}

// Records returns all records, those with the most crashes first, for an entry that has none.
func (tr *PartTracker) Records(now time.Time) []PartRecord {
	records := make([]PartRecord, 0, len(tr.records))
	for part, r := range tr.records {
		records = append(records, r.export(now, part))
	}
	slices.SortFunc(records, func(a, b PartRecord) int {
		return cmp.Or(cmp.Compare(len(b.Crashes), len(a.Crashes)), Compare(a.Part, b.Part))
	})
	return records
}

// Digest returns a hash of the records that matter, as Tracker.Digest does; 0 if there is none.
func (tr *PartTracker) Digest() uint32 {
	sum := uint64(0)
	for part, r := range tr.records {
		if len(r.crashes) < minDigestCrashes {
			continue
		}
		data := binary.BigEndian.AppendUint32(slices.Clone(part[:]), r.cleared)
		crashes := slices.Clone(r.crashes)
		slices.SortFunc(crashes, func(a, b partCrash) int { return cmp.Compare(a.server, b.server) })
		for _, c := range crashes {
			data = binary.BigEndian.AppendUint64(data, c.server)
		}
		sum += xxhash.Sum64(data)
	}
	return uint32(sum ^ sum>>32)
}
