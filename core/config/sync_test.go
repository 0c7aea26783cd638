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

// syncFleet drives many Syncers against one simulated platform in virtual time. A
// node applies any higher revision; validation is covered by the tests of Store.
type syncFleet struct {
	*virtualtime.Clock
	random    *rand.Rand
	nodes     []*syncNode
	revision  uint64
	manifest  Manifest
	files     map[string]File
	down      bool
	calls     map[int64]int // platform calls by second of virtual time
	watchers  []*syncNode
	peerDelay time.Duration // one way
	stale     *folderState  // served instead of the current folder
}

type folderState struct {
	manifest Manifest
	files    map[string]File
}

func (f *syncFleet) copyFolder() *folderState {
	return &folderState{f.manifest, maps.Clone(f.files)}
}

type syncNode struct {
	id        int
	fleet     *syncFleet
	syncer    *Syncer
	revision  uint64
	files     []File
	appliedAt time.Time
	epoch     int
	offline   bool // the platform is unreachable
	isolated  bool // peers are unreachable
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

// peakCallRate returns the maximum number of platform calls in one second.
func (f *syncFleet) peakCallRate() int {
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

// restart replaces the node by a newly started daemon with all others as peers.
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
				n.revision, n.files, n.appliedAt = a.Revision, a.Files, n.fleet.Now
			}
			n.syncer.SetCurrent(n.revision, n.files)
		}
	}
}

func (n *syncNode) watch(a WatchPlatform, epoch int) {
	n.fleet.count()
	if n.fleet.down || n.offline {
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

// published returns the folder that the platform serves now.
func (n *syncNode) published() folderState {
	if n.fleet.stale != nil {
		return *n.fleet.stale
	}
	return folderState{n.fleet.manifest, n.fleet.files}
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
	// Reads files sequentially, with one call each.
	for i := range a.Names {
		n.fleet.After(time.Duration(i)*platformDelay, n.fleet.count)
	}
	n.fleet.After(time.Duration(len(a.Names))*platformDelay, func() {
		if epoch != n.epoch {
			return
		}
		served := n.published()
		if n.fleet.down || n.offline || served.manifest.Revision != a.Revision {
			n.act(n.syncer.ReadFailed(n.fleet.Now))
			return
		}
		var files []File
		for _, name := range a.Names {
			files = append(files, served.files[name])
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

// converge runs until every node has the newest revision and returns the time that
// took.
func (f *syncFleet) converge(t *testing.T, limit time.Duration) time.Duration {
	t.Helper()
	started := f.Now
	for f.behind() > 0 {
		require.Less(t, f.Now.Sub(started), limit, "%d daemons are behind", f.behind())
		f.Run(50 * time.Millisecond)
	}
	return f.Now.Sub(started)
}

const (
	targetDaemons = 350
	// allDaemons adds a host daemon for each of 810 workers.
	allDaemons    = 350 + 810
	targetFiles   = 300
	platformLimit = 2000 // calls per second
	applyLimit    = 10 * time.Second
)

// The whole fleet restarts at once and every daemon needs the folder. Only a few
// daemons may read it from the platform; the others fetch it from peers.
func TestWholeFleetRestarts(t *testing.T) {
	for _, daemons := range []int{20, targetDaemons, allDaemons} {
		f := newSyncFleet(daemons)
		f.publish(targetFiles, targetFiles)
		took := f.converge(t, time.Minute)
		t.Logf("%d daemons, %d files: current everywhere after %s, busiest second %d platform calls", daemons, targetFiles, took, f.peakCallRate())
		require.Less(t, f.peakCallRate(), platformLimit)
	}
}

// A change of one file, of all files, and a series of changes each reach all daemons
// in time without exceeding the platform's rate limit.
func TestChangesReachAllDaemonsInTime(t *testing.T) {
	cases := []struct {
		name    string
		changed int
		times   int
	}{{"one file", 1, 1}, {"every file", targetFiles, 1}, {"ten changes in ten seconds", 2, 10}}
	for _, daemons := range []int{targetDaemons, allDaemons} {
		for _, c := range cases {
			f := newSyncFleet(daemons)
			f.publish(targetFiles, targetFiles)
			f.converge(t, time.Minute)
			f.Run(10 * time.Second)
			f.calls = map[int64]int{}
			for range c.times {
				f.publish(targetFiles, c.changed)
				f.Run(time.Second)
			}
			took := f.converge(t, time.Minute) + time.Second
			t.Logf("%d daemons, %s: current everywhere within %s, busiest second %d platform calls", daemons, c.name, took, f.peakCallRate())
			require.LessOrEqual(t, took, applyLimit)
			require.Less(t, f.peakCallRate(), platformLimit)
		}
	}
}

// Half of the fleet can't reach the platform when a change is published. It learns
// of the revision from messages of the other half and fetches it from these peers.
func TestChangeReachesDaemonsWithoutThePlatform(t *testing.T) {
	f := newSyncFleet(100)
	f.publish(10, 10)
	f.converge(t, time.Minute)
	f.watchers = nil
	for _, n := range f.nodes[50:] {
		n.offline = true
		n.act(n.syncer.WatchFailed(f.Now))
	}
	f.watchers = append(f.watchers, f.nodes[:50]...)
	f.publish(10, 1)
	f.Run(2 * time.Second)
	require.Equal(t, 50, f.behind())
	for i, n := range f.nodes[50:] {
		n.act(n.syncer.RevisionAdvertised(f.Now, Peer{Name: fmt.Sprint(i), Address: fmt.Sprint(i)}, f.revision))
	}
	f.converge(t, applyLimit)
}

// A host is replaced while the platform serves stale contents and its peers have a
// newer revision. The new daemon must not become ready with the stale contents.
func TestReplacedHostUnderStalePlatform(t *testing.T) {
	f := newSyncFleet(20)
	f.publish(10, 10)
	f.converge(t, time.Minute)
	old := f.copyFolder()
	f.publish(10, 1)
	f.converge(t, time.Minute)
	f.stale = old
	f.peerDelay = 200 * time.Millisecond // the platform's stale reply arrives first
	n := f.nodes[7]
	n.restart()
	for !n.syncer.Ready(f.Now) {
		f.Run(20 * time.Millisecond)
	}
	require.Equal(t, f.revision, n.revision)
	f.Run(time.Minute)
	require.Equal(t, f.revision, n.revision)
}

// The replaced host can't reach its peers either. It becomes ready with the stale
// contents after StartupTimeout and updates once a peer advertises a newer revision.
func TestReplacedHostCutOffFromPeers(t *testing.T) {
	f := newSyncFleet(20)
	f.publish(10, 10)
	f.converge(t, time.Minute)
	old := f.copyFolder()
	f.publish(10, 1)
	f.converge(t, time.Minute)
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

// After a long pause of the process a daemon's configuration may be outdated. It
// must not be ready until it has asked its peers again.
func TestDaemonResyncsAfterAPause(t *testing.T) {
	f := newSyncFleet(20)
	f.publish(10, 10)
	f.converge(t, time.Minute)
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
