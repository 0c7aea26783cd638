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

// A short prompt arrives behind a very long one that waits and one that runs. It
// starts at once, at a higher priority.
func TestShortGoesBeforeLong(t *testing.T) {
	s := oneEngine(4)
	s.Enqueue(start, job("long1", 2, 200_000))
	require.Equal(t, []string{"long1"}, dispatched(s.Schedule(start)))
	s.Enqueue(start, job("long2", 2, 200_000))
	require.Empty(t, s.Schedule(start), "the long class already holds its share of the memory")
	s.Enqueue(start, job("short", 0, 1000))
	commands := s.Schedule(start)
	require.Equal(t, []string{"short"}, dispatched(commands))
	require.Less(t, commands[0].(Dispatch).Priority, 2)
}

// While no shorter prompt waits, long ones take all slots but one. When short ones
// arrive and the slots are taken, one long one is paused. It is resumed before a
// long one that has not started, or it could be starved.
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
	require.Len(t, dispatched(commands), 2, "one slot was free and one was preempted; the long class keeps its share")
	for i := range 3 {
		s.Remove(start, execution.AttemptID(fmt.Sprintf("short%d", i)))
	}
	require.Equal(t, []Command{Resume{Attempt: "long2", Engine: "e0"}}, s.Schedule(start))
}

// A medium prompt waits for memory that a long one holds. Short ones behind it are
// not delayed.
func TestAWaitForMemoryDelaysItsOwnClassOnly(t *testing.T) {
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

// Short prefills keep arriving. A long one still gets its minimum share of the time.
func TestLongPrefillIsNotStarved(t *testing.T) {
	s := oneEngine(8)
	s.Enqueue(start, job("long", 2, 200_000))
	s.Schedule(start)
	boosted := time.Duration(0)
	active := false
	const step = 10 * time.Millisecond
	for i := range 1000 {
		now := start.Add(time.Duration(i) * step)
		id := execution.AttemptID(fmt.Sprintf("short%d", i))
		s.Enqueue(now, job(string(id), 0, 1000))
		for _, command := range s.Schedule(now) {
			if p, ok := command.(SetPriority); ok {
				active = p.Priority == boostedPriority
			}
		}
		if i > 0 {
			s.Remove(now, execution.AttemptID(fmt.Sprintf("short%d", i-1)))
		}
		if active {
			boosted += step
		}
	}
	share := boosted.Seconds() / 10
	require.InDelta(t, DefaultOptions().MinPrefillShare, share, 0.05)
}

// One workspace floods the queue, another sends little. Each gets its share of the
// engine by weight; the flood delays only itself.
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

// A job can be overtaken by more urgent ones, but for no longer than AgeBound.
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

// The measured prefill rate follows a server that has become slower.
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

// BenchmarkSchedule measures queueing and dispatching one job beside the waiting
// jobs of many workspaces.
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

// BenchmarkWait measures the prediction that is made for every offer.
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
