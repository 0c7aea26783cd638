package peering

import (
	"fmt"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// BenchmarkCodec measures encoding and decoding of a message with one dispatch.
func BenchmarkCodec(b *testing.B) {
	m := dispatchMessage()
	data, err := Encode(m)
	require.NoError(b, err)
	b.Run("encode", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			_, _ = Encode(m)
		}
	})
	b.Run("decode", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			_, _ = Decode(data)
		}
	})
}

// BenchmarkObserve measures Observe by the number of known entries.
func BenchmarkObserve(b *testing.B) {
	for _, entries := range []int{5, 28, 68, 101} {
		g := New("self:1", "here", "i", nil)
		var messages []Message
		for i := range entries {
			messages = append(messages, heartbeatFrom(fmt.Sprintf("e%d:1", i), "here"))
			g.Observe(start, messages[i])
		}
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				g.Observe(start, messages[i%entries])
			}
		})
	}
}

// BenchmarkSend measures sending a message to one entry over loopback.
func BenchmarkSend(b *testing.B) {
	from, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(b, err)
	to, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(b, err)
	b.Cleanup(func() {
		require.NoError(b, from.Close())
		require.NoError(b, to.Close())
	})
	data, err := Encode(dispatchMessage())
	require.NoError(b, err)
	b.ReportAllocs()
	for range b.N {
		if _, err := from.WriteTo(data, to.LocalAddr()); err != nil {
			b.Fatal(err)
		}
	}
}
