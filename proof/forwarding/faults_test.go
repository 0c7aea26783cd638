package forwarding

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusdeck/core/placement"
)

// The upper bound holds in every simulation, whatever faults it has. It is not vacuous: nearly all of
// a tenth of the usual load is served, and a restart lowers the bound.
func TestTheUpperBoundIsNotExceeded(t *testing.T) {
	for _, deployment := range []Deployment{Zagara(1.2), WithEntryRestart(Sanad(0.8), 14*time.Second, true), withEngineFaults(Sanad(1)), RandomDeployment(2), RandomDeployment(5)} {
		result := Simulate(deployment, 1, placement.DefaultOptions(""))
		require.LessOrEqual(t, result.Worth(), result.UpperBound)
		require.LessOrEqual(t, result.UpperBound, 1.0+roundingMs)
	}
	easy := Simulate(Zagara(0.1), 1, placement.DefaultOptions(""))
	require.Greater(t, easy.Worth(), easy.UpperBound-0.05)
	require.Less(t, Simulate(WithEntryRestart(Zagara(0.1), 14*time.Second, false), 1, placement.DefaultOptions("")).UpperBound, easy.UpperBound)
}

// All entries are killed and restart: every caller still ends exactly once, and those whose connection
// broke retry once.
func TestCallersOfARestartEndOnce(t *testing.T) {
	for _, powerLoss := range []bool{false, true} {
		result := Simulate(WithEntryRestart(Sanad(0.6), 14*time.Second, powerLoss), 2, placement.DefaultOptions(""))
		for _, c := range result.Classes {
			require.Equal(t, c.Requests, c.InTime+c.Late+c.Failed)
			require.Greater(t, float64(c.InTime+c.Late)/float64(c.Requests), 0.85)
		}
	}
}

// Requests that wait at an engine that crashes are retried on other engines, and all engines are used
// again afterwards.
func TestRequestsLeaveCrashedEngines(t *testing.T) {
	deployment := Sanad(0.3)
	deployment.Phases = []Phase{{Load: []float64{1, 1, 1}}}
	deployment.EngineFaults = []EngineFault{{From: 10 * time.Second, For: 4 * time.Second, Engines: 6}}
	result := Simulate(deployment, 3, placement.DefaultOptions(""))
	short := result.Classes[0]
	require.Greater(t, float64(short.InTime+short.Late)/float64(short.Requests), 0.97)
}

// A seed always yields the same deployment and another seed a different one; idle engines meet the
// targets of each class.
func TestRandomDeploymentsAreDeterministicAndFeasible(t *testing.T) {
	require.Equal(t, RandomDeployment(3).Engine, RandomDeployment(3).Engine)
	require.NotEqual(t, RandomDeployment(3).Engine, RandomDeployment(4).Engine)
	for seed := range uint64(20) {
		deployment := RandomDeployment(seed)
		require.NoError(t, deployment.Engine.Check())
		for _, c := range deployment.Classes {
			parts := 4
			require.Less(t, deployment.Engine.PrefillMs(int64(c.Prompt), parts), ms(c.Target), "%d %s", seed, c.Name)
		}
	}
}
