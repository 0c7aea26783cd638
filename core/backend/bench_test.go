package backend_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"arbutusdeck/core/backend"
	"arbutusdeck/core/config"
	"arbutusdeck/core/execution"
	"arbutusdeck/core/scheduling"
	"arbutusdeck/core/wire"
)

const folder = `
lengthClasses: {short: {upTo: 8000, firstToken: 360ms}, long: {upTo: 1000000, firstToken: 4m, isolated: true}}
halls: {h: {model: m}}
kinds: {gloss: {hall: h, repeatable: true, deadline: 20s}}
servers:
  a: {address: "10.0.0.1:7300", zone: z, engines: {e0: {hall: h, memoryTokens: 480000, prefillRate: 16000, slots: 16},
     e1: {hall: h, memoryTokens: 480000, prefillRate: 16000, slots: 16}, e2: {hall: h, memoryTokens: 480000, prefillRate: 16000, slots: 16},
     e3: {hall: h, memoryTokens: 480000, prefillRate: 16000, slots: 16}}}
`

func newCore(b testing.TB, now time.Time) *backend.Core {
	snapshot, err := config.Load(1, []config.File{{Name: "a.yaml", Content: []byte(folder)}})
	if err != nil {
		b.Fatal(err)
	}
	core := backend.New(now, backend.DefaultOptions("a", "a#1"))
	core.Configure(now, snapshot)
	core.StartServing()
	return core
}

func offer(now time.Time, id string) backend.Offer {
	return backend.Offer{Offer: execution.Offer{Attempt: execution.AttemptID(id), Request: "r", Target: "a#1", Workspace: "w", Expires: now.Add(time.Second)},
		Entry: "e", Kind: "gloss", Hall: "h", Class: "short", PromptTokens: 1500, AnswerTokens: 100, Deadline: now.Add(20 * time.Second)}
}

// BenchmarkRequest measures all decisions of a host daemon for one request while
// other requests run.
func BenchmarkRequest(b *testing.B) {
	for _, running := range []int{0, 16, 48} {
		b.Run(fmt.Sprint(running), func(b *testing.B) {
			now := time.Unix(1000, 0)
			core := newCore(b, now)
			for i := range running {
				id := execution.AttemptID(fmt.Sprint("r", i))
				core.Offer(now, offer(now, string(id)))
				core.OpenStream(now, id, "a#1")
				core.FirstToken(now, id)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				id := execution.AttemptID(fmt.Sprint("x", i))
				core.Offer(now, offer(now, string(id)))
				core.OpenStream(now, id, "a#1")
				core.FirstToken(now, id)
				core.Finish(now, id, execution.Finished, execution.Refusal{}, execution.Answer{})
				if i%100 == 0 {
					core.Tick(now)
				}
			}
		})
	}
}

// BenchmarkIdleTick measures the tick of an idle daemon, which runs 40 times per second.
func BenchmarkIdleTick(b *testing.B) {
	now := time.Unix(1000, 0)
	core := newCore(b, now)
	for b.Loop() {
		now = now.Add(25 * time.Millisecond)
		core.Tick(now)
	}
}

// BenchmarkMessageSizes logs the sizes of the messages of one request and of the
// control messages in bytes, without HTTP overhead.
func BenchmarkMessageSizes(b *testing.B) {
	now := time.Unix(1_700_000_000, 0)
	id := "01a237e5-d293-7eab-8636-93ac79049b86"
	envelope := &wire.Envelope{Sender: "entry-palermo", Incarnation: id, Revision: 120_000, Digest: 1 << 60}
	load := wire.FromLoad(now, scheduling.Load{Classes: []scheduling.ClassLoad{{Class: "short", QueuedTokens: 4000, Running: 8}, {Class: "long", QueuedTokens: 90_000, Running: 2}},
		PrefillRate: 64_000, Running: 10, Waiting: 3, FreeMemory: 900_000})
	for name, m := range map[string]proto.Message{
		"offer": &wire.OfferRequest{Envelope: envelope, TargetIncarnation: id, Request: id, Attempt: id, Workspace: "scuole-palermo", Kind: "gloss", Hall: "versi-llm",
			LengthClass: "short", PromptTokens: 3000, AnswerTokens: 400, ExpiresUnixMs: now.UnixMilli(), DeadlineUnixMs: now.UnixMilli()},
		"offer reply": &wire.OfferReply{Envelope: envelope, Verdict: wire.Verdict_VERDICT_ACCEPTED, Load: load, DemandShare: 0.3},
		"probe":       &wire.ProbeRequest{Envelope: envelope, Hall: "versi-llm"},
		"probe reply": &wire.ProbeReply{Envelope: envelope, Load: load},
		"heartbeat":   wire.Heartbeat(execution.RequestID(id), execution.AttemptID(id)),
		"first frame": func() proto.Message {
			m := wire.FromFrame(execution.Frame{Request: execution.RequestID(id), Attempt: execution.AttemptID(id), Sequence: 1, Payload: make([]byte, 150)})
			m.Envelope, m.Load = envelope, load
			return m
		}(),
		"frame": wire.FromFrame(execution.Frame{Request: execution.RequestID(id), Attempt: execution.AttemptID(id), Sequence: 9, Payload: make([]byte, 150)}),
	} {
		b.Logf("%s: %d bytes", name, proto.Size(m))
	}
}
