package server

import (
	"context"
	"slices"
	"time"

	"arbutusdeck/core/execution"
)

const (
	// resumeWindow is kept of the frames that have been sent, in bytes: more than the kernel's buffers of a connection hold,
	// so that a stream that breaks can be resumed.
	resumeWindow = 512 << 10
	// roomInterval is the time after which an engine's response that waits for memory asks again.
	roomInterval = 20 * time.Millisecond
	// frameBatch is the number of frames that a stream takes at a time. Those are held until they have been written.
	frameBatch = 8
)

// awaitRoom sets memory aside for a frame. While other responses take it, the engine's response is not read. The response
// whose frames have all been sent goes on: it holds one frame at a time. It returns an error once ctx has ended.
func (s *Server) awaitRoom(ctx context.Context, r *run, bytes int64) error {
	for !s.reserveFrame(r, bytes) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(roomInterval):
		}
	}
	return nil
}

func (s *Server) reserveFrame(r *run, bytes int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.dropped {
		return true
	}
	id := r.offer.Attempt
	dropped, ok := s.retained.Reserve(time.Now(), id, bytes)
	for _, victim := range dropped {
		s.dropFrames(s.runs[victim])
	}
	if !ok && !r.writer.HasBeyond(r.sent) {
		s.retained.Release(id, r.writer.Trim(r.sent, 0))
		s.retained.Hold(id, bytes)
		ok = true
	}
	return ok
}

// dropFrames ends the stream of a run in favour of other responses. The run itself goes on. The lock must be held.
func (s *Server) dropFrames(r *run) {
	if r == nil {
		return
	}
	s.counters.droppedResponses.Inc(1)
	r.dropped, r.writer = true, execution.NewFrameWriter(r.offer.Request, r.offer.Attempt)
	if r.stream != nil {
		_ = r.stream.SetWriteDeadline(time.Now()) // fails only if the connection is closed
	}
	r.notify()
}

// nextFrames are the frames that a stream sends next.
type nextFrames struct {
	frames []execution.Frame
	// changed is closed when there are further ones; nil if there are some already, or none will follow.
	changed <-chan struct{}
	// ended is set if the last frame is among them, dropped if the response is no longer kept.
	ended, dropped bool
}

// takeFrames returns the frames to send from a sequence number on, after those before it have been sent.
func (s *Server) takeFrames(r *run, from uint64) nextFrames {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.dropped {
		return nextFrames{dropped: true}
	}
	id := r.offer.Attempt
	if from > 0 {
		r.sent = from - 1
	}
	s.retained.Takes(id)
	s.retained.Release(id, r.writer.Trim(r.sent, resumeWindow))
	frames, ended := r.writer.From(from)
	next := nextFrames{ended: ended, changed: r.changed}
	if len(frames) > frameBatch {
		frames, next.ended, next.changed = frames[:frameBatch], false, nil
	}
	if len(frames) > 0 {
		s.retained.Waits(time.Now(), id)
	}
	next.frames = slices.Clone(frames)
	return next
}
