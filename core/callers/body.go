package callers

import (
	"errors"
	"io"
)

// ErrMemoryFull is returned if the requests of callers leave no memory for a body.
var ErrMemoryFull = errors.New("the bodies of open requests take all the memory that they may")

// bodyChunkBytes is the first size of the buffer for a body of unknown length.
const bodyChunkBytes = 64 << 10

// bodySlackBytes is the capacity beyond a body of known length. A handler can add a short field without a copy.
const bodySlackBytes = 32

// ReadBody reads a whole body of at most a number of bytes; a negative length means unknown. See
// ReadGrowing.
func ReadBody(in io.Reader, length, most int64, reserve func(from, to int64) bool) ([]byte, error) {
	if length < 0 {
		return ReadGrowing(in, BufferSize{bodyChunkBytes, most}, reserve)
	}
	if !reserve(0, length) {
		return nil, ErrMemoryFull
	}
	body := make([]byte, length, length+bodySlackBytes)
	_, err := io.ReadFull(in, body)
	return body, err
}

// BufferSize is the size of a buffer that grows, in bytes.
type BufferSize struct {
	// First is its first size; Most is the size of the data at which it is no longer needed.
	First, Most int64
}

// next returns the size of the buffer after it was full at the given one: the double, or all that is allowed if that
// is less than what would follow.
func (b BufferSize) next(size int64) int64 {
	if size == 0 {
		return min(b.First, b.Most+1)
	}
	if 4*size > b.Most {
		return b.Most + 1
	}
	return 2 * size
}

// ReadGrowing reads data to its end, or to more than is allowed. reserve is called before the buffer grows from one
// size to another; if it reports false, the data so far is returned with ErrMemoryFull.
func ReadGrowing(in io.Reader, buffer BufferSize, reserve func(from, to int64) bool) ([]byte, error) {
	var data []byte
	for {
		if len(data) == cap(data) {
			size := buffer.next(int64(cap(data)))
			if !reserve(int64(cap(data)), size) {
				return data, ErrMemoryFull
			}
			data = append(make([]byte, 0, size), data...)
		}
		n, err := in.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil || int64(len(data)) > buffer.Most {
			return data, err
		}
	}
}
