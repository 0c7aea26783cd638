package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func parts(ids ...string) []Fingerprint {
	var fingerprints []Fingerprint
	for _, id := range ids {
		fingerprints = append(fingerprints, PartFingerprint(id))
	}
	return fingerprints
}

// second returns a time some seconds after start.
func second(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// crash records the crash of a server under a request that was sent half a second before.
func (tr *PartTracker) crash(seconds float64, server string, ids ...string) []PartRecord {
	return tr.ServerCrashed(second(seconds), second(seconds-0.5), parts(ids...), server)
}

func (tr *PartTracker) refuses(seconds float64, ids ...string) bool {
	return tr.RefusedFor(second(seconds), parts(ids...)) > 0
}

// Guards against requests that share a part which crashes servers, while no two of them are alike.
func TestAPartIsRefusedOnceItHasCrashedThreeServers(t *testing.T) {
	tr := NewPartTracker()
	require.Len(t, tr.crash(1, "a", "bad", "own-1"), 2)
	require.Empty(t, tr.crash(1, "a", "bad", "own-1"), "known")
	tr.crash(2, "b", "bad", "own-2")
	require.False(t, tr.refuses(2, "bad", "own-3"))
	tr.crash(3, "c", "bad", "own-3")
	require.True(t, tr.refuses(3, "bad", "own-4"))
	require.False(t, tr.refuses(3, "own-3"))
	require.Equal(t, map[Fingerprint]bool{PartFingerprint("bad"): true}, tr.AllRefused(second(3)))
	require.Equal(t, RecordTTL-time.Second, tr.RefusedFor(second(4), parts("bad")))
	tr.Expire(second(3).Add(RecordTTL))
	require.True(t, tr.Empty())
}

// Guards against refusing a part that many requests share because a rack has failed: they were under way together.
func TestCrashesAtTheSameTimeCountOnce(t *testing.T) {
	tr := NewPartTracker()
	for i := range 10 {
		tr.ServerCrashed(second(1+float64(i)/100), second(0.9+float64(i)/200), parts("shared"), fmt.Sprint(i))
	}
	require.False(t, tr.refuses(2, "shared"))
	tr.crash(2, "x", "shared")
	require.False(t, tr.refuses(2, "shared"))
	tr.crash(3, "y", "shared")
	require.True(t, tr.refuses(3, "shared"), "one after the other, without an answer")
}

// Guards against refusing the parts that poison requests share with sound ones: these are answered.
func TestAnAnswerClearsAPart(t *testing.T) {
	tr, other := NewPartTracker(), NewPartTracker()
	var late []PartRecord
	for i := range 2 {
		late = tr.crash(float64(i), fmt.Sprint(i), "shared", "bad")
		other.Merge(second(float64(i)), late)
	}
	cleared := tr.Completed(second(2), parts("shared", "own"))
	require.Len(t, cleared, 1)
	require.Empty(t, tr.Completed(second(2), parts("shared")), "known")
	other.Merge(second(2), cleared)
	other.Merge(second(2), late)
	require.Empty(t, other.records[PartFingerprint("shared")].crashes, "of before the answer")
	require.Len(t, tr.crash(2.5, "c", "shared", "bad"), 1, "the shared part was answered a moment ago")
	other.crash(4, "c", "shared", "bad")
	for _, tracker := range []*PartTracker{tr, other} {
		require.True(t, tracker.refuses(5, "shared", "bad"))
		require.False(t, tracker.refuses(5, "shared", "own"))
	}
}

// Guards against refusing a part at an entry that has seen none of its answers.
func TestAnEntryThatHasSeenAnAnswerClearsThePartForOthers(t *testing.T) {
	answering, other := NewPartTracker(), NewPartTracker()
	answering.Completed(second(1), parts("shared"))
	cleared := answering.Merge(second(1.5), other.crash(1.4, "a", "shared"))
	require.Len(t, cleared, 1)
	require.Empty(t, other.Merge(second(1.5), cleared))
	require.Zero(t, len(other.records[PartFingerprint("shared")].crashes))
	require.Empty(t, answering.Merge(second(1+2.1*partExonerationTime.Seconds()), other.crash(3, "b", "shared")), "too long ago")
}

// A part that servers have borne until a minute ago needs more crashes: it may be beside the cause.
func TestARecentlyAnsweredPartNeedsMoreCrashes(t *testing.T) {
	tr := NewPartTracker()
	tr.Completed(second(0), parts("changed"))
	for i := range answeredPartCrashLimit {
		require.False(t, tr.refuses(float64(10+i), "changed"))
		tr.crash(float64(10+i), fmt.Sprint(i), "changed")
	}
	require.True(t, tr.refuses(20, "changed"))
}

// Guards against entries that decide differently for ever, as they saw the same crash at different times.
func TestTheEarliestTimesOfACrashCount(t *testing.T) {
	first, second := NewPartTracker(), NewPartTracker()
	early, late := first.crash(1, "a", "bad"), second.crash(2, "a", "bad")
	first.Merge(start.Add(2*time.Second), late)
	second.Merge(start.Add(time.Second), early)
	require.Equal(t, first.records[PartFingerprint("bad")].crashes, second.records[PartFingerprint("bad")].crashes)
}

// Guards against refusing a part that is beside two poison parts, at more crashes than each, at an entry that has
// started since its last answer.
func TestAPartBesideTwoCulpritsIsServed(t *testing.T) {
	tr, started := NewPartTracker(), NewPartTracker()
	tr.crash(0, "a", "shared", "bad")
	tr.Completed(second(1), parts("shared"))
	for i, id := range []string{"bad", "worse", "bad", "worse"} {
		tr.crash(float64(4+i), fmt.Sprint(i), "shared", id)
	}
	started.Merge(second(8), tr.Records(second(8)))
	require.False(t, started.refuses(8, "shared", "own"))
	started.crash(9, "x", "shared", "bad")
	started.crash(10, "y", "shared", "worse")
	require.True(t, started.refuses(11, "shared", "bad"))
	require.True(t, started.refuses(11, "shared", "worse"))
}

// Two parts are at the same crashes. Requests with both are refused, those with one of them tell which is the cause.
func TestPartsAtTheSameCrashesAreToldApart(t *testing.T) {
	tr := NewPartTracker()
	for i := range 3 {
		tr.crash(float64(i), fmt.Sprint(i), "rare", "bad", fmt.Sprint("own-", i))
	}
	require.True(t, tr.refuses(3, "rare", "bad", "own-9"))
	require.False(t, tr.refuses(3, "rare", "own-9"))
	require.False(t, tr.refuses(3, "bad", "own-9"))
	tr.crash(4, "x", "bad", "other")
	require.True(t, tr.refuses(4, "bad", "own-9"))
	require.False(t, tr.refuses(4, "rare", "own-9"), "explained by the other part")
}

// Guards against refusing a sound request that is repeated beside requests with poison parts, which are all different.
func TestACrashUnderARefusedPartCountsAgainstNoRequest(t *testing.T) {
	tracker, tr := NewTracker(), NewPartTracker()
	tracker.SetParts(tr)
	sound, fatal := request("sound"), request("fatal")
	for i, server := range []string{"a", "b", "c"} {
		tr.crash(float64(i), server, "bad", fmt.Sprint("own-", i))
		tracker.ServerCrashed(second(float64(i)), sound, server)
		tracker.ServerCrashed(second(float64(i)), fatal, server)
	}
	require.Zero(t, tracker.RefusedFor(second(3), sound))
	for _, server := range []string{"d", "e", "f"} {
		require.Zero(t, tracker.RefusedFor(second(3), fatal))
		tracker.ServerCrashed(second(3), fatal, server)
	}
	require.Positive(t, tracker.RefusedFor(second(3), fatal), "three crashes of its own")
	require.Equal(t, map[Fingerprint]bool{fatal: true}, tracker.AllRefused(second(3)))
}

// Guards against refusing a sound request because the crash of one of the requests beside it is not on record: its entry
// has terminated.
func TestAPartExplainsCrashesAlthoughOneIsNotOnRecord(t *testing.T) {
	tracker, tr := NewTracker(), NewPartTracker()
	tracker.SetParts(tr)
	sound, own := request("sound"), parts("shared", "own")
	for i, server := range []string{"a", "b", "c"} {
		tracker.ServerCrashed(second(float64(i)), sound, server)
		if i > 0 {
			tr.crash(float64(i), server, "shared", "own")
			tr.crash(float64(i), server, "bad")
		}
	}
	require.Zero(t, tracker.RefusedForWith(second(3), sound, own))
	require.Positive(t, tracker.RefusedForWith(second(3), sound, append(own, parts("bad")...)), "its own parts explain nothing")
}

// Guards against parts that hide each other because others with the same parts are always beside them.
func TestPartsThatStayInseparableAreRefused(t *testing.T) {
	tr := NewPartTracker()
	for i := range inseparablePartCrashLimit {
		require.False(t, tr.refuses(float64(i), "bad", "other"))
		tr.crash(float64(i), fmt.Sprint(i), "bad", fmt.Sprint("own-", i))
		tr.crash(float64(i), fmt.Sprint(i), "rare", fmt.Sprint("beside-", i))
	}
	require.True(t, tr.refuses(5, "bad", "other"))
	require.True(t, tr.refuses(5, "rare"))
	tr.Completed(second(6), parts("rare"))
	require.True(t, tr.refuses(6, "bad", "other"))
	require.False(t, tr.refuses(6, "rare"))
}

// Guards against records that an entry can't use, or that would extend a quarantine.
func TestInvalidPartRecordsAreIgnored(t *testing.T) {
	tr := NewPartTracker()
	part := PartFingerprint("bad")
	require.Empty(t, tr.Merge(start, []PartRecord{{Part: part, Age: -1}, {Part: part, Age: RecordTTL}, {Part: part, Crashes: make([]PartCrash, maxPartCrashes+1)},
		{Part: part, Crashes: []PartCrash{{Server: 1, Age: -1}}}, {Part: part, Crashes: []PartCrash{{Server: 1, SentAge: 1, Age: 2}}}}))
	require.True(t, tr.Empty())
	source := NewPartTracker()
	for i := range 3 {
		source.crash(float64(i), fmt.Sprint(i), "bad")
	}
	late := second(2).Add(RecordTTL - time.Minute)
	tr.Merge(late, source.Records(late))
	require.Equal(t, time.Minute, tr.RefusedFor(late, parts("bad")))
}

// Servers crash under thousands of different parts. The records and crashes stay bounded, refused parts stay refused.
func TestPartRecordsAreBounded(t *testing.T) {
	tr := NewPartTracker()
	for i := range 3 {
		tr.crash(float64(i), fmt.Sprint(i), "bad")
	}
	for i := range 5000 {
		tr.crash(float64(i)/100, fmt.Sprint("s", i), fmt.Sprint("own-", i))
		require.LessOrEqual(t, len(tr.records), MaxRecords)
	}
	require.True(t, tr.refuses(50, "bad"))
	for i := range 100 {
		tr.crash(float64(60+i), fmt.Sprint("t", i), "bad")
	}
	require.Len(t, tr.records[PartFingerprint("bad")].crashes, maxPartCrashes)
	require.True(t, tr.refuses(160, "bad"))
}

// Entries learn of crashes and answers in any order, late, twice or not at all. Once they have exchanged all records
// their digests are equal, and they refuse the same requests.
func TestEntriesWithTheSamePartRecordsDecideAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		trackers := []*PartTracker{NewPartTracker(), NewPartTracker(), NewPartTracker()}
		at := 0.0
		draw := func(n int, name string) int { return rapid.IntRange(0, n-1).Draw(t, name) }
		for range draw(40, "events") {
			at += []float64{0, 0.2, 3}[draw(3, "pause")]
			tracker := trackers[draw(3, "entry")]
			ids := []string{"a", "b", "c"}[:1+draw(3, "parts")]
			switch draw(4, "event") {
			case 0:
				tracker.Completed(second(at), parts(ids...))
			default:
				tracker.crash(at, fmt.Sprint(draw(9, "server")), ids...)
			}
		}
		at += 1 + 2*answeredTime.Seconds() // no entry knows of an answer of its own any more
		for range 2 {
			for _, from := range trackers {
				for _, to := range trackers {
					to.Merge(second(at), from.Records(second(at)))
				}
			}
		}
		for _, tracker := range trackers[1:] {
			require.Equal(t, trackers[0].Digest(), tracker.Digest())
			require.Equal(t, trackers[0].AllRefused(second(at)), tracker.AllRefused(second(at)))
		}
	})
}

// One part crashes each server that begins to write an answer on it; sound requests, which share their other parts
// with it, run beside it and are sent to a second server; some are answered. The part is refused before it has
// crashed more than inseparablePartCrashLimit servers. Sound requests are not, unless one of their parts was at all
// these crashes and has had no answer since, and none is once it has had one.
func TestSoundRequestsBesideAPartAreServed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := NewPartTracker()
		draw := func(n int, name string) int { return rapid.IntRange(0, n-1).Draw(t, name) }
		sound := func(i int) []Fingerprint {
			return parts("first", fmt.Sprint("document-", i%4), fmt.Sprint("own-", i))
		}
		at, crashes, sent := 0.0, 0, map[int]int{}
		for i := 0; ; i++ {
			poison := parts("first", fmt.Sprint("document-", draw(4, "document")), "bad", fmt.Sprint("poison-", i))
			if tr.RefusedFor(second(at), poison) > 0 {
				break
			}
			crashes++
			require.LessOrEqual(t, crashes, inseparablePartCrashLimit)
			at++
			beside := map[int]bool{}
			for range draw(6, "beside") {
				if j := draw(20, "which"); sent[j] < 2 && !beside[j] {
					sent[j]++
					beside[j] = true
				}
			}
			server := fmt.Sprint(crashes)
			tr.ServerCrashed(second(at), second(at-0.5), poison, server)
			for j := range beside {
				tr.ServerCrashed(second(at), second(at-0.4), sound(j), server)
			}
			for j := 0; j < 20 && crashes < inseparablePartCrashLimit; j++ {
				require.Zero(t, tr.RefusedFor(second(at), sound(j)), "crash %d, request %d", crashes, j)
			}
			tr.Completed(second(at+0.1), sound(100+draw(4, "answered")))
		}
		for j := range 4 {
			tr.Completed(second(at+0.2), sound(j))
		}
		for j := range 20 {
			require.Zero(t, tr.RefusedFor(second(at+0.2), sound(100+j)))
		}
		require.Positive(t, tr.RefusedFor(second(at+0.2), parts("first", "bad")))
	})
}
