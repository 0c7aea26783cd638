package forwarding

import (
	"fmt"
	"os"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"arbutusdeck/core/placement"
)

// sumMemory simulates a deployment with several seeds and adds what became of its prompts for lack of memory.
func sumMemory(deployment Deployment, seeds int) (*Result, MemoryResult) {
	results := make([]*Result, seeds)
	forEach(seeds, func(seed int) { results[seed] = Simulate(deployment, uint64(seed), placement.DefaultOptions("")) })
	var m MemoryResult
	for _, r := range results {
		m.Huge += r.Memory.Huge
		m.HugeInTime += r.Memory.HugeInTime
		m.Refused += r.Memory.Refused
		m.RefusedTwice += r.Memory.RefusedTwice
		m.Claims += r.Memory.Claims
		m.Hopeless += r.Memory.Hopeless
	}
	return sum(results), m
}

func printMemory(name string, load float64, r *Result, m MemoryResult) {
	fmt.Fprintf(os.Stderr, "%-18s load %.1f worth %.3f score %.3f", name, load, r.Worth(), r.Score())
	for _, c := range r.Classes {
		fmt.Fprintf(os.Stderr, " | in time %.4f late %.3f failed %.3f", float64(c.InTime)/float64(c.Requests), float64(c.Late)/float64(c.Requests), float64(c.Failed)/float64(c.Requests))
	}
	fmt.Fprintf(os.Stderr, " | huge in time %d/%d refused %d twice %d claims %d hopeless %d\n", m.HugeInTime, m.Huge, m.Refused, m.RefusedTwice, m.Claims, m.Hopeless)
}

// Guards against long prompts that are refused twice for lack of memory while it becomes free within their time, and
// against claims that serve them at the cost of short prompts.
func TestPromptsThatWaitForMemoryAreServed(t *testing.T) {
	const seeds = 2
	deployment := LargePrompts(1)
	without, refused := sumMemory(deployment, seeds)
	deployment.Claims = true
	with, waited := sumMemory(deployment, seeds)
	require.Positive(t, refused.RefusedTwice)
	require.Zero(t, waited.RefusedTwice)
	require.Greater(t, waited.HugeInTime, refused.HugeInTime)
	require.Greater(t, with.Worth(), without.Worth()+0.005)
	require.Greater(t, float64(with.Classes[0].InTime), 0.99*float64(without.Classes[0].InTime))
}

// BenchmarkClaims compares ways of giving memory to the largest prompts, on standard error. ARBUTUS_MEMORY is the memory
// of an engine in tokens, if not that of the deployment.
func BenchmarkClaims(b *testing.B) {
	for _, load := range []float64{1, 1.2} {
		for _, way := range []struct {
			name   string
			change func(*Deployment)
		}{
			{"without", func(*Deployment) {}},
			{"claims", func(d *Deployment) { d.Claims = true }},
			{"wait, no order", func(d *Deployment) { d.Claims, d.WithholdNothing = true, true }},
			{"claims, in time", func(d *Deployment) { d.Claims, d.ClaimsInTime = true, true }},
		} {
			deployment := LargePrompts(load)
			if memory, err := strconv.ParseInt(os.Getenv("ARBUTUS_MEMORY"), 10, 64); err == nil {
				deployment.Engine.MemoryTokens = memory
			}
			way.change(&deployment)
			r, m := sumMemory(deployment, 6)
			printMemory(way.name, load, r, m)
		}
	}
}
