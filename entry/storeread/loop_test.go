package storeread

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"gopkg.in/tomb.v2"

	"arbutusdeck/core/peering"
	"arbutusdeck/core/process"
	"arbutusdeck/core/routes"
	"arbutusdeck/platform"
)

// scriptedStore answers reads of the operators' rows with a configuration, and records from where watches begin.
type scriptedStore struct {
	Store
	rows    platform.Changes
	watched chan uint64
}

func (s *scriptedStore) ReadOperatorRows(context.Context) (platform.Changes, error) {
	return s.rows, nil
}

func (s *scriptedStore) Watch(ctx context.Context, after uint64, _ time.Duration) (platform.Changes, error) {
	select {
	case s.watched <- after:
	default:
	}
	<-ctx.Done()
	return platform.Changes{}, errors.New("cancelled")
}

// peerFedTarget knows a version, and a list of servers that peers keep current.
type peerFedTarget struct {
	Target
	position, version uint64
	// applying is called before a configuration is applied.
	applying func()
}

func (t *peerFedTarget) Advance(uint64)                      {}
func (t *peerFedTarget) Position() uint64                    { return t.position }
func (t *peerFedTarget) Version() uint64                     { return t.version }
func (t *peerFedTarget) ReplaceEvacuations(platform.Changes) {}
func (t *peerFedTarget) ServeWhenReady()                     {}
func (t *peerFedTarget) Starting() bool                      { return false }

func (t *peerFedTarget) ApplyChanges(changes platform.Changes, _ string) {
	if t.applying != nil {
		t.applying()
	}
	t.version = max(t.version, changes.Configuration.Version)
}

// soleReader is an entry that reads the store for all others, and counts its announcements.
type soleReader struct {
	Peers
	announced chan struct{}
}

func (p *soleReader) ShouldRead(time.Time, peering.StoreState) bool { return true }
func (p *soleReader) RunningIn(time.Time, string) []string          { return nil }
func (p *soleReader) HasFreshPeer(time.Time) bool                   { return false }

func (p *soleReader) BroadcastState() {
	select {
	case p.announced <- struct{}{}:
	default:
	}
}

// readRows runs a reader that finds a configuration of version 7 at revision 30, while peers keep its list current up
// to a position.
func readRows(t *testing.T, position, version uint64) (*scriptedStore, *soleReader) {
	store := &scriptedStore{rows: platform.Changes{Revision: 30, Configuration: &routes.Definition{Version: 7}}, watched: make(chan uint64, 1)}
	peers := &soleReader{announced: make(chan struct{}, 1)}
	r := New(Options{Zone: "here", Store: store, Target: &peerFedTarget{position: position, version: version}, Peers: peers,
		Log: process.NewDiscardLogger(), Errors: metrics.NewCounter()})
	keeper := &tomb.Tomb{}
	keeper.Go(func() error { return r.Run(keeper) })
	t.Cleanup(func() {
		keeper.Kill(nil)
		require.NoError(t, keeper.Wait())
	})
	return store, peers
}

// Guards against skipping a configuration that was written between the read and the position of a peer's view.
func TestAWatchBeginsWhereTheConfigurationWasRead(t *testing.T) {
	ahead, _ := readRows(t, 40, 7)
	require.EqualValues(t, 30, <-ahead.watched)
	behind, _ := readRows(t, 20, 7)
	require.EqualValues(t, 20, <-behind.watched, "changes of servers before the read are not skipped either")
}

// Guards against a version that other entries hear of with the next heartbeat only, after a change of readers.
func TestAVersionFoundByANewReaderIsAnnounced(t *testing.T) {
	_, current := readRows(t, 20, 7)
	_, later := readRows(t, 20, 6)
	select {
	case <-later.announced:
	case <-time.After(10 * time.Second):
		require.Fail(t, "the version was not announced")
	}
	require.Empty(t, current.announced)
}

// Guards against an entry that vouches for its version by an answer which it has not applied yet.
func TestAnAnswerCountsOnceItIsApplied(t *testing.T) {
	store := &scriptedStore{rows: platform.Changes{Revision: 30, Configuration: &routes.Definition{Version: 7}}}
	target := &peerFedTarget{position: 20, version: 6}
	r := New(Options{Zone: "here", Store: store, Target: target, Peers: &soleReader{announced: make(chan struct{}, 1)}, Log: process.NewDiscardLogger()})
	r.UpdateReading(time.Now())
	target.applying = func() { require.False(t, r.State(time.Now()).Reads) }
	_, err := r.readStore(t.Context())
	require.NoError(t, err)
	require.True(t, r.State(time.Now()).Reads)
	first := r.lastSuccess
	target.applying = func() { require.Equal(t, first, r.lastSuccess) }
	answeredAt := first.Add(time.Second)
	r.applyWatched(answeredAt, 30, store.rows)
	require.Equal(t, answeredAt, r.lastSuccess)
}
