package routes

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusdeck/core/execution"
)

func definition() Definition {
	route := func(name, host, prefix string) Route {
		return Route{Name: name, Host: host, Prefix: prefix, Repeat: execution.RetryNever, Timeout: time.Second, MaxAttempts: 1,
			Shares: []Share{{Service: "orders", Weight: 1}}}
	}
	return Definition{
		Version:    3,
		Routes:     []Route{route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"), route("other", "b.example", "/x/")},
		Services:   []Service{{Name: "orders"}, {Name: "orders-new"}},
		Workspaces: []Workspace{{Name: "press", APIKeys: []string{"k1", "k2"}}, {Name: "proof", APIKeys: []string{"k4"}, Weight: 2.5}},
	}
}

func TestTheLongestPrefixOfTheHostWins(t *testing.T) {
	table, err := NewTable(definition())
	require.NoError(t, err)
	for _, c := range []struct{ host, path, route string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"A.Example:8080", "/x/y/", "long"},
		{"b.example", "/x/y/1", "other"},
		{"a.example", "/x", ""},
		{"c.example", "/x/1", ""},
	} {
		route := table.Match(c.host, c.path)
		if c.route == "" {
			require.Nil(t, route, c.host+c.path)
			continue
		}
		require.NotNil(t, route, c.host+c.path)
		require.Equal(t, c.route, route.Name)
	}
}

func TestKeysBelongToTheirWorkspaceOnly(t *testing.T) {
	table, err := NewTable(definition())
	require.NoError(t, err)
	require.Equal(t, "press", table.WorkspaceOf("k2").Name)
	require.Nil(t, table.WorkspaceOf("k3"))
	require.Nil(t, table.WorkspaceOf(""))
}

func TestSharesFollowTheirWeights(t *testing.T) {
	route := Route{Shares: []Share{{"orders", 90}, {"orders-new", 10}}}
	counts := map[string]int{}
	for i := range 1000 {
		counts[route.PickService(float64(i)/1000)]++
	}
	require.Equal(t, map[string]int{"orders": 900, "orders-new": 100}, counts)
	require.Equal(t, "orders", (&Route{Shares: []Share{{"orders", 0}}}).PickService(0.5))
}

// An invalid configuration is rejected as a whole, and the error names its first invalid element; the caller of
// NewTable keeps the last valid one.
func TestErrorsNameTheInvalidElement(t *testing.T) {
	for _, c := range []struct {
		change func(d *Definition)
		want   string
	}{
		{func(d *Definition) { d.Routes[1].Prefix = "x" }, `routes[1] long: prefix "x"`},
		{func(d *Definition) { d.Routes[0].Timeout = 0 }, "routes[0] short: timeout 0s"},
		{func(d *Definition) { d.Routes[0].MaxAttempts = 0 }, "routes[0] short: maxAttempts 0"},
		{func(d *Definition) { d.Routes[2].Shares = nil }, "routes[2] other: shares"},
		{func(d *Definition) { d.Routes[2].Shares[0].Service = "none" }, `no service is named "none"`},
		{func(d *Definition) { d.Services[0].Name = "" }, "services[0]: give the service a name"},
		{func(d *Definition) { d.Workspaces[1].Weight = -1 }, "workspaces[1] proof: weight -1"},
		{func(d *Definition) { d.Workspaces[1].Weight = math.NaN() }, "workspaces[1] proof: weight NaN"},
		{func(d *Definition) { d.Workspaces[0].Weight = math.Inf(1) }, "workspaces[0] press: weight +Inf"},
	} {
		d := definition()
		c.change(&d)
		_, err := NewTable(d)
		require.ErrorContains(t, err, c.want)
	}
}

// Failure: a workspace without a weight, as in configurations of older platforms, gets no share at all.
func TestAWorkspaceWithoutAWeightHasWeightOne(t *testing.T) {
	table, err := NewTable(definition())
	require.NoError(t, err)
	require.Equal(t, map[string]float64{"press": 1, "proof": 2.5}, table.Weights())
	encoded, err := json.Marshal(definition().Workspaces[0])
	require.NoError(t, err)
	require.NotContains(t, string(encoded), "weight")
}
