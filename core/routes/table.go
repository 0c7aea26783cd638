// Package routes holds the configuration of requests that are forwarded by host
// name and path: which service runs them, what may be repeated, and which
// workspace an API key belongs to. A Table is never changed once it is built.
package routes

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"arbutusdeck/core/enginemodel"
	"arbutusdeck/core/execution"
)

// Route says how requests of one host name and path prefix are handled.
type Route struct {
	Name   string `json:"name"`
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	// Repeat is what may be done with a request that may already have run.
	Repeat execution.RetryPolicy `json:"repeat"`
	// Streaming says that answers are series of events.
	Streaming bool `json:"streaming,omitempty"`
	// Timeout bounds a request from its arrival to the end of its answer.
	Timeout time.Duration `json:"timeout"`
	// Target is the time to the first byte of the answer that callers expect.
	Target time.Duration `json:"target"`
	// EventGap is the longest pause between two events that callers expect.
	EventGap time.Duration `json:"eventGap,omitempty"`
	// MaxAttempts is how many backend servers a request may be sent to.
	MaxAttempts int `json:"maxAttempts"`
	// Priority is the rank of the route; 0 goes first.
	Priority int `json:"priority"`
	// Public says that requests need no API key.
	Public bool `json:"public,omitempty"`
	// Shares divides the requests between services.
	Shares []Share `json:"shares"`
}

// Share is a service's part of a route's requests.
type Share struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Service is a set of backend servers that run the same requests.
type Service struct {
	Name       string `json:"name"`
	HealthPath string `json:"healthPath,omitempty"`
	// MaxConnections is what one backend server accepts from all callers.
	MaxConnections int `json:"maxConnections,omitempty"`
	// ColdRate is how many requests a second, of all entries together, a backend server bears while it is cold; 0 if that
	// is not bounded.
	ColdRate float64 `json:"coldRate,omitempty"`
	// Engine is nil for a plain service.
	Engine *enginemodel.Engine `json:"engine,omitempty"`
}

// Limits bound what a caller may send, and how slowly.
type Limits struct {
	HeaderBytes   int           `json:"headerBytes"`
	BodyBytes     int64         `json:"bodyBytes"`
	HeaderTimeout time.Duration `json:"headerTimeout"`
	IdleTimeout   time.Duration `json:"idleTimeout"`
}

// Workspace is a customer with its API keys.
type Workspace struct {
	Name    string   `json:"name"`
	APIKeys []string `json:"apiKeys"`
	// Priority goes before the route's where it is set.
	Priority *int `json:"priority,omitempty"`
}

// Definition is a whole configuration as it is read and passed between daemons.
type Definition struct {
	Version    uint64      `json:"version"`
	Routes     []Route     `json:"routes"`
	Services   []Service   `json:"services"`
	Limits     Limits      `json:"limits"`
	Workspaces []Workspace `json:"workspaces"`
}

// Table answers questions about one Definition. It is safe for concurrent use.
type Table struct {
	definition Definition
	byHost     map[string][]*Route // the longest prefix first
	services   map[string]*Service
	keys       map[string]*Workspace
}

// NewTable checks a definition and indexes it. Errors name the place.
func NewTable(definition Definition) (*Table, error) {
	t := &Table{definition: definition, byHost: map[string][]*Route{}, services: map[string]*Service{}, keys: map[string]*Workspace{}}
	if err := t.addServices(); err != nil {
		return nil, err
	}
	if err := t.addRoutes(); err != nil {
		return nil, err
	}
	for i := range t.definition.Workspaces {
		workspace := &t.definition.Workspaces[i]
		for _, key := range workspace.APIKeys {
			t.keys[key] = workspace
		}
	}
	return t, nil
}

func (t *Table) addServices() error {
	for i := range t.definition.Services {
		service := &t.definition.Services[i]
		if service.Name == "" {
			return fmt.Errorf("services[%d]: give the service a name", i)
		}
		if service.Engine != nil {
			if err := service.Engine.Check(); err != nil {
				return fmt.Errorf("services[%d] %s: engine: %w", i, service.Name, err)
			}
		}
		t.services[service.Name] = service
	}
	return nil
}

func (t *Table) addRoutes() error {
	for i := range t.definition.Routes {
		route := &t.definition.Routes[i]
		if err := t.checkRoute(route); err != nil {
			return fmt.Errorf("routes[%d] %s: %w", i, route.Name, err)
		}
		host := strings.ToLower(route.Host)
		t.byHost[host] = append(t.byHost[host], route)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return nil
}

func (t *Table) checkRoute(route *Route) error {
	if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
		return fmt.Errorf("prefix %q: begin and end it with a slash", route.Prefix)
	}
	if route.Timeout <= 0 {
		return fmt.Errorf("timeout %s: give a positive duration", route.Timeout)
	}
	if route.MaxAttempts < 1 {
		return fmt.Errorf("maxAttempts %d: give at least 1", route.MaxAttempts)
	}
	if len(route.Shares) == 0 {
		return fmt.Errorf("shares: name at least one service")
	}
	for _, share := range route.Shares {
		if t.services[share.Service] == nil {
			return fmt.Errorf("shares: no service is named %q", share.Service)
		}
	}
	return nil
}

// Definition returns what the table was built from. It must not be changed.
func (t *Table) Definition() *Definition { return &t.definition }

// Version returns the definition's version.
func (t *Table) Version() uint64 { return t.definition.Version }

// Limits returns the bounds on callers.
func (t *Table) Limits() Limits { return t.definition.Limits }

// Service returns a service by its name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Match returns the route of the host name with the longest prefix of the path,
// or nil. A port in the host name is passed over.
func (t *Table) Match(host, path string) *Route {
	host = strings.ToLower(host)
	routes, ok := t.byHost[host]
	if !ok {
		name, _, found := strings.Cut(host, ":")
		if !found {
			return nil
		}
		routes = t.byHost[name]
	}
	for _, route := range routes {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// WorkspaceOf returns the workspace that holds an API key, or nil.
func (t *Table) WorkspaceOf(key string) *Workspace { return t.keys[key] }

// Choose divides requests between the services of a route by their weights. draw
// is a random number from 0 to 1; callers choose once for a request, so that all
// its attempts go to one service.
func (r *Route) Choose(draw float64) string {
	total := 0
	for _, share := range r.Shares {
		total += max(share.Weight, 0)
	}
	if total == 0 {
		return r.Shares[0].Service
	}
	left := draw * float64(total)
	for _, share := range r.Shares {
		left -= float64(max(share.Weight, 0))
		if left < 0 {
			return share.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}
