package server

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"arbutusdeck/core/callers"
	"arbutusdeck/core/execution"
	"arbutusdeck/core/lifecycle"
	"arbutusdeck/core/netopts"
	"arbutusdeck/core/quarantine"
	"arbutusdeck/core/routing"
	"arbutusdeck/core/wire"
)

// Timeouts of calls to host daemons.
const (
	offerTimeout  = 750 * time.Millisecond
	cancelTimeout = 2 * time.Second
)

// task holds what an entry needs to run one request.
type task struct {
	options execution.RequestOptions
	request *execution.Request
	// offer holds the fields of the offer that are the same for all attempts.
	offer       *wire.OfferRequest
	query       routing.Query
	groups      map[string]string // group by its lead server, for a prompt that is placed at a group
	home        *execution.Target // home server of a request with an idempotency key
	method      string
	path        string
	contentType string
	body        []byte
	release     func()
	sink        sink
	record      *RoutingRecord
	// fingerprint identifies the request across all its submissions.
	fingerprint quarantine.Fingerprint
}

// driver executes the actions of one request's state machine and feeds the results back
// to it as events.
type driver struct {
	s         *Server
	t         *task
	ctx       context.Context
	events    chan execution.Event
	done      chan struct{}
	delivered bool
	startedAt time.Time
	// cancelStream cancels the stream of the current attempt.
	cancelStream context.CancelFunc
}

// stoppingRefusal is the refusal of requests that are open when the time limit of a graceful
// shutdown has passed.
var stoppingRefusal = execution.Refusal{Code: execution.CodeDraining, Detail: "this entry ends", RetryAfter: time.Second}

// connectionsRefusal is the refusal of requests for which there is no connection to a host. The host is not to blame.
var connectionsRefusal = execution.Refusal{Code: execution.CodeQueueFull, Detail: "the connections to hosts take all the descriptors that they may",
	RetryAfter: time.Second}

// responseRefusal is the refusal of requests whose response can't be collected.
var responseRefusal = execution.Refusal{Code: execution.CodeEngineFailed, Detail: "the response takes more memory than there is"}

// drive runs a request and writes its response. It returns as soon as the request's state
// machine has reached a conclusion.
func (s *Server) drive(ctx context.Context, t *task) execution.Conclusion {
	d := &driver{s: s, t: t, ctx: ctx, events: make(chan execution.Event), done: make(chan struct{}), startedAt: time.Now(), cancelStream: func() {}}
	defer close(d.done)
	defer func() { d.cancelStream() }()
	deadline := time.NewTimer(time.Until(t.options.Deadline))
	defer deadline.Stop()
	s.mu.Lock()
	s.core.CountRequest()
	s.mu.Unlock()
	event := execution.Event(execution.RequestStarted{})
	disconnected, stopping := ctx.Done(), s.Manager().Aborting().Done()
	var stopNow <-chan time.Time
	for {
		if conclusion, concluded := d.step(event); concluded {
			return conclusion
		}
		select {
		case event = <-d.events:
		case <-deadline.C:
			event = execution.DeadlinePassed{}
		case <-disconnected:
			event, disconnected = execution.CallerDisconnected{}, nil
		case <-stopping:
			event, stopping, stopNow = execution.EntryStopping{Refusal: stoppingRefusal}, nil, time.After(lifecycle.FinalReplyTime/2)
		case <-stopNow:
			event = execution.EntryStopping{Refusal: stoppingRefusal}
		}
	}
}

// step feeds one event to the state machine and executes the resulting actions. Actions that
// complete at once yield further events, which it feeds too.
func (d *driver) step(event execution.Event) (execution.Conclusion, bool) {
	pending := []execution.Event{event}
	for len(pending) > 0 {
		next := pending[0]
		pending = pending[1:]
		for _, action := range d.t.request.Step(time.Now(), next) {
			switch a := action.(type) {
			case execution.Pick:
				pending = append(pending, d.pick(a))
			case execution.SendOffer:
				go d.sendOffer(a)
			case execution.OpenStream:
				d.startStream(a)
			case execution.SendCancel:
				go d.sendCancel(a)
			case execution.Discard:
				d.t.sink.discard()
			case execution.Deliver:
				if err := d.deliver(a.Frame); err != nil {
					pending = append(pending, notDelivered(err))
				}
			case execution.Conclude:
				return a.Conclusion, true
			}
		}
	}
	return execution.Conclusion{}, false
}

// notDelivered returns the event of a frame that the sink has not taken.
func notDelivered(err error) execution.Event {
	if errors.Is(err, callers.ErrMemoryFull) {
		return execution.ResponseTooLarge{Refusal: responseRefusal}
	}
	return execution.CallerDisconnected{}
}

// send passes an event to the loop of drive, unless the request has been concluded.
func (d *driver) send(event execution.Event) {
	select {
	case d.events <- event:
	case <-d.done:
	}
}

// concluded reports whether drive has returned.
func (d *driver) concluded() bool {
	select {
	case <-d.done:
		return true
	default:
		return false
	}
}

func (d *driver) pick(action execution.Pick) execution.Event {
	if refusal := d.s.quarantineRefusal(time.Now(), d.t.fingerprint); refusal != nil {
		return execution.NoTarget{Refusal: *refusal}
	}
	if d.t.home != nil {
		return execution.Picked{Target: *d.t.home}
	}
	s := d.s
	s.mu.Lock()
	defer s.mu.Unlock()
	d.t.query.Exclude = action.Exclude
	decision, target, ok := s.core.Pick(time.Now(), d.t.query)
	if !ok {
		return execution.NoTarget{Refusal: execution.Refusal{Code: execution.CodeNoServer, RetryAfter: time.Second}}
	}
	d.t.record.add(decision)
	return execution.Picked{Target: target}
}

func (d *driver) sendOffer(action execution.SendOffer) {
	d.s.attemptSent(d.t, action.Target.Server)
	ctx, cancel := context.WithTimeout(d.ctx, offerTimeout)
	defer cancel()
	m := offerFor(d.t, action)
	m.Envelope = d.s.Envelope()
	address, ok := d.s.AddressOf(action.Target.Server)
	if !ok {
		d.s.attemptEnded(d.t, action.Target.Server)
		d.send(execution.OfferLost{Attempt: action.Attempt})
		return
	}
	reply, err := d.s.Dialer.Host(address).Offer(ctx, m)
	if errors.Is(err, netopts.ErrConnectionsFull) {
		d.s.attemptEnded(d.t, action.Target.Server)
		d.send(execution.OfferAnswered{Attempt: action.Attempt, Result: execution.OfferResult{Verdict: execution.Refused, Refusal: &connectionsRefusal}})
		return
	}
	if err != nil {
		d.s.attemptEnded(d.t, action.Target.Server)
		if d.ctx.Err() == nil {
			d.s.recordFailure(action.Target.Server, d.t.query.Pool)
		}
		d.send(execution.OfferLost{Attempt: action.Attempt})
		return
	}
	d.s.handleOfferReply(d.t, action.Target.Server, reply)
	d.send(execution.OfferAnswered{Attempt: action.Attempt, Result: wire.ToResult(reply)})
}

// offerFor returns the request's offer, completed for one attempt.
func offerFor(t *task, action execution.SendOffer) *wire.OfferRequest {
	c := t.offer
	return &wire.OfferRequest{
		TargetIncarnation: string(action.Target.Incarnation), Request: c.Request, Attempt: string(action.Attempt),
		Workspace: c.Workspace, Kind: c.Kind, Service: c.Service, Hall: c.Hall, LengthClass: c.LengthClass,
		PromptTokens: c.PromptTokens, AnswerTokens: c.AnswerTokens, ExpiresUnixMs: action.Expires.UnixMilli(),
		DeadlineUnixMs: c.DeadlineUnixMs, Key: c.Key, Fingerprint: c.Fingerprint, Prefix: c.Prefix, IssuedKey: c.IssuedKey,
		KeyMadeUnixMs: c.KeyMadeUnixMs, Group: t.groups[action.Target.Server],
	}
}

func (d *driver) sendCancel(action execution.SendCancel) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	address, ok := d.s.AddressOf(action.Target.Server)
	if !ok {
		d.send(execution.CancelLost{Attempt: action.Attempt})
		return
	}
	reply, err := d.s.Dialer.Host(address).Cancel(ctx, &wire.CancelRequest{Envelope: d.s.Envelope(), Attempt: string(action.Attempt),
		TargetIncarnation: string(action.Target.Incarnation), OfferExpiresUnixMs: action.Expires.UnixMilli(),
		Workspace: d.t.offer.Workspace, Service: d.t.offer.Service, Key: d.t.offer.Key})
	if err != nil {
		d.send(execution.CancelLost{Attempt: action.Attempt})
		return
	}
	d.s.observeEnvelope(reply.Envelope)
	d.send(execution.CancelAnswered{Attempt: action.Attempt, Outcome: wire.FromOutcome(reply.Outcome)})
}

func (d *driver) startStream(action execution.OpenStream) {
	d.cancelStream()
	ctx, cancel := context.WithCancel(d.ctx)
	d.cancelStream = cancel
	body := d.t.body
	go d.stream(ctx, action, body)
}

// stream opens or resumes an attempt's stream and passes its frames to the loop.
func (d *driver) stream(ctx context.Context, action execution.OpenStream, body []byte) {
	ended := execution.StreamBroken{Attempt: action.Attempt, Sent: true}
	request, err := d.streamRequest(ctx, action, body)
	if err != nil {
		ended.Sent = false
		d.send(ended)
		return
	}
	ctx, cancelIdle := context.WithCancel(ctx)
	idle := time.AfterFunc(wire.ResponseWait, cancelIdle)
	defer idle.Stop()
	response, err := d.s.Dialer.HTTP().Do(request.WithContext(ctx))
	if err != nil {
		if errors.Is(err, netopts.ErrConnectionsFull) && !action.Resume {
			// The offer has no stream and is never run.
			d.send(execution.FrameArrived{Frame: execution.Frame{Request: d.t.options.ID, Attempt: action.Attempt, Sequence: 1, Last: true, Outcome: execution.NotRun,
				Code: connectionsRefusal.Code, Detail: connectionsRefusal.Detail, RetryAfter: connectionsRefusal.RetryAfter}})
			return
		}
		ended.Sent = !isDialError(err)
		if action.Resume && netopts.IsConnectionRefused(err) {
			// Nothing listens there any more: the server crashed together with its host daemon.
			d.s.recordCrash(d.t, action.Target.Server)
		}
		d.recordStreamFailure(action)
		d.send(ended)
		return
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusOK && d.readFrames(action, response, idle) {
		return
	}
	d.recordStreamFailure(action)
	d.send(ended)
}

func (d *driver) streamRequest(ctx context.Context, action execution.OpenStream, body []byte) (*http.Request, error) {
	address, ok := d.s.AddressOf(action.Target.Server)
	if !ok {
		return nil, fmt.Errorf("no address of %s", action.Target.Server)
	}
	url := "http://" + address + "/attempts/" + string(action.Attempt) + "/stream"
	if action.Resume {
		return http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("%s?from=%d", url, action.From), nil)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", d.t.contentType)
	request.Header.Set(wire.HeaderPath, d.t.path)
	request.Header.Set(wire.HeaderMethod, d.t.method)
	request.Header.Set(wire.HeaderIncarnation, string(action.Target.Incarnation))
	return request, nil
}

// isDialError reports whether err means that no connection was established, so that
// nothing was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// recordStreamFailure records a broken stream as a failure of its server, unless the caller
// disconnected or the request has been concluded.
func (d *driver) recordStreamFailure(action execution.OpenStream) {
	if d.ctx.Err() == nil && !d.concluded() {
		d.s.recordFailure(action.Target.Server, d.t.query.Pool)
	}
}

// readFrames passes the frames of a response to the loop and reports whether the last one
// arrived.
func (d *driver) readFrames(action execution.OpenStream, response *http.Response, idle *time.Timer) bool {
	reader := wire.NewFrameReader(response.Body)
	idle.Reset(wire.StreamIdle)
	responseStart := time.Time{}
	for {
		m, err := reader.Read()
		if err != nil {
			return false
		}
		idle.Reset(wire.StreamIdle)
		d.s.observeFrame(d.t, action.Target.Server, m)
		frame := wire.ToFrame(m)
		if frame.Request == "" {
			// A refusal to open a stream does not carry the request's ID.
			frame.Request = d.t.options.ID
		}
		if crashedEarly(frame, responseStart) {
			d.s.recordCrash(d.t, action.Target.Server)
		}
		if responseStart.IsZero() && len(frame.Payload) > 0 {
			responseStart = time.Now()
		}
		d.send(execution.FrameArrived{Frame: frame})
		if frame.Last {
			return true
		}
	}
}

// deliver writes one frame of the response to the caller. Unless the response is buffered, it
// frees the prompt at the first frame: the request can't be retried after that.
func (d *driver) deliver(frame execution.Frame) error {
	if !d.delivered {
		d.delivered = true
		d.s.observeFirstToken(d.t, time.Since(d.startedAt))
		if !d.t.options.Buffered {
			d.t.body = nil
			d.t.release()
		}
	}
	if frame.Last {
		return d.t.sink.end()
	}
	return d.t.sink.write(frame)
}
