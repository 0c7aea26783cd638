// Package routes holds the configuration of requests that are forwarded by host name and path: the service that
// runs them, the retry policy, and the workspaces of API keys. A Table is immutable.
package routes

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"arbutusdeck/core/enginemodel"
	"arbutusdeck/core/execution"
)

// Route configures the requests of one host name and path prefix.
type Route struct {
	Name   string `json:"name"`
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	// Repeat selects whether a request that may already have run can be retried.
	Repeat execution.RetryPolicy `json:"repeat"`
	// Streaming is set if answers are event streams.
	Streaming bool `json:"streaming,omitempty"`
	// Timeout bounds a request from its arrival to the end of its answer.
	Timeout time.Duration `json:"timeout"`
	// Target is the expected time to the first byte of the answer.
	Target time.Duration `json:"target"`
	// EventGap is the longest expected pause between two events.
	EventGap time.Duration `json:"eventGap,omitempty"`
	// MaxAttempts bounds the number of backend servers that a request is sent to.
	MaxAttempts int `json:"maxAttempts"`
	// Priority ranks the route's requests; 0 goes first.
	Priority int `json:"priority"`
	// Public is set if requests need no API key.
	Public bool `json:"public,omitempty"`
	// Shares divide the requests between services.
	Shares []Share `json:"shares"`
}

// Share is a service's weight among a route's services.
type Share struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Service is a set of backend servers that run the same requests.
type Service struct {
	Name       string `json:"name"`
	HealthPath string `json:"healthPath,omitempty"`
	// MaxConnections is the number of connections that one backend server accepts from all callers.
	MaxConnections int `json:"maxConnections,omitempty"`
	// ColdRate is the number of requests per second, summed over all entries, that a backend server sustains
	// while cold; 0 if unlimited.
	ColdRate float64 `json:"coldRate,omitempty"`
	// Engine is nil for a plain service.
	Engine *enginemodel.Engine `json:"engine,omitempty"`
}

// Limits bound the size of callers' requests and how slowly they may be sent.
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
	// Priority, if set, overrides the route's.
	Priority *int `json:"priority,omitempty"`
	// Weight is the workspace's share of the capacity relative to others while there isn't enough for all; 0 means 1.
	Weight float64 `json:"weight,omitempty"`
}

// Definition is a complete configuration as it is read and passed between daemons.
type Definition struct {
	Version    uint64      `json:"version"`
	Routes     []Route     `json:"routes"`
	Services   []Service   `json:"services"`
	Limits     Limits      `json:"limits"`
	Workspaces []Workspace `json:"workspaces"`
}

// Table indexes one Definition. It is safe for concurrent use.
type Table struct {
	definition Definition
	byHost     map[string][]*Route // the longest prefix first
	services   map[string]*Service
	keys       map[string]*Workspace
}

// NewTable validates a definition and indexes it. Errors name the invalid element.
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
		if workspace.Weight < 0 || math.IsNaN(workspace.Weight) || math.IsInf(workspace.Weight, 0) {
			return nil, fmt.Errorf("workspaces[%d] %s: weight %g: give a finite number that is not negative", i, workspace.Name, workspace.Weight)
		}
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

// Definition returns the definition of the table, which must not be changed.
func (t *Table) Definition() *Definition { return &t.definition }

// Version returns the definition's version.
func (t *Table) Version() uint64 { return t.definition.Version }

// Limits returns the limits on callers.
func (t *Table) Limits() Limits { return t.definition.Limits }

// Service returns a service by its name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Match returns the route of the host name with the longest matching prefix of the path, or nil. A port in the
// host name is ignored.
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

// Weights returns the weights of the workspaces by name.
func (t *Table) Weights() map[string]float64 {
	weights := make(map[string]float64, len(t.definition.Workspaces))
	for i := range t.definition.Workspaces {
		workspace := &t.definition.Workspaces[i]
		weights[workspace.Name] = cmp.Or(workspace.Weight, 1)
	}
	return weights
}

// WorkspaceOf returns the workspace that holds an API key, or nil.
func (t *Table) WorkspaceOf(key string) *Workspace { return t.keys[key] }

// PickService picks a service of the route at random, by weight. draw is a random number in [0, 1). Callers pick
// once for each request, so that all its attempts go to one service.
func (r *Route) PickService(draw float64) string {
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
