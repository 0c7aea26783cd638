package lab

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/goccy/go-yaml"

	"arbutusdeck/core/config"
	"arbutusdeck/standin/engine"
)

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// Deployment describes the size of a deployment for BuildSnapshot.
type Deployment struct {
	Servers, Entries, Zones int
	Slots                   int
	Engine                  engine.Spec
	Workspaces              map[string]config.Workspace
	// HomeSlots gives the service one home slot on each of its servers.
	HomeSlots bool
	// Groups is the number of engine groups. Each spans three consecutive servers,
	// starting at the first server.
	Groups int
	// NoFencing makes engines ignore fencing tokens.
	NoFencing bool
	// Revision is that of the snapshot; 0 means 1.
	Revision uint64
	Version  string
}

// Names that every deployment has.
const (
	Hall      = "hall"
	Service   = "orders"
	Workspace = "w0"
)

// groupSize is the number of engines of a group.
const groupSize = 3

// ServerName returns the name of the backend server with index i, from 0 on.
func ServerName(i int) string { return fmt.Sprintf("server-%03d", i) }

// EntryName returns the name of the entry with index i, from 0 on.
func EntryName(i int) string { return fmt.Sprintf("entry-%03d", i) }

// BuildSnapshot returns the configuration snapshot of a deployment.
func BuildSnapshot(deployment Deployment) *config.Snapshot {
	c := &config.Snapshot{
		LengthClasses: map[string]config.LengthClass{
			"short":  {UpTo: 8_000, FirstToken: config.Duration(time.Second)},
			"medium": {UpTo: 100_000, FirstToken: config.Duration(10 * time.Second)},
			"long":   {UpTo: 1_000_000, FirstToken: config.Duration(4 * time.Minute), Isolated: true},
		},
		Kinds: map[string]config.Kind{
			"short":  {Hall: Hall, Repeatable: true, Deadline: config.Duration(20 * time.Second)},
			"medium": {Hall: Hall, Repeatable: true, Deadline: config.Duration(2 * time.Minute)},
			"long":   {Hall: Hall, Repeatable: true, Deadline: config.Duration(30 * time.Minute)},
		},
		Halls:      map[string]config.Hall{Hall: {Model: "m", Version: deployment.Version, LongShare: 0.5}},
		Servers:    map[string]config.Server{},
		Entries:    map[string]config.Entry{},
		Workspaces: deployment.Workspaces,
		Services:   map[string]config.Service{},
		Groups:     map[string]config.Group{},
	}
	if c.Workspaces == nil {
		c.Workspaces = map[string]config.Workspace{Workspace: {Weight: 1}}
	}
	service := config.Service{Deadline: config.Duration(20 * time.Second), Concurrency: 8, Homes: map[string]config.HomeSlot{}}
	for i := range deployment.Servers {
		name := ServerName(i)
		c.Servers[name] = config.Server{Address: fmt.Sprintf("10.0.%d.%d:7300", i/250, i%250), Zone: fmt.Sprintf("z%d", i%max(deployment.Zones, 1)),
			Engines: map[string]config.Engine{"e0": {Hall: Hall, MemoryTokens: deployment.Engine.MemoryTokens, PrefillRate: deployment.Engine.PrefillRate,
				Slots: deployment.Slots, ChecksFencing: !deployment.NoFencing}}}
		if i < 3 {
			service.Servers = append(service.Servers, name)
		}
		if i < 3 && deployment.HomeSlots {
			service.Homes[fmt.Sprintf("slot-%d", i)] = config.HomeSlot{Server: name}
		}
	}
	c.Services[Service] = service
	for i := range deployment.Groups {
		group := config.Group{Hall: Hall, Lead: ServerName(groupSize * i)}
		for n := range groupSize {
			group.Members = append(group.Members, ServerName(groupSize*i+n)+"/e0")
		}
		c.Groups[fmt.Sprintf("group-%d", i)] = group
	}
	for i := range deployment.Entries {
		c.Entries[EntryName(i)] = config.Entry{PeerAddress: fmt.Sprintf("10.1.0.%d:7301", i), Zone: fmt.Sprintf("z%d", i%max(deployment.Zones, 1))}
	}
	for name, workspace := range c.Workspaces {
		workspace.KeyHashes = []string{fmt.Sprintf("%064x", len(name)*1000+int(name[len(name)-1]))}
		c.Workspaces[name] = workspace
	}
	return validate(c, max(deployment.Revision, 1))
}

// validate encodes the snapshot and loads it with config.Load, so that it passes the
// same validation as an operator's configuration. It panics if that fails.
func validate(c *config.Snapshot, revision uint64) *config.Snapshot {
	content, err := yaml.Marshal(c)
	if err != nil {
		panic(err)
	}
	snapshot, err := config.Load(revision, []config.File{{Name: "site.yaml", Content: content}})
	if err != nil {
		panic(err)
	}
	return snapshot
}
