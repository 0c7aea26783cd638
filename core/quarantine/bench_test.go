package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkFingerprint measures FingerprintOf with bodies of a short and a long prompt, and of the longest that
// entries accept.
func BenchmarkFingerprint(b *testing.B) {
	for _, size := range []int{1200, 38_000, 4 << 20} {
		body := make([]byte, size)
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for range b.N {
				FingerprintOf("press", "POST", "press.example", "/stream/x", body)
			}
		})
	}
}

// BenchmarkTracker measures ServerCrashed and RefusedFor while the tracker is full.
func BenchmarkTracker(b *testing.B) {
	tracker := NewTracker()
	for i := range MaxRecords {
		for _, server := range []string{"a", "b", "c"} {
			tracker.ServerCrashed(start, request(fmt.Sprint(i)), fmt.Sprint(server, i))
		}
	}
	f := request("0")
	b.Run("ended", func(b *testing.B) {
		for i := range b.N {
			tracker.ServerCrashed(start.Add(time.Duration(i)), request("new"), "a")
		}
	})
	b.Run("refused", func(b *testing.B) {
		for range b.N {
			tracker.RefusedFor(start, f)
		}
	})
}
