// Package fleet starts the simulated engines, services and platform of a small
// deployment on loopback, and builds the configuration and the settings of its
// daemons. Tests and the demo use it.
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

// Names and credentials that every fleet uses.
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

// Spec describes the size and the behavior of a fleet.
type Spec struct {
	Servers int
	Entries int
	Engine  engine.Spec
	Slots   int
	// Speed is the factor by which engines run faster than real time.
	Speed         float64
	ChecksFencing bool
	OrderDelay    time.Duration
	ServiceDelay  time.Duration
	// HomeSlots gives the service one home slot on each server.
	HomeSlots bool
	// EngineGroup joins the first engine of each server into a group.
	EngineGroup bool
	// PoisonText marks prompts that crash engines: those that contain it. Empty means none.
	PoisonText string
	// MaxBodyBytes bounds the body of a request; 0 selects the default of the entries.
	MaxBodyBytes int64
	// Intercept, if not nil, wraps the handlers of the engines and the services.
	Intercept func(http.Handler) http.Handler
	// NewHost returns the loopback IP address of a daemon; nil puts all of them on one address.
	NewHost func() string
}

// DefaultSpec returns a fleet of three servers and two entries.
func DefaultSpec() Spec {
	return Spec{Servers: 3, Entries: 2, Engine: engine.DefaultSpec(), Slots: 8, Speed: 1, ChecksFencing: true,
		OrderDelay: 50 * time.Millisecond}
}

// Fleet is a running set of simulated engines, services and a platform.
type Fleet struct {
	Spec     Spec
	Platform *platform.Server
	Engines  []*engine.Server
	Services []*service.Server
	// Config is the configuration published last; change it and call Publish.
	Config      *config.Snapshot
	PlatformURL string
	engineURLs  []string
	serviceURLs []string
	servers     []*http.Server
	adminAddrs  map[string]string
	callerAddrs map[string]string
	// hosts are the IP addresses of the daemons, by name.
	hosts map[string]string
	// crashed counts the engines that have crashed.
	crashed atomic.Int32
}

// Start starts the fleet's servers and publishes its configuration.
func Start(spec Spec) (*Fleet, error) {
	f := &Fleet{Spec: spec, Platform: platform.New(), adminAddrs: map[string]string{}, callerAddrs: map[string]string{}, hosts: map[string]string{}}
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
		OrderDelay: f.Spec.OrderDelay, Model: Model, Version: Version, CrashesOn: func(prompt []byte) bool { return f.crashOn(prompt, process.Load()) }})
	f.Engines = append(f.Engines, e)
	url, server, err := f.serve(f.intercepted(e.Handler()))
	if err != nil {
		return err
	}
	process.Store(server)
	f.engineURLs = append(f.engineURLs, url)
	s := service.New(f.Spec.ServiceDelay)
	f.Services = append(f.Services, s)
	url, _, err = f.serve(f.intercepted(s))
	f.serviceURLs = append(f.serviceURLs, url)
	return err
}

// crashOn crashes an engine if the prompt contains the poison text: its address refuses
// connections from then on, and the streams that it runs are aborted.
func (f *Fleet) crashOn(prompt []byte, process *http.Server) bool {
	if f.Spec.PoisonText == "" || !bytes.Contains(prompt, []byte(f.Spec.PoisonText)) {
		return false
	}
	f.crashed.Add(1)
	// Close fails only for what is closed already.
	_ = process.Close()
	return true
}

// CrashedEngines returns the number of engines that crashed on a prompt.
func (f *Fleet) CrashedEngines() int { return int(f.crashed.Load()) }

// intercepted returns a handler as Spec.Intercept wraps it.
func (f *Fleet) intercepted(handler http.Handler) http.Handler {
	if f.Spec.Intercept == nil {
		return handler
	}
	return f.Spec.Intercept(handler)
}

func (f *Fleet) serve(handler http.Handler) (string, *http.Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, fmt.Errorf("listening for a simulated server: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(listener) }()
	return "http://" + listener.Addr().String(), server, nil
}

// Close stops all simulated servers.
func (f *Fleet) Close() {
	for _, e := range f.Engines {
		e.Close()
	}
	for _, server := range f.servers {
		_ = server.Close()
	}
}

// ServerName returns the name of the backend server with index i, from 0 on.
func ServerName(i int) string { return fmt.Sprintf("server-%d", i) }

// EntryName returns the name of the entry with index i, from 0 on.
func EntryName(i int) string { return fmt.Sprintf("entry-%d", i) }

// Ports for daemons lie below the range of ephemeral ports: an outgoing connection
// could otherwise take a daemon's address between its choice and the daemon's start.
const (
	firstPort = 21000
	lastPort  = 31999
)

var nextPort atomic.Int64

// ErrNoPort reports that all ports for daemons are in use.
var ErrNoPort = errors.New("no free port")

// freeAddress returns an address for a daemon.
func (f *Fleet) freeAddress(name string) (string, error) {
	if f.Spec.NewHost == nil {
		return freeAddressAt("127.0.0.1")
	}
	if f.hosts[name] == "" {
		f.hosts[name] = f.Spec.NewHost()
	}
	return freeAddressAt(f.hosts[name])
}

// freeAddressAt returns an address of a loopback IP address that no process listens on and that no
// other call in this process has returned. It fails with ErrNoPort.
func freeAddressAt(host string) (string, error) {
	for range lastPort - firstPort {
		port := firstPort + nextPort.Add(1)%(lastPort-firstPort)
		address := fmt.Sprintf("%s:%d", host, port)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, listener.Close()
	}
	return "", ErrNoPort
}

// KeyHash returns the SHA-256 hash of an API key, as the configuration lists it.
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
		name := ServerName(i)
		address, err := f.freeAddress(name)
		if err != nil {
			return err
		}
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
		address, err := f.freeAddress(EntryName(i))
		if err != nil {
			return err
		}
		c.Entries[EntryName(i)] = config.Entry{PeerAddress: address, Zone: Zone}
	}
	f.Config = c
	return nil
}

// Publish publishes Config and the list of its hosts at the platform.
func (f *Fleet) Publish() error {
	content, err := yaml.Marshal(f.Config)
	if err != nil {
		return fmt.Errorf("encoding the configuration: %w", err)
	}
	f.Platform.Publish([]config.File{{Name: "10-fleet.yaml", Content: content}})
	var hosts []core.Host
	for name, server := range f.Config.Servers {
		hosts = append(hosts, core.Host{Server: name, Address: server.Address})
	}
	f.Platform.SetHosts(hosts)
	return nil
}

// HostSettings returns the settings of the host daemon on server i.
func (f *Fleet) HostSettings(i int) (HostSettings, error) {
	name := ServerName(i)
	admin, err := f.adminAddress(name)
	return HostSettings{
		Common:  f.commonSettings(name, f.Config.Servers[name].Address, admin),
		Engines: map[string]string{"e0": f.engineURLs[i]}, Services: map[string]string{Service: f.serviceURLs[i]},
	}, err
}

// EntrySettings returns the settings of entry i.
func (f *Fleet) EntrySettings(i int) (EntrySettings, error) {
	name := EntryName(i)
	admin, err := f.adminAddress(name)
	if err != nil {
		return EntrySettings{}, err
	}
	caller, err := f.freeAddress(name)
	f.callerAddrs[name] = caller
	return EntrySettings{Common: f.commonSettings(name, f.Config.Entries[name].PeerAddress, admin), ListenAddress: caller, MaxBodyBytes: f.Spec.MaxBodyBytes}, err
}

func (f *Fleet) adminAddress(name string) (string, error) {
	if address := f.adminAddrs[name]; address != "" {
		return address, nil
	}
	address, err := f.freeAddress(name)
	f.adminAddrs[name] = address
	return address, err
}

// AdminURL returns the base URL of a daemon's admin API.
func (f *Fleet) AdminURL(name string) string { return "http://" + f.adminAddrs[name] }

// CallerURL returns the base URL for callers of entry i.
func (f *Fleet) CallerURL(i int) string { return "http://" + f.callerAddrs[EntryName(i)] }

// EngineURL returns the base URL of the engine of server i.
func (f *Fleet) EngineURL(i int) string { return f.engineURLs[i] }

// Common holds the settings that entries and host daemons share.
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

// Peer is a seed peer in the settings of a daemon.
type Peer struct {
	Name    string `yaml:"name"`
	Address string `yaml:"address"`
}

// HostSettings holds the settings of a host daemon.
type HostSettings struct {
	Common   `yaml:",inline"`
	Engines  map[string]string `yaml:"engines"`
	Services map[string]string `yaml:"services"`
}

// EntrySettings holds the settings of an entry.
type EntrySettings struct {
	Common        `yaml:",inline"`
	ListenAddress string `yaml:"listenAddress"`
	// MaxBodyBytes bounds the body of a request; 0 selects the daemon's default.
	MaxBodyBytes int64 `yaml:"maxBodyBytes,omitempty"`
}

func (f *Fleet) commonSettings(name, peer, admin string) Common {
	c := Common{Name: name, Zone: Zone, AdminAddress: admin, AdminToken: AdminToken, Platform: f.PlatformURL, PeerAddress: peer, Secret: Secret}
	for other, server := range f.Config.Servers {
		if other != name {
			c.Peers = append(c.Peers, Peer{Name: other, Address: server.Address})
		}
	}
	return c
}
