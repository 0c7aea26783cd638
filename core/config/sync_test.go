package config

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"arbutusdeck/core/virtualtime"

	"github.com/stretchr/testify/require"
)

// syncFleet drives many syncers in virtual time against one platform. Adoption
// is by revision alone; what a Store refuses is tested with the Store.
type syncFleet struct {
	*virtualtime.Clock
	random    *rand.Rand
	nodes     []*syncNode
	revision  uint64
	manifest  Manifest
	files     map[string]File
	down      bool
	calls     map[int64]int // platform calls by second
	watchers  []*syncNode
	peerDelay time.Duration // one way
	stale     *staleFolder  // shown instead of the present folder
}

type staleFolder struct {
	manifest Manifest
	files    map[string]File
}

func (f *syncFleet) copyFolder() *staleFolder {
	return &staleFolder{f.manifest, maps.Clone(f.files)}
}

type syncNode struct {
	id       int
	fleet    *syncFleet
	syncer   *Syncer
	revision uint64
	files    []File
	adopted  time.Time
	epoch    int
	cut      bool // no way to the platform
	isolated bool // no way to peers
}

func newSyncFleet(nodes int) *syncFleet {
	f := &syncFleet{Clock: virtualtime.NewClock(time.Unix(1_000_000, 0)), random: rand.New(rand.NewPCG(1, 2)), files: map[string]File{}, calls: map[int64]int{}, peerDelay: 3 * time.Millisecond}
	for i := range nodes {
		n := &syncNode{id: i, fleet: f}
		f.nodes = append(f.nodes, n)
		n.restart()
	}
	return f
}

// publish changes some files of the folder.
func (f *syncFleet) publish(total, changed int) {
	f.revision++
	for i := range total {
		name := fmt.Sprintf("%03d.yaml", i)
		if i < changed || f.files[name].Content == nil {
			f.files[name] = File{name, fmt.Appendf(nil, "%d at %d", i, f.revision)}
		}
	}
	f.manifest = Manifest{Revision: f.revision}
	for i := range total {
		file := f.files[fmt.Sprintf("%03d.yaml", i)]
		f.manifest.Files = append(f.manifest.Files, FileRef{file.Name, FileDigest(file)})
	}
	watchers := f.watchers
	f.watchers = nil
	for _, n := range watchers {
		n.answerWatch(n.epoch)
	}
}

func (f *syncFleet) count() { f.calls[f.Now.Unix()]++ }

// busiest returns the most platform calls in one second.
func (f *syncFleet) busiest() int {
	most := 0
	for _, calls := range f.calls {
		most = max(most, calls)
	}
	return most
}

func (f *syncFleet) behind() int {
	count := 0
	for _, n := range f.nodes {
		if n.revision < f.revision {
			count++
		}
	}
	return count
}

const (
	platformDelay = 5 * time.Millisecond
)

// restart makes the node a freshly started daemon that knows all others as seeds.
func (n *syncNode) restart() {
	n.epoch++
	n.revision, n.files = 0, nil
	n.syncer = NewSyncer(n.fleet.Now, DefaultSyncOptions(), n.fleet.random.Float64)
	n.setPeers()
	n.tick(n.epoch)
}

func (n *syncNode) setPeers() {
	var peers []Peer
	for i := range len(n.fleet.nodes) {
		if i != n.id {
			peers = append(peers, Peer{Name: fmt.Sprint(i), Address: fmt.Sprint(i)})
		}
	}
	n.syncer.SetPeers(peers, n.id)
}

func (n *syncNode) tick(epoch int) {
	if epoch != n.epoch {
		return
	}
	if len(n.syncer.peers) < len(n.fleet.nodes)-1 {
		n.setPeers()
	}
	n.act(n.syncer.Tick(n.fleet.Now))
	n.fleet.After(100*time.Millisecond, func() { n.tick(epoch) })
}

func (n *syncNode) act(actions []SyncAction) {
	epoch := n.epoch
	for _, action := range actions {
		switch a := action.(type) {
		case WatchPlatform:
			n.watch(a, epoch)
		case ReadFiles:
			n.readFiles(a, epoch)
		case AskPeer:
			n.fleet.After(2*n.fleet.peerDelay, func() { n.askPeer(a, epoch) })
		case ApplySnapshot:
			if a.Revision > n.revision {
				n.revision, n.files, n.adopted = a.Revision, a.Files, n.fleet.Now
			}
			n.syncer.SetCurrent(n.revision, n.files)
		}
	}
}

func (n *syncNode) watch(a WatchPlatform, epoch int) {
	n.fleet.count()
	if n.fleet.down || n.cut {
		n.fleet.After(platformDelay, func() {
			if epoch == n.epoch {
				n.act(n.syncer.WatchFailed(n.fleet.Now))
			}
		})
		return
	}
	if n.published().manifest.Revision > a.Above {
		n.answerWatch(epoch)
		return
	}
	n.fleet.watchers = append(n.fleet.watchers, n)
}

// published is what the platform shows now.
func (n *syncNode) published() staleFolder {
	if n.fleet.stale != nil {
		return *n.fleet.stale
	}
	return staleFolder{n.fleet.manifest, n.fleet.files}
}

func (n *syncNode) answerWatch(epoch int) {
	n.fleet.After(platformDelay, func() {
		if epoch != n.epoch {
			return
		}
		manifest := n.published().manifest
		n.act(n.syncer.ManifestReceived(n.fleet.Now, &manifest))
	})
}

func (n *syncNode) readFiles(a ReadFiles, epoch int) {
	// One call a file, one after the other.
	for i := range a.Names {
		n.fleet.After(time.Duration(i)*platformDelay, n.fleet.count)
	}
	n.fleet.After(time.Duration(len(a.Names))*platformDelay, func() {
		if epoch != n.epoch {
			return
		}
		shown := n.published()
		if n.fleet.down || n.cut || shown.manifest.Revision != a.Revision {
			n.act(n.syncer.ReadFailed(n.fleet.Now))
			return
		}
		var files []File
		for _, name := range a.Names {
			files = append(files, shown.files[name])
		}
		n.act(n.syncer.FilesRead(n.fleet.Now, a.Revision, files))
	})
}

func (n *syncNode) askPeer(a AskPeer, epoch int) {
	if epoch != n.epoch {
		return
	}
	var id int
	_, _ = fmt.Sscan(a.Peer.Address, &id)
	other := n.fleet.nodes[id]
	switch {
	case n.isolated || other.isolated:
		n.act(n.syncer.PeerFailed(n.fleet.Now, a.Peer))
	case other.revision > a.Above:
		n.act(n.syncer.PeerReplied(n.fleet.Now, a.Peer, other.revision, other.files))
	default:
		n.act(n.syncer.PeerReplied(n.fleet.Now, a.Peer, 0, nil))
	}
}

// settle runs until every node has the newest revision and returns how long
// that took.
func (f *syncFleet) settle(t *testing.T, limit time.Duration) time.Duration {
	t.Helper()
	begun := f.Now
	for f.behind() > 0 {
		require.Less(t, f.Now.Sub(begun), limit, "%d daemons are behind", f.behind())
		f.Run(50 * time.Millisecond)
	}
	return f.Now.Sub(begun)
}

const (
	targetDaemons = 350
	// allDaemons counts a host daemon for each worker of the target too.
	allDaemons    = 350 + 810
	targetFiles   = 300
	platformLimit = 2000 // calls a second
	inForceWithin = 10 * time.Second
)

// The whole fleet restarts at once and every daemon has to read the folder. The
// platform is asked by a few, the others fetch from them.
func TestWholeFleetRestarts(t *testing.T) {
	for _, daemons := range []int{20, targetDaemons, allDaemons} {
		f := newSyncFleet(daemons)
		f.publish(targetFiles, targetFiles)
		took := f.settle(t, time.Minute)
		t.Logf("%d daemons, %d files: in force everywhere after %s, busiest second %d platform calls", daemons, targetFiles, took, f.busiest())
		require.Less(t, f.busiest(), platformLimit)
	}
}

// An operator changes one file, then all files, then many times in a row.
func TestChangesAreInForceInTime(t *testing.T) {
	cases := []struct {
		name    string
		changed int
		times   int
	}{{"one file", 1, 1}, {"every file", targetFiles, 1}, {"ten changes in ten seconds", 2, 10}}
	for _, daemons := range []int{targetDaemons, allDaemons} {
		for _, c := range cases {
			f := newSyncFleet(daemons)
			f.publish(targetFiles, targetFiles)
			f.settle(t, time.Minute)
			f.Run(10 * time.Second)
			f.calls = map[int64]int{}
			for range c.times {
				f.publish(targetFiles, c.changed)
				f.Run(time.Second)
			}
			took := f.settle(t, time.Minute) + time.Second
			t.Logf("%d daemons, %s: in force everywhere within %s, busiest second %d platform calls", daemons, c.name, took, f.busiest())
			require.LessOrEqual(t, took, inForceWithin)
			require.Less(t, f.busiest(), platformLimit)
		}
	}
}

// Half of the fleet can't reach the platform when a change is published. The
// other half hears of it and names the revision in its messages.
func TestChangeReachesDaemonsWithoutThePlatform(t *testing.T) {
	f := newSyncFleet(100)
	f.publish(10, 10)
	f.settle(t, time.Minute)
	f.watchers = nil
	for _, n := range f.nodes[50:] {
		n.cut = true
		n.act(n.syncer.WatchFailed(f.Now))
	}
	f.watchers = append(f.watchers, f.nodes[:50]...)
	f.publish(10, 1)
	f.Run(2 * time.Second)
	require.Equal(t, 50, f.behind())
	for i, n := range f.nodes[50:] {
		n.act(n.syncer.RevisionAdvertised(f.Now, Peer{Name: fmt.Sprint(i), Address: fmt.Sprint(i)}, f.revision))
	}
	f.settle(t, inForceWithin)
}

// A host is replaced while the platform shows contents from before the last
// change; its peers know better. It must not become ready with the old contents.
func TestReplacedHostUnderStalePlatform(t *testing.T) {
	f := newSyncFleet(20)
	f.publish(10, 10)
	f.settle(t, time.Minute)
	old := f.copyFolder()
	f.publish(10, 1)
	f.settle(t, time.Minute)
	f.stale = old
	f.peerDelay = 200 * time.Millisecond // the stale answer comes first
	n := f.nodes[7]
	n.restart()
	for !n.syncer.Ready(f.Now) {
		f.Run(20 * time.Millisecond)
	}
	require.Equal(t, f.revision, n.revision)
	f.Run(time.Minute)
	require.Equal(t, f.revision, n.revision)
}

// The same host is cut off from all peers too. It becomes ready after the stated
// limit with the old contents, and goes forward as soon as it hears of more.
func TestReplacedHostCutOffFromPeers(t *testing.T) {
	f := newSyncFleet(20)
	f.publish(10, 10)
	f.settle(t, time.Minute)
	old := f.copyFolder()
	f.publish(10, 1)
	f.settle(t, time.Minute)
	f.stale = old
	n := f.nodes[7]
	n.isolated = true
	n.restart()
	f.Run(4 * time.Second)
	require.False(t, n.syncer.Ready(f.Now))
	f.Run(2 * time.Second)
	require.True(t, n.syncer.Ready(f.Now))
	require.Equal(t, old.manifest.Revision, n.revision)
	n.isolated = false
	n.act(n.syncer.RevisionAdvertised(f.Now, Peer{Name: "1", Address: "1"}, f.nodes[1].revision))
	f.Run(2 * time.Second)
	require.Equal(t, f.nodes[1].revision, n.revision)
}

// A daemon wakes after a long pause. It must not serve on what it knew before
// until it has asked its peers again.
func TestAwokenDaemonAsksAgain(t *testing.T) {
	f := newSyncFleet(20)
	f.publish(10, 10)
	f.settle(t, time.Minute)
	f.Run(10 * time.Second)
	n := f.nodes[3]
	require.True(t, n.syncer.Ready(f.Now))
	n.syncer.Resync(f.Now)
	require.False(t, n.syncer.Ready(f.Now))
	for !n.syncer.Ready(f.Now) {
		f.Run(20 * time.Millisecond)
	}
	require.Equal(t, f.revision, n.revision)
}
