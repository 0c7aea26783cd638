package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func request(name string) Fingerprint {
	return FingerprintOf("press", "POST", "press.example", "/stream/"+name, []byte(name))
}

// A request is repeated and crashes a server each time. It is refused from the third crash on, for as long as it
// is remembered.
func TestARequestIsRefusedOnceItHasCrashedThreeServers(t *testing.T) {
	tracker := NewTracker()
	f := request("fatal")
	for i, server := range []string{"a", "b", "b", "c"} {
		require.Zero(t, tracker.RefusedFor(start, f), server)
		_, isNew := tracker.ServerCrashed(start, f, server)
		require.Equal(t, i != 2, isNew)
	}
	require.Equal(t, RecordTTL, tracker.RefusedFor(start, f))
	require.Equal(t, RecordTTL-time.Minute, tracker.RefusedFor(start.Add(time.Minute), f))
	require.Zero(t, tracker.RefusedFor(start, request("another")))
	tracker.Expire(start.Add(RecordTTL - 1))
	require.False(t, tracker.Empty())
	tracker.Expire(start.Add(RecordTTL))
	require.True(t, tracker.Empty())
}

// An innocent request runs beside the culprit, is sent to the next server and meets it there again, and once more
// when its caller repeats it. It was at three crashes, for the last of which the record of the culprit has not
// arrived. It must be served; the culprit is refused after two more crashes.
func TestARequestBesideTheCulpritIsNotTakenForIt(t *testing.T) {
	tracker := NewTracker()
	culprit, innocent := request("fatal"), request("sound")
	for _, server := range []string{"a", "b"} {
		tracker.ServerCrashed(start, innocent, server)
		tracker.ServerCrashed(start, culprit, server)
	}
	tracker.ServerCrashed(start, innocent, "c")
	require.Zero(t, tracker.RefusedFor(start, innocent), "before the record")
	tracker.ServerCrashed(start, culprit, "c")
	require.Zero(t, tracker.RefusedFor(start, innocent), "after the record")
	require.Zero(t, tracker.RefusedFor(start, culprit), "either may be the culprit")
	tracker.ServerCrashed(start, culprit, "d")
	require.Zero(t, tracker.RefusedFor(start, culprit))
	tracker.ServerCrashed(start, culprit, "e")
	require.Positive(t, tracker.RefusedFor(start, culprit))
	require.Zero(t, tracker.RefusedFor(start, innocent))
}

// Two requests that both crash servers always meet. Neither must hide behind the other for long.
func TestTwoCulpritsDoNotHideEachOther(t *testing.T) {
	tracker := NewTracker()
	for i := range CrashLimit {
		require.Zero(t, tracker.RefusedFor(start, request("one")))
		tracker.ServerCrashed(start, request("one"), fmt.Sprint(i))
		tracker.ServerCrashed(start, request("two"), fmt.Sprint(i))
	}
	require.Positive(t, tracker.RefusedFor(start, request("one")))
	require.Positive(t, tracker.RefusedFor(start, request("two")))
}

// Guards against releasing a refused culprit. Another request, innocent or a second culprit, was beside it once and
// then meets a crash elsewhere: at two crashes, one of them shared, it doesn't explain any of the three.
func TestARefusedCulpritIsNotReleasedByARequestAtFewerCrashes(t *testing.T) {
	tracker := NewTracker()
	culprit, other := request("fatal"), request("other")
	for _, server := range []string{"a", "b", "c"} {
		tracker.ServerCrashed(start, culprit, server)
	}
	tracker.ServerCrashed(start, other, "b")
	require.Positive(t, tracker.RefusedFor(start, culprit))
	tracker.ServerCrashed(start, other, "x")
	require.Positive(t, tracker.RefusedFor(start, culprit))
	tracker.ServerCrashed(start, other, "y")
	require.Zero(t, tracker.RefusedFor(start, culprit), "both were at three crashes: either may have caused the shared one")
}

// A request beside others at crashes is answered completely. Records that arrive late or repeatedly must not make
// it suspect again; later crashes count.
func TestACompleteAnswerClearsARequest(t *testing.T) {
	tracker := NewTracker()
	f := request("sound")
	late, _ := tracker.ServerCrashed(start, f, "a")
	tracker.ServerCrashed(start, f, "b")
	tracker.ServerCrashed(start, f, "c")
	require.Positive(t, tracker.RefusedFor(start, f))
	_, isNew := tracker.Completed(start, f)
	require.True(t, isNew)
	require.Zero(t, tracker.RefusedFor(start, f))
	require.Empty(t, tracker.Merge(start, []Record{late}))
	later := start.Add(2 * ExonerationTime)
	tracker.ServerCrashed(later, f, "d")
	tracker.ServerCrashed(later, f, "e")
	require.Zero(t, tracker.RefusedFor(later, f))
	tracker.ServerCrashed(later, f, "f")
	require.Positive(t, tracker.RefusedFor(later, f))
}

// Many callers of a workspace repeat the same status request and are answered. Then the whole rack of its three
// servers fails, and the request has just started at each of them. It must not be refused when they are back.
// Only a request that is no longer answered is suspected.
func TestARecentlyAnsweredRequestIsExonerated(t *testing.T) {
	tracker := NewTracker()
	f := request("status")
	_, isNew := tracker.Completed(start, f)
	require.False(t, isNew, "it has no record")
	for _, server := range []string{"a", "b", "c"} {
		_, isNew := tracker.ServerCrashed(start.Add(ExonerationTime), f, server)
		require.False(t, isNew)
	}
	require.True(t, tracker.Empty())
	for _, server := range []string{"d", "e", "f"} {
		tracker.ServerCrashed(start.Add(2*ExonerationTime), f, server)
	}
	require.Positive(t, tracker.RefusedFor(start.Add(2*ExonerationTime), f))
}

// An entry answers many requests a second for a long time. The exonerated requests are bounded and include the
// newest.
func TestExoneratedRequestsAreBounded(t *testing.T) {
	tracker := NewTracker()
	for i := range 10 * maxExonerated {
		f := request(fmt.Sprint(i))
		tracker.Completed(start.Add(time.Duration(i)*time.Millisecond), f)
		require.LessOrEqual(t, len(tracker.exonerated.current)+len(tracker.exonerated.previous), 2*maxExonerated)
		_, isNew := tracker.ServerCrashed(start.Add(time.Duration(i)*time.Millisecond), f, "a")
		require.False(t, isNew)
	}
}

// Servers crash under one request each, many thousand times, as in a lasting failure of half a fleet. The records
// stay bounded, and refused requests stay refused.
func TestRecordsAreBounded(t *testing.T) {
	tracker := NewTracker()
	for _, server := range []string{"a", "b", "c"} {
		tracker.ServerCrashed(start, request("fatal"), server)
	}
	for i := range 20_000 {
		at := start.Add(time.Duration(i) * time.Millisecond)
		tracker.ServerCrashed(at, request(fmt.Sprint(i)), fmt.Sprint("s", i))
		require.LessOrEqual(t, len(tracker.records), MaxRecords)
	}
	require.Positive(t, tracker.RefusedFor(start, request("fatal")))
	require.Len(t, tracker.records, MaxRecords)
	require.Len(t, tracker.AllRefused(start), 1)
	for i := range 100 {
		tracker.ServerCrashed(start, request("fatal"), fmt.Sprint("t", i))
	}
	require.Len(t, tracker.records[request("fatal")].crashes, CrashLimit)
}

// Records of another entry with past or future times must not keep a request for longer than RecordTTL.
func TestMergingDoesNotExtendTheTTL(t *testing.T) {
	first, second := NewTracker(), NewTracker()
	f := request("fatal")
	for _, server := range []string{"a", "b", "c"} {
		first.ServerCrashed(start, f, server)
	}
	later := start.Add(RecordTTL - time.Minute)
	require.Len(t, second.Merge(later, first.Records(later)), 1)
	require.Equal(t, time.Minute, second.RefusedFor(later, f))
	second.Expire(later.Add(time.Minute))
	require.True(t, second.Empty())
	require.Empty(t, second.Merge(start, []Record{{Fingerprint: f, Crashes: []uint64{1}, Age: RecordTTL}, {Fingerprint: f, Crashes: []uint64{1}, Age: -1}}))
	require.True(t, second.Empty())
}

// Entries learn of crashes and answers in any order, late, twice or not at all. Once they have exchanged all
// records they decide alike, and their digests are equal.
func TestEntriesWithTheSameRecordsDecideAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		trackers := []*Tracker{NewTracker(), NewTracker(), NewTracker()}
		var exported []Record
		requests := []Fingerprint{request("a"), request("b"), request("c")}
		now := start
		for range rapid.IntRange(0, 60).Draw(t, "events") {
			now = now.Add(rapid.SampledFrom([]time.Duration{0, ExonerationTime, 2 * ExonerationTime}).Draw(t, "pause"))
			tracker := trackers[rapid.IntRange(0, len(trackers)-1).Draw(t, "entry")]
			f := requests[rapid.IntRange(0, len(requests)-1).Draw(t, "request")]
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				if r, isNew := tracker.Completed(now, f); isNew {
					exported = append(exported, r)
				}
			case 1:
				if len(exported) > 0 {
					tracker.Merge(now, exported[rapid.IntRange(0, len(exported)-1).Draw(t, "news"):][:1])
				}
			default:
				if r, isNew := tracker.ServerCrashed(now, f, fmt.Sprint(rapid.IntRange(0, 7).Draw(t, "server"))); isNew {
					exported = append(exported, r)
				}
			}
		}
		for range 2 {
			for _, from := range trackers {
				for _, to := range trackers {
					to.Merge(now, from.Records(now))
				}
			}
		}
		for _, tracker := range trackers[1:] {
			require.Equal(t, trackers[0].Digest(), tracker.Digest())
			for _, f := range requests {
				require.Equal(t, trackers[0].RefusedFor(now, f) > 0, tracker.RefusedFor(now, f) > 0)
			}
		}
	})
}

// One request crashes each server that starts to run it. Innocent ones start beside it at random, are sent to
// four servers at most, and most of them are answered then. None of them is ever refused, and the culprit is
// before it has crashed more than CrashLimit servers.
func TestInnocentRequestsAreNeverRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := NewTracker()
		culprit := request("fatal")
		sent := map[Fingerprint]int{}
		servers := 0
		for tracker.RefusedFor(start, culprit) == 0 {
			server := fmt.Sprint(servers)
			servers++
			require.LessOrEqual(t, servers, CrashLimit)
			order := []Fingerprint{culprit}
			for i := range rapid.IntRange(0, 6).Draw(t, "beside") {
				f := request(fmt.Sprint(rapid.IntRange(0, 8).Draw(t, "which")))
				if sent[f] < 4 && !slices.Contains(order, f) {
					sent[f]++
					order = slices.Insert(order, rapid.IntRange(0, i).Draw(t, "place")%len(order), f)
				}
			}
			for _, f := range order {
				if f != culprit {
					require.Zero(t, tracker.RefusedFor(start, f))
				}
				tracker.ServerCrashed(start, f, server)
			}
			for f := range sent {
				require.Zero(t, tracker.RefusedFor(start, f))
				if rapid.IntRange(0, 3).Draw(t, "answered") > 0 {
					tracker.Completed(start, f)
				}
			}
		}
	})
}

// A server crashes while it writes answers. Those that have lasted for longer did not cause it; those that have
// just started may have.
func TestOnlyARecentlyStartedRequestMayHaveCrashedItsServer(t *testing.T) {
	require.True(t, RecentlyStarted(start, time.Time{}), "no event yet")
	require.True(t, RecentlyStarted(start, start.Add(-StartWindow/2)))
	require.False(t, RecentlyStarted(start, start.Add(-StartWindow)))
}

// Two entries learn of more crashes than are kept of a request, in opposite orders. They must keep the same ones,
// or they would exchange all records for ever.
func TestEntriesKeepTheSameCrashes(t *testing.T) {
	first, second := NewTracker(), NewTracker()
	const crashes = CrashLimit + 2
	for i := range crashes {
		first.ServerCrashed(start, request("fatal"), fmt.Sprint(i))
		second.ServerCrashed(start, request("fatal"), fmt.Sprint(crashes-1-i))
	}
	require.Equal(t, first.Digest(), second.Digest())
}
