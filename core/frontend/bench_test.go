package frontend

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"

	"arbutusdeck/core/config"
	"arbutusdeck/core/execution"
	"arbutusdeck/core/membership"
	"arbutusdeck/core/routing"
)

func newFleet(b *testing.B, servers int) (*Core, []membership.ListedServer, time.Time) {
	var text strings.Builder
	text.WriteString("lengthClasses: {short: {upTo: 8000, firstToken: 360ms}}\nhalls: {h: {model: m}}\nservers:\n")
	for i := range servers {
		fmt.Fprintf(&text, "  s%03d: {address: '10.%d.%d.7:7300', zone: z, engines: {e0: {hall: h, memoryTokens: 480000, prefillRate: 16000, slots: 16}}}\n", i, i/250, i%250)
	}
	snapshot, err := config.Load(1, []config.File{{Name: "a.yaml", Content: []byte(text.String())}})
	if err != nil {
		b.Fatal(err)
	}
	now := time.Unix(1000, 0)
	core := New(DefaultOptions("z", rand.New(rand.NewPCG(1, 1))))
	core.Configure(now, snapshot)
	var rows []membership.ListedServer
	for name := range snapshot.Servers {
		rows = append(rows, membership.ListedServer{Server: name})
		core.ObserveServer(now, name, execution.Incarnation(name+"#1"), false)
		core.ObserveLoad("h", name, routing.Report{Rate: 16000, Observed: now, Classes: []routing.ClassTokens{{Rank: 0, Tokens: 100}}})
	}
	return core, rows, now
}

// BenchmarkEntryRequest measures an entry's decisions for one request.
func BenchmarkEntryRequest(b *testing.B) {
	for _, servers := range []int{20, 810} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			core, _, now := newFleet(b, servers)
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				q := routing.Query{Pool: "h", PromptTokens: 1500, AnswerTokens: 100}
				core.Admit(now, "w", 1500)
				_, target, _ := core.Pick(now, q)
				core.AttemptSent(now, q, target.Server)
				report := routing.Report{Rate: 16000, Observed: now, Classes: []routing.ClassTokens{{Rank: 0, Tokens: 100}}}
				core.HandleOfferReply(now, q, "w", target.Server, OfferReply{Verdict: execution.Accepted, Report: &report, DemandShare: 0.3, DemandKnown: true})
				core.AttemptEnded(q, target.Server)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(servers), "bytes/server")
		})
	}
}

// BenchmarkEntryControl measures the selection of due probes in one tick, and the
// processing of one host list.
func BenchmarkEntryControl(b *testing.B) {
	for _, servers := range []int{20, 810} {
		core, rows, now := newFleet(b, servers)
		b.Run(fmt.Sprintf("probes/%d", servers), func(b *testing.B) {
			for b.Loop() {
				core.ProbesDue(now, false)
			}
		})
		b.Run(fmt.Sprintf("list/%d", servers), func(b *testing.B) {
			for b.Loop() {
				core.ApplyHostList(now, rows)
			}
		})
	}
}
