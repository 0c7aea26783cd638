package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Long prompts arrive faster than the servers prefill them: all but one have a backlog of a second. The next
// one could be in time and would delay no present request, but the next short prompts would find no free
// server. It has to wait at the entry; with a few servers free it is sent at once.
func TestALongPromptLeavesServersToTheNextOnes(t *testing.T) {
	servers := fleet(8)
	crowded := func(busy int) *LoadTable {
		table := newTable()
		for i := range busy {
			table.Begin(start, Dispatch{ID: fmt.Sprint(i), Server: servers[i].ID, PromptTokens: 90_000, AnswerTokens: 800,
				Gap: time.Second, Target: 10 * time.Second, Lifetime: 15 * time.Second}, engine, 0)
		}
		return table
	}
	q := longQuery(servers, 300_000)
	require.Positive(t, choose(t, crowded(8), q).Wait)
	require.Zero(t, choose(t, crowded(1), q).Wait)
	require.Zero(t, choose(t, crowded(8), longQuery(servers, 40_000)).Wait, "its value outweighs its short prefill")
}
