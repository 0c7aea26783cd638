package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"arbutusdeck/core/execution"
)

// MaxFrame is the largest frame on a stream, in bytes. Host daemons send pieces of half the size.
const MaxFrame = 64 << 10

// FrameType is the media type of an answer stream.
const FrameType = "application/vnd.arbutusdeck.frames"

// Headers with which an entry opens a stream: what to call at the engine or
// service, and which incarnation of the host daemon the message is meant for.
const (
	HeaderPath        = "X-Arbutus-Path"
	HeaderMethod      = "X-Arbutus-Method"
	HeaderIncarnation = "X-Arbutus-Incarnation"
)

// A host daemon writes a heartbeat on a stream without other frames every
// HeartbeatInterval. An entry that reads nothing for StreamIdle gives the
// connection up: a host that is cut off or frozen sends no reset, and the
// request would wait for its whole deadline.
// The answer to the opening itself comes at once; it is waited for ResponseWait.
const (
	HeartbeatInterval = time.Second
	StreamIdle        = 4 * time.Second
	ResponseWait      = 1500 * time.Millisecond
)

// Heartbeat returns a frame without content. Its sequence 0 is never the next
// one, so that a checker drops it.
func Heartbeat(request execution.RequestID, attempt execution.AttemptID) *Frame {
	return &Frame{Request: string(request), Attempt: string(attempt)}
}

// ErrFrame is wrapped by errors of a stream that does not hold whole frames.
var ErrFrame = errors.New("frame can't be read")

// WriteFrame writes one length-delimited frame.
func WriteFrame(w io.Writer, frame *Frame) error {
	if _, err := protodelim.MarshalTo(w, frame); err != nil {
		return fmt.Errorf("%w: %v", ErrFrame, err)
	}
	return nil
}

// FrameReader reads frames from a stream.
type FrameReader struct{ reader *bufio.Reader }

// NewFrameReader returns a reader over r.
func NewFrameReader(r io.Reader) *FrameReader { return &FrameReader{bufio.NewReader(r)} }

// Read returns the next frame. It returns io.EOF at a clean end of the stream,
// and otherwise an error that wraps ErrFrame.
func (r *FrameReader) Read() (*Frame, error) {
	frame := &Frame{}
	err := protodelim.UnmarshalOptions{MaxSize: MaxFrame}.UnmarshalFrom(r.reader, frame)
	if errors.Is(err, io.EOF) {
		return nil, io.EOF
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrFrame, err)
	}
	return frame, nil
}
