package execution

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// filledLedger returns a ledger with that many ended attempts, each with a key and a short kept answer.
func filledLedger(keys int) (*Ledger, time.Time) {
	l := testLedger()
	l.options.MaxKeys = keys * 2
	now := ledgerStart.Add(time.Hour)
	for i := range keys {
		id := fmt.Sprintf("01a237e5-d293-7eab-8636-%012d", i)
		l.Offer(now, offerAt(now, id, Key{ID: "ark1." + id + id, Issued: true, Fingerprint: 1, CreatedAt: now}), free)
		l.OpenStream(now, AttemptID(id), "a#1")
		l.Start(AttemptID(id))
		l.Finish(now, AttemptID(id), Finished, Answer{Kept: true, Status: 200, Body: make([]byte, 200)})
	}
	return l, now
}

// BenchmarkLedger measures one attempt from offer to end in a ledger with many
// records, and the bytes per record of a key with an answer of 200 bytes.
func BenchmarkLedger(b *testing.B) {
	for _, keys := range []int{0, 10_000, 100_000} {
		b.Run(fmt.Sprint(keys), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			l, now := filledLedger(keys)
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			for b.Loop() {
				l.Offer(now, offerAt(now, "x", Key{}), free)
				l.OpenStream(now, "x", "a#1")
				l.Start("x")
				l.Finish(now, "x", Finished, Answer{})
				delete(l.attempts, "x")
			}
			if keys > 0 {
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(keys), "bytes/key")
			}
		})
	}
}

// BenchmarkLedgerTick measures a tick of a ledger with many records. Most ticks
// visit open attempts only.
func BenchmarkLedgerTick(b *testing.B) {
	for _, keys := range []int{2_000, 100_000} {
		b.Run(fmt.Sprint(keys), func(b *testing.B) {
			l, now := filledLedger(keys)
			for b.Loop() {
				now = now.Add(25 * time.Millisecond)
				if now.After(ledgerStart.Add(time.Hour + 9*time.Minute)) {
					now = ledgerStart.Add(time.Hour)
					l.sweepAt = now
				}
				l.Tick(now)
			}
		})
	}
}

func BenchmarkFrameCheck(b *testing.B) {
	checker := NewFrameChecker("r", "a")
	frame := Frame{Request: "r", Attempt: "a", Payload: make([]byte, 120)}
	b.ReportAllocs()
	for b.Loop() {
		frame.Sequence = checker.Next()
		checker.Check(frame)
	}
}
