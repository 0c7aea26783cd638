package process

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"gopkg.in/tomb.v2"

	"arbutusdeck/core/audit"
	"arbutusdeck/core/config"
	"arbutusdeck/core/platform"
)

// PlatformReader is the part of the platform that the configuration needs.
type PlatformReader interface {
	Watch(ctx context.Context, above uint64) (*config.Manifest, error)
	ReadFile(ctx context.Context, revision uint64, name string) (config.File, error)
	Hosts(ctx context.Context) ([]platform.Host, error)
}

// PeerReader fetches a snapshot above a revision from another daemon. It
// returns revision 0 if the peer has none.
type PeerReader interface {
	FetchSnapshot(ctx context.Context, peer config.Peer, above uint64) (uint64, []config.File, error)
}

// ConfigLoopOptions are the parts of a ConfigLoop.
type ConfigLoopOptions struct {
	Store    *config.Store
	Platform PlatformReader
	Peers    PeerReader
	Trail    *audit.Trail
	Log      *logrus.Entry
	// OnSnapshot is called with every snapshot that has come into force.
	OnSnapshot func(snapshot *config.Snapshot)
	// OnHosts is called with every reading of the host list.
	OnHosts func(hosts []platform.Host)
	// HostInterval is the time between two readings of the list.
	HostInterval time.Duration
	Sync         config.SyncOptions
	Seeds        []SeedPeer
	Name         string
}

// DefaultHostInterval is the time between two readings of the host list.
const DefaultHostInterval = 5 * time.Second

// ConfigLoop drives a config.Syncer: it carries out its actions and feeds their
// results back.
type ConfigLoop struct {
	options ConfigLoopOptions
	tomb    *tomb.Tomb
	named   chan namedRevision

	mu     sync.Mutex
	syncer *config.Syncer
}

// namedRevision is a revision that a message from a peer carried.
type namedRevision struct {
	peer     config.Peer
	revision uint64
}

// maxNamed bounds the named revisions that wait for the loop; more are dropped,
// since the next message names the revision again.
const maxNamed = 16

// NewConfigLoop returns a loop that Run starts.
func NewConfigLoop(options ConfigLoopOptions) *ConfigLoop {
	loop := &ConfigLoop{options: options, named: make(chan namedRevision, maxNamed)}
	loop.syncer = config.NewSyncer(time.Now(), options.Sync, rand.Float64)
	loop.syncer.SetPeers(seedPeers(options.Seeds), 0)
	return loop
}

func seedPeers(seeds []SeedPeer) []config.Peer {
	var peers []config.Peer
	for _, seed := range seeds {
		peers = append(peers, config.Peer{Name: seed.Name, Address: seed.Address})
	}
	return peers
}

// syncTick is how often the syncer's timers are looked at.
const syncTick = 100 * time.Millisecond

// Run carries the loop until the tomb dies.
func (l *ConfigLoop) Run(t *tomb.Tomb) error {
	l.mu.Lock()
	l.tomb = t
	l.mu.Unlock()
	t.Go(l.watchHosts)
	ticker := time.NewTicker(syncTick)
	defer ticker.Stop()
	for {
		l.step(func(now time.Time) []config.SyncAction { return l.syncer.Tick(now) })
		select {
		case <-ticker.C:
		case n := <-l.named:
			l.step(func(now time.Time) []config.SyncAction { return l.syncer.RevisionAdvertised(now, n.peer, n.revision) })
		case <-t.Dying():
			return nil
		}
	}
}

// Ready says whether the daemon may serve.
func (l *ConfigLoop) Ready() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.syncer.Ready(time.Now())
}

// Resync makes the loop ask its peers afresh, after the process was paused.
func (l *ConfigLoop) Resync() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.syncer.Resync(time.Now())
}

// RevisionAdvertised takes in the revision that a message from a peer carried.
func (l *ConfigLoop) RevisionAdvertised(peer config.Peer, revision uint64) {
	if revision <= l.options.Store.Revision() {
		return
	}
	select {
	case l.named <- namedRevision{peer, revision}:
	default:
	}
}

// step feeds the syncer and carries out what it returns, without the lock.
func (l *ConfigLoop) step(feed func(now time.Time) []config.SyncAction) {
	l.mu.Lock()
	actions := feed(time.Now())
	l.mu.Unlock()
	for _, action := range actions {
		l.carryOut(action)
	}
}

func (l *ConfigLoop) carryOut(action config.SyncAction) {
	l.mu.Lock()
	t := l.tomb
	l.mu.Unlock()
	if offer, ok := action.(config.ApplySnapshot); ok {
		l.offer(offer)
		return
	}
	if !t.Alive() {
		return
	}
	t.Go(func() error {
		ctx := t.Context(context.Background())
		switch a := action.(type) {
		case config.WatchPlatform:
			l.watch(ctx, a)
		case config.ReadFiles:
			l.read(ctx, a)
		case config.AskPeer:
			l.ask(ctx, a)
		}
		return nil
	})
}

func (l *ConfigLoop) watch(ctx context.Context, action config.WatchPlatform) {
	manifest, err := l.options.Platform.Watch(ctx, action.Above)
	l.step(func(now time.Time) []config.SyncAction {
		if err != nil {
			return l.syncer.WatchFailed(now)
		}
		return l.syncer.ManifestReceived(now, manifest)
	})
}

func (l *ConfigLoop) read(ctx context.Context, action config.ReadFiles) {
	var files []config.File
	for _, name := range action.Names {
		file, err := l.options.Platform.ReadFile(ctx, action.Revision, name)
		if err != nil {
			l.options.Log.WithError(err).WithField("file", name).Warn("reading the configuration failed")
			l.step(l.syncer.ReadFailed)
			return
		}
		files = append(files, file)
	}
	l.step(func(now time.Time) []config.SyncAction { return l.syncer.FilesRead(now, action.Revision, files) })
}

func (l *ConfigLoop) ask(ctx context.Context, action config.AskPeer) {
	revision, files, err := l.options.Peers.FetchSnapshot(ctx, action.Peer, action.Above)
	l.step(func(now time.Time) []config.SyncAction {
		if err != nil {
			return l.syncer.PeerFailed(now, action.Peer)
		}
		return l.syncer.PeerReplied(now, action.Peer, revision, files)
	})
}

func (l *ConfigLoop) offer(action config.ApplySnapshot) {
	adoption := l.options.Store.Apply(action.Revision, action.Files)
	l.audit(action, adoption)
	if adoption.Verdict == config.Applied {
		l.options.OnSnapshot(adoption.Snapshot)
	}
	revision, files := l.options.Store.Files()
	l.mu.Lock()
	l.syncer.SetCurrent(revision, files)
	if adoption.Verdict == config.Applied {
		l.setPeers(adoption.Snapshot)
	}
	l.mu.Unlock()
}

func (l *ConfigLoop) audit(action config.ApplySnapshot, adoption config.ApplyResult) {
	event := audit.Event{Time: time.Now(), Area: audit.Configuration, Subject: "folder", Source: action.Source,
		Revision: action.Revision, From: fmt.Sprint(previousRevision(adoption)), To: fmt.Sprint(action.Revision)}
	switch adoption.Verdict {
	case config.NotNewer:
		return
	case config.Applied:
		event.Why = fmt.Sprintf("%d settings changed", len(config.Changes(adoption.Previous, adoption.Snapshot)))
		l.auditChanges(action, adoption)
	default:
		event.Refused = true
		event.Why = adoption.Verdict.String()
		if adoption.Err != nil {
			event.Why = adoption.Err.Error()
		}
		l.options.Log.WithField("revision", action.Revision).Error(event.Why)
	}
	l.options.Trail.Add(event)
}

// maxAuditedChanges bounds the single changes of one snapshot in the trail.
const maxAuditedChanges = 200

func (l *ConfigLoop) auditChanges(action config.ApplySnapshot, adoption config.ApplyResult) {
	if adoption.Previous == nil {
		return
	}
	changes := config.Changes(adoption.Previous, adoption.Snapshot)
	for i, change := range changes {
		if i == maxAuditedChanges {
			return
		}
		l.options.Trail.Add(audit.Event{Time: time.Now(), Area: audit.Configuration, Subject: change.Path,
			From: shown(change.Path, change.From), To: shown(change.Path, change.To), Why: "the folder changed", Source: action.Source, Revision: action.Revision})
	}
}

// shown is a setting as the trail tells it: hashes of credentials by their place
// only.
func shown(path string, setting config.Setting) string {
	if strings.HasSuffix(path, ".keyHashes") {
		setting.Value = ""
	}
	return setting.String()
}

func previousRevision(adoption config.ApplyResult) uint64 {
	if adoption.Previous == nil {
		return 0
	}
	return adoption.Previous.Revision
}

// setPeers makes all daemons that the snapshot names peers.
func (l *ConfigLoop) setPeers(snapshot *config.Snapshot) {
	peers, turn := snapshot.Peers(l.options.Name)
	if len(peers) == 0 {
		peers = seedPeers(l.options.Seeds)
	}
	l.syncer.SetPeers(peers, turn)
}

func (l *ConfigLoop) watchHosts() error {
	ctx := l.tomb.Context(context.Background())
	interval := l.options.HostInterval
	if interval == 0 {
		interval = DefaultHostInterval
	}
	for {
		hosts, err := l.options.Platform.Hosts(ctx)
		if err == nil {
			l.options.OnHosts(hosts)
		}
		jitter := time.Duration(rand.Float64() * float64(interval) / 4)
		select {
		case <-time.After(interval + jitter):
		case <-l.tomb.Dying():
			return nil
		}
	}
}
