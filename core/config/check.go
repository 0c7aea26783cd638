package config

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/go-playground/validator/v10"
)

var fieldRules = newFieldRules()

func newFieldRules() *validator.Validate {
	rules := validator.New(validator.WithRequiredStructEnabled())
	rules.RegisterTagNameFunc(func(field reflect.StructField) string {
		name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
		return name
	})
	return rules
}

// checker collects all problems of a snapshot, so that an operator sees them at
// once.
type checker struct {
	snapshot *Snapshot
	problems []Problem
}

func (s *Snapshot) check() []Problem {
	c := &checker{snapshot: s}
	c.fields()
	c.lengthClasses()
	c.kinds()
	c.servers()
	c.groups()
	c.services()
	c.workspaces()
	c.entries()
	slices.SortStableFunc(c.problems, func(a, b Problem) int {
		return cmp.Or(strings.Compare(a.Position.File, b.Position.File), a.Position.Line-b.Position.Line,
			strings.Compare(a.Detail, b.Detail))
	})
	return c.problems
}

func (c *checker) add(path, format string, args ...any) {
	problem := Problem{Position: c.snapshot.provenance.Find(path), Detail: path + ": " + fmt.Sprintf(format, args...)}
	c.problems = append(c.problems, problem)
}

// Find returns the position of a path, or of its nearest ancestor that stands in a
// file.
func (p Provenance) Find(path string) Position {
	for path != "" {
		if setting, ok := p[path]; ok {
			return setting.Position
		}
		cut := strings.LastIndexByte(path, '.')
		if cut < 0 {
			break
		}
		path = path[:cut]
	}
	return Position{File: "(folder)", Line: 0}
}

func (c *checker) fields() {
	err := fieldRules.Struct(c.snapshot)
	var failures validator.ValidationErrors
	if !errors.As(err, &failures) {
		return
	}
	for _, failure := range failures {
		path := settingPath(failure.Namespace())
		c.add(path, "%s", ruleMessage(failure))
	}
}

// settingPath converts the validator's Snapshot.kinds[gloss].hall to
// kinds.gloss.hall.
func settingPath(namespace string) string {
	_, path, _ := strings.Cut(namespace, ".")
	return strings.NewReplacer("[", ".", "]", "").Replace(path)
}

func ruleMessage(failure validator.FieldError) string {
	switch failure.Tag() {
	case "required":
		return "is missing or zero: give a value"
	case "gt":
		return "must be above " + failure.Param()
	case "gte":
		return "must be at least " + failure.Param()
	case "lte":
		return "must be at most " + failure.Param()
	case "min":
		return "needs at least " + failure.Param() + " entries"
	case "oneof":
		return "must be one of: " + failure.Param()
	case "hostname_port":
		return fmt.Sprintf("%q must be an IP and port, as in 10.0.0.7:7300", failure.Value())
	case "len", "hexadecimal", "lowercase":
		return "must be the 64 lowercase hexadecimal digits of a SHA-256 sum"
	}
	return "breaks the rule " + failure.Tag()
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func checkReference[V any](c *checker, path, what, name string, among map[string]V) {
	if _, ok := among[name]; ok || name == "" {
		return
	}
	c.add(path, "no %s is named %q; known: %s", what, name, strings.Join(sortedKeys(among), ", "))
}

func (c *checker) lengthClasses() {
	s := c.snapshot
	s.classNames = sortedKeys(s.LengthClasses)
	slices.SortStableFunc(s.classNames, func(a, b string) int {
		return cmp.Compare(s.LengthClasses[a].UpTo, s.LengthClasses[b].UpTo)
	})
	isolated := ""
	for i, name := range s.classNames {
		class := s.LengthClasses[name]
		path := "lengthClasses." + name
		if i > 0 && class.UpTo == s.LengthClasses[s.classNames[i-1]].UpTo {
			c.add(path+".upTo", "equals that of %s: classes need different bounds", s.classNames[i-1])
		}
		if isolated != "" && !class.Isolated {
			c.add(path, "is longer than the isolated class %s, so it must be isolated too", isolated)
		}
		if class.Isolated {
			isolated = name
		}
	}
}

func (c *checker) kinds() {
	for _, name := range sortedKeys(c.snapshot.Kinds) {
		checkReference(c, "kinds."+name+".hall", "hall", c.snapshot.Kinds[name].Hall, c.snapshot.Halls)
	}
}

func (c *checker) servers() {
	addresses := map[string]string{}
	for _, name := range sortedKeys(c.snapshot.Servers) {
		server := c.snapshot.Servers[name]
		path := "servers." + name
		if other, taken := addresses[server.Address]; taken {
			c.add(path+".address", "%s is the address of %s too", server.Address, other)
		}
		addresses[server.Address] = name
		for _, engine := range sortedKeys(server.Engines) {
			checkReference(c, path+".engines."+engine+".hall", "hall", server.Engines[engine].Hall, c.snapshot.Halls)
		}
	}
}

func (c *checker) groups() {
	for _, name := range sortedKeys(c.snapshot.Groups) {
		group := c.snapshot.Groups[name]
		path := "groups." + name
		checkReference(c, path+".hall", "hall", group.Hall, c.snapshot.Halls)
		checkReference(c, path+".lead", "server", group.Lead, c.snapshot.Servers)
		seen := map[string]bool{}
		for _, member := range group.Members {
			if seen[member] {
				c.add(path+".members", "%q stands twice", member)
			}
			seen[member] = true
			c.groupMember(path+".members", group, member)
		}
	}
}

func (c *checker) groupMember(path string, group Group, member string) {
	serverName, engineName, ok := strings.Cut(member, "/")
	if !ok {
		c.add(path, "%q must be written server/engine", member)
		return
	}
	checkReference(c, path, "server", serverName, c.snapshot.Servers)
	server, ok := c.snapshot.Servers[serverName]
	if !ok {
		return
	}
	checkReference(c, path, "engine of "+serverName, engineName, server.Engines)
	engine, ok := server.Engines[engineName]
	if ok && engine.Hall != group.Hall {
		c.add(path, "%s belongs to hall %s, the group to %s", member, engine.Hall, group.Hall)
	}
}

func (c *checker) services() {
	for _, name := range sortedKeys(c.snapshot.Services) {
		service := c.snapshot.Services[name]
		path := "services." + name
		for _, server := range service.Servers {
			checkReference(c, path+".servers", "server", server, c.snapshot.Servers)
		}
		for _, slot := range sortedKeys(service.Homes) {
			c.homeSlot(path+".homes."+slot, service, service.Homes[slot])
		}
	}
}

func (c *checker) homeSlot(path string, service Service, slot HomeSlot) {
	if !slices.Contains(service.Servers, slot.Server) {
		c.add(path+".server", "%q is not among the service's servers: %s", slot.Server, strings.Join(service.Servers, ", "))
	}
	if slices.Contains(slot.Former, slot.Server) {
		c.add(path+".former", "%q holds the slot now, so it can't be a former holder", slot.Server)
	}
	for _, retired := range slot.Retired {
		if !slices.Contains(slot.Former, retired) {
			c.add(path+".retired", "%q is not among former", retired)
		}
	}
	for _, former := range slot.Former {
		if slices.Contains(slot.Retired, former) {
			continue
		}
		checkReference(c, path+".former", "server", former, c.snapshot.Servers)
	}
}

func (c *checker) workspaces() {
	hashes := map[string]string{}
	for _, name := range sortedKeys(c.snapshot.Workspaces) {
		workspace := c.snapshot.Workspaces[name]
		path := "workspaces." + name
		for _, hash := range workspace.KeyHashes {
			if other, taken := hashes[hash]; taken {
				c.add(path+".keyHashes", "the key of %s stands here too: one key names one workspace", other)
			}
			hashes[hash] = name
		}
		for _, kind := range workspace.Kinds {
			checkReference(c, path+".kinds", "kind", kind, c.snapshot.Kinds)
		}
		for _, service := range workspace.Services {
			checkReference(c, path+".services", "service", service, c.snapshot.Services)
		}
		for _, class := range sortedKeys(workspace.FirstToken) {
			checkReference(c, path+".firstToken", "length class", class, c.snapshot.LengthClasses)
		}
	}
}

// entries checks that no entry has the name of a server: daemons are identified by
// name.
func (c *checker) entries() {
	for _, name := range sortedKeys(c.snapshot.Entries) {
		if _, taken := c.snapshot.Servers[name]; taken {
			c.add("entries."+name, "is the name of a server too: daemons are known by their names")
		}
	}
}
