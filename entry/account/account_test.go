package account

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var logStart = time.Date(2026, 3, 1, 10, 0, 0, 0, time.UTC)

func stamp(ms int) string {
	return logStart.Add(time.Duration(ms) * time.Millisecond).Format(time.RFC3339Nano)
}

func chosenLine(at int, entry, request string, tokens int, waited, predicted int) string {
	return fmt.Sprintf(`{"msg":"server chosen","time":%q,"name":%q,"request":%q,"route":"r","tokens":%d,"waitedMs":%d,"predictedMs":%d}`,
		stamp(at), entry, request, tokens, waited, predicted) + "\n"
}

func endedLine(at int, entry, request string, rest string) string {
	return fmt.Sprintf(`{"msg":"request ended","time":%q,"name":%q,"request":%q,"route":"r","targetMs":300,"gapMs":250,%s}`, stamp(at), entry, request, rest) + "\n"
}

func read(t *testing.T, files ...string) (*Report, []*BadLine) {
	t.Helper()
	a := New()
	var bad []*BadLine
	var inputs []Input
	for i, file := range files {
		inputs = append(inputs, Input{fmt.Sprintf("log%d", i), strings.NewReader(file)})
	}
	require.NoError(t, a.Read(inputs, func(b *BadLine) { bad = append(bad, b) }, func(int) {}))
	return a, bad
}

// Each request has exactly one cause, determined from the last choice of a server for it and from
// how it ended.
func TestEachRequestHasOneCause(t *testing.T) {
	const answered = `"tookMs":1000,"outcome":"finished",`
	for _, c := range []struct {
		want              Cause
		waited, predicted int
		choices           int
		end               string
	}{
		{InTime, 0, 100, 1, answered + `"firstMs":200,"longestGapMs":100`},
		{PredictedLate, 0, 400, 1, answered + `"firstMs":500,"longestGapMs":100`},
		{PredictedInTime, 0, 200, 1, answered + `"firstMs":500,"longestGapMs":100`},
		{WaitedAtEntry, 200, 200, 1, answered + `"firstMs":500,"longestGapMs":100`},
		{Pause, 0, 200, 1, answered + `"firstMs":200,"longestGapMs":251`},
		{Retried, 0, 200, 2, answered + `"firstMs":500,"longestGapMs":1`},
		{Retried, 0, 200, 2, answered + `"firstMs":200,"longestGapMs":1500`},
		{RefusedStopping, 0, 0, 0, `"code":"stopping","outcome":"notRun"`},
		{RefusedQueue, 0, 0, 0, `"code":"queue_full","outcome":"notRun"`},
		{RefusedInfeasible, 0, 0, 0, `"code":"deadline_infeasible","outcome":"notRun"`},
		{RefusedQuarantined, 0, 0, 0, `"code":"quarantined","outcome":"notRun"`},
		{RefusedOther, 0, 0, 0, `"code":"something_new","outcome":"notRun"`},
		{Denied, 0, 0, 0, `"code":"no_route","outcome":"notRun"`},
		{TimedOut, 0, 100, 1, `"code":"route_timeout","outcome":"unknown"`},
		{ServerFailed, 0, 100, 1, `"code":"connection_lost","outcome":"unknown"`},
		{ServerFailed, 0, 100, 1, `"code":"engine_failed","outcome":"failed","firstMs":20`},
		{EntryTerminated, 0, 100, 1, `"code":"stopping","outcome":"unknown","firstMs":20`},
		{CallerDisconnected, 0, 100, 1, `"code":"caller_gone","outcome":"unknown"`},
	} {
		log := ""
		for range c.choices {
			log += chosenLine(0, "e1", "a", 5000, c.waited, c.predicted)
		}
		a, bad := read(t, log+endedLine(1000, "e1", "a", c.end))
		require.Empty(t, bad)
		require.Equal(t, map[Cause]int{c.want: 1}, a.All.Causes, c.end)
	}
}

// The requests of a killed entry have no end in the logs; its next start must end them. Requests
// that are open at the end of the logs must be counted too.
func TestWhatAKilledEntryHadBegunIsCounted(t *testing.T) {
	a, _ := read(t, chosenLine(0, "e1", "a", 5000, 0, 100)+`{"msg":"started","time":"`+stamp(900)+`","name":"e1"}`+"\n"+chosenLine(1000, "e1", "b", 5000, 0, 100),
		chosenLine(10, "e2", "c", 5000, 0, 100)+endedLine(1500, "e2", "c", `"tookMs":1490,"outcome":"finished","firstMs":100`))
	require.Equal(t, map[Cause]int{EntryTerminated: 1, Unfinished: 1, InTime: 1}, a.All.Causes)
}

// Short prompts that begin at one entry while a long prompt is open at another must be counted
// apart from the others; the slowdown is the ratio of the medians.
func TestSlowdownBesideLongPromptsOfOtherEntries(t *testing.T) {
	first := chosenLine(100, "e1", "long", 150_000, 0, 900) + endedLine(3000, "e1", "long", `"tookMs":2900,"outcome":"finished","firstMs":900`)
	second := ""
	for i := range 20 {
		at, ms := 200+i, 200
		if i >= 10 {
			at, ms = 4000+i, 100
		}
		second += chosenLine(at, "e2", fmt.Sprint("s", i), 5000, 0, 50)
		second += endedLine(at+500, "e2", fmt.Sprint("s", i), fmt.Sprintf(`"tookMs":500,"outcome":"finished","firstMs":%d`, ms))
	}
	a, _ := read(t, first, sortLines(second))
	require.InDelta(t, 2, a.ByLengthClass[lengthClassOf(5000)].Slowdown(), 0.05)
	require.Zero(t, a.ByLengthClass[lengthClassOf(150_000)].Slowdown())
}

// sortLines sorts lines by time, the order in which a daemon writes them.
func sortLines(log string) string {
	lines := strings.SplitAfter(log, "\n")
	time := func(line string) string {
		_, rest, _ := strings.Cut(line, `"time":`)
		return rest
	}
	for i := range lines {
		for j := i; j > 0 && time(lines[j]) < time(lines[j-1]) && lines[j] != ""; j-- {
			lines[j], lines[j-1] = lines[j-1], lines[j]
		}
	}
	return strings.Join(lines, "")
}

// Invalid lines must be reported with file and line number and counted, and the lines around them
// read. A log collector's prefix before the JSON object must be skipped.
func TestBadLinesAreNamedAndTheOthersRead(t *testing.T) {
	log := "not a line\n" + "  12.5 entry-1 " + chosenLine(0, "e1", "a", 5000, 0, 100) + "{\"msg\":\n\n" + strings.Repeat("x", maxLineBytes+10) + "\n" +
		endedLine(500, "e1", "a", `"tookMs":500,"outcome":"finished","firstMs":100`) + "{}"
	a, bad := read(t, log)
	require.Equal(t, 1, a.All.Causes[InTime])
	var at []int
	for _, b := range bad {
		at = append(at, b.Line)
	}
	require.Equal(t, []int{1, 3, 5, 7}, at)
	require.Equal(t, 4, a.BadLines)
	require.Contains(t, bad[0].Error(), "log0:1: ")
}

// Long logs must widen the time buckets instead of adding more of them, without losing requests.
func TestTimeBucketsAreBounded(t *testing.T) {
	log := ""
	for i := range 5 * maxBuckets {
		log += chosenLine(i*1000, "e1", fmt.Sprint(i), 100, 0, 1) + endedLine(i*1000+10, "e1", fmt.Sprint(i), `"tookMs":10,"outcome":"finished","firstMs":9`)
	}
	a, _ := read(t, log)
	require.LessOrEqual(t, len(a.Buckets), maxBuckets)
	require.Equal(t, 8*time.Second, a.BucketWidth)
	sum := 0
	for _, bucket := range a.Buckets {
		sum += bucket.Requests
	}
	require.Equal(t, a.All.Requests, sum)
}

func TestTableListAndPlot(t *testing.T) {
	log := chosenLine(0, "e1", "a", 5000, 0, 400) + endedLine(900, "e1", "a", `"tookMs":900,"outcome":"finished","firstMs":600`) +
		endedLine(2000, "e1", "b", `"code":"stopping","outcome":"notRun"`)
	a, _ := read(t, log)
	var table, csv, plot strings.Builder
	require.NoError(t, a.WriteTable(&table))
	require.Contains(t, table.String(), "predicted late")
	require.Contains(t, table.String(), "up to 8k")
	require.NoError(t, a.WriteCSV(&csv))
	require.Contains(t, csv.String(), "route,r,refused: stopping,1")
	require.NoError(t, a.WritePlot(&plot))
	require.Contains(t, plot.String(), "<svg")
}

// The report must group by the link of the entry's host, by unseen requests, and by the prefills
// beside paused answers. Of four requests at one server, the third was chosen with all requests
// known and its answer paused during the prefill of a long prompt; the second was chosen by an
// entry that did not know of the first.
func TestReportGroupsByLinkUnseenRequestsAndPrefills(t *testing.T) {
	chosen := func(at int, entry, request string, tokens, known int, helpers string) string {
		return fmt.Sprintf(`{"msg":"server chosen","time":%q,"name":%q,"request":%q,"route":"r","tokens":%d,"server":"s1","serverRequests":%d,"helpers":[%s]}`,
			stamp(at), entry, request, tokens, known, helpers) + "\n"
	}
	started := func(entry string, link int) string {
		return fmt.Sprintf(`{"msg":"started","time":%q,"name":%q,"linkMbps":%d}`, stamp(0), entry, link) + "\n"
	}
	answered := `"tookMs":1000,"outcome":"finished","firstMs":100,"longestGapMs":%d`
	a, bad := read(t, started("big", 200)+chosen(1, "big", "a", 1000, 0, "")+chosen(20, "big", "c", 1000, 2, "")+
		endedLine(1010, "big", "a", fmt.Sprintf(answered, 10))+endedLine(1020, "big", "c", fmt.Sprintf(answered, 400)),
		started("small", 20)+chosen(10, "small", "b", 1000, 0, "")+chosen(500, "small", "d", 400_000, 3, `"s2"`)+
			endedLine(1030, "small", "b", fmt.Sprintf(answered, 10))+endedLine(1400, "small", "d", fmt.Sprintf(answered, 10)))
	require.Empty(t, bad)
	require.Equal(t, 2, a.ByLink[200].Requests)
	require.Equal(t, 1, a.ByLink[200].Causes[Pause])
	require.Equal(t, 2, a.ByLink[20].Requests)
	require.Equal(t, 3, a.ByUnseen[0].Requests)
	require.Equal(t, 1, a.ByUnseen[1].Requests)
	require.Equal(t, PauseStats{Answers: 1, ByPrefills: [4]int{0, 1}, LongestPrefills: []int64{200_000}}, a.Pauses)
	var table strings.Builder
	require.NoError(t, a.WriteTable(&table))
	require.Contains(t, table.String(), "20 Mbit/s")
	require.Contains(t, table.String(), "200000")
}

// Several servers crash. Four of them crash under one request, submitted three times at two
// entries, always before its first event; another request ran beside it twice and had events.
// The table must list the first request first, and omit a request that was there only once.
func TestRequestsUnderWhichServersCrashAreListed(t *testing.T) {
	attempt := func(at int, entry, request, fingerprint, server, rest string) string {
		return fmt.Sprintf(`{"msg":"try ended","time":%q,"name":%q,"request":%q,"fingerprint":%q,"server":%q,"result":"broken"%s}`, stamp(at), entry, request,
			fingerprint, server, rest) + "\n"
	}
	const crashed = `,"serverEnded":true`
	log := attempt(0, "e1", "a1", "aa", "s1", crashed) + attempt(10, "e1", "b1", "bb", "s1", crashed+`,"answerMs":700`) +
		attempt(100, "e1", "a1", "aa", "s2", crashed) + attempt(110, "e1", "b1", "bb", "s2", crashed+`,"answerMs":20`) +
		attempt(120, "e1", "c1", "cc", "s2", crashed) +
		attempt(200, "e2", "a2", "aa", "s3", crashed) + attempt(210, "e2", "a2", "aa", "s3", crashed) +
		attempt(300, "e2", "a3", "aa", "s4", crashed) + attempt(400, "e2", "a3", "aa", "s5", `,"serverEnded":false`) +
		endedLine(500, "e2", "a3", `"code":"connection_lost","outcome":"unknown"`)
	a, bad := read(t, log)
	require.Empty(t, bad)
	suspects := a.SuspectRequests()
	require.Len(t, suspects, 2)
	require.Equal(t, []string{"aa", "bb"}, []string{suspects[0].Fingerprint, suspects[1].Fingerprint})
	require.Equal(t, []int{4, 4, 3, 2}, []int{len(suspects[0].CrashedServers), len(suspects[0].CrashedBeforeFirstEvent), len(suspects[0].RequestIDs), len(suspects[0].Entries)})
	require.Equal(t, []int{2, 0}, []int{len(suspects[1].CrashedServers), len(suspects[1].CrashedBeforeFirstEvent)})
	var table strings.Builder
	require.NoError(t, a.WriteTable(&table))
	require.Contains(t, table.String(), "request under which servers ended")
	require.Regexp(t, `aa +4 +4 +3 +2 +10:00:00 +10:00:00`, table.String())
}

// Callers of zone b are late while zone a has room. The report must show the zones apart, and what came of the
// placements that entries of b asked of a.
func TestReportGroupsByZoneAndCountsPlacementsInOthers(t *testing.T) {
	started := func(entry, zone string) string {
		return fmt.Sprintf(`{"msg":"started","time":%q,"name":%q,"zone":%q}`, stamp(0), entry, zone) + "\n"
	}
	placement := func(at int, entry, outcome string) string {
		return fmt.Sprintf(`{"msg":"placement in another zone ended","time":%q,"name":%q,"zone":"a","outcome":%q}`, stamp(at), entry, outcome) + "\n"
	}
	answered := `"tookMs":1000,"outcome":"finished","firstMs":%d`
	r, bad := read(t, started("a1", "a")+chosenLine(1, "a1", "x", 1000, 0, 100)+endedLine(1010, "a1", "x", fmt.Sprintf(answered, 100)),
		started("b1", "b")+chosenLine(1, "b1", "y", 1000, 0, 100)+placement(2, "b1", "placed")+placement(3, "b1", "placed")+placement(4, "b1", "lost")+
			endedLine(1010, "b1", "y", fmt.Sprintf(answered, 900)))
	require.Empty(t, bad)
	require.Equal(t, 1, r.ByZone["a"].Causes[InTime])
	require.Equal(t, 0, r.ByZone["b"].Causes[InTime])
	require.Equal(t, placements{{"b", "a"}: {"placed": 2, "lost": 1}}, r.placements)
	var table strings.Builder
	require.NoError(t, r.WriteTable(&table))
	require.Regexp(t, `placements asked by zone +of zone +placed +refused +unused +lost +withdrawn\n +b +a +2 +0 +0 +1 +0`, table.String())
}
