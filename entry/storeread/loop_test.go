package storeread

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"gopkg.in/tomb.v2"

	"arbutusdeck/core/peering"
	"arbutusdeck/core/process"
	"arbutusdeck/platform"
)

// timedStore records when it is read and first watched.
type timedStore struct {
	readAt  time.Time
	watched chan time.Time
}

func (s *timedStore) ReadServers(context.Context) (platform.Changes, error) {
	return platform.Changes{}, nil
}

func (s *timedStore) ReadOperatorRows(context.Context) (platform.Changes, error) {
	s.readAt = time.Now()
	return platform.Changes{}, nil
}

func (s *timedStore) Watch(ctx context.Context, _ uint64, _ time.Duration) (platform.Changes, error) {
	s.watched <- time.Now()
	<-ctx.Done()
	return platform.Changes{}, ctx.Err()
}

type emptyTarget struct{ Target }

func (emptyTarget) Position() uint64                      { return 0 }
func (emptyTarget) ApplyChanges(platform.Changes, string) {}
func (emptyTarget) ReplaceServers(platform.Changes, bool) {}
func (emptyTarget) ReplaceEvacuations(platform.Changes)   {}
func (emptyTarget) ServeWhenReady()                       {}
func (emptyTarget) Starting() bool                        { return false }

// readingPeers leave reading the store to this entry.
type readingPeers struct{ Peers }

func (readingPeers) ListSource(time.Time) (string, bool)                    { return "", false }
func (readingPeers) ShouldReadAtStart(time.Time) bool                       { return true }
func (readingPeers) AnnounceFirstRead(time.Time)                            {}
func (readingPeers) ShouldRead(now time.Time, self peering.StoreState) bool { return true }

// Guards against two first readers of a zone that both watch the store for two seconds, since neither had heard that the
// other one had read: a reader pauses after the first read as after each watch.
func TestAReaderPausesAfterItsFirstRead(t *testing.T) {
	store := &timedStore{watched: make(chan time.Time, 1)}
	r := New(Options{Store: store, Target: emptyTarget{}, Peers: readingPeers{}, Log: process.NewDiscardLogger()})
	options := peering.ReadOptions{Limit: 3 * time.Second}
	require.True(t, options.AllowsSharedReads())
	r.SetOptions(options)
	tb := &tomb.Tomb{}
	tb.Go(func() error { return r.Run(tb) })
	watchedAt := <-store.watched
	require.GreaterOrEqual(t, watchedAt.Sub(store.readAt), options.PollDelay())
	tb.Kill(nil)
	require.NoError(t, tb.Wait())
}
