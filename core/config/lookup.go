package config

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ClassOf returns the name of a prompt's length class, or false if the prompt is
// longer than the longest class.
func (s *Snapshot) ClassOf(promptTokens int64) (string, bool) {
	for _, name := range s.classNames {
		if promptTokens <= s.LengthClasses[name].UpTo {
			return name, true
		}
	}
	return "", false
}

// ClassNames returns the names of the length classes, shortest first.
func (s *Snapshot) ClassNames() []string { return s.classNames }

// ClassRank returns the index of a class in ClassNames, or -1.
func (s *Snapshot) ClassRank(name string) int { return slices.Index(s.classNames, name) }

// FirstTokenTarget returns the target for the time to first token. The
// workspace's target overrides the kind's, which overrides the class's.
func (s *Snapshot) FirstTokenTarget(workspace, kind, class string) time.Duration {
	if target, ok := s.Workspaces[workspace].FirstToken[class]; ok {
		return target.D()
	}
	if target := s.Kinds[kind].FirstToken; target > 0 {
		return target.D()
	}
	return s.LengthClasses[class].FirstToken.D()
}

// HallServers returns the servers with an engine of the hall, sorted by name.
func (s *Snapshot) HallServers(hall string) []string {
	var names []string
	for _, name := range sortedKeys(s.Servers) {
		for _, engine := range s.Servers[name].Engines {
			if engine.Hall == hall {
				names = append(names, name)
				break
			}
		}
	}
	return names
}

// WorkspaceByKeyHash returns the workspace with the hash of an API key. The
// comparison need not be constant-time: its duration depends on the hash and
// reveals nothing of the key.
func (s *Snapshot) WorkspaceByKeyHash(hash string) (string, bool) {
	for name, workspace := range s.Workspaces {
		if slices.Contains(workspace.KeyHashes, hash) {
			return name, true
		}
	}
	return "", false
}

// HomeSlotOf returns the home slot of a caller-made key by rendezvous hashing over
// the slot names. The names are fixed by the configuration, so entries with
// different views of the fleet agree.
func (s *Snapshot) HomeSlotOf(service, key string) (string, HomeSlot, bool) {
	homes := s.Services[service].Homes
	best, bestScore := "", uint64(0)
	for _, name := range sortedKeys(homes) {
		score := xxhash.Sum64String(name + "\x00" + key)
		if best == "" || score > bestScore {
			best, bestScore = name, score
		}
	}
	return best, homes[best], best != ""
}

// Explanation is one effective setting and the position that set it.
type Explanation struct {
	Path     string
	Value    string
	Position Position
	// Default is set if no file contains the setting.
	Default bool
}

// Explain lists the settings that apply to a request of a workspace, kind and
// prompt length, each with the position that set it.
func (s *Snapshot) Explain(workspace, kind string, promptTokens int64) ([]Explanation, error) {
	if _, ok := s.Workspaces[workspace]; !ok {
		return nil, fmt.Errorf("no workspace is named %q; known: %v", workspace, sortedKeys(s.Workspaces))
	}
	k, ok := s.Kinds[kind]
	if !ok {
		return nil, fmt.Errorf("no kind is named %q; known: %v", kind, sortedKeys(s.Kinds))
	}
	class, ok := s.ClassOf(promptTokens)
	if !ok {
		longest := s.classNames[len(s.classNames)-1]
		return nil, fmt.Errorf("%d tokens are above the longest class, %s (%d)", promptTokens, longest, s.LengthClasses[longest].UpTo)
	}
	paths := s.explainPaths(workspace, kind, class, k.Hall)
	for i := range paths {
		setting, written := s.provenance[paths[i].Path]
		paths[i].Position, paths[i].Default = setting.Position, !written
	}
	return paths, nil
}

func (s *Snapshot) explainPaths(workspace, kind, class, hall string) []Explanation {
	w, k, h := s.Workspaces[workspace], s.Kinds[kind], s.Halls[hall]
	target := s.FirstTokenTarget(workspace, kind, class)
	at := func(path string, value any) Explanation {
		return Explanation{Path: path, Value: fmt.Sprint(value)}
	}
	return []Explanation{
		at("lengthClasses."+class+".upTo", s.LengthClasses[class].UpTo),
		at("lengthClasses."+class+".isolated", s.LengthClasses[class].Isolated),
		at(s.targetPath(workspace, kind, class), target),
		at("kinds."+kind+".hall", hall),
		at("kinds."+kind+".deadline", k.Deadline.D()),
		at("kinds."+kind+".repeatable", k.Repeatable),
		at("halls."+hall+".model", h.Model),
		at("halls."+hall+".longShare", h.LongShare),
		at("workspaces."+workspace+".weight", w.Weight),
		at("workspaces."+workspace+".requestsPerSecond", w.RequestsPerSecond),
		at("workspaces."+workspace+".tokensPerSecond", w.TokensPerSecond),
		at("workspaces."+workspace+".concurrency", w.Concurrency),
		at("servers", s.HallServers(hall)),
	}
}

func (s *Snapshot) targetPath(workspace, kind, class string) string {
	if _, ok := s.Workspaces[workspace].FirstToken[class]; ok {
		return "workspaces." + workspace + ".firstToken." + class
	}
	if s.Kinds[kind].FirstToken > 0 {
		return "kinds." + kind + ".firstToken"
	}
	return "lengthClasses." + class + ".firstToken"
}

// Change is a difference between two snapshots. The zero Setting stands for an
// absent path.
type Change struct {
	Path string
	From Setting
	To   Setting
}

// Changes lists the values that differ, sorted by path. A value that only moved to
// another line or file is not a change.
func Changes(from, to *Snapshot) []Change {
	var before Provenance
	if from != nil {
		before = from.provenance
	}
	var changes []Change
	for path, old := range before {
		if _, exists := to.provenance[path]; !exists {
			changes = append(changes, Change{Path: path, From: old})
		}
	}
	for path, setting := range to.provenance {
		if old, existed := before[path]; !existed || old.Value != setting.Value {
			changes = append(changes, Change{Path: path, From: before[path], To: setting})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Path, b.Path) })
	return changes
}

// String returns the value with its position.
func (s Setting) String() string {
	if s.Position == (Position{}) {
		return ""
	}
	if s.Value == "" {
		return "(" + s.Position.String() + ")"
	}
	return s.Value + " (" + s.Position.String() + ")"
}

// Peers lists the daemons of the snapshot other than self, sorted by name, and
// returns self's index among all of them.
func (s *Snapshot) Peers(self string) (peers []Peer, index int) {
	all := map[string]string{}
	for name, server := range s.Servers {
		all[name] = server.Address
	}
	for name, entry := range s.Entries {
		all[name] = entry.PeerAddress
	}
	for i, name := range sortedKeys(all) {
		if name == self {
			index = i
			continue
		}
		peers = append(peers, Peer{Name: name, Address: all[name]})
	}
	return peers, index
}

// AddressOf returns the address of the daemon of a server or entry.
func (s *Snapshot) AddressOf(daemon string) (string, bool) {
	if server, ok := s.Servers[daemon]; ok {
		return server.Address, true
	}
	entry, ok := s.Entries[daemon]
	return entry.PeerAddress, ok
}

// HallsOf returns the halls of a server's engines, sorted by name.
func (s *Snapshot) HallsOf(server string) []string {
	halls := map[string]bool{}
	for _, engine := range s.Servers[server].Engines {
		halls[engine.Hall] = true
	}
	return sortedKeys(halls)
}
