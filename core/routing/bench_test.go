package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func loadedPicker(servers int) (*Picker, time.Time) {
	now := time.Unix(1000, 0)
	p := New(DefaultOptions())
	var specs []ServerSpec
	for i := range servers {
		specs = append(specs, ServerSpec{Name: fmt.Sprintf("s%03d", i), Zone: fmt.Sprint(i % 7), Rate: 64000, Engines: 4, MaxTokens: 480_000})
	}
	p.Configure("hall", specs)
	for _, spec := range specs {
		p.Observe("hall", spec.Name, Report{Classes: []ClassTokens{{0, 4000}, {2, 90_000}}, Rate: 64000, Observed: now})
		p.RecordSent(now, "hall", spec.Name, Query{PromptTokens: 2000})
	}
	return p, now
}

// BenchmarkPick measures a pick; its cost must not grow with the number of servers.
func BenchmarkPick(b *testing.B) {
	for _, servers := range []int{20, 100, 350, 810} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			p, now := loadedPicker(servers)
			random := rand.New(rand.NewPCG(1, 1))
			query := Query{Pool: "hall", PromptTokens: 3000, AnswerTokens: 100, Prefix: 7, Eligible: func(string) bool { return true }}
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := p.Pick(now, query, random); !ok {
					b.Fatal("no server")
				}
			}
		})
	}
}

// BenchmarkObserve measures recording a load report with two classes.
func BenchmarkObserve(b *testing.B) {
	p, now := loadedPicker(810)
	report := Report{Classes: []ClassTokens{{0, 4000}, {2, 90_000}}, Rate: 64000}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		report.Observed = now
		p.Observe("hall", "s007", report)
	}
}
