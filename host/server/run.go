package server

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"arbutusdeck/core/backend"
	"arbutusdeck/core/execution"
	"arbutusdeck/host/engine"
)

// run is the state of one accepted attempt and its response. The server's lock
// guards it, except for body, which belongs to the goroutine that calls the
// engine.
type run struct {
	offer  backend.Offer
	writer *execution.FrameWriter
	body   *promptBody
	call   engine.Call
	cancel context.CancelFunc
	// changed is closed and replaced when a frame is added.
	changed chan struct{}
	// accepted is when the offer was accepted; responding is set by the first chunk
	// of the response.
	accepted   time.Time
	responding bool
	// released is set once a graceful shutdown need not wait for the attempt:
	// its last frame was sent, or its stream can no longer be resumed.
	released bool
	response responseBuffer
	// sent is the number of the last frame that was written to the stream.
	sent uint64
	// dropped is set once the frames are no longer kept: the stream can't go on.
	dropped bool
	// stream is that to which frames are written; nil while there is none.
	stream *http.ResponseController
}

// responseBuffer holds the response of an attempt with an idempotency key, so that
// it can be replayed. A response above the limit is not kept.
type responseBuffer struct {
	head     engine.ResponseHead
	data     []byte
	tooLarge bool
}

func (b *responseBuffer) add(head engine.ResponseHead, data []byte, limit int) {
	b.head = head
	if b.tooLarge || len(b.data)+len(data) > limit {
		b.tooLarge, b.data = true, nil
		return
	}
	b.data = append(b.data, data...)
}

func (b *responseBuffer) answer() execution.Answer {
	return execution.Answer{Kept: !b.tooLarge, ContentType: b.head.ContentType, Status: b.head.Status, Body: b.data}
}

func newRun(offer backend.Offer) *run {
	return &run{offer: offer, accepted: time.Now(), changed: make(chan struct{}), writer: execution.NewFrameWriter(offer.Request, offer.Attempt)}
}

// notify wakes the streams that are waiting for frames.
func (r *run) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// promptBody is a prompt that is streamed from the entry's connection to the engine.
// done is closed when the engine call no longer reads it, so that the handler
// that owns the connection may return.
type promptBody struct {
	reader io.Reader
	length int64
	done   chan struct{}
}

// startRun runs an attempt at its engine in the background.
func (s *Server) startRun(e backend.StartRun) {
	ctx, cancel := context.WithCancel(context.Background())
	s.mu.Lock()
	r := s.runs[e.Attempt]
	r.cancel = cancel
	s.mu.Unlock()
	go func() {
		defer cancel()
		err := s.callEngine(ctx, r, e)
		close(r.body.done)
		s.finish(r, e.Engine, err)
	}()
}

func (s *Server) callEngine(ctx context.Context, r *run, e backend.StartRun) error {
	client := s.clientOf(r, e.Engine)
	if client == nil {
		return engine.ErrNotSent
	}
	call := r.call
	call.Body, call.Length = r.body.reader, r.body.length
	call.Stream, call.Priority = string(r.offer.Attempt), e.Priority
	call.Group = strings.Join(e.Group, ",")
	call.Model = r.offer.Service == ""
	call.Fence = s.fencingToken(r.offer.Service)
	return client.Run(ctx, call, func(head engine.ResponseHead, data []byte) error { return s.addChunk(ctx, r, head, data) })
}

// clientOf returns the client for the engine or plain service of an attempt, or
// nil if there is none.
func (s *Server) clientOf(r *run, engineName string) *engine.Client {
	if r.offer.Service != "" {
		return s.services[r.offer.Service]
	}
	return s.engines[engineName]
}

// fencingToken returns the fencing token for a plain service that checks it, else 0.
// The token is the daemon's start time in milliseconds: a late call of a killed
// predecessor carries a lower token and is refused. The host's clock must not go
// back between two starts.
func (s *Server) fencingToken(service string) uint64 {
	if service == "" || !s.Store.Current().Services[service].ChecksFencing {
		return 0
	}
	return uint64(s.core.StartedAt().UnixMilli())
}

// addChunk appends a chunk of the response, once there is memory for it. The core is told of the first one only.
func (s *Server) addChunk(ctx context.Context, r *run, head engine.ResponseHead, data []byte) error {
	if err := s.awaitRoom(ctx, r, int64(len(data))+execution.FrameOverhead); err != nil {
		return err
	}
	var effects []backend.Effect
	s.mu.Lock()
	if !r.responding {
		r.responding = true
		s.counters.firstToken.UpdateSince(r.accepted)
		effects = s.core.FirstToken(time.Now(), r.offer.Attempt)
	}
	if !r.dropped {
		r.writer.Write(data, head.ContentType, head.Status)
	}
	if !r.offer.Key.None() {
		r.response.add(head, data, s.options.Backend.Ledger.MaxAnswerBytes)
	}
	r.notify()
	s.mu.Unlock()
	s.executeEffects(effects)
	return nil
}

// finish records the outcome of an attempt from the result of its engine call.
func (s *Server) finish(r *run, engineName string, err error) {
	outcome, refusal := outcomeOf(err)
	if errors.Is(err, engine.ErrFailed) && s.clientOf(r, engineName).HasCrashed(context.Background()) {
		refusal = execution.Refusal{Code: execution.CodeEngineEnded, Detail: "the engine ended during the run"}
	}
	s.mu.Lock()
	effects := s.core.Finish(time.Now(), r.offer.Attempt, outcome, refusal, r.response.answer())
	r.response = responseBuffer{} // the ledger holds what is kept of it
	s.mu.Unlock()
	if err != nil {
		s.Log.WithError(err).WithField("attempt", r.offer.Attempt).WithField("engine", engineName).Warn("attempt failed")
		// If only the connection broke, the engine may still run the stream.
		s.control(engineName, func(ctx context.Context, e *engine.Client) error { return e.Cancel(ctx, string(r.offer.Attempt)) })
	}
	s.executeEffects(effects)
}

// outcomeOf maps the error of an engine call to an outcome and its refusal.
func outcomeOf(err error) (execution.Outcome, execution.Refusal) {
	switch {
	case err == nil:
		return execution.Finished, execution.Refusal{}
	case errors.Is(err, engine.ErrNotSent):
		return execution.NotRun, execution.Refusal{Code: execution.CodeEngineFailed, Detail: "the engine could not be reached"}
	case errors.Is(err, engine.ErrBusy):
		return execution.NotRun, execution.Refusal{Code: execution.CodeQueueFull, Detail: "the engine is full", RetryAfter: time.Second}
	}
	return execution.Failed, execution.Refusal{Code: execution.CodeEngineFailed, Detail: "the engine failed during the run"}
}

// closeStream closes the stream of an attempt. Its frames are kept for StreamLease, in
// which the stream may be resumed.
func (s *Server) closeStream(e backend.CloseStream) {
	if e.Outcome == execution.Finished {
		s.counters.finished.Inc(1)
	} else {
		s.counters.failed.Inc(1)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.runs[e.Attempt]
	if r == nil {
		return
	}
	r.writer.End(e.Outcome, e.Refusal)
	r.notify()
	time.AfterFunc(s.options.Backend.Ledger.StreamLease, func() { s.dropRun(e.Attempt) })
}

// dropRun drops the frames of an ended attempt whose stream can no longer be
// resumed.
func (s *Server) dropRun(id execution.AttemptID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.runs[id]; r != nil {
		s.release(r)
	}
	s.retained.Remove(id)
	delete(s.runs, id)
}

// release lets a graceful shutdown proceed without this attempt. The lock must
// be held.
func (s *Server) release(r *run) {
	if r.released {
		return
	}
	r.released = true
	s.Manager().End()
}

// stopRun cancels the engine call of an attempt, if one is running.
func (s *Server) stopRun(id execution.AttemptID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.runs[id]; r != nil && r.cancel != nil {
		r.cancel()
	}
}
