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

// Deployment describes a deployment for Build.
type Deployment struct {
	Servers, Entries, Zones int
	Slots                   int
	Engine                  engine.Spec
	Workspaces              map[string]config.Workspace
	// HomeSlots gives the service a home slot on each of its servers.
	HomeSlots bool
	// Groups is the number of groups; each takes three servers, from the first.
	Groups int
	// NoFencing says that engines ignore fencing numbers.
	NoFencing bool
	// ConfigRevision of the snapshot; 0 means 1.
	Revision uint64
	Version  string
}

// Names that every built site has.
const (
	Hall      = "hall"
	Service   = "orders"
	Workspace = "w0"
)

// groupSize is the number of engines of a group.
const groupSize = 3

// ServerName and EntryName name the daemons.
func ServerName(i int) string { return fmt.Sprintf("server-%03d", i) }

// EntryName names an entry, from 0 on.
func EntryName(i int) string { return fmt.Sprintf("entry-%03d", i) }

// BuildSnapshot returns the snapshot of a site.
func BuildSnapshot(site Deployment) *config.Snapshot {
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
		Halls:      map[string]config.Hall{Hall: {Model: "m", Version: site.Version, LongShare: 0.5}},
		Servers:    map[string]config.Server{},
		Entries:    map[string]config.Entry{},
		Workspaces: site.Workspaces,
		Services:   map[string]config.Service{},
		Groups:     map[string]config.Group{},
	}
	if c.Workspaces == nil {
		c.Workspaces = map[string]config.Workspace{Workspace: {Weight: 1}}
	}
	service := config.Service{Deadline: config.Duration(20 * time.Second), Concurrency: 8, Homes: map[string]config.HomeSlot{}}
	for i := range site.Servers {
		name := ServerName(i)
		c.Servers[name] = config.Server{Address: fmt.Sprintf("10.0.%d.%d:7300", i/250, i%250), Zone: fmt.Sprintf("z%d", i%max(site.Zones, 1)),
			Engines: map[string]config.Engine{"e0": {Hall: Hall, MemoryTokens: site.Engine.MemoryTokens, PrefillRate: site.Engine.PrefillRate,
				Slots: site.Slots, ChecksFencing: !site.NoFencing}}}
		if i < 3 {
			service.Servers = append(service.Servers, name)
		}
		if i < 3 && site.HomeSlots {
			service.Homes[fmt.Sprintf("slot-%d", i)] = config.HomeSlot{Server: name}
		}
	}
	c.Services[Service] = service
	for i := range site.Groups {
		group := config.Group{Hall: Hall, Lead: ServerName(groupSize * i)}
		for n := range groupSize {
			group.Members = append(group.Members, ServerName(groupSize*i+n)+"/e0")
		}
		c.Groups[fmt.Sprintf("group-%d", i)] = group
	}
	for i := range site.Entries {
		c.Entries[EntryName(i)] = config.Entry{PeerAddress: fmt.Sprintf("10.1.0.%d:7301", i), Zone: fmt.Sprintf("z%d", i%max(site.Zones, 1))}
	}
	for name, workspace := range c.Workspaces {
		workspace.KeyHashes = []string{fmt.Sprintf("%064x", len(name)*1000+int(name[len(name)-1]))}
		c.Workspaces[name] = workspace
	}
	return load(c, max(site.Revision, 1))
}

// load passes the snapshot through the real loader, so that it is as checked as
// one of the operators'.
func load(c *config.Snapshot, revision uint64) *config.Snapshot {
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
