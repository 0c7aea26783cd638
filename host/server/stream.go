package server

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/uptrace/bunrouter"

	"arbutusdeck/core/callers"
	"arbutusdeck/core/execution"
	"arbutusdeck/core/wire"
	"arbutusdeck/host/engine"
)

// openStream receives the prompt of an accepted attempt and responds with its
// frames. The body is not buffered: it is streamed to the engine once the
// attempt is dispatched.
func (s *Server) openStream(w http.ResponseWriter, request bunrouter.Request) error {
	id := execution.AttemptID(request.Param("attempt"))
	now := time.Now()
	answerUnbounded(w, request)
	// The response may start before the engine has read the whole prompt.
	if err := http.NewResponseController(w).EnableFullDuplex(); err != nil {
		return err
	}
	s.mu.Lock()
	r := s.runs[id]
	if r == nil {
		s.mu.Unlock()
		return s.refuseUnknown(w, id, now, request)
	}
	outcome, refusal, effects := s.core.OpenStream(now, id, targetIncarnation(request))
	if refusal != nil {
		s.mu.Unlock()
		return s.refuseStream(w, id, outcome, *refusal)
	}
	r.body = &promptBody{reader: request.Body, length: request.ContentLength, done: make(chan struct{})}
	r.call = engine.Call{Method: headerOr(request.Header, wire.HeaderMethod, http.MethodPost), Path: request.Header.Get(wire.HeaderPath),
		ContentType: request.Header.Get("Content-Type")}
	s.mu.Unlock()
	s.executeEffects(effects)
	err := s.sendFrames(w, request, r, 1)
	s.releaseBody(r)
	return err
}

// answerUnbounded lifts the limits on the time and the body of a request of another daemon, which may last for as long as
// its attempt. Its connection is not closed for another one.
func answerUnbounded(w http.ResponseWriter, request bunrouter.Request) {
	callers.Unbound(w, request.Request)
	callers.ConnOf(request.Request).AnswerDuplex()
}

func targetIncarnation(request bunrouter.Request) execution.Incarnation {
	return execution.Incarnation(request.Header.Get(wire.HeaderIncarnation))
}

// refuseUnknown refuses the stream of an attempt that has no run here.
func (s *Server) refuseUnknown(w http.ResponseWriter, id execution.AttemptID, now time.Time, request bunrouter.Request) error {
	s.mu.Lock()
	outcome, refusal, _ := s.core.OpenStream(now, id, targetIncarnation(request))
	s.mu.Unlock()
	if refusal == nil {
		outcome, refusal = execution.Unknown, &execution.Refusal{Code: execution.CodeTombstone, Detail: "the attempt has ended"}
	}
	return s.refuseStream(w, id, outcome, *refusal)
}

func headerOr(header http.Header, name, fallback string) string {
	if value := header.Get(name); value != "" {
		return value
	}
	return fallback
}

// releaseBody waits until the engine call no longer reads the request's body,
// which must not be read after the handler returns.
func (s *Server) releaseBody(r *run) {
	id := r.offer.Attempt
	s.mu.Lock()
	effects := s.core.BodyLost(time.Now(), id)
	running := s.core.Running(id)
	s.mu.Unlock()
	s.executeEffects(effects)
	if running {
		<-r.body.done
	}
}

func (s *Server) refuseStream(w http.ResponseWriter, id execution.AttemptID, outcome execution.Outcome, refusal execution.Refusal) error {
	w.Header().Set("Content-Type", wire.FrameType)
	m := wire.FromFrame(execution.Frame{Attempt: id, Sequence: 1, Last: true, Outcome: outcome, Code: refusal.Code,
		Detail: refusal.Detail, RetryAfter: refusal.RetryAfter})
	m.Envelope = s.Envelope()
	return wire.WriteFrame(w, m)
}

// resumeStream sends the remaining frames of an attempt whose stream was
// interrupted.
func (s *Server) resumeStream(w http.ResponseWriter, request bunrouter.Request) error {
	answerUnbounded(w, request)
	id := execution.AttemptID(request.Param("attempt"))
	from, err := strconv.ParseUint(request.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from must be a sequence", http.StatusBadRequest)
		return nil
	}
	s.mu.Lock()
	r := s.runs[id]
	attached := r != nil && !r.dropped && r.writer.Holds(from) && s.core.Attach(id)
	s.mu.Unlock()
	if !attached {
		http.Error(w, "no such stream", http.StatusNotFound)
		return nil
	}
	return s.sendFrames(w, request, r, from)
}

// sendFrames writes frames, starting at sequence number from, until the last one
// is sent or the connection fails. Between frames it sends heartbeats.
func (s *Server) sendFrames(w http.ResponseWriter, request bunrouter.Request, r *run, from uint64) error {
	w.Header().Set("Content-Type", wire.FrameType)
	controller := http.NewResponseController(w)
	heartbeat := time.NewTicker(wire.HeartbeatInterval)
	defer heartbeat.Stop()
	defer s.holdStream(r, controller)()
	for {
		next := s.takeFrames(r, from)
		for _, frame := range next.frames {
			if err := s.sendFrame(w, r, frame); err != nil {
				s.detach(r)
				return nil
			}
			from = frame.Sequence + 1
		}
		if err := controller.Flush(); next.dropped || err != nil && !errors.Is(err, http.ErrNotSupported) {
			s.detach(r)
			return nil
		}
		if next.ended {
			s.mu.Lock()
			s.release(r)
			s.retained.Sent(r.offer.Attempt)
			s.mu.Unlock()
			return nil
		}
		if next.changed == nil {
			continue
		}
		select {
		case <-next.changed:
		case <-heartbeat.C:
			if err := wire.WriteFrame(w, wire.Heartbeat(r.offer.Request, r.offer.Attempt)); err != nil {
				s.detach(r)
				return nil
			}
		case <-request.Context().Done():
			s.detach(r)
			return nil
		}
	}
}

// holdStream makes a stream that of a run until the returned function is called.
func (s *Server) holdStream(r *run, stream *http.ResponseController) (release func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.stream = stream
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if r.stream == stream {
			r.stream = nil
		}
	}
}

func (s *Server) sendFrame(w http.ResponseWriter, r *run, frame execution.Frame) error {
	m := wire.FromFrame(frame)
	if frame.Sequence == 1 || frame.Last {
		m.Envelope, m.Load = s.Envelope(), s.load(r.offer.Pool())
	}
	return wire.WriteFrame(w, m)
}

func (s *Server) detach(r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.retained.Waits(now, r.offer.Attempt)
	s.core.Detach(now, r.offer.Attempt)
}
