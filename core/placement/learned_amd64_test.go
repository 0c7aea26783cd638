package placement

import (
	"fmt"
	"hash/fnv"
	"testing"

	"github.com/stretchr/testify/require"
)

// choicesBefore is the digest of the choices and predictions of the play below by the code before
// Options.LearnedTimes. Other processors fuse multiplications and additions, which changes the last bits.
const choicesBefore = uint64(0xb001061a8c908482)

// Guards against any other choice or prediction where the option is off.
func TestChoicesAreThoseOfBeforeWhereLearningIsOff(t *testing.T) {
	digest := fnv.New64a()
	for _, r := range playTimes(7, 60_000, []float64{0.8, 1, 1, 1.3, 2}, true, newTable).shown {
		fmt.Fprintln(digest, r.server, r.choice.Predicted, r.choice.Loss, r.choice.Load.Requests, r.ms)
	}
	require.Equal(t, choicesBefore, digest.Sum64())
}
