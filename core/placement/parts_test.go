package placement

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against several long prompts being late where one would suffice. If each part of a new prompt goes
// to the server at which it costs least by itself, each delays another waiting prompt, whose first event
// follows its last part.
func TestPartsDelayOnePromptRatherThanSeveral(t *testing.T) {
	divided, other := &Dispatch{ID: "divided"}, &Dispatch{ID: "other"}
	at := func(waiting *Dispatch, loss, order float64) ranked {
		return ranked{candidate: &candidate{}, loss: loss, helperLoss: loss, order: order, delays: []delayLoss{{waiting, loss}}}
	}
	all := []ranked{at(divided, 4, 4), at(other, 4, 4.1), at(divided, 5, 5)}
	g := newGroup(&all[0])
	require.Same(t, &all[2], g.cheapest(all))
	g.add(&all[2])
	require.InDelta(t, 5, g.loss, 1e-9, "the prompt is late once")
	g.add(g.cheapest(all))
	require.InDelta(t, 9, g.others, 1e-9)
}

// A faulty entry asks for the placement of a long prompt whose first event is already due. Without a minimum
// target the losses are NaN and can't be compared, and the process crashes in the search for the cheapest
// server.
func TestAPromptThatIsDueAtOnceFindsServers(t *testing.T) {
	for _, target := range []time.Duration{0, -time.Second} {
		q := longQuery(fleet(3), 200_000)
		q.Target, q.Gap = target, -1
		choice, refusal := newTable().Choose(start, q)
		require.Empty(t, refusal)
		require.False(t, math.IsNaN(choice.Loss))
	}
}
