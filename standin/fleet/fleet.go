// Package fleet starts the stand-ins of one small deployment on loopback and
// writes the configuration and settings of its daemons, for tests and the demo.
package fleet

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/goccy/go-yaml"

	"arbutusdeck/core/config"
	core "arbutusdeck/core/platform"
	"arbutusdeck/standin/engine"
	"arbutusdeck/standin/platform"
	"arbutusdeck/standin/service"
)

// Names and credentials of every fleet.
const (
	Zone       = "zone-a"
	Hall       = "poetry"
	Kind       = "gloss"
	LongKind   = "anthology"
	Service    = "orders"
	Workspace  = "school"
	APIKey     = "key-of-the-school"
	AdminToken = "admin-token-of-tests"
	Secret     = "secret-of-all-daemons"
	Model      = "poetry-7b"
	Version    = "v1"
	Group      = "large"
)

// Spec describes a fleet.
type Spec struct {
	Servers int
	Entries int
	Engine  engine.Spec
	Slots   int
	// Speed makes engines run faster than real time.
	Speed         float64
	ChecksFencing bool
	OrderDelay    time.Duration
	ServiceDelay  time.Duration
	// HomeSlots gives the service home slots, one for each server.
	HomeSlots bool
	// EngineGroup joins the first engine of each server into a group.
	EngineGroup bool
	// PoisonText is part of the prompts under which engines end; empty for none.
	PoisonText string
}

// DefaultSpec returns a fleet of three servers and two entries.
func DefaultSpec() Spec {
	return Spec{Servers: 3, Entries: 2, Engine: engine.DefaultSpec(), Slots: 8, Speed: 1, ChecksFencing: true,
		OrderDelay: 50 * time.Millisecond}
}

// Fleet is a running set of stand-ins.
type Fleet struct {
	Spec     Spec
	Platform *platform.Server
	Engines  []*engine.Server
	Services []*service.Server
	// Config is what was published last; change it and call Publish.
	Config      *config.Snapshot
	PlatformURL string
	engineURLs  []string
	serviceURLs []string
	servers     []*http.Server
	adminAddrs  map[string]string
	callerAddrs map[string]string
	// ended counts the engines that have ended.
	ended atomic.Int32
}

// Start starts the stand-ins and publishes a configuration.
func Start(spec Spec) (*Fleet, error) {
	f := &Fleet{Spec: spec, Platform: platform.New(), adminAddrs: map[string]string{}, callerAddrs: map[string]string{}}
	var err error
	if f.PlatformURL, _, err = f.serve(f.Platform.Handler()); err != nil {
		return nil, err
	}
	for i := range spec.Servers {
		if err := f.startServer(i); err != nil {
			return nil, err
		}
	}
	if err := f.configure(); err != nil {
		return nil, err
	}
	return f, f.Publish()
}

func (f *Fleet) startServer(i int) error {
	var process atomic.Pointer[http.Server]
	e := engine.New(engine.Options{Name: ServerName(i), Spec: f.Spec.Engine, Speed: f.Spec.Speed, ChecksFencing: f.Spec.ChecksFencing,
		OrderDelay: f.Spec.OrderDelay, Model: Model, Version: Version, CrashesOn: func(prompt []byte) bool { return f.endsUnder(prompt, process.Load()) }})
	f.Engines = append(f.Engines, e)
	url, server, err := f.serve(e.Handler())
	if err != nil {
		return err
	}
	process.Store(server)
	f.engineURLs = append(f.engineURLs, url)
	s := service.New(f.Spec.ServiceDelay)
	f.Services = append(f.Services, s)
	url, _, err = f.serve(s)
	f.serviceURLs = append(f.serviceURLs, url)
	return err
}

// endsUnder ends an engine if a prompt is one that it doesn't bear: its address refuses
// connections, and all that it runs is cut off.
func (f *Fleet) endsUnder(prompt []byte, process *http.Server) bool {
	if f.Spec.PoisonText == "" || !bytes.Contains(prompt, []byte(f.Spec.PoisonText)) {
		return false
	}
	f.ended.Add(1)
	// What can't be closed is closed already.
	_ = process.Close()
	return true
}

// CrashedEngines returns how many engines have ended under prompts.
func (f *Fleet) CrashedEngines() int { return int(f.ended.Load()) }

func (f *Fleet) serve(handler http.Handler) (string, *http.Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, fmt.Errorf("starting a stand-in: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(listener) }()
	return "http://" + listener.Addr().String(), server, nil
}

// Close ends the stand-ins.
func (f *Fleet) Close() {
	for _, e := range f.Engines {
		e.Close()
	}
	for _, server := range f.servers {
		_ = server.Close()
	}
}

// ServerName and EntryName name the daemons, from 0 on.
func ServerName(i int) string { return fmt.Sprintf("server-%d", i) }

// EntryName names an entry daemon, from 0 on.
func EntryName(i int) string { return fmt.Sprintf("entry-%d", i) }

// Ports for daemons lie below the range from which the system takes the ports
// of outgoing connections: one of those could take a daemon's address between
// its choice and its start.
const (
	firstPort = 21000
	lastPort  = 31999
)

var nextPort atomic.Int64

// ErrNoPort says that every port for daemons is taken.
var ErrNoPort = errors.New("no free port")

// FreeAddress returns a loopback address that nobody listens on, and that no
// other call in this process returns.
func FreeAddress() (string, error) {
	for range lastPort - firstPort {
		port := firstPort + nextPort.Add(1)%(lastPort-firstPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, listener.Close()
	}
	return "", ErrNoPort
}

// KeyHash returns the hash of an API key as it stands in the configuration.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func (f *Fleet) configure() error {
	c := &config.Snapshot{
		LengthClasses: map[string]config.LengthClass{
			"short":  {UpTo: 8_000, FirstToken: config.Duration(time.Second)},
			"medium": {UpTo: 64_000, FirstToken: config.Duration(8 * time.Second)},
			"long":   {UpTo: 1_200_000, FirstToken: config.Duration(5 * time.Minute), Isolated: true},
		},
		Kinds: map[string]config.Kind{
			Kind:     {Hall: Hall, Repeatable: true, Deadline: config.Duration(30 * time.Second), MaxAnswerTokens: 512},
			LongKind: {Hall: Hall, Repeatable: true, Deadline: config.Duration(20 * time.Minute), MaxAnswerTokens: 2048},
		},
		Halls:   map[string]config.Hall{Hall: {Model: Model, Version: Version, LongShare: 0.5}},
		Servers: map[string]config.Server{}, Entries: map[string]config.Entry{}, Groups: map[string]config.Group{},
		Workspaces: map[string]config.Workspace{Workspace: {KeyHashes: []string{KeyHash(APIKey)}, Weight: 1}},
	}
	service := config.Service{Deadline: config.Duration(20 * time.Second), Concurrency: 4, Homes: map[string]config.HomeSlot{}}
	group := config.Group{Hall: Hall, Lead: ServerName(0)}
	for i := range f.Spec.Servers {
		address, err := FreeAddress()
		if err != nil {
			return err
		}
		name := ServerName(i)
		c.Servers[name] = config.Server{Address: address, Zone: Zone, Engines: map[string]config.Engine{"e0": {Hall: Hall,
			MemoryTokens: f.Spec.Engine.MemoryTokens, PrefillRate: f.Spec.Engine.PrefillRate * f.Spec.Speed, Slots: f.Spec.Slots, ChecksFencing: f.Spec.ChecksFencing}}}
		service.Servers = append(service.Servers, name)
		group.Members = append(group.Members, name+"/e0")
		if f.Spec.HomeSlots {
			service.Homes[fmt.Sprintf("slot-%d", i)] = config.HomeSlot{Server: name}
		}
	}
	c.Services = map[string]config.Service{Service: service}
	if f.Spec.EngineGroup {
		c.Groups[Group] = group
	}
	for i := range f.Spec.Entries {
		address, err := FreeAddress()
		if err != nil {
			return err
		}
		c.Entries[EntryName(i)] = config.Entry{PeerAddress: address, Zone: Zone}
	}
	f.Config = c
	return nil
}

// Publish publishes Config.
func (f *Fleet) Publish() error {
	content, err := yaml.Marshal(f.Config)
	if err != nil {
		return fmt.Errorf("writing the configuration: %w", err)
	}
	f.Platform.Publish([]config.File{{Name: "10-fleet.yaml", Content: content}})
	var hosts []core.Host
	for name, server := range f.Config.Servers {
		hosts = append(hosts, core.Host{Server: name, Address: server.Address})
	}
	f.Platform.SetHosts(hosts)
	return nil
}

// HostSettings returns the settings of the host daemon of server i.
func (f *Fleet) HostSettings(i int) (HostSettings, error) {
	name := ServerName(i)
	admin, err := f.admin(name)
	return HostSettings{
		Common:  f.common(name, f.Config.Servers[name].Address, admin),
		Engines: map[string]string{"e0": f.engineURLs[i]}, Services: map[string]string{Service: f.serviceURLs[i]},
	}, err
}

// EntrySettings returns the settings of entry i.
func (f *Fleet) EntrySettings(i int) (EntrySettings, error) {
	name := EntryName(i)
	admin, err := f.admin(name)
	if err != nil {
		return EntrySettings{}, err
	}
	caller, err := FreeAddress()
	f.callerAddrs[name] = caller
	return EntrySettings{Common: f.common(name, f.Config.Entries[name].PeerAddress, admin), ListenAddress: caller}, err
}

func (f *Fleet) admin(name string) (string, error) {
	if known := f.adminAddrs[name]; known != "" {
		return known, nil
	}
	address, err := FreeAddress()
	f.adminAddrs[name] = address
	return address, err
}

// AdminURL and CallerURL return where a daemon is reached.
func (f *Fleet) AdminURL(name string) string { return "http://" + f.adminAddrs[name] }

// CallerURL returns where callers reach an entry.
func (f *Fleet) CallerURL(i int) string { return "http://" + f.callerAddrs[EntryName(i)] }

// EngineURL returns where an engine is reached directly.
func (f *Fleet) EngineURL(i int) string { return f.engineURLs[i] }

// Common are the settings that both daemons have, as they are written.
type Common struct {
	Name         string `yaml:"name"`
	Zone         string `yaml:"zone"`
	AdminAddress string `yaml:"adminAddress"`
	AdminToken   string `yaml:"adminToken"`
	Platform     string `yaml:"platform"`
	PeerAddress  string `yaml:"peerAddress"`
	Secret       string `yaml:"secret"`
	Peers        []Peer `yaml:"peers"`
}

// Peer is a seed peer, as written.
type Peer struct {
	Name    string `yaml:"name"`
	Address string `yaml:"address"`
}

// HostSettings are a host daemon's settings, as written.
type HostSettings struct {
	Common   `yaml:",inline"`
	Engines  map[string]string `yaml:"engines"`
	Services map[string]string `yaml:"services"`
}

// EntrySettings are an entry's settings, as written.
type EntrySettings struct {
	Common        `yaml:",inline"`
	ListenAddress string `yaml:"listenAddress"`
}

func (f *Fleet) common(name, peer, admin string) Common {
	c := Common{Name: name, Zone: Zone, AdminAddress: admin, AdminToken: AdminToken, Platform: f.PlatformURL, PeerAddress: peer, Secret: Secret}
	for other, server := range f.Config.Servers {
		if other != name {
			c.Peers = append(c.Peers, Peer{Name: other, Address: server.Address})
		}
	}
	return c
}
