package enginemodel

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func testEngine() Engine {
	return Engine{Slots: 4, MemoryTokens: 100_000, StepMs: 1, StepPerAnswerMs: 0, StepPerContextMs: 0, ReadPerMs: 100, PairsMs: 0.1,
		Chunk: 2000, Stride: 50, UsualAnswer: 500}
}

// run executes passes until a time and returns the time of each notice.
func run(b *Batcher, until float64) map[Notice]float64 {
	times := map[Notice]float64{}
	for {
		end, busy := b.PassEnd()
		if !busy || end > until {
			return times
		}
		for _, notice := range b.EndPass(end) {
			times[notice] = end
		}
	}
}

func TestAPromptAloneIsPrefilledInChunksAndWrittenInStrides(t *testing.T) {
	engine := testEngine()
	b := NewBatcher(engine)
	b.Submit(0, Job{ID: "a", PromptTokens: 4000, Parts: 1, AnswerTokens: 101})
	times := run(b, 1000)
	prefill := 4000.0/100 + 4000.0*4000/2/1e6*0.1 + 2*1
	require.InDelta(t, prefill, times[Notice{"a", EventWritten, 1}], 0.01, "the first token comes with the end of the prefill")
	require.InDelta(t, prefill+50, times[Notice{"a", EventWritten, 2}], 0.01)
	require.InDelta(t, prefill+100, times[Notice{"a", AnswerComplete, 3}], 0.01)
}

// The gap of a short answer includes the prefills in its pass: the whole pass is one gap.
func TestPrefillLengthensThePassOfAnswers(t *testing.T) {
	b := NewBatcher(testEngine())
	b.Submit(0, Job{ID: "short", PromptTokens: 100, Parts: 1, AnswerTokens: 500})
	first, _ := b.PassEnd()
	b.EndPass(first)
	b.Submit(first+1, Job{ID: "long", PromptTokens: 20_000, Parts: 1, AnswerTokens: 10})
	times := run(b, 1000)
	second, third := times[Notice{"short", EventWritten, 2}], times[Notice{"short", EventWritten, 3}]
	require.InDelta(t, 50, second-first, 0.01)
	require.InDelta(t, 50+200+20, third-second, 0.01)
}

func TestTheNewestPartIsPrefilledFirst(t *testing.T) {
	b := NewBatcher(testEngine())
	b.Submit(0, Job{ID: "old", PromptTokens: 80_000, Parts: 4, PrefillOnly: true})
	b.Submit(1, Job{ID: "new", PromptTokens: 80_000, Parts: 4, PrefillOnly: true})
	b.Submit(2, Job{ID: "whole", PromptTokens: 2000, Parts: 1, AnswerTokens: 10})
	times := run(b, 10_000)
	require.Less(t, times[Notice{"new", PartPrefilled, 0}], times[Notice{"old", PartPrefilled, 0}])
	require.Less(t, times[Notice{"old", PartPrefilled, 0}], times[Notice{"whole", PartPrefilled, 0}])
}

func TestADividedPromptWaitsForAllItsParts(t *testing.T) {
	b := NewBatcher(testEngine())
	b.Submit(0, Job{ID: "a", PromptTokens: 8000, Parts: 2, AnswerTokens: 10})
	times := run(b, 1000)
	require.Contains(t, times, Notice{"a", PartPrefilled, 0})
	require.NotContains(t, times, Notice{"a", EventWritten, 1})
	require.Equal(t, []Notice{{"a", EventWritten, 1}}, b.CompletePrefill(500, "a"))
	require.Contains(t, run(b, 1000), Notice{"a", AnswerComplete, 2})
}

func TestMemoryBoundsAdmissionAndReservationsCount(t *testing.T) {
	b := NewBatcher(testEngine())
	require.True(t, b.Fits(100_000))
	b.Submit(0, Job{ID: "part", PromptTokens: 120_000, Parts: 2, PrefillOnly: true, Distributed: true, Reserved: 70_000})
	require.False(t, b.Fits(40_000))
	b.Submit(0, Job{ID: "b", PromptTokens: 40_000, Parts: 1, AnswerTokens: 10})
	require.NotContains(t, run(b, 300), Notice{"b", PartPrefilled, 0}, "it waits for memory")
	b.Cancel("part")
	b.Submit(300, Job{ID: "c", PromptTokens: 100, Parts: 1, AnswerTokens: 1})
	require.Contains(t, run(b, 100_000), Notice{"b", PartPrefilled, 0})
}

// The engine that writes the answer holds nothing itself: the whole prompt is in reservations at others, and
// it is admitted although it is larger than the engine's memory.
func TestAPromptHeldElsewhereNeedsNoMemoryHere(t *testing.T) {
	b := NewBatcher(testEngine())
	b.Submit(0, Job{ID: "a", PromptTokens: 150_000, Parts: 2, AnswerTokens: 10, Distributed: true})
	require.Contains(t, run(b, 10_000), Notice{"a", PartPrefilled, 0})
	require.True(t, b.Fits(100_000))
}

// Memory runs out while two answers grow: the newer one is preempted and its prompt prefilled again.
func TestTheNewestIsPreempted(t *testing.T) {
	engine := testEngine()
	engine.MemoryTokens = 10_100
	b := NewBatcher(engine)
	b.Submit(0, Job{ID: "a", PromptTokens: 5000, Parts: 1, AnswerTokens: 400})
	b.Submit(0, Job{ID: "b", PromptTokens: 5000, Parts: 1, AnswerTokens: 400})
	run(b, 100_000)
	require.Equal(t, int64(5000), b.ReprefilledTokens)
}
