package execution

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Frame carries one piece of an attempt's answer. Sequence starts at 1. The last
// frame has no payload; it carries the count of payload frames and the checksum
// of all payloads in order.
type Frame struct {
	Request     RequestID
	Attempt     AttemptID
	Sequence    uint64
	Payload     []byte
	ContentType string
	Status      int
	Last        bool
	Count       uint64
	Checksum    uint64
	Outcome     Outcome
	Code        Code
	Detail      string
	RetryAfter  time.Duration
}

// FrameVerdict is the result of checking one frame.
type FrameVerdict uint8

const (
	// FrameNext: the next frame of this answer.
	FrameNext FrameVerdict = iota + 1
	// FrameForeign: a frame of another request or attempt, to be dropped.
	FrameForeign
	// FrameDuplicate: a frame that was received before, to be dropped.
	FrameDuplicate
	// FrameCorrupt: a part of the answer is missing or altered.
	FrameCorrupt
)

// FrameChecker accepts only the complete, ordered answer of one attempt. Without
// it a mixed-up stream would hand a caller another request's tokens, and a
// truncated one would pass for a complete answer.
type FrameChecker struct {
	request RequestID
	attempt AttemptID
	next    uint64
	sum     *xxhash.Digest
}

// NewFrameChecker returns a checker that expects sequence 1.
func NewFrameChecker(request RequestID, attempt AttemptID) *FrameChecker {
	return &FrameChecker{request: request, attempt: attempt, next: 1, sum: xxhash.New()}
}

// Next returns the sequence number of the next expected frame.
func (c *FrameChecker) Next() uint64 { return c.next }

// Check classifies a frame and, if it is the next one, advances past it.
func (c *FrameChecker) Check(frame Frame) FrameVerdict {
	switch {
	case frame.Request != c.request || frame.Attempt != c.attempt:
		return FrameForeign
	case frame.Sequence < c.next:
		return FrameDuplicate
	case frame.Sequence > c.next:
		return FrameCorrupt
	}
	if frame.Last {
		return c.checkLast(frame)
	}
	c.next++
	_, _ = c.sum.Write(frame.Payload)
	return FrameNext
}

func (c *FrameChecker) checkLast(frame Frame) FrameVerdict {
	if frame.Outcome != Finished {
		return FrameNext
	}
	if len(frame.Payload) > 0 || frame.Count != c.next-1 || frame.Checksum != c.sum.Sum64() {
		return FrameCorrupt
	}
	return FrameNext
}

// FrameWriter numbers the frames of one attempt at its host and keeps them, so
// that a broken stream can be resumed where it broke.
type FrameWriter struct {
	request RequestID
	attempt AttemptID
	sum     *xxhash.Digest
	// frames follow trimmed ones that are no longer kept.
	frames  []Frame
	trimmed uint64
	// bytes is the memory of frames.
	bytes int64
	ended bool
}

// FrameOverhead is the memory of a frame besides its payload, in bytes.
const FrameOverhead = 256

// NewFrameWriter returns a writer without frames.
func NewFrameWriter(request RequestID, attempt AttemptID) *FrameWriter {
	return &FrameWriter{request: request, attempt: attempt, sum: xxhash.New()}
}

// Write appends a payload frame. After End it does nothing.
func (w *FrameWriter) Write(payload []byte, contentType string, status int) {
	if w.ended {
		return
	}
	_, _ = w.sum.Write(payload)
	w.frames = append(w.frames, Frame{Request: w.request, Attempt: w.attempt, Sequence: w.last() + 1,
		Payload: payload, ContentType: contentType, Status: status})
	w.bytes += int64(len(payload)) + FrameOverhead
}

// End appends the last frame. Further calls do nothing.
func (w *FrameWriter) End(outcome Outcome, refusal Refusal) {
	if w.ended {
		return
	}
	w.ended = true
	w.frames = append(w.frames, Frame{Request: w.request, Attempt: w.attempt, Sequence: w.last() + 1,
		Last: true, Count: w.last(), Checksum: w.sum.Sum64(), Outcome: outcome,
		Code: refusal.Code, Detail: refusal.Detail, RetryAfter: refusal.RetryAfter})
}

// From returns the frames from a sequence number on and reports whether the
// answer has ended, so that the last frame is among them.
func (w *FrameWriter) From(sequence uint64) ([]Frame, bool) {
	sequence = max(sequence, w.trimmed+1)
	if sequence > w.last() {
		return nil, w.ended
	}
	return w.frames[sequence-w.trimmed-1:], w.ended
}

// last returns the sequence number of the last frame.
func (w *FrameWriter) last() uint64 { return w.trimmed + uint64(len(w.frames)) }

// HasBeyond reports whether there are frames after a sequence number.
func (w *FrameWriter) HasBeyond(sequence uint64) bool { return w.last() > sequence }

// Holds reports whether the frames from a sequence number on are kept.
func (w *FrameWriter) Holds(sequence uint64) bool { return sequence > w.trimmed }

// Trim drops frames up to a sequence number that have been sent, except for the last ones with at least window bytes, which
// a broken stream may not have delivered. It returns the dropped bytes.
func (w *FrameWriter) Trim(sent uint64, window int64) int64 {
	if w.bytes <= 2*window {
		return 0
	}
	payloads := w.last()
	if w.ended {
		payloads--
	}
	count, kept := 0, int64(0)
	for i := min(sent, payloads); i > w.trimmed; i-- {
		if kept >= window {
			count = int(i - w.trimmed)
			break
		}
		kept += frameBytes(w.frames[i-w.trimmed-1])
	}
	dropped := int64(0)
	for _, frame := range w.frames[:count] {
		dropped += frameBytes(frame)
	}
	if count > 0 {
		w.frames, w.trimmed = slices.Clone(w.frames[count:]), w.trimmed+uint64(count)
		w.bytes -= dropped
	}
	return dropped
}

func frameBytes(frame Frame) int64 { return int64(len(frame.Payload)) + FrameOverhead }
