package scheduling

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusdeck/core/execution"
)

var start = time.Unix(2_000, 0)

func oneEngine(slots int) *Scheduler {
	s := New(DefaultOptions())
	s.Configure([]EngineSpec{{Name: "e0", Hall: "h", Slots: slots, MemoryTokens: 400_000, PrefillRate: 10_000, LongShare: 0.5}})
	return s
}

func job(id string, rank int, tokens int64) Job {
	class := []string{"short", "medium", "long"}[rank]
	return Job{Attempt: execution.AttemptID(id), Workspace: "w", Weight: 1, Hall: "h", Class: class, Rank: rank, Isolated: rank == 2,
		PromptTokens: tokens, AnswerTokens: 100, FirstTokenBy: start.Add(time.Second)}
}

func dispatched(commands []Command) []string {
	var ids []string
	for _, command := range commands {
		if d, ok := command.(Dispatch); ok {
			ids = append(ids, string(d.Attempt))
		}
	}
	return ids
}

// A short prompt arrives behind an enormous one that waits and one that runs. It
// starts at once, at the higher priority.
func TestShortGoesBeforeLong(t *testing.T) {
	s := oneEngine(4)
	s.Enqueue(start, job("long1", 2, 200_000))
	require.Equal(t, []string{"long1"}, dispatched(s.Schedule(start)))
	s.Enqueue(start, job("long2", 2, 200_000))
	require.Empty(t, s.Schedule(start), "the long class holds its part of the memory already")
	s.Enqueue(start, job("short", 0, 1000))
	commands := s.Schedule(start)
	require.Equal(t, []string{"short"}, dispatched(commands))
	require.Less(t, commands[0].(Dispatch).Priority, 2)
}

// While nothing shorter waits, long prompts take all slots but one. When a short
// one comes and the slots are taken, one of them is paused. It goes on later, and
// before a long one that has only waited: it would be overtaken for ever.
func TestLongShareWidensAndShrinks(t *testing.T) {
	s := oneEngine(4)
	for i := range 4 {
		s.Enqueue(start, job(fmt.Sprintf("long%d", i), 2, 10_000))
	}
	require.Len(t, dispatched(s.Schedule(start)), 3)
	for i := range 3 {
		s.RecordFirstToken(start, execution.AttemptID(fmt.Sprintf("long%d", i)))
		s.Enqueue(start, job(fmt.Sprintf("short%d", i), 0, 100))
	}
	commands := s.Schedule(start)
	require.Contains(t, commands, Pause{Attempt: "long2", Engine: "e0"})
	require.Len(t, dispatched(commands), 2, "one slot was free, one was taken back; the share is left to the long class")
	for i := range 3 {
		s.Remove(start, execution.AttemptID(fmt.Sprintf("short%d", i)))
	}
	require.Equal(t, []Command{Resume{Attempt: "long2", Engine: "e0"}}, s.Schedule(start))
}

// A medium prompt waits for memory that a long one holds. The short ones behind
// it are not held up.
func TestAWaitForMemoryHoldsUpItsOwnClassOnly(t *testing.T) {
	s := oneEngine(8)
	s.Enqueue(start, job("long", 2, 290_000))
	s.Schedule(start)
	s.Enqueue(start, job("medium1", 1, 90_000))
	s.Schedule(start)
	s.RecordFirstToken(start, "medium1")
	s.Enqueue(start, job("medium2", 1, 90_000))
	s.Enqueue(start, job("short", 0, 1_000))
	require.Equal(t, []string{"short"}, dispatched(s.Schedule(start)))
}

// Short prefills never cease. The long one gets its floor share of the time all
// the same, in slices.
func TestLongPrefillIsNotStarved(t *testing.T) {
	s := oneEngine(8)
	s.Enqueue(start, job("long", 2, 200_000))
	s.Schedule(start)
	raised := time.Duration(0)
	up := false
	const step = 10 * time.Millisecond
	for i := range 1000 {
		now := start.Add(time.Duration(i) * step)
		id := execution.AttemptID(fmt.Sprintf("short%d", i))
		s.Enqueue(now, job(string(id), 0, 1000))
		for _, command := range s.Schedule(now) {
			if p, ok := command.(SetPriority); ok {
				up = p.Priority == boostedPriority
			}
		}
		if i > 0 {
			s.Remove(now, execution.AttemptID(fmt.Sprintf("short%d", i-1)))
		}
		if up {
			raised += step
		}
	}
	share := raised.Seconds() / 10
	require.InDelta(t, DefaultOptions().MinPrefillShare, share, 0.05)
}

// One workspace floods the queue, another sends a little. Both get their part of
// the engine by weight; the flood only delays itself.
func TestWorkspacesAreServedByWeight(t *testing.T) {
	s := oneEngine(1)
	add := func(workspace string, weight float64, count int) {
		for i := range count {
			j := job(fmt.Sprintf("%s%d", workspace, i), 0, 1000)
			j.Workspace, j.Weight = workspace, weight
			s.Enqueue(start, j)
		}
	}
	add("flood", 1, 300)
	add("small", 1, 50)
	add("heavy", 3, 150)
	served := map[byte]int{}
	for range 100 {
		ids := dispatched(s.Schedule(start))
		require.Len(t, ids, 1)
		served[ids[0][0]]++
		s.Remove(start, execution.AttemptID(ids[0]))
	}
	require.InDelta(t, 20, served['f'], 2)
	require.InDelta(t, 20, served['s'], 2)
	require.InDelta(t, 60, served['h'], 2)
}

// A job is overtaken by fairer or more urgent ones, but no longer than the bound.
func TestAgeBound(t *testing.T) {
	s := oneEngine(1)
	old := job("old", 0, 1000)
	old.Workspace, old.FirstTokenBy = "w", start.Add(time.Hour)
	s.Enqueue(start, old)
	for i := range 50 {
		urgent := job(fmt.Sprintf("urgent%d", i), 0, 1000)
		urgent.FirstTokenBy = start.Add(time.Second)
		s.Enqueue(start, urgent)
	}
	require.NotEqual(t, []string{"old"}, dispatched(s.Schedule(start)))
	s.Remove(start, "urgent0")
	require.Equal(t, []string{"old"}, dispatched(s.Schedule(start.Add(6*time.Second))))
}

// The measured speed follows a server that has become slower.
func TestRateIsMeasured(t *testing.T) {
	s := oneEngine(1)
	now := start
	for i := range 30 {
		id := execution.AttemptID(fmt.Sprintf("j%d", i))
		s.Enqueue(now, job(string(id), 0, 4000))
		s.Schedule(now)
		now = now.Add(4 * time.Second) // 1,000 tokens a second
		s.RecordFirstToken(now, id)
		s.Remove(now, id)
	}
	require.InDelta(t, 1000, s.MeanPrefillRate("h"), 20)
}

// BenchmarkSchedule: one job through a queue that holds others, of many
// workspaces.
func BenchmarkSchedule(b *testing.B) {
	for _, waiting := range []int{0, 100, 500} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			s := oneEngine(1)
			for i := range waiting + 1 {
				j := job(fmt.Sprintf("w%d", i), 0, 1000)
				j.Workspace = fmt.Sprint(i % 270)
				s.Enqueue(start, j)
			}
			running := dispatched(s.Schedule(start))[0]
			b.ReportAllocs()
			for b.Loop() {
				j := job(running, 0, 1000)
				s.Remove(start, j.Attempt)
				s.Enqueue(start, j)
				running = dispatched(s.Schedule(start))[0]
			}
		})
	}
}

// BenchmarkWait: the prediction behind every offer.
func BenchmarkWait(b *testing.B) {
	for _, waiting := range []int{0, 100, 500} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			s := oneEngine(1)
			for i := range waiting {
				s.Enqueue(start, job(fmt.Sprintf("w%d", i), 0, 1000))
			}
			b.ReportAllocs()
			for b.Loop() {
				s.PredictFirstToken(start, job("x", 0, 1000))
			}
		})
	}
}
