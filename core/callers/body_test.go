package callers

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// Guards against a body that was cut off and runs as if it were whole, and against a buffer beyond the limit of bodies.
func TestABodyOfUnknownLengthIsReadToItsEnd(t *testing.T) {
	const most = 4 << 20
	for _, size := range []int{0, 1, bodyChunkBytes, bodyChunkBytes + 1, 1 << 20, most - 1, most} {
		reserved := int64(0)
		reserve := func(from, to int64) bool {
			require.Equal(t, reserved, from)
			reserved = to
			return true
		}
		text := strings.Repeat("x", size)
		data, err := ReadBody(strings.NewReader(text), -1, most, reserve)
		require.NoError(t, err)
		require.Equal(t, size, len(data))
		require.LessOrEqual(t, int64(len(data)), reserved)
		require.LessOrEqual(t, reserved, int64(max(bodyChunkBytes, min(4*size, most+1))))
		_, err = ReadBody(io.MultiReader(strings.NewReader(text), iotest.ErrReader(io.ErrUnexpectedEOF)), -1, most, func(int64, int64) bool { return true })
		require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	}
	_, err := ReadBody(strings.NewReader("x"), -1, most, func(int64, int64) bool { return false })
	require.ErrorIs(t, err, ErrMemoryFull)
}
