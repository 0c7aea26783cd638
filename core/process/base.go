package process

import (
	"fmt"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"arbutusdeck/core/admin"
	"arbutusdeck/core/audit"
	"arbutusdeck/core/config"
	"arbutusdeck/core/execution"
	"arbutusdeck/core/lifecycle"
	"arbutusdeck/core/platform"
	"arbutusdeck/core/wire"
)

// BaseOptions are the parts of a Base.
type BaseOptions struct {
	Settings    Settings
	Log         *logrus.Entry
	Trail       *audit.Trail
	Platform    PlatformReader
	Sync        config.SyncOptions
	Incarnation execution.Incarnation
	// DialTimeout bounds the opening of a connection to another daemon.
	DialTimeout time.Duration
	// OnSnapshot is called with every snapshot that has come into force.
	OnSnapshot func(snapshot *config.Snapshot)
	// OnHosts is called with every reading of the host list.
	OnHosts func(hosts []platform.Host)
	// OnStateChange is called with every change of the daemon's state.
	OnStateChange func(to lifecycle.State)
}

// Base is what both daemons are made of: identity, configuration, connections to
// other daemons, state, trail and metrics.
type Base struct {
	Log      *logrus.Entry
	Store    *config.Store
	Loop     *ConfigLoop
	Dialer   *wire.Dialer
	Registry metrics.Registry

	options BaseOptions
	manager *lifecycle.Manager

	mu    sync.Mutex
	peers map[string]PeerStatus
}

// PeerStatus is what the last message of another daemon told of it.
type PeerStatus struct {
	Incarnation string    `json:"incarnation"`
	Revision    uint64    `json:"revision"`
	Draining    bool      `json:"draining"`
	LastHeard   time.Time `json:"heard"`
}

// maxPeers bounds the daemons that are remembered.
const maxPeers = 4096

// NewBase returns a base that serves nothing yet.
func NewBase(options BaseOptions) *Base {
	b := &Base{
		Log:      options.Log,
		Store:    &config.Store{},
		Dialer:   wire.NewDialer(options.Settings.Secret, options.DialTimeout),
		Registry: metrics.NewRegistry(),
		options:  options,
		peers:    map[string]PeerStatus{},
	}
	b.manager = lifecycle.NewManager(b.changeState)
	b.Loop = NewConfigLoop(ConfigLoopOptions{
		Store: b.Store, Platform: options.Platform, Peers: b.Dialer, Trail: options.Trail, Log: options.Log,
		OnSnapshot: options.OnSnapshot, OnHosts: options.OnHosts, Sync: options.Sync, Seeds: options.Settings.Peers, Name: options.Settings.Name,
	})
	admin.RegisterRuntime(b.Registry)
	return b
}

// Name is the daemon's name.
func (b *Base) Name() string { return b.options.Settings.Name }

// Incarnation returns this start's name.
func (b *Base) Incarnation() execution.Incarnation { return b.options.Incarnation }

// Manager owns the daemon's state.
func (b *Base) Manager() *lifecycle.Manager { return b.manager }

func (b *Base) changeState(from, to lifecycle.State) {
	b.Audit(audit.Event{Area: audit.Lifecycle, Subject: b.Name(), From: string(from), To: string(to), Source: "process"})
	b.options.OnStateChange(to)
}

// Audit adds an event of now and of the revision in force.
func (b *Base) Audit(event audit.Event) {
	event.Time, event.Revision = time.Now(), b.Store.Revision()
	b.options.Trail.Add(event)
}

// AuditPause tells that this process did not run for a while.
func (b *Base) AuditPause(gap time.Duration) {
	b.Audit(audit.Event{Area: audit.Lifecycle, Subject: b.Name(), From: "running", To: "running",
		Why: fmt.Sprintf("this process was paused for %s", gap.Round(time.Millisecond)), Source: "process"})
}

// Envelope is piggybacked on every message to another daemon.
func (b *Base) Envelope() *wire.Envelope {
	return &wire.Envelope{Sender: b.Name(), Incarnation: string(b.Incarnation()), Revision: b.Store.Revision(),
		Digest: b.Store.Digest(), Draining: b.manager.State() == lifecycle.Draining}
}

// AddressOf returns where another daemon is reached.
func (b *Base) AddressOf(daemon string) (string, bool) {
	snapshot := b.Store.Current()
	if snapshot == nil {
		return "", false
	}
	return snapshot.AddressOf(daemon)
}

// ObserveEnvelope takes in the revision that a message's envelope names.
func (b *Base) ObserveEnvelope(envelope *wire.Envelope) {
	if envelope == nil || envelope.Sender == "" {
		return
	}
	b.remember(envelope)
	if envelope.Revision <= b.Store.Revision() {
		return
	}
	if address, ok := b.AddressOf(envelope.Sender); ok {
		b.Loop.RevisionAdvertised(config.Peer{Name: envelope.Sender, Address: address}, envelope.Revision)
	}
}

func (b *Base) remember(envelope *wire.Envelope) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.peers) >= maxPeers {
		clear(b.peers)
	}
	b.peers[envelope.Sender] = PeerStatus{Incarnation: envelope.Incarnation, Revision: envelope.Revision, Draining: envelope.Draining, LastHeard: time.Now()}
}

func (b *Base) peerStatus() map[string]PeerStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.peers)
}

// PeerServer returns the server that answers other daemons' questions for snapshots.
func (b *Base) PeerServer() wire.TwirpServer {
	return wire.NewPeerServer(&wire.PeerServer{Store: b.Store, Envelope: b.Envelope})
}

// Ready returns nil while new work is taken, and why not otherwise.
func (b *Base) Ready() error {
	if b.Store.Current() == nil {
		return config.ErrNoSnapshot
	}
	if state := b.manager.State(); state != lifecycle.Serving {
		return fmt.Errorf("%w: %s", lifecycle.ErrNotServing, state)
	}
	return nil
}

// Admin returns the administration API with the daemon's own sections.
func (b *Base) Admin(sections map[string]admin.Section) http.Handler {
	sections["daemon"] = func() any { return b.status() }
	sections["peers"] = func() any { return b.peerStatus() }
	return admin.Handler(admin.Options{Token: b.options.Settings.AdminToken, Ready: b.Ready, Registry: b.Registry,
		Trail: b.options.Trail, Sections: sections})
}

// Status is the first section of a daemon's status.
type Status struct {
	Name            string                `json:"name"`
	Zone            string                `json:"zone"`
	Incarnation     execution.Incarnation `json:"incarnation"`
	State           lifecycle.State       `json:"state"`
	Revision        uint64                `json:"revision"`
	RefusedRevision uint64                `json:"refusedRevision,omitempty"`
	RefusedWhy      string                `json:"refusedWhy,omitempty"`
	// OpenRequests counts what a planned stop waits for.
	OpenRequests int `json:"openRequests"`
}

func (b *Base) status() Status {
	refused, why := b.Store.RejectedRevision()
	status := Status{Name: b.Name(), Zone: b.options.Settings.Zone, Incarnation: b.Incarnation(), State: b.manager.State(),
		Revision: b.Store.Revision(), RefusedRevision: refused, OpenRequests: b.manager.Open()}
	if why != nil {
		status.RefusedWhy = why.Error()
	}
	return status
}
