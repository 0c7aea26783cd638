package placement

import (
	"fmt"
	"testing"
	"time"
)

// busyTable returns a load table in which each server writes some short answers, and each eighth one
// prefills a long prompt.
func busyTable(servers int) *LoadTable {
	table := newTable()
	for i := range servers {
		server := fmt.Sprintf("s%02d", i)
		for k := range 4 {
			id := fmt.Sprintf("%s-%d", server, k)
			begin(table, start, id, server)
			table.FirstEvent(start.Add(50*time.Millisecond), id)
		}
		if i%8 == 0 {
			table.Begin(start, Dispatch{ID: server + "-long", Server: server, PromptTokens: 200_000, AnswerTokens: 1000, Gap: time.Second, Target: 4 * time.Second, Lifetime: time.Minute}, engine, time.Second)
		}
	}
	return table
}

// BenchmarkChoose measures one choice among all servers.
func BenchmarkChoose(b *testing.B) {
	for _, servers := range []int{16, 27, 54, 135, 810} {
		table, listed := busyTable(servers), fleet(servers)
		for name, q := range map[string]Query{"short": shortQuery(listed), "long": longQuery(listed, 220_000)} {
			b.Run(fmt.Sprintf("%s/%d", name, servers), func(b *testing.B) {
				b.ReportAllocs()
				for i := range b.N {
					q.TieBreak = float64(i%10) / 10
					table.Choose(start.Add(100*time.Millisecond), q)
				}
			})
		}
	}
}

// BenchmarkLoadTable measures the begin, the first event and the end of a request.
func BenchmarkLoadTable(b *testing.B) {
	for _, servers := range []int{27, 135} {
		table := busyTable(servers)
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			b.ReportAllocs()
			at := start.Add(100 * time.Millisecond)
			for i := range b.N {
				id := fmt.Sprint(i)
				begin(table, at, id, fmt.Sprintf("s%02d", i%servers))
				table.FirstEvent(at, id)
				table.End(at, id)
			}
		})
	}
}
