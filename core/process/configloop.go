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

// PlatformReader reads the configuration folder and the host list from the
// platform.
type PlatformReader interface {
	Watch(ctx context.Context, above uint64) (*config.Manifest, error)
	ReadFile(ctx context.Context, revision uint64, name string) (config.File, error)
	Hosts(ctx context.Context) ([]platform.Host, error)
}

// PeerReader fetches a snapshot above a revision from another daemon. It returns
// revision 0 if the peer has none.
type PeerReader interface {
	FetchSnapshot(ctx context.Context, peer config.Peer, above uint64) (uint64, []config.File, error)
}

// ConfigLoopOptions configures a ConfigLoop.
type ConfigLoopOptions struct {
	Store    *config.Store
	Platform PlatformReader
	Peers    PeerReader
	Trail    *audit.Trail
	Log      *logrus.Entry
	// OnSnapshot is called with every snapshot after it is applied.
	OnSnapshot func(snapshot *config.Snapshot)
	// OnHosts is called with every host list read from the platform.
	OnHosts func(hosts []platform.Host)
	// HostInterval is the minimum time between two reads of the host list; 0
	// means DefaultHostInterval.
	HostInterval time.Duration
	Sync         config.SyncOptions
	Seeds        []SeedPeer
	Name         string
}

// DefaultHostInterval is the default of ConfigLoopOptions.HostInterval.
const DefaultHostInterval = 5 * time.Second

// ConfigLoop drives a config.Syncer: it executes its actions and passes their
// results back to it.
type ConfigLoop struct {
	options    ConfigLoopOptions
	tomb       *tomb.Tomb
	advertised chan advertisedRevision

	mu     sync.Mutex
	syncer *config.Syncer
}

// advertisedRevision is the revision in the envelope of a peer's message.
type advertisedRevision struct {
	peer     config.Peer
	revision uint64
}

// maxAdvertised bounds the queue of advertised revisions. Further ones are dropped,
// since the next message advertises the revision again.
const maxAdvertised = 16

// NewConfigLoop returns a ConfigLoop that is started by Run.
func NewConfigLoop(options ConfigLoopOptions) *ConfigLoop {
	loop := &ConfigLoop{options: options, advertised: make(chan advertisedRevision, maxAdvertised)}
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

// syncInterval is the interval of Syncer.Tick, which checks the timers.
const syncInterval = 100 * time.Millisecond

// Run runs the loop until the tomb is dying.
func (l *ConfigLoop) Run(t *tomb.Tomb) error {
	l.mu.Lock()
	l.tomb = t
	l.mu.Unlock()
	t.Go(l.watchHosts)
	ticker := time.NewTicker(syncInterval)
	defer ticker.Stop()
	for {
		l.step(func(now time.Time) []config.SyncAction { return l.syncer.Tick(now) })
		select {
		case <-ticker.C:
		case n := <-l.advertised:
			l.step(func(now time.Time) []config.SyncAction { return l.syncer.RevisionAdvertised(now, n.peer, n.revision) })
		case <-t.Dying():
			return nil
		}
	}
}

// Ready reports whether the configuration is recent enough to serve; see
// config.Syncer.Ready.
func (l *ConfigLoop) Ready() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.syncer.Ready(time.Now())
}

// Resync makes the loop ask its peers again after a pause of the process.
func (l *ConfigLoop) Resync() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.syncer.Resync(time.Now())
}

// RevisionAdvertised handles the revision in the envelope of a peer's message.
func (l *ConfigLoop) RevisionAdvertised(peer config.Peer, revision uint64) {
	if revision <= l.options.Store.Revision() {
		return
	}
	select {
	case l.advertised <- advertisedRevision{peer, revision}:
	default:
	}
}

// step calls the syncer under the lock and executes the returned actions after
// releasing it.
func (l *ConfigLoop) step(call func(now time.Time) []config.SyncAction) {
	l.mu.Lock()
	actions := call(time.Now())
	l.mu.Unlock()
	for _, action := range actions {
		l.execute(action)
	}
}

func (l *ConfigLoop) execute(action config.SyncAction) {
	l.mu.Lock()
	t := l.tomb
	l.mu.Unlock()
	if apply, ok := action.(config.ApplySnapshot); ok {
		l.apply(apply)
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
			l.readFiles(ctx, a)
		case config.AskPeer:
			l.askPeer(ctx, a)
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

func (l *ConfigLoop) readFiles(ctx context.Context, action config.ReadFiles) {
	var files []config.File
	for _, name := range action.Names {
		file, err := l.options.Platform.ReadFile(ctx, action.Revision, name)
		if err != nil {
			l.options.Log.WithError(err).WithField("file", name).Warn("failed to read a configuration file from the platform")
			l.step(l.syncer.ReadFailed)
			return
		}
		files = append(files, file)
	}
	l.step(func(now time.Time) []config.SyncAction { return l.syncer.FilesRead(now, action.Revision, files) })
}

func (l *ConfigLoop) askPeer(ctx context.Context, action config.AskPeer) {
	revision, files, err := l.options.Peers.FetchSnapshot(ctx, action.Peer, action.Above)
	l.step(func(now time.Time) []config.SyncAction {
		if err != nil {
			return l.syncer.PeerFailed(now, action.Peer)
		}
		return l.syncer.PeerReplied(now, action.Peer, revision, files)
	})
}

func (l *ConfigLoop) apply(action config.ApplySnapshot) {
	result := l.options.Store.Apply(action.Revision, action.Files)
	l.audit(action, result)
	if result.Verdict == config.Applied {
		l.options.OnSnapshot(result.Snapshot)
	}
	revision, files := l.options.Store.Files()
	l.mu.Lock()
	l.syncer.SetCurrent(revision, files)
	if result.Verdict == config.Applied {
		l.setPeers(result.Snapshot)
	}
	l.mu.Unlock()
}

func (l *ConfigLoop) audit(action config.ApplySnapshot, result config.ApplyResult) {
	event := audit.Event{Time: time.Now(), Area: audit.Configuration, Subject: "folder", Source: action.Source,
		Revision: action.Revision, From: fmt.Sprint(previousRevision(result)), To: fmt.Sprint(action.Revision)}
	switch result.Verdict {
	case config.NotNewer:
		return
	case config.Applied:
		event.Reason = fmt.Sprintf("%d settings changed", len(config.Changes(result.Previous, result.Snapshot)))
		l.auditChanges(action, result)
	default:
		event.Refused = true
		event.Reason = result.Verdict.String()
		if result.Err != nil {
			event.Reason = result.Err.Error()
		}
		l.options.Log.WithField("revision", action.Revision).Error(event.Reason)
	}
	l.options.Trail.Add(event)
}

// maxAuditedChanges bounds the audit events for the changed settings of one
// snapshot.
const maxAuditedChanges = 200

func (l *ConfigLoop) auditChanges(action config.ApplySnapshot, result config.ApplyResult) {
	if result.Previous == nil {
		return
	}
	changes := config.Changes(result.Previous, result.Snapshot)
	for i, change := range changes {
		if i == maxAuditedChanges {
			return
		}
		l.options.Trail.Add(audit.Event{Time: time.Now(), Area: audit.Configuration, Subject: change.Path,
			From: auditText(change.Path, change.From), To: auditText(change.Path, change.To), Reason: "the folder changed", Source: action.Source, Revision: action.Revision})
	}
}

// auditText formats a setting for the audit trail. It omits hashes of credentials and
// shows only their position.
func auditText(path string, setting config.Setting) string {
	if strings.HasSuffix(path, ".keyHashes") {
		setting.Value = ""
	}
	return setting.String()
}

func previousRevision(result config.ApplyResult) uint64 {
	if result.Previous == nil {
		return 0
	}
	return result.Previous.Revision
}

// setPeers sets the daemons of the snapshot as peers, or the seeds if there are none.
func (l *ConfigLoop) setPeers(snapshot *config.Snapshot) {
	peers, index := snapshot.Peers(l.options.Name)
	if len(peers) == 0 {
		peers = seedPeers(l.options.Seeds)
	}
	l.syncer.SetPeers(peers, index)
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
