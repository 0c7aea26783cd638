package lab

import (
	"arbutusdeck/core/execution"
	"arbutusdeck/core/netopts"
)

// pushFrames sends the frames that have not been sent yet.
func (h *Host) pushFrames(id execution.AttemptID, s *stream) {
	if !s.attached {
		return
	}
	frames, ended := s.writer.From(s.sent + 1)
	for _, frame := range frames {
		s.sent = frame.Sequence
		h.sendFrame(s, frame)
	}
	if ended {
		s.attached = false
	}
}

func (h *Host) sendFrame(s *stream, frame execution.Frame) {
	kind := "frame"
	switch {
	case frame.Last:
		kind = "last frame"
	case frame.Sequence == 1:
		kind = "first frame"
	case frame.Sequence == 0:
		kind = "heartbeat"
	}
	load := h.Core.Load(h.lab.Now, s.submitted.pool())
	if h.lab.partitioned[link{h.Name, s.entry.Name}] || h.lab.partitioned[link{s.entry.Name, h.Name}] {
		// The kernel closes a connection whose data stays unacknowledged for this long.
		h.lab.After(netopts.UserTimeout, func() { h.detach(s) })
	}
	h.lab.send(Message{kind, h.Name, s.entry.Name}, func() { s.entry.receiveFrame(s.submitted, h, frame, load) }, func() { h.detach(s) })
}

func (h *Host) detach(s *stream) {
	if !h.alive || !s.attached {
		return
	}
	s.attached = false
	for id, other := range h.streams {
		if other == s {
			h.runOrDefer(func() { h.Core.Detach(h.lab.Now, id) })
		}
	}
}

// resetStream resets a stream's connection.
func (h *Host) resetStream(id execution.AttemptID, s *stream) {
	if !s.attached {
		return
	}
	s.attached = false
	h.lab.send(Message{"reset", h.Name, s.entry.Name}, func() { s.entry.streamBroken(s.submitted, id) }, nil)
}

// openStream handles an entry's message that opens the stream of an attempt.
func (h *Host) openStream(id execution.AttemptID, target execution.Incarnation, submitted *Submission, e *Entry) {
	s := h.streams[id]
	if s != nil {
		s.attached = true
	}
	outcome, refusal, effects := h.Core.OpenStream(h.lab.Now, id, target)
	if refusal != nil {
		frame := execution.Frame{Request: submitted.id, Attempt: id, Sequence: 1, Last: true, Outcome: outcome, Code: refusal.Code}
		h.lab.send(Message{"last frame", h.Name, e.Name}, func() { e.receiveFrame(submitted, h, frame, h.Core.Load(h.lab.Now, submitted.pool())) }, nil)
		return
	}
	h.heartbeat(id, s)
	h.applyEffects(effects)
}

// heartbeat sends an empty frame, which tells the entry that the stream is open.
func (h *Host) heartbeat(id execution.AttemptID, s *stream) {
	h.sendFrame(s, execution.Frame{Request: s.submitted.id, Attempt: id})
}

// resumeStream handles an entry's message that resumes a broken stream at frame from.
func (h *Host) resumeStream(id execution.AttemptID, from uint64, submitted *Submission, e *Entry) {
	s := h.streams[id]
	if s == nil || !h.Core.Attach(id) {
		h.lab.send(Message{"reset", h.Name, e.Name}, func() { e.streamBroken(submitted, id) }, nil)
		return
	}
	s.attached, s.sent = true, from-1
	h.heartbeat(id, s)
	h.pushFrames(id, s)
}
