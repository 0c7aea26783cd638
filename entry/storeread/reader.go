// Package storeread keeps the configuration and the list of servers of an entry current from the
// platform's metadata store, and sends the changes to the entries that do not read it themselves.
// Which entries read is decided in core/peering; this package carries it out.
package storeread

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"gopkg.in/tomb.v2"

	"arbutusdeck/core/directory"
	"arbutusdeck/core/peering"
	"arbutusdeck/platform"
)

const (
	// watchWait bounds one long poll of a watch. Each call adds load to the store, but a watch that
	// the store has silently dropped is detected only when the wait ends. A short limit of changes
	// shortens it.
	watchWait = 2 * time.Second
	// storeRetryMin and storeRetryMax bound the backoff after a failed call.
	storeRetryMin = 100 * time.Millisecond
	storeRetryMax = time.Second
	// readerPoll is the interval at which an entry that does not read the store checks whether it
	// has to. It is well below the limits of changes.
	readerPoll = 100 * time.Millisecond
	// startPoll is the interval at which a starting entry checks whether a peer is up to date or it
	// has to read the store itself.
	startPoll = 5 * time.Millisecond
	// storeFailureMemory is the time for which a failed call counts against reading the store for
	// others.
	storeFailureMemory = 3 * time.Second
	// storeOutageTolerance bounds the time for which the store may be unavailable before the
	// servers of a peer's view are applied as well.
	storeOutageTolerance = 300 * time.Millisecond
)

// Store is the platform's metadata store.
type Store interface {
	ReadServers(ctx context.Context) (platform.Changes, error)
	ReadOperatorRows(ctx context.Context) (platform.Changes, error)
	Watch(ctx context.Context, after uint64, wait time.Duration) (platform.Changes, error)
}

// Target is the state of an entry that is kept current.
type Target interface {
	// Position returns the store revision up to which the list of servers is complete; 0 if it was
	// never read, or after ResetPosition.
	Position() uint64
	ResetPosition()
	// Version returns the version of the configuration; 0 if there is none.
	Version() uint64
	// Advance records that the list of servers is complete up to a revision.
	Advance(revision uint64)
	// ApplyChanges applies single changes, ReplaceServers and ReplaceEvacuations the complete lists
	// of the store. afterOutage is set if the store was unavailable before.
	ApplyChanges(changes platform.Changes, source string)
	ReplaceServers(servers platform.Changes, afterOutage bool)
	ReplaceEvacuations(listed platform.Changes)
	// Rows returns the known rows of servers, and the tombstones of those that are removed.
	Rows(ids []string) ([]directory.Server, []directory.Tombstone)
	// ServeWhenReady makes the entry serve if it knows a configuration and servers.
	ServeWhenReady()
	// Starting reports whether the entry has not served yet.
	Starting() bool
}

// Peers are the other entries. Some of them read the store for the others.
type Peers interface {
	// ShouldRead and ShouldReadAtStart report whether this entry has to read the store itself.
	ShouldRead(now time.Time, self peering.StoreState) bool
	ShouldReadAtStart(now time.Time, since time.Duration) bool
	// HasFreshPeer reports whether another entry of the zone is up to date with the store.
	HasFreshPeer(now time.Time) bool
	// ListSource returns an entry from which this one can fetch the list of servers at its start.
	ListSource(now time.Time) (address string, known bool)
	// FetchFrom fetches and applies the view of an entry; false if that fails.
	FetchFrom(source string) bool
	AskSeedsIfIsolated()
	// BroadcastState sends this entry's state to the entries of its zone.
	BroadcastState()
	// RunningIn returns the entries of a zone that run.
	RunningIn(now time.Time, zone string) []string
	SendUpdate(targets []string, update peering.Update)
}

// Options configure a Reader.
type Options struct {
	// Zone is the availability zone of this entry.
	Zone   string
	Store  Store
	Target Target
	Peers  Peers
	Log    *logrus.Entry
	// Errors counts the failed calls of the store.
	Errors metrics.Counter
}

// Reader reads the store. It is safe for concurrent use. It calls no method of the interfaces in
// Options while it holds mu, so that its methods may be called under the lock of the entry.
type Reader struct {
	options Options
	target  Target
	tomb    *tomb.Tomb
	// readOptions determine how this entry takes part in reading the store.
	readOptions atomic.Pointer[peering.ReadOptions]

	mu sync.Mutex
	// lastSuccess is the time of the last successful call to the store, on the clock that also
	// advances while the host is suspended: an entry that resumes must not consider its data fresh.
	lastSuccess time.Time
	lostSince   time.Time // the first failure since then, zero if none
	// lastFailure is the time of the last failed call, reading whether this entry reads the store
	// itself.
	lastFailure time.Time
	reading     bool
}

// New returns a Reader that reads nothing before Run.
func New(options Options) *Reader {
	r := &Reader{options: options, target: options.Target}
	r.readOptions.Store(&peering.ReadOptions{})
	return r
}

// SetOptions sets how this entry takes part in reading the store.
func (r *Reader) SetOptions(options peering.ReadOptions) { r.readOptions.Store(&options) }

// Options returns how this entry takes part in reading the store.
func (r *Reader) Options() peering.ReadOptions { return *r.readOptions.Load() }

// Reading reports whether this entry reads the store itself.
func (r *Reader) Reading() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reading
}
