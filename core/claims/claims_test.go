package claims

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

const ttl = 1500 * time.Millisecond

func newBook() *Book { return New(Options{ReportTTL: ttl}) }

// claimOf returns a claim of 300,000 tokens that is due in a second and ends in ten.
func claimOf(id string) Claim {
	return Claim{ID: id, Service: "engines", Tokens: 300_000, Worth: 38, LateWorth: 9.5, Hold: 2 * time.Second, Since: start,
		Due: start.Add(time.Second), Until: start.Add(10 * time.Second)}
}

func withParts(c Claim, parts ...Part) Claim {
	c.Parts = parts
	return c
}

// Guards against smaller prompts that come later and take each piece of memory that a large one waits for, and against a
// claim that is held back by those behind it.
func TestMemoryIsKeptFromLaterPromptsOnly(t *testing.T) {
	b := newBook()
	first := withParts(claimOf("first"), Part{"a", 100_000}, Part{"b", 200_000})
	require.True(t, b.State(start, first))
	later := claimOf("later")
	later.Due = later.Due.Add(time.Second)
	require.Equal(t, int64(200_000), b.Withheld(start, &later)["b"].Tokens)
	require.Equal(t, "first", b.Withheld(start, &later)["b"].For)
	require.InDelta(t, 28.5/300_000, b.Withheld(start, &later)["a"].Loss, 1e-9)
	require.Empty(t, b.Withheld(start, &first), "not from itself")
	earlier := claimOf("earlier")
	earlier.Due = earlier.Due.Add(-time.Millisecond)
	require.Empty(t, b.Withheld(start, &earlier))
	other := later
	other.Service = "other"
	require.Empty(t, b.Withheld(start, &other))
}

// Guards against late prompts that keep memory from those that can still be in time, which lose more by waiting.
func TestALateClaimComesAfterThoseInTime(t *testing.T) {
	b := newBook()
	late := withParts(claimOf("first"), Part{"a", 100_000})
	late.Until = start.Add(2 * time.Second) // ends before the other one is due
	require.True(t, b.State(start, late))
	now := start.Add(1100 * time.Millisecond)
	fresh := claimOf("fresh")
	fresh.Due = now.Add(2 * time.Second)
	require.Empty(t, b.Withheld(now, &fresh))
	first, ok := b.Get(now, "first")
	require.True(t, ok)
	fresh.Parts = []Part{{"a", 5}}
	require.True(t, b.State(now, fresh))
	require.Equal(t, int64(5), b.Withheld(now, &first)["a"].Tokens)
}

// Guards against memory that stays withheld for a prompt whose entry was killed, is suspended or is cut off, whose time
// is over, or whose caller has gone.
func TestClaimsEnd(t *testing.T) {
	asker := claimOf("zz")
	asker.Due = asker.Due.Add(time.Hour)
	report := func(b *Book) Report {
		c := withParts(claimOf("c"), Part{"a", 100_000})
		require.True(t, b.State(start, c))
		return b.Reports(start)[0]
	}
	for name, end := range map[string]func(b *Book, r Report) time.Time{
		"entry not heard": func(*Book, Report) time.Time { return start.Add(ttl + time.Millisecond) },
		"entry restarted": func(b *Book, _ Report) time.Time { b.ForgetPeer("peer"); return start },
		"withdrawn": func(b *Book, _ Report) time.Time {
			b.Learn(start, "peer", Report{ID: "c", Withdrawn: true})
			return start
		},
		"withdrawal overtakes a report": func(b *Book, r Report) time.Time {
			b.Learn(start, "peer", Report{ID: "c", Withdrawn: true})
			require.False(t, b.Learn(start, "peer", r))
			return start
		},
		"time over": func(b *Book, r Report) time.Time {
			r.UntilMs = 100
			b.Learn(start, "peer", r)
			return start.Add(100 * time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBook()
			r := report(newBook())
			require.True(t, b.Learn(start, "peer", r))
			require.NotEmpty(t, b.Withheld(start, &asker))
			now := end(b, r)
			require.Empty(t, b.Withheld(now, &asker))
			b.Expire(now)
			require.Empty(t, b.claims)
		})
	}
}

// Guards against one entry that ends or replaces the claims of another.
func TestAClaimIsChangedByItsOwnEntryOnly(t *testing.T) {
	b := newBook()
	require.True(t, b.State(start, claimOf("own")))
	require.False(t, b.Learn(start, "peer", Report{ID: "own", Withdrawn: true}))
	require.Equal(t, 1, b.Own())
	b.ForgetPeer("")
	require.Equal(t, 1, b.Own())
}

// Guards against memory without bound for claims, and against messages that grow with them.
func TestTheNumberOfClaimsIsBounded(t *testing.T) {
	b := newBook()
	for i := range MaxOwn + 1 {
		require.Equal(t, i < MaxOwn, b.State(start, claimOf(string(rune('a'+i)))))
	}
	r := newBook()
	require.True(t, r.State(start, claimOf("x")))
	report := r.Reports(start)[0]
	for i := range MaxPeers + 1 {
		report.ID = time.Duration(i).String()
		require.Equal(t, i < MaxPeers, b.Learn(start, "peer", report))
	}
}

// Guards against entries that keep a claim longer, or order it otherwise, because their clocks differ.
func TestTimesAreSentAsAges(t *testing.T) {
	b, far := newBook(), newBook()
	c := withParts(claimOf("c"), Part{"a", 5})
	require.True(t, b.State(start, c))
	ahead := start.Add(time.Hour)
	far.Learn(ahead, "peer", b.Reports(start.Add(400 * time.Millisecond))[0])
	got, ok := far.Get(ahead, "c")
	require.True(t, ok)
	require.Equal(t, ahead.Add(600*time.Millisecond), got.Due)
	require.Equal(t, ahead.Add(9600*time.Millisecond), got.Until)
	require.Equal(t, ahead.Add(-400*time.Millisecond), got.Since)
	count, oldest := far.Open(ahead)
	require.Equal(t, 1, count)
	require.Equal(t, 400*time.Millisecond, oldest)
}

func servers(free ...int64) []Memory {
	var all []Memory
	for i, f := range free {
		all = append(all, Memory{Server: string(rune('a' + i)), Capacity: 170_000, Free: f})
	}
	return all
}

// Guards against a claim that collects memory where it comes last, or in more pieces than needed.
func TestAClaimIsDesignatedWhereMemoryIsFirst(t *testing.T) {
	b := newBook()
	c := claimOf("c")
	all := servers(100_000, 20_000, 90_000)
	all[1].Releases = []Release{{300 * time.Millisecond, 130_000}, {2 * time.Second, 20_000}}
	plan := b.Designate(start, &c, all)
	require.Equal(t, []Part{{"b", 150_000}, {"a", 100_000}, {"c", 50_000}}, plan.Parts)
	require.Equal(t, 300*time.Millisecond, plan.Ready)

	c.Tokens = 140_000 // one server holds it
	require.Equal(t, []Part{{"b", 140_000}}, b.Designate(start, &c, all).Parts)
}

// Guards against two claims of different entries that both count on the same memory: neither would get it.
func TestClaimsOfTwoEntriesDontShareMemory(t *testing.T) {
	b := newBook()
	first, second := claimOf("first"), claimOf("second")
	first.Tokens, second.Tokens = 140_000, 140_000
	second.Due = second.Due.Add(time.Second)
	all := servers(0, 0)
	all[0].Releases, all[1].Releases = []Release{{100 * time.Millisecond, 150_000}}, []Release{{500 * time.Millisecond, 150_000}}
	first.Parts = b.Designate(start, &first, all).Parts
	require.Equal(t, []Part{{"a", 140_000}}, first.Parts)
	require.True(t, b.State(start, first))
	require.Equal(t, []Part{{"b", 140_000}}, b.Designate(start, &second, all).Parts)
}

// Guards against free memory that is idle for longer than the prompt which it waits for would use it.
func TestMemoryIsNotKeptForLongerThanItIsUsed(t *testing.T) {
	b := newBook()
	c := claimOf("c")
	all := servers(150_000, 0)
	all[1].Releases = []Release{{2100 * time.Millisecond, 170_000}}
	require.Empty(t, b.Designate(start, &c, all).Parts)
	all[1].Releases[0].After = 2 * time.Second
	require.NotEmpty(t, b.Designate(start, &c, all).Parts)
}

// Guards against claims that wait for memory at a server which has restarted or left.
func TestADesignationLeavesServersThatAreGone(t *testing.T) {
	b := newBook()
	c := withParts(claimOf("c"), Part{"gone", 150_000}, Part{"a", 150_000})
	require.True(t, b.State(start, c))
	require.Equal(t, []Part{{"a", 160_000}, {"b", 140_000}}, b.Designate(start, &c, servers(160_000, 150_000)).Parts)
}

// Guards against callers that wait in vain, and against a Retry-After at which there can be no memory yet.
func TestAHopelessClaimIsRefusedAtOnce(t *testing.T) {
	b := newBook()
	c := claimOf("c")
	require.True(t, b.Designate(start, &c, servers(0)).Hopeless, "larger than all servers")
	require.False(t, b.Designate(start, &c, servers(0, 0)).Hopeless)
	for _, id := range "0123456789" {
		ahead := claimOf(string(id))
		ahead.Due = start.Add(500 * time.Millisecond)
		require.True(t, b.State(start, ahead))
	}
	c.Until = start.Add(5 * time.Second)
	plan := b.Designate(start, &c, servers(0, 0))
	require.True(t, plan.Hopeless)
	require.InDelta(t, 10*300.0/340*2-2, plan.RetryAfter.Seconds(), 0.01)
}

// Guards against an invalid claim of another entry that withholds memory without bound or crashes this one.
func TestAnInvalidReportIsRefused(t *testing.T) {
	b := newBook()
	require.True(t, b.State(start, withParts(claimOf("c"), Part{"a", 5})))
	valid := b.Reports(start)[0]
	require.NoError(t, valid.Check())
	withdrawn := Report{ID: "c", Withdrawn: true}
	require.NoError(t, withdrawn.Check())
	for name, c := range map[string]struct {
		change func(*Report)
		want   error
	}{
		"no id":            {func(r *Report) { r.ID = "" }, ErrInvalidName},
		"no service":       {func(r *Report) { r.Service = "" }, ErrInvalidName},
		"long id":          {func(r *Report) { r.ID = string(make([]byte, 200)) }, ErrInvalidName},
		"no server":        {func(r *Report) { r.Parts = []Part{{"", 1}} }, ErrInvalidName},
		"no tokens":        {func(r *Report) { r.Tokens = 0 }, ErrInvalidTokens},
		"too many tokens":  {func(r *Report) { r.Tokens = math.MaxInt64 }, ErrInvalidTokens},
		"negative part":    {func(r *Report) { r.Parts = []Part{{"a", -1}} }, ErrInvalidTokens},
		"parts exceed it":  {func(r *Report) { r.Parts = []Part{{"a", 200_000}, {"b", 200_000}} }, ErrInvalidTokens},
		"not a number":     {func(r *Report) { r.Worth = math.NaN() }, ErrInvalidWorth},
		"infinite":         {func(r *Report) { r.Worth = math.Inf(1) }, ErrInvalidWorth},
		"more when late":   {func(r *Report) { r.LateWorth = r.Worth + 1 }, ErrInvalidWorth},
		"never ends":       {func(r *Report) { r.UntilMs = math.MaxInt64 }, ErrInvalidTime},
		"from the future":  {func(r *Report) { r.AgeMs = -1 }, ErrInvalidTime},
		"too many servers": {func(r *Report) { r.Parts = make([]Part, MaxParts+1) }, ErrTooManyParts},
	} {
		r := valid
		c.change(&r)
		require.ErrorIs(t, r.Check(), c.want, name)
	}
}
