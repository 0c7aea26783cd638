package execution

import (
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The explorer is a breadth-first model checker over the real Request and Ledger
// state machines. It enumerates the orders in which messages are delivered,
// duplicated, lost and reordered, daemons restart, callers resend and time passes,
// and checks the specification after each step:
//
//	once      a key, or a request that is not retryable, runs at most once
//	truth     a request that was reported as notRun has not run and never does
//	answered  only a run that has ended is reported as finished
//
// A state consists of the state machines, the messages in flight and the remaining
// budget of faults; equal states are visited once.

const (
	exploreAllowance = 2 * time.Second
	exploreLife      = 3 * time.Second
	exploreRetention = 40 * time.Second
)

var exploreStart = time.Unix(1_000_000, 0)

// exploration is the result of explore.
type exploration struct {
	states, depth int
	exhausted     bool
	violation     string
	trace         []string
}

// explore searches breadth first up to a number of states.
func explore(sc scenario, maxStates int) exploration {
	first := sc.start()
	frontier := []*world{first}
	seen := map[uint64]bool{first.fingerprint(): true}
	result := exploration{states: 1}
	for len(frontier) > 0 && result.states < maxStates {
		var next []*world
		for _, w := range frontier {
			for _, m := range w.moves() {
				c := w.clone()
				c.trace = append(c.trace, m.name)
				m.do(c)
				if broken := c.violation(sc.repeatable); broken != "" {
					result.violation, result.trace = broken, c.trace
					return result
				}
				if id := c.fingerprint(); !seen[id] {
					seen[id] = true
					result.states++
					next = append(next, c)
				}
			}
		}
		frontier = next
		result.depth++
	}
	result.exhausted = len(frontier) == 0
	return result
}

func madeKey(_ *ledgerHost) Key {
	return Key{ID: "k", Fingerprint: 1, CreatedAt: exploreStart.Add(50 * time.Second)}
}

func issuedKey(_ *ledgerHost) Key {
	return Key{ID: "k", Issued: true, Fingerprint: 1, CreatedAt: exploreStart.Add(50 * time.Second)}
}

// scenarios returns all combinations of request kinds and fault budgets.
func scenarios() []scenario {
	kinds := []scenario{
		{name: "no key", servers: 2, submissions: 1},
		{name: "repeatable", servers: 2, submissions: 1, repeatable: true},
		{name: "issued key", servers: 1, submissions: 2, key: issuedKey},
		{name: "caller's key", servers: 1, submissions: 2, key: madeKey},
	}
	sets := []struct {
		name   string
		faults faults
	}{
		{"loss and late", faults{Losses: 1, Jumps: 1}},
		{"two losses", faults{Losses: 2}},
		{"copy and late", faults{Copies: 1, Jumps: 1}},
		{"copy and restart", faults{Copies: 1, Restarts: 1}},
		{"restart and late", faults{Restarts: 1, Jumps: 1}},
		{"loss and restart", faults{Losses: 1, Restarts: 1}},
		{"deadline and loss", faults{Deadlines: 1, Losses: 1}},
		{"deadline, copy and late", faults{Deadlines: 1, Copies: 1, Jumps: 1}},
		{"ends and loss", faults{Ends: 2, Losses: 1}},
		{"ends, copy and late", faults{Ends: 2, Copies: 1, Jumps: 1}},
	}
	var all []scenario
	for _, kind := range kinds {
		for _, set := range sets {
			sc := kind
			sc.name, sc.faults = kind.name+"/"+set.name, set.faults
			all = append(all, sc)
		}
	}
	return all
}

// maxExploredStates bounds the time in CI. The environment variable ARBUTUS_EXPLORE overrides it.
const maxExploredStates = 8_000

func exploreLimit() int {
	if limit, err := strconv.Atoi(os.Getenv("ARBUTUS_EXPLORE")); err == nil {
		return limit
	}
	return maxExploredStates
}

// Callers resend, messages are lost, duplicated and reordered, a daemon restarts
// and time passes, in any order. No caller may see a second run or a false notRun.
func TestExploreExecution(t *testing.T) {
	for _, sc := range scenarios() {
		t.Run(sc.name, func(t *testing.T) {
			t.Parallel()
			result := explore(sc, exploreLimit())
			require.Empty(t, result.violation, "trace: %q", result.trace)
			t.Logf("%d states, depth %d, exhausted: %t", result.states, result.depth, result.exhausted)
		})
	}
}
