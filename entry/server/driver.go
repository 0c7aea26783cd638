package server

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"arbutusdeck/core/execution"
	"arbutusdeck/core/lifecycle"
	"arbutusdeck/core/netopts"
	"arbutusdeck/core/quarantine"
	"arbutusdeck/core/routing"
	"arbutusdeck/core/wire"
)

// Bounds of single calls to host daemons.
const (
	offerTimeout  = 750 * time.Millisecond
	cancelTimeout = 2 * time.Second
)

// task is one admitted request on its way.
type task struct {
	options execution.RequestOptions
	request *execution.Request
	// offer holds the fields of the offer that are the same for all attempts.
	offer   *wire.OfferRequest
	query   routing.Query
	groups  map[string]string // lead server to group, for a group's prompt
	home    *execution.Target // fixed server of a keyed request
	method  string
	path    string
	content string
	body    []byte
	release func()
	sink    sink
	route   *RoutingRecord
	// fingerprint names the request over all its submissions.
	fingerprint quarantine.Fingerprint
}

// driver carries out the actions of one request's core and feeds their results
// back as events.
type driver struct {
	s      *Server
	t      *task
	ctx    context.Context
	events chan execution.Event
	done   chan struct{}
	first  bool
	began  time.Time
	// endStream ends the stream of the present attempt.
	endStream context.CancelFunc
}

// entryEnds refuses what is open at the limit of this entry's stop.
var entryEnds = execution.Refusal{Code: execution.CodeDraining, Detail: "this entry ends", RetryAfter: time.Second}

// drive runs a request to its end and answers the caller. The conclusion is
// given as soon as the core has it.
func (s *Server) drive(ctx context.Context, t *task) execution.Conclusion {
	d := &driver{s: s, t: t, ctx: ctx, events: make(chan execution.Event), done: make(chan struct{}), began: time.Now(), endStream: func() {}}
	defer close(d.done)
	defer func() { d.endStream() }()
	deadline := time.NewTimer(time.Until(t.options.Deadline))
	defer deadline.Stop()
	s.mu.Lock()
	s.core.Began()
	s.mu.Unlock()
	event := execution.Event(execution.Begun{})
	gone, ending := ctx.Done(), s.Manager().Ending().Done()
	var ends <-chan time.Time
	for {
		if conclusion, over := d.step(event); over {
			return conclusion
		}
		select {
		case event = <-d.events:
		case <-deadline.C:
			event = execution.DeadlinePassed{}
		case <-gone:
			event, gone = execution.CallerGone{}, nil
		case <-ending:
			event, ending, ends = execution.EntryEnds{Refusal: entryEnds}, nil, time.After(lifecycle.AnswerTime/2)
		case <-ends:
			event = execution.EntryEnds{Refusal: entryEnds}
		}
	}
}

// step feeds one event and carries out what follows. Some actions answer at
// once, with an event of their own.
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
					pending = append(pending, execution.CallerGone{})
				}
			case execution.Conclude:
				return a.Conclusion, true
			}
		}
	}
	return execution.Conclusion{}, false
}

// send hands an event to the loop, unless the request is over.
func (d *driver) send(event execution.Event) {
	select {
	case d.events <- event:
	case <-d.done:
	}
}

// over says whether the request has been concluded.
func (d *driver) over() bool {
	select {
	case <-d.done:
		return true
	default:
		return false
	}
}

func (d *driver) pick(action execution.Pick) execution.Event {
	if refusal := d.s.quarantined(time.Now(), d.t.fingerprint); refusal != nil {
		return execution.NoTarget{Refusal: *refusal}
	}
	if d.t.home != nil {
		return execution.Picked{Target: *d.t.home}
	}
	s := d.s
	s.mu.Lock()
	defer s.mu.Unlock()
	d.t.query.Exclude = action.Exclude
	reason, target, ok := s.core.Pick(time.Now(), d.t.query)
	if !ok {
		return execution.NoTarget{Refusal: execution.Refusal{Code: execution.CodeNoServer, RetryAfter: time.Second}}
	}
	d.t.route.add(reason)
	return execution.Picked{Target: target}
}

func (d *driver) sendOffer(action execution.SendOffer) {
	d.s.sent(d.t, action.Target.Server)
	ctx, cancel := context.WithTimeout(d.ctx, offerTimeout)
	defer cancel()
	m := offerOf(d.t, action)
	m.Envelope = d.s.Envelope()
	address, ok := d.s.AddressOf(action.Target.Server)
	if !ok {
		d.s.ended(d.t, action.Target.Server)
		d.send(execution.OfferLost{Attempt: action.Attempt})
		return
	}
	reply, err := d.s.Dialer.Host(address).Offer(ctx, m)
	if err != nil {
		d.s.ended(d.t, action.Target.Server)
		if d.ctx.Err() == nil {
			d.s.failed(action.Target.Server, d.t.query.Pool)
		}
		d.send(execution.OfferLost{Attempt: action.Attempt})
		return
	}
	d.s.offered(d.t, action.Target.Server, reply)
	d.send(execution.OfferAnswered{Attempt: action.Attempt, Result: wire.ToResult(reply)})
}

// offerOf completes the request's offer for one attempt.
func offerOf(t *task, action execution.SendOffer) *wire.OfferRequest {
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
	d.s.heard(reply.Envelope)
	d.send(execution.CancelAnswered{Attempt: action.Attempt, Outcome: wire.FromOutcome(reply.Outcome)})
}

func (d *driver) startStream(action execution.OpenStream) {
	d.endStream()
	ctx, cancel := context.WithCancel(d.ctx)
	d.endStream = cancel
	body := d.t.body
	go d.stream(ctx, action, body)
}

// stream opens an attempt's stream, or opens it again, and hands on its frames.
func (d *driver) stream(ctx context.Context, action execution.OpenStream, body []byte) {
	ended := execution.StreamEnded{Attempt: action.Attempt, Sent: true}
	request, err := d.streamRequest(ctx, action, body)
	if err != nil {
		ended.Sent = false
		d.send(ended)
		return
	}
	ctx, silent := context.WithCancel(ctx)
	idle := time.AfterFunc(wire.ResponseWait, silent)
	defer idle.Stop()
	response, err := d.s.Dialer.HTTP().Do(request.WithContext(ctx))
	if err != nil {
		ended.Sent = !notSent(err)
		if action.Resume && netopts.IsRefused(err) {
			d.s.noteEnd(d.t, action.Target.Server) // with the daemon beside it
		}
		d.streamFailed(action)
		d.send(ended)
		return
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusOK && d.readFrames(action, response, idle) {
		return
	}
	d.streamFailed(action)
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
	request.Header.Set("Content-Type", d.t.content)
	request.Header.Set(wire.HeaderPath, d.t.path)
	request.Header.Set(wire.HeaderMethod, d.t.method)
	request.Header.Set(wire.HeaderIncarnation, string(action.Target.Incarnation))
	return request, nil
}

// notSent says that the connection was never made.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// streamFailed counts a broken stream against its server, unless the caller's
// own end broke it.
func (d *driver) streamFailed(action execution.OpenStream) {
	if d.ctx.Err() == nil && !d.over() {
		d.s.failed(action.Target.Server, d.t.query.Pool)
	}
}

// readFrames hands frames on and reports whether the last one came.
func (d *driver) readFrames(action execution.OpenStream, response *http.Response, idle *time.Timer) bool {
	reader := wire.NewFrameReader(response.Body)
	idle.Reset(wire.StreamIdle)
	answerBegan := time.Time{}
	for {
		m, err := reader.Read()
		if err != nil {
			return false
		}
		idle.Reset(wire.StreamIdle)
		d.s.observeFrame(d.t, action.Target.Server, m)
		frame := wire.ToFrame(m)
		if frame.Request == "" {
			// A refusal to open the stream does not know the request.
			frame.Request = d.t.options.ID
		}
		if endedUnder(frame, answerBegan) {
			d.s.noteEnd(d.t, action.Target.Server)
		}
		if answerBegan.IsZero() && len(frame.Payload) > 0 {
			answerBegan = time.Now()
		}
		d.send(execution.FrameArrived{Frame: frame})
		if frame.Last {
			return true
		}
	}
}

// deliver hands a piece of the answer to the caller. Unless the answer is
// buffered, the prompt is let go with the first one: the request can't be run
// again after it.
func (d *driver) deliver(frame execution.Frame) error {
	if !d.first {
		d.first = true
		d.s.observeFirstToken(d.t, time.Since(d.began))
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
