package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusdeck/core/directory"
	"arbutusdeck/core/enginemodel"
)

var start = time.Unix(1000, 0)

var engine = &enginemodel.Engine{Slots: 16, MemoryTokens: 315_000, StepMs: 0.85, StepPerAnswerMs: 0.00425, StepPerContextMs: 0.00285,
	ReadPerMs: 177, PairsMs: 0.184, Chunk: 2048, Stride: 51, UsualAnswer: 1622}

func fleet(count int) []directory.Server {
	var servers []directory.Server
	for i := range count {
		servers = append(servers, directory.Server{ID: fmt.Sprintf("s%02d", i), Service: "engines", Zone: "here", Slots: 16})
	}
	return servers
}

func newTable() *LoadTable { return NewLoadTable(DefaultOptions("here")) }

func shortQuery(servers []directory.Server) Query {
	return Query{Servers: servers, Engine: engine, PromptTokens: 5000, AnswerTokens: 1600, Target: 300 * time.Millisecond,
		Gap: 250 * time.Millisecond, Remaining: 10 * time.Second}
}

func longQuery(servers []directory.Server, tokens int64) Query {
	return Query{Servers: servers, Engine: engine, PromptTokens: tokens, AnswerTokens: 800, Target: 3 * time.Second, Gap: time.Second, Remaining: 15 * time.Second}
}

// addAnswer adds an answer that a server is writing.
func addAnswer(table *LoadTable, id, server string, q Query) {
	table.Begin(start, Dispatch{ID: id, Server: server, PromptTokens: q.PromptTokens, AnswerTokens: q.AnswerTokens, Gap: q.Gap, Target: q.Target, Lifetime: q.Remaining}, engine, 0)
	table.FirstEvent(start, id)
}

func choose(t *testing.T, table *LoadTable, q Query) Choice {
	t.Helper()
	choice, refusal := table.Choose(start, q)
	require.Empty(t, refusal)
	return choice
}

func usedServers(choice Choice) map[string]bool {
	ids := map[string]bool{choice.Server.ID: true}
	for _, helper := range choice.Helpers {
		ids[helper.ID] = true
	}
	return ids
}

// One server needs 3.05 s for 154,000 tokens, more than the target of 3 s even when it is idle: the prompt
// has to be divided.
func TestALongPromptIsDividedUntilItIsInTime(t *testing.T) {
	choice := choose(t, newTable(), longQuery(fleet(16), 154_000))
	require.Greater(t, len(choice.Helpers), 1)
	require.Less(t, choice.Predicted, 2*time.Second)
	require.Empty(t, choice.Reserved, "one server holds it")
	require.Len(t, usedServers(choice), len(choice.Helpers)+1, "every server prefills one part")
}

func TestAShortPromptIsNotDivided(t *testing.T) {
	require.Empty(t, choose(t, newTable(), shortQuery(fleet(16))).Helpers)
}

// Three of sixteen servers write short answers. Parts of a very long prompt there would lengthen their gaps
// beyond a quarter of a second; the other thirteen are free.
func TestPartsKeepAwayFromShortAnswers(t *testing.T) {
	table, servers := newTable(), fleet(16)
	for i := range 12 {
		addAnswer(table, fmt.Sprintf("short%d", i), servers[i%3].ID, shortQuery(servers))
	}
	choice := choose(t, table, longQuery(servers, 220_000))
	for i := range 3 {
		require.NotContains(t, usedServers(choice), servers[i].ID)
	}
}

// aboutToAnswer adds a prompt that a server is about to answer: its part there is prefilled, and a helper
// still prefills another one.
func aboutToAnswer(table *LoadTable, id, server, helper string, q Query) {
	table.Begin(start, Dispatch{ID: id, Server: server, Helpers: []string{helper}, PromptTokens: q.PromptTokens, AnswerTokens: q.AnswerTokens, Gap: q.Gap,
		Target: q.Target, Lifetime: q.Remaining}, engine, 0)
	for _, w := range table.servers[server].workItems {
		w.prefillMs = 0
	}
}

// Guards against gaps of seconds right after the first event of a long answer. A longer prompt that is sent to its
// server some ms before that event finds no answer in the load table there.
func TestALongPrefillKeepsAwayFromAnswersThatAreAboutToBegin(t *testing.T) {
	table, servers := newTable(), fleet(17)
	aboutToAnswer(table, "long", "s00", "s16", longQuery(servers, 200_000))
	choice := choose(t, table, longQuery(servers[:16], 400_000))
	require.NotContains(t, usedServers(choice), "s00")
}

// A part that is prefilled before another prompt delays that prompt's first event but lengthens no gap.
func TestAPrefillThatGoesFirstLengthensNoGap(t *testing.T) {
	table := newTable()
	q := longQuery(fleet(1), 200_000)
	table.Begin(start, Dispatch{ID: "waits", Server: "s00", PromptTokens: q.PromptTokens, Gap: q.Gap, Target: q.Target, Lifetime: q.Remaining}, engine, 0)
	c := &candidate{}
	table.assess(start, q, q.Servers[0], c)
	require.Zero(t, table.gapLoss(c, 2000, true))
	require.Positive(t, table.gapLoss(c, 2000, false), "an undivided prompt is prefilled after it")
	addAnswer(table, "written", "s00", q)
	table.assess(start, q, q.Servers[0], c)
	require.Positive(t, table.gapLoss(c, 2000, true), "beside an answer a pass takes all prefills")
}

// Short answers are packed: another one joins those at their server instead of taking a server that long
// prompts could be prefilled on.
func TestShortAnswersArePacked(t *testing.T) {
	table, servers := newTable(), fleet(16)
	for i := range 8 {
		addAnswer(table, fmt.Sprintf("short%d", i), "s05", shortQuery(servers))
	}
	require.Equal(t, "s05", choose(t, table, shortQuery(servers)).Server.ID)
	for i := range 8 {
		addAnswer(table, fmt.Sprintf("more%d", i), "s05", shortQuery(servers))
	}
	require.NotEqual(t, "s05", choose(t, table, shortQuery(servers)).Server.ID, "its slots are taken")
}

// A server that writes short answers attracts others, but it also prefills a long prompt: a short prompt
// would wait there for three seconds.
func TestAShortPromptAvoidsAServerThatPrefills(t *testing.T) {
	table, servers := newTable(), fleet(2)
	for i := range 4 {
		addAnswer(table, fmt.Sprintf("short%d", i), "s00", shortQuery(servers))
	}
	require.Equal(t, "s00", choose(t, table, shortQuery(servers)).Server.ID)
	table.Begin(start, Dispatch{ID: "long", Server: "s00", PromptTokens: 154_000, AnswerTokens: 800, Gap: time.Second, Target: 3 * time.Second, Lifetime: 15 * time.Second}, engine, 0)
	require.Equal(t, "s01", choose(t, table, shortQuery(servers)).Server.ID)
}

// 500,000 tokens fit no single server: they are spread over reservations that together suffice, and none of
// them exceeds a server's memory.
func TestAPromptLargerThanAServerIsHeldInReservations(t *testing.T) {
	q := longQuery(fleet(16), 500_000)
	choice := choose(t, newTable(), q)
	require.Len(t, choice.Reserved, len(choice.Helpers)+1)
	sum := int64(0)
	for _, tokens := range choice.Reserved {
		require.LessOrEqual(t, tokens, engine.MemoryTokens)
		sum += tokens
	}
	require.Equal(t, q.PromptTokens+q.AnswerTokens, sum)
	require.Less(t, choice.Predicted, 3*time.Second)

	_, refusal := newTable().Choose(start, longQuery(fleet(1), 500_000))
	require.Equal(t, NoMemory, refusal)
}

// Four servers have the memory for 700,000 tokens, but need twelve seconds for their prefill. A reservation
// may wait for nine: the attempt would be cancelled during the prefill, and the memory would have been
// withheld from others for nothing. Sixteen servers are fast enough.
func TestAReservationEndsBeforeItCountsAsUnused(t *testing.T) {
	q := longQuery(fleet(4), 700_000)
	choice := choose(t, newTable(), q)
	require.Greater(t, choice.Predicted, 9*time.Second)
	q.ReservationTimeout = 9 * time.Second
	_, refusal := newTable().Choose(start, q)
	require.Equal(t, NoMemory, refusal)
	q.Servers = fleet(16)
	require.Less(t, choose(t, newTable(), q).Predicted, q.ReservationTimeout)
}

// Two of four servers have a quarter of a second of prefill left for prompts that are nearly due. An engine
// prefills the newest part first: four parts would serve the new prompt a little earlier and make both others
// late.
func TestPartsKeepAwayFromPromptsThatWouldBecomeLate(t *testing.T) {
	table, servers := newTable(), fleet(4)
	for _, server := range servers[:2] {
		table.Begin(start, Dispatch{ID: "waiting-" + server.ID, Server: server.ID, PromptTokens: 30_000, AnswerTokens: 800,
			Gap: time.Second, Target: 400 * time.Millisecond, Lifetime: 15 * time.Second}, engine, 0)
	}
	choice := choose(t, table, longQuery(servers, 200_000))
	require.NotContains(t, usedServers(choice), "s00")
	require.NotContains(t, usedServers(choice), "s01")
}

// Both servers write a long answer, and a prefill of 140,000 tokens would make its gap too long. A prompt
// that is late anyway waits at the entry until three quarters of its time are used. After that it is refused:
// the answers that it would delay are worth more than its own late one. Beside a single short answer it is
// sent.
func TestALatePromptWaitsWhileItWouldCostOthersMuch(t *testing.T) {
	table, servers := newTable(), fleet(2)
	for i, server := range servers {
		addAnswer(table, fmt.Sprintf("w%d", i), server.ID, longQuery(servers, 100_000))
	}
	q := longQuery(servers, 140_000)
	q.Target = time.Millisecond
	require.Positive(t, choose(t, table, q).Wait)
	q.Remaining = 1800 * time.Millisecond
	_, refusal := table.Choose(start, q)
	require.Equal(t, Overloaded, refusal)

	table = newTable()
	addAnswer(table, "short", "s00", shortQuery(servers))
	choice := choose(t, table, q)
	require.Zero(t, choice.Wait)
}

// The memory of both servers is taken. The prompt is refused at once: held back, it would be prefilled long
// after its target and make others late.
func TestAPromptWithoutMemoryIsRefusedAtOnce(t *testing.T) {
	table, servers := newTable(), fleet(2)
	for i, server := range servers {
		addAnswer(table, fmt.Sprintf("w%d", i), server.ID, longQuery(servers, 250_000))
	}
	_, refusal := table.Choose(start, longQuery(servers, 200_000))
	require.Equal(t, NoMemory, refusal)
}

// A burst takes all slots, and a queue forms at the engine. A short prompt that would wait there past its
// target is refused at once, so that those before it are served in time; while a slot is free none is
// refused.
func TestAShortPromptBeyondTheSlotsIsRefused(t *testing.T) {
	table, servers := newTable(), fleet(1)
	for i := range 15 {
		addAnswer(table, fmt.Sprintf("w%d", i), "s00", shortQuery(servers))
	}
	choose(t, table, shortQuery(servers))
	for i := range 12 {
		addAnswer(table, fmt.Sprintf("queued%d", i), "s00", shortQuery(servers))
	}
	choice, refusal := table.Choose(start, shortQuery(servers))
	require.Equal(t, Overloaded, refusal)
	require.Greater(t, choice.Predicted, 450*time.Millisecond)
}

// An entry is about to shut down. A request is refused if its answer may take longer than that, also if only
// because the server writes slowly beside other answers. Without a known end all requests are accepted.
func TestAnAnswerThatMayOutlastTheEntryIsRefused(t *testing.T) {
	table, servers := newTable(), fleet(1)
	q := shortQuery(servers)
	q.EntryLifetime = 4 * time.Second
	choice := choose(t, table, q)
	require.InDelta(t, 32*51*0.85, choice.AnswerTime.Milliseconds(), 100, "1,600 tokens are 32 passes of 51 steps")
	q.EntryLifetime = choice.Predicted + 2*choice.AnswerTime - time.Millisecond
	_, refusal := table.Choose(start, q)
	require.Equal(t, Outlasts, refusal)
	q.EntryLifetime = 4 * time.Second
	for i := range 8 {
		addAnswer(table, fmt.Sprint("long", i), "s00", longQuery(servers, 30_000))
	}
	_, refusal = table.Choose(start, q)
	require.Equal(t, Outlasts, refusal)
	q.EntryLifetime = 0
	choose(t, table, q)
}

func TestWhatCanNotBeInTimeIsRefusedAtOnce(t *testing.T) {
	q := longQuery(fleet(1), 250_000)
	q.Remaining = 2 * time.Second
	_, refusal := newTable().Choose(start, q)
	require.Equal(t, TooLate, refusal)
}

// A server flaps. Each consecutive failed connection doubles its backoff, so that it is not flooded on its
// return.
func TestBackoffOfAFlappingServerDoubles(t *testing.T) {
	table, servers := newTable(), fleet(2)
	pause := func() time.Duration { return table.servers["s00"].health.backoffUntil.Sub(start) }
	table.MarkUnreachable(start, "s00", 0.5)
	first := pause()
	table.MarkUnreachable(start, "s00", 0.5)
	require.Equal(t, 2*first, pause())
	require.Equal(t, "s01", choose(t, table, shortQuery(servers)).Server.ID)
	table.MarkUnreachable(start, "s01", 0.5)
	_, refusal := table.Choose(start, shortQuery(servers))
	require.Empty(t, refusal, "it is tried if no other server is left")
	table.RecordSuccess(start, "s00")
	require.Equal(t, "s00", choose(t, table, shortQuery(servers)).Server.ID)
}

// A server passes its health checks but fails every second request. Other servers are preferred while it
// does, and it is used again afterwards.
func TestFailuresOutweighPackingAndAreForgotten(t *testing.T) {
	table, servers := newTable(), fleet(2)
	for range 5 {
		table.RecordFailure(start, "s00")
	}
	for i := range 4 {
		addAnswer(table, fmt.Sprintf("short%d", i), "s00", shortQuery(servers))
	}
	require.Equal(t, "s01", choose(t, table, shortQuery(servers)).Server.ID)
	later, refusal := table.Choose(start.Add(time.Minute), shortQuery(servers))
	require.Empty(t, refusal)
	require.Equal(t, "s00", later.Server.ID)
}

// A peer is killed with requests in progress and never reports their ends: they are removed when their
// lifetime is over.
func TestDispatchesOfATerminatedEntryExpire(t *testing.T) {
	table, servers := newTable(), fleet(1)
	addAnswer(table, "lost", "s00", shortQuery(servers))
	require.Equal(t, 1, table.ActiveCount())
	table.Expire(start.Add(11 * time.Second))
	require.Zero(t, table.ActiveCount())
	require.Zero(t, table.servers["s00"].memoryUsed())
}

func TestAPausedProcessDiscardsLoads(t *testing.T) {
	table := newTable()
	addAnswer(table, "old", "s00", shortQuery(fleet(1)))
	table.Reset()
	require.Zero(t, table.ActiveCount())
	table.End(start, "old")
	table.FirstEvent(start, "old")
}

func TestPlainRequestsGoWhereTheFewestRun(t *testing.T) {
	table, servers := newTable(), fleet(3)
	q := Query{Servers: servers, Remaining: time.Second}
	for i := range 2 {
		table.Begin(start, Dispatch{ID: fmt.Sprint(i), Server: servers[i].ID, Lifetime: time.Second}, nil, 0)
	}
	require.Equal(t, "s02", choose(t, table, q).Server.ID)
	q.Exclude = []string{"s02"}
	require.NotEqual(t, "s02", choose(t, table, q).Server.ID)
	_, refusal := table.Choose(start, Query{})
	require.Equal(t, NoServer, refusal)
}

// A server goes down, and all entries of a zone notice at the same moment. The first one notifies the others, and
// each backs off for a different time, so that one of them finds out whether the server is back.
func TestPeersReportAnUnreachableServer(t *testing.T) {
	servers := fleet(2)
	table := newTable()
	table.MarkUnreachableByPeer(start, "s00", 0)
	choice, refusal := table.Choose(start.Add(300*time.Millisecond), shortQuery(servers))
	require.Empty(t, refusal)
	require.Equal(t, "s01", choice.Server.ID)
	table.MarkUnreachableByPeer(start.Add(10*time.Millisecond), "s00", 1)
	require.Equal(t, start.Add(minBackoff*3/4), table.servers["s00"].health.backoffUntil, "a report of the same failure does not extend the backoff")
	later := newTable()
	later.MarkUnreachableByPeer(start, "s00", 1)
	require.Equal(t, start.Add(minBackoff*5/4), later.servers["s00"].health.backoffUntil)
}

// A server is back, and one entry's request has its first event there. The peers are notified and use the
// server at once. A request that began before the failure proves nothing.
func TestAFirstEventShowsThatAServerIsBack(t *testing.T) {
	table, servers := newTable(), fleet(1)
	begin(table, start, "before", "s00")
	table.MarkUnreachableByPeer(start.Add(10*time.Millisecond), "s00", 0.5)
	table.FirstEvent(start.Add(20*time.Millisecond), "before")
	at := start.Add(30 * time.Millisecond)
	require.True(t, at.Before(table.servers["s00"].health.backoffUntil))
	begin(table, start.Add(40*time.Millisecond), "after", "s00")
	table.FirstEvent(start.Add(90*time.Millisecond), "after")
	choice, _ := table.Choose(start.Add(100*time.Millisecond), shortQuery(servers))
	require.False(t, choice.Unreachable)
}

// Guards against long gaps of long answers beside single short ones, and against a lack of servers without answers
// for long prompts: a short prompt must not go to an idle server because another one is being prefilled where short
// answers are written. It can be in time at both.
func TestAShortPromptLeavesAnIdleServerToLongPrefills(t *testing.T) {
	table, servers := newTable(), fleet(4)
	for i := range 3 {
		addAnswer(table, fmt.Sprint("written", i), "s01", shortQuery(servers))
	}
	table.Begin(start, Dispatch{ID: "read", Server: "s01", PromptTokens: 5000, AnswerTokens: 1600, Gap: 250 * time.Millisecond,
		Target: 300 * time.Millisecond, Lifetime: 10 * time.Second}, engine, 0)
	choice := choose(t, table, shortQuery(servers))
	require.Equal(t, "s01", choice.Server.ID)
	require.Less(t, choice.Predicted, 250*time.Millisecond)
}

// A message with the begin of a request was overtaken by that with its end. The request counted at its server until its
// lifetime was over, and prompts were refused for want of memory that was free.
func TestABeginThatItsEndHasOvertakenDoesNotCount(t *testing.T) {
	table := newTable()
	d := Dispatch{ID: "d", Server: "s00", PromptTokens: 200_000, AnswerTokens: 800, Lifetime: 15 * time.Second}
	table.End(start, "d")
	table.BeginPeerDispatch(start.Add(time.Millisecond), "peer", d, engine)
	require.Zero(t, table.ActiveCount())
	d.ID = "e"
	table.BeginPeerDispatch(start, "peer", d, engine)
	require.Equal(t, 1, table.ActiveCount())
	table.End(start, "e")
	table.BeginPeerDispatch(start.Add(time.Millisecond), "peer", d, engine)
	require.Zero(t, table.ActiveCount(), "a repeated begin")
	table.Expire(start.Add(overtakeTime + 1))
	require.Empty(t, table.ended)
}
