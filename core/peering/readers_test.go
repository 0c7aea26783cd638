package peering

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const changeLimit = 3 * time.Second

// zoneGroups returns the groups of the entries of one zone that have just heard each other.
func zoneGroups(count int, capacity func(int) int) []*Group {
	var groups []*Group
	for i := range count {
		g := New(entryAt(i), "here", "i", nil)
		g.SetReadOptions(ReadOptions{Capacity: capacity(i), Limit: changeLimit})
		groups = append(groups, g)
	}
	for i := range groups {
		m := heartbeatFrom(entryAt(i), "here")
		m.Capacity = capacity(i)
		for j := range groups {
			if i != j {
				groups[j].Observe(start, m)
			}
		}
	}
	return groups
}

func entryAt(i int) string { return fmt.Sprintf("e%d:1", i) }

func sameCapacity(int) int { return 1 }

// readersOf returns the entries that should read the store.
func readersOf(groups []*Group, now time.Time) []int {
	var readers []int
	for i, g := range groups {
		if g.ShouldRead(now, StoreState{}) {
			readers = append(readers, i)
		}
	}
	return readers
}

// broadcast makes all other entries observe an entry's reading of the store.
func broadcast(groups []*Group, now time.Time, i int, state StoreState, capacity int) {
	m := heartbeatFrom(entryAt(i), "here")
	m.Capacity = capacity
	m.SetStoreState(state)
	for j, g := range groups {
		if i != j {
			g.Observe(now, m)
		}
	}
}

// If all entries of a zone watched the store, its calls would grow with the square of their number.
func TestOneEntryOfAZoneReads(t *testing.T) {
	groups := zoneGroups(8, sameCapacity)
	require.Len(t, readersOf(groups, start), 8, "no reader is known yet")
	first, ranks := 0, map[int]bool{}
	for i, g := range groups {
		rank, others := g.rank(start, canRead)
		require.Equal(t, 7, others)
		ranks[rank] = true
		if rank == 0 {
			first = i
		}
	}
	require.Len(t, ranks, 8, "all compute the same ranks")
	broadcast(groups, start, first, StoreState{Reads: true}, 1)
	require.Equal(t, []int{first}, readersOf(groups, start))
}

// Readers send whole configurations to the others, which would saturate the link of a small host.
func TestHostsWithFasterLinksRead(t *testing.T) {
	groups := zoneGroups(6, func(i int) int { return map[int]int{2: 200, 4: 100}[i] + 20 })
	broadcast(groups, start, 2, StoreState{Reads: true}, 220)
	require.Equal(t, []int{2}, readersOf(groups, start))
	broadcast(groups, start, 2, StoreState{Reads: true, Lost: true}, 220)
	require.Equal(t, []int{2, 4}, readersOf(groups, start), "the one with the next faster link, beside one that has not detected yet that it lost the store")
}

// A reader that can't reach the store says so, and the next by rank reads in its place.
func TestAReaderWithoutTheStoreIsReplaced(t *testing.T) {
	groups := zoneGroups(4, func(i int) int { return 10 - i })
	broadcast(groups, start, 0, StoreState{Reads: true}, 10)
	require.Equal(t, []int{0}, readersOf(groups, start))
	broadcast(groups, start, 0, StoreState{Reads: true, Lost: true}, 10)
	require.Equal(t, []int{0, 1}, readersOf(groups, start))
	broadcast(groups, start, 1, StoreState{Reads: true}, 9)
	require.False(t, groups[0].ShouldRead(start, StoreState{Reads: true, Lost: true}), "the others hold fresh state")
	require.True(t, groups[3].Fresh(start))
}

// A reader is killed without notice. Two missed heartbeats reveal it, and the next by rank reads.
func TestAReaderThatTerminatesIsReplaced(t *testing.T) {
	groups := zoneGroups(5, func(i int) int { return 10 - i })
	for at := time.Duration(0); at <= 2*time.Second; at += HeartbeatInterval {
		if at == 0 {
			broadcast(groups, start, 0, StoreState{Reads: true}, 10)
		}
		for i := 1; i < 5; i++ {
			broadcast(groups, start.Add(at), i, StoreState{}, 10-i)
		}
	}
	require.False(t, groups[1].ShouldRead(start.Add(SuspectAfter-time.Millisecond), StoreState{}))
	require.True(t, groups[1].ShouldRead(start.Add(SuspectAfter), StoreState{}))
	require.False(t, groups[2].ShouldRead(start.Add(SuspectAfter), StoreState{}))
}

// Below a bound there is no time to detect the loss of readers.
func TestAShortLimitMakesAllRead(t *testing.T) {
	groups := zoneGroups(4, sameCapacity)
	broadcast(groups, start, 0, StoreState{Reads: true}, 1)
	for _, g := range groups {
		g.SetReadOptions(ReadOptions{Capacity: 1, Limit: minSharedReadLimit - 1})
	}
	require.Len(t, readersOf(groups, start), 4)
	short := ReadOptions{Limit: 2 * time.Second}
	require.Equal(t, 2*time.Second, short.PollDelay()+short.LongPollTimeout(2*time.Second)+WatchMargin, "a watch that is dropped without notice ends within the limit")
	require.Equal(t, time.Second, ReadOptions{Limit: 4 * time.Second}.LongPollTimeout(2*time.Second))
}

// A starting entry fetches the list only from a member that is up to date.
func TestAStartingEntryAsksAReaderThatIsUpToDate(t *testing.T) {
	groups := zoneGroups(3, sameCapacity)
	_, known := groups[0].ListSource(start)
	require.False(t, known)
	broadcast(groups, start, 1, StoreState{Reads: true, Age: time.Second}, 1)
	broadcast(groups, start, 2, StoreState{Reads: true, Age: 2 * time.Second}, 1)
	later := start.Add(400 * time.Millisecond)
	source, known := groups[0].ListSource(later)
	require.True(t, known)
	require.Contains(t, []string{entryAt(1), ""}, source, "it may wait for the other one, which ranks before it")
	require.Equal(t, []string{entryAt(1)}, groups[0].membersWithList(later))
	_, known = groups[0].ListSource(start.Add(time.Second))
	require.False(t, known)
	groups[0].ResetLiveness()
	_, known = groups[0].ListSource(start)
	require.False(t, known, "what was heard before a suspension is not fresh")
}

// The store holds no configuration yet, so that its readers don't serve. They still count as readers and provide
// what there is. A stopping reader does neither.
func TestReadersThatDoNotServeYetAreReaders(t *testing.T) {
	groups := zoneGroups(6, func(i int) int { return 10 - i })
	readersThat := func(change func(*Message)) {
		for reader := range startReaders {
			for _, g := range groups {
				m := heartbeatFrom(entryAt(reader), "here")
				m.Capacity = 10 - reader
				m.SetStoreState(StoreState{Reads: true})
				change(&m)
				g.Observe(start, m)
			}
		}
	}
	readersThat(func(m *Message) { m.Starting = true })
	for _, g := range groups[startReaders:] {
		require.False(t, g.ShouldRead(start, StoreState{}))
		source, known := g.ListSource(start)
		require.True(t, known)
		require.NotEmpty(t, source)
	}
	readersThat(func(m *Message) { m.Stopping = true })
	for i, g := range groups[startReaders:] {
		require.Equal(t, i < readersPerZone, g.ShouldRead(start, StoreState{}))
		_, known := g.ListSource(start)
		require.False(t, known)
	}
}

// Each of 54 entries fetched the whole view from another zone whenever that learned of a change first. While the
// readers of the own zone are fresh a view is fetched there only.
func TestAViewIsFetchedWithinTheZone(t *testing.T) {
	g := zoneGroups(2, sameCapacity)[0]
	remote := heartbeatFrom("far:1", "there")
	remote.Version, remote.Revision = 7, 70
	g.Observe(start, remote)
	local := heartbeatFrom(entryAt(1), "here")
	local.Version, local.Revision = 1, 1
	local.SetStoreState(StoreState{Reads: true})
	g.Observe(start, local)
	_, ok := g.NewerPeer(start, 1, 1, true)
	require.False(t, ok)
	local.Version = 2
	g.Observe(start, local)
	peer, ok := g.NewerPeer(start, 1, 1, true)
	require.True(t, ok)
	require.Equal(t, entryAt(1), peer)
	peer, ok = g.NewerPeer(start.Add(2*time.Second), 2, 1, true)
	require.True(t, ok, "the own zone is stale")
	require.Equal(t, "far:1", peer)
}

// Guards against waiting for one peer that has a view and doesn't deliver it, and against asking it without pause.
func TestAViewIsFetchedFromASecondPeer(t *testing.T) {
	g := zoneGroups(5, sameCapacity)[0]
	for i, version := range []uint64{0, 9, 8, 7} {
		m := heartbeatFrom(entryAt(i), "here")
		m.Version = version
		g.Observe(start, m)
	}
	next := func(now time.Time) string {
		peer, ok := g.NewerPeer(now, 1, 0, false)
		require.Equal(t, peer != "", ok)
		return peer
	}
	require.Equal(t, entryAt(1), next(start))
	g.BeginFetch(start, entryAt(1))
	require.Empty(t, next(start.Add(FetchHedgeDelay-1)))
	hedged := start.Add(FetchHedgeDelay)
	require.Equal(t, entryAt(2), next(hedged))
	g.BeginFetch(hedged, entryAt(2))
	require.Empty(t, next(hedged.Add(FetchHedgeDelay)), "two are under way")
	failed := hedged.Add(FetchHedgeDelay)
	g.EndFetch(failed, entryAt(1), false)
	g.EndFetch(failed, entryAt(2), true)
	require.Equal(t, entryAt(2), next(failed))
	require.Equal(t, entryAt(1), next(failed.Add(fetchRetryDelay)))
}

// Guards against reading a store again and again that was restored from a backup without the version.
func TestAVersionThatTheStoreLacksIsReadOnce(t *testing.T) {
	groups := zoneGroups(2, func(i int) int { return i })
	broadcast(groups, start, 1, StoreState{Reads: true}, 1)
	g := groups[0]
	m := heartbeatFrom(entryAt(1), "here")
	m.Capacity, m.Version = 1, 7
	m.SetStoreState(StoreState{Reads: true})
	g.Observe(start, m)
	g.RecordVersion(start, 6)
	due := start.Add(time.Duration(undeliveredShare*float64(changeLimit)) + readStagger)
	require.False(t, g.ShouldRead(due.Add(-readStagger), StoreState{Age: time.Hour}))
	require.True(t, g.ShouldRead(due.Add(1), StoreState{Age: time.Hour}))
	require.False(t, g.ShouldRead(due.Add(1), StoreState{Age: time.Millisecond}), "it has read the store meanwhile")
	g.RecordVersion(due, 7)
	require.False(t, g.ShouldRead(due.Add(1), StoreState{Age: time.Hour}))
}

// fault is a failure of one entry.
type fault int

const (
	healthy      fault = iota
	storeless          // its connection to the store is unresponsive
	killed             // it neither sends nor reads
	mute               // nothing that it sends arrives
	deaf               // nothing arrives at it
	frozen             // it is suspended for two seconds
	undelivering       // its messages arrive, but nobody gets its view
	faultKinds
)

// Every combination of faults hits the entries of a zone at every phase of their heartbeats: four entries with
// all kinds of fault, six with those that cause the longest succession of readers without the store, three one after
// the other. A healthy
// entry has to learn of any change of the store within the limit, although its reader and the next ones by rank
// may be terminated, cut off in one direction or stale. Otherwise callers would be served by a configuration, or
// sent to a server, that has been gone for seconds.
func TestEveryHealthyEntryLearnsOfChangesInTime(t *testing.T) {
	simulateAllFaults(t, 4, faultKinds, 0)
	simulateAllFaults(t, 6, storeless+1, 0)
	for _, interval := range []time.Duration{700 * time.Millisecond, 1500 * time.Millisecond} {
		simulateAllFaults(t, 3, faultKinds, interval)
	}
}

// simulateAllFaults simulates every combination of the first kinds of faults over some entries, which fail one after
// the other at an interval.
func simulateAllFaults(t *testing.T, entries int, kinds fault, interval time.Duration) {
	combinations := 1
	for range entries {
		combinations *= int(kinds)
	}
	for combination := range combinations {
		faultOf := make([]fault, entries)
		for i, rest := 0, combination; i < entries; i++ {
			faultOf[i], rest = fault(rest%int(kinds)), rest/int(kinds)
		}
		for phase := range 5 {
			z := newSimulatedZone(faultOf, time.Duration(phase)*tick)
			z.interval = interval
			z.simulate(t, 7*time.Second+time.Duration(entries)*interval)
		}
	}
}

// tick is the step of a simulatedZone.
const tick = 100 * time.Millisecond

// readOptions make entries learn of changes within the limit.
var readOptions = ReadOptions{Limit: changeLimit}

// callTimeout is the time after which a call on an unresponsive connection is given up.
func callTimeout() time.Duration { return readOptions.LongPollTimeout(2*time.Second) + WatchMargin }

// simulatedZone simulates the entries of a zone and the store in steps of virtual time. The store changes
// continuously; knownUpTo is the time up to which an entry has learned of all changes.
type simulatedZone struct {
	groups      []*Group
	struck      []fault
	faultsAt    time.Duration // when the first fault begins
	interval    time.Duration // between the faults of two entries
	now         time.Duration
	knownUpTo   []time.Duration
	callAt      []time.Duration // when the call under way is sent, after its poll delay
	calling     []bool
	reading     []bool
	failedAt    []time.Duration
	succeededAt []time.Duration
	fetches     [][]simulatedFetch // those under way, by entry
}

// simulatedFetch is the fetch of a peer's view.
type simulatedFetch struct {
	peer    int
	endsAt  time.Duration
	succeed bool
}

// fetchTimeout is the time after which a view that does not arrive is given up.
const fetchTimeout = 1500 * time.Millisecond

func newSimulatedZone(faults []fault, phase time.Duration) *simulatedZone {
	count := len(faults)
	return &simulatedZone{groups: zoneGroups(count, sameCapacity), struck: faults, faultsAt: 2*time.Second + phase, knownUpTo: make([]time.Duration, count),
		callAt: make([]time.Duration, count), calling: make([]bool, count), reading: make([]bool, count), failedAt: make([]time.Duration, count), succeededAt: make([]time.Duration, count),
		fetches: make([][]simulatedFetch, count)}
}

func (z *simulatedZone) hasFault(i int, f fault) bool {
	since := z.now - z.faultsAt - time.Duration(i)*z.interval
	if f == frozen && since > 2*time.Second {
		return false
	}
	return since >= 0 && z.struck[i] == f
}

func (z *simulatedZone) isStopped(i int) bool { return z.hasFault(i, killed) || z.hasFault(i, frozen) }

func (z *simulatedZone) simulate(t *testing.T, length time.Duration) {
	for ; z.now < length; z.now += tick {
		for i := range z.groups {
			if !z.isStopped(i) {
				z.step(i)
			}
		}
		for i := range z.groups {
			if z.struck[i] == healthy {
				require.LessOrEqual(t, z.now-z.knownUpTo[i], changeLimit, "entry %d at %v, faults %v, from %v", i, z.now, z.struck, z.faultsAt)
			}
		}
	}
}

// step lets an entry decide, read and send.
func (z *simulatedZone) step(i int) {
	state := z.state(i)
	z.groups[i].RecordVersion(z.clock(), z.version(i))
	z.reading[i] = z.groups[i].ShouldRead(z.clock(), state)
	switch {
	case !z.reading[i]:
		z.calling[i] = false
	case !z.calling[i]:
		z.calling[i], z.callAt[i] = true, z.now
	case z.now < z.callAt[i]:
		// The poll delay is not over.
	case !z.hasFault(i, storeless):
		// The long poll returns every change at once, and the next one follows after the poll delay.
		z.knownUpTo[i], z.succeededAt[i], z.callAt[i], z.failedAt[i] = z.now, z.now, z.now+readOptions.PollDelay(), 0
		z.publish(i)
	case z.now-z.callAt[i] >= callTimeout():
		z.failedAt[i], z.calling[i] = z.now, false
	}
	z.catchUp(i)
	if z.now%HeartbeatInterval == 0 {
		z.publish(i)
	}
}

// catchUp completes fetches of views, and begins one if a peer has a later version.
func (z *simulatedZone) catchUp(i int) {
	z.fetches[i] = slices.DeleteFunc(z.fetches[i], func(f simulatedFetch) bool {
		if z.now >= f.endsAt && f.succeed {
			z.knownUpTo[i] = max(z.knownUpTo[i], z.knownUpTo[f.peer])
		}
		if z.now >= f.endsAt {
			z.groups[i].EndFetch(z.clock(), entryAt(f.peer), f.succeed)
		}
		return z.now >= f.endsAt
	})
	address, ok := z.groups[i].NewerPeer(z.clock(), z.version(i), 0, false)
	if !ok {
		return
	}
	z.groups[i].BeginFetch(z.clock(), address)
	peer := slices.IndexFunc(z.groups, func(g *Group) bool { return g.self == address })
	f := simulatedFetch{peer: peer, endsAt: z.now + tick, succeed: true}
	if z.isStopped(peer) || z.hasFault(peer, undelivering) || z.hasFault(peer, mute) || z.hasFault(peer, deaf) || z.hasFault(i, mute) || z.hasFault(i, deaf) {
		f = simulatedFetch{peer: peer, endsAt: z.now + fetchTimeout}
	}
	z.fetches[i] = append(z.fetches[i], f)
}

// version returns the configuration version of an entry; there is a new one in each millisecond.
func (z *simulatedZone) version(i int) uint64 { return uint64(z.knownUpTo[i].Milliseconds()) }

func (z *simulatedZone) clock() time.Time { return start.Add(z.now) }

func (z *simulatedZone) state(i int) StoreState {
	return StoreState{Reads: z.reading[i] && z.succeededAt[i] > 0, Lost: z.failedAt[i] > 0 && z.now-z.failedAt[i] < 3*time.Second, Age: z.now - z.succeededAt[i]}
}

// publish sends the entry's version and its access to the store; entries that are behind fetch the version.
func (z *simulatedZone) publish(i int) {
	m := heartbeatFrom(entryAt(i), "here")
	m.Capacity, m.Version = sameCapacity(i), z.version(i)
	m.SetStoreState(z.state(i))
	z.send(i, func(j int) { z.groups[j].Observe(z.clock(), m) })
}

func (z *simulatedZone) send(i int, arrives func(j int)) {
	if z.hasFault(i, mute) {
		return
	}
	for j := range z.groups {
		if j != i && !z.isStopped(j) && !z.hasFault(j, deaf) {
			arrives(j)
		}
	}
}
