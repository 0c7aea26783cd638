package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"arbutusdeck/core/callers"
	"arbutusdeck/core/directory"
	"arbutusdeck/core/execution"
	"arbutusdeck/core/netopts"
	"arbutusdeck/core/placement"
	"arbutusdeck/core/responses"
	"arbutusdeck/entry/peerlink"
	"arbutusdeck/platform"
)

// attemptResult is the result of one attempt.
type attemptResult struct {
	execution.ForwardResult
	// complete is set if the caller has the complete response, success if its status is 2xx.
	complete, success bool
	// wrote is set if the server wrote a part of that response in this attempt: a stream may be resumed
	// after its last event. unframed is set if only the end of its connection marked its end.
	wrote, unframed bool
	// conclusion is set if the request itself has ended: its deadline has passed or the caller has
	// disconnected.
	conclusion *execution.Conclusion
	// response is a server's error response, which the caller may get.
	response *bufferedResponse
	// sentAt is the time at which the request was sent to the server; zero if it was not.
	sentAt time.Time
	// firstEventAt is the arrival time of the attempt's first event; zero without any.
	firstEventAt time.Time
	// connErr is the error that broke the connection to the server; nil if it did not break.
	connErr error
	// cancelledHere is set if this entry, not the server, ended the attempt.
	cancelledHere bool
	// serverCrashed is set if the server's process was gone after the attempt.
	serverCrashed bool
}

// bufferedResponse is a complete non-streaming response.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

func (a *bufferedResponse) deliver(e *exchange) {
	platform.CopyResponseHeaders(e.w.Header(), a.header)
	e.sendHeaders(a.status)
	if _, err := e.w.Write(a.body); err != nil {
		e.s.log.WithError(err).WithField("request", e.info.ID).Debug("writing the response failed: the caller has disconnected")
	}
}

// sendHeaders sends the status and headers of the response, once.
func (e *exchange) sendHeaders(status int) {
	if e.headersSent {
		return
	}
	e.headersSent = true
	e.phase.set(phaseAnswering)
	if e.firstByteAt.IsZero() {
		e.firstByteAt = time.Now()
	}
	e.writeHeader(status)
}

// writeHeader sends the status and headers. During shutdown it closes the connection, so that the
// caller connects to another entry next.
func (e *exchange) writeHeader(status int) {
	if e.s.stopping.Load() != nil {
		e.w.Header().Set("Connection", "close")
	}
	e.w.WriteHeader(status)
}

// attempt sends the request to the chosen server and relays the response.
func (e *exchange) attempt(ctx context.Context, choice placement.Choice) (result attemptResult) {
	server := choice.Server
	ctx = responses.WithMemory(ctx, e.connection.Reserve)
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer func() { result.cancelledHere = attemptCtx.Err() != nil && ctx.Err() == nil }()
	dispatch := e.dispatch(choice)
	e.phase.set(phaseReserving)
	reservation, err := e.s.reserve(ctx, dispatch.ID, choice)
	if err != nil {
		return e.unsent(ctx, choice, dispatch.ID, server, err.Error())
	}
	defer func() {
		released := reservation.startRelease()
		if !result.complete {
			e.phase.set(phaseReleasing)
			waitForRelease(ctx, released)
		}
	}()
	if refusing, ok := e.s.refusingServer(time.Now(), choice); ok {
		return e.unsent(ctx, choice, dispatch.ID, refusing, "the server takes no requests any more")
	}
	if e.quarantinedFor(time.Now()) > 0 {
		return e.unsent(ctx, choice, dispatch.ID, server, "the request was quarantined while it waited")
	}
	reservation.watchUnused(cancel)
	stall := e.watchStall(attemptCtx, choice, cancel)
	defer stall.stop()
	dispatched := e.s.trackBegin(dispatch, choice, e.service.Engine)
	e.leaveQueue()
	defer e.s.slotReleased(e.service, choice.Server) // after trackEnd
	defer e.s.trackEnd(dispatched)
	request := e.upstreamRequest(attemptCtx, choice, reservation)
	e.phase.set(phaseSent)
	sentAt := time.Now()
	defer func() { result.sentAt = sentAt }()
	response, err := e.s.transport.RoundTrip(request)
	if err != nil {
		return e.noResponse(ctx, server.IncarnationID(), err)
	}
	defer response.Body.Close()
	return e.handleResponse(ctx, choice, sentAt, &firstEventWait{reservation, stall, dispatched}, response)
}

// unsent returns the result of an attempt that ends before anything was sent, because of a server.
func (e *exchange) unsent(ctx context.Context, choice placement.Choice, dispatchID string, server directory.Server, detail string) attemptResult {
	// The entry of another zone that placed the request has it in its load table.
	e.s.trackEnd(peerlink.DispatchRef{ID: dispatchID, RemoteZones: e.s.peers.RemoteZones(choice)})
	return e.incompleteResult(ctx, server.IncarnationID(), execution.ForwardUnsent, execution.Refusal{Code: execution.CodeQueueFull, Detail: detail, RetryAfter: time.Second})
}

// waitForRelease waits until the memory of a failed attempt is free. The next attempt may need it
// at the same servers, which would refuse.
func waitForRelease(ctx context.Context, released <-chan struct{}) {
	timer := time.NewTimer(orderTimeout)
	defer timer.Stop()
	select {
	case <-released:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// noResponse returns the result of an attempt that got no response headers.
func (e *exchange) noResponse(ctx context.Context, server string, err error) attemptResult {
	if errors.Is(err, netopts.ErrConnectionsFull) {
		return e.incompleteResult(ctx, server, execution.ForwardUnsent, execution.Refusal{Code: execution.CodeQueueFull, Detail: err.Error(), RetryAfter: time.Second})
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		if ctx.Err() == nil {
			e.s.reportUnreachable(server)
		}
		return e.incompleteResult(ctx, server, execution.ForwardUnsent, connectionLost(err.Error()))
	}
	e.forward.RecordSend()
	switch {
	case ctx.Err() != nil:
	case errors.Is(err, callers.ErrMemoryFull):
	case errors.Is(err, context.Canceled):
		e.s.recordFailure(server) // this entry cancelled the attempt: the server is stalled
	default:
		// A server that goes down resets connections or closes them before it responds.
		e.s.reportUnreachable(server)
	}
	return e.connectionBroken(ctx, server, err, err.Error())
}

// connectionLost returns the refusal for a connection that could not be opened, or broke.
func connectionLost(detail string) execution.Refusal {
	return execution.Refusal{Code: execution.CodeConnectionLost, Detail: detail, RetryAfter: 200 * time.Millisecond}
}

// connectionBroken returns the result of an attempt whose connection broke before the response was
// complete.
func (e *exchange) connectionBroken(ctx context.Context, server string, err error, detail string) attemptResult {
	result := e.incompleteResult(ctx, server, execution.ForwardBroken, connectionLost(detail))
	result.connErr = err
	return result
}

// completeResult returns the result of an attempt whose response the caller has; success is set if
// its status is 2xx.
func completeResult(server string, success bool) attemptResult {
	return attemptResult{complete: true, success: success, ForwardResult: execution.ForwardResult{Server: server, Kind: execution.ForwardComplete}}
}

// incompleteResult returns the result of an attempt without a complete response. It concludes the
// request if its deadline has passed or its caller has disconnected.
func (e *exchange) incompleteResult(ctx context.Context, server string, kind execution.ForwardKind, refusal execution.Refusal) attemptResult {
	result := attemptResult{ForwardResult: execution.ForwardResult{Server: server, Kind: kind, Refusal: refusal, Delivered: e.headersSent}}
	if ctx.Err() == nil {
		return result
	}
	result.Refusal = e.contextRefusal(ctx)
	result.conclusion = e.forward.Abort(result.Refusal, kind != execution.ForwardUnsent && kind != execution.ForwardNotExecuted)
	return result
}

// contextRefusal returns the refusal that states why the request's context has ended.
func (e *exchange) contextRefusal(ctx context.Context) execution.Refusal {
	switch {
	case errors.Is(context.Cause(ctx), errShutdownTimeout):
		return e.shutdownRefusal()
	case errors.Is(ctx.Err(), context.Canceled):
		return execution.Refusal{Code: execution.CodeCallerGone}
	}
	return execution.Refusal{Code: CodeTimeout, Detail: "the request's time has passed", RetryAfter: time.Second}
}

// upstreamRequest builds the request to a server. Method, path, query and body are passed
// unchanged.
func (e *exchange) upstreamRequest(ctx context.Context, choice placement.Choice, reservation *reservation) *http.Request {
	forwarding := platform.Forwarding{Instance: choice.Server.ID, Workspace: e.workspace, Remaining: e.remaining(), Urgency: -1,
		Helpers: reservation.helpers(), LastEventID: e.lastEventID}
	if e.service.Engine != nil {
		forwarding.Urgency = e.urgency()
	}
	request := &http.Request{Method: e.r.Method, Host: e.r.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL:    &url.URL{Scheme: "http", Host: choice.Server.Address, Opaque: e.r.RequestURI},
		Header: platform.ForwardHeaders(e.r.Header, forwarding)}
	if len(e.body) > 0 {
		request.Body, request.ContentLength = io.NopCloser(bytes.NewReader(e.body)), int64(len(e.body))
	}
	return request.WithContext(ctx)
}

// remaining returns the time left of the caller's and the route's timeouts.
func (e *exchange) remaining() time.Duration {
	elapsed := time.Since(e.arrived)
	left := e.route.Timeout - elapsed
	if e.info.Remaining > 0 {
		left = min(left, e.info.Remaining-elapsed)
	}
	return max(left, time.Millisecond)
}

// urgency returns the rank of a prompt at the engines, by its length: a short prompt that waits
// behind a long prefill is late, while a short prefill hardly delays a long prompt. Among prompts
// of similar length the priority of the workspace or route decides.
func (e *exchange) urgency() int {
	rank := min(max(e.priority, 0), ranksPerLength-1)
	switch tokens := e.info.PromptTokens; {
	case tokens <= shortPrompt:
		return rank
	case tokens <= longPrompt:
		return ranksPerLength + rank
	}
	return 2*ranksPerLength + rank
}

// Bounds of the ranks. The supported engines prefill 12,000 tokens in a fifth of a short request's
// target and 60,000 in all of it; they accept ten ranks.
const (
	shortPrompt    = 12_000
	longPrompt     = 60_000
	ranksPerLength = 3
)

// dispatch returns the description of an attempt for the load tables of this entry and its peers.
func (e *exchange) dispatch(choice placement.Choice) placement.Dispatch {
	d := placement.Dispatch{ID: e.takeDispatchID(choice), Server: choice.Server.IncarnationID(), Reserved: choice.Reserved, Lifetime: time.Until(e.deadline)}
	if e.service.Engine != nil {
		d.PromptTokens, d.AnswerTokens, d.Gap = e.info.PromptTokens, e.outputTokens(), e.route.EventGap
		d.Target = max(e.route.Target-time.Since(e.arrived), time.Millisecond)
	}
	if e.s.spiller != nil && choice.Server.ID != "" && choice.Server.Zone != e.s.settings.Zone {
		d.Zone = e.s.settings.Zone
	}
	for _, helper := range choice.Helpers {
		d.Helpers = append(d.Helpers, helper.IncarnationID())
	}
	return d
}

// handleResponse validates the response headers and relays the response.
func (e *exchange) handleResponse(ctx context.Context, choice placement.Choice, sentAt time.Time, progress *firstEventWait, response *http.Response) attemptResult {
	server := choice.Server.IncarnationID()
	e.forward.RecordSend()
	parsed := platform.ParseResponse(response.StatusCode, response.Header)
	if parsed.ID != "" && parsed.ID != e.info.ID {
		e.s.recordFailure(server)
		return e.incompleteResult(ctx, server, execution.ForwardBroken, execution.Refusal{Code: execution.CodeConnectionLost, Detail: "the answer belongs to another request"})
	}
	e.s.recordStatements(time.Now(), choice.Server, sentAt, parsed)
	if parsed.NotExecuted {
		fault := e.s.reportNotExecuted(choice, parsed)
		return e.incompleteResult(ctx, fault, execution.ForwardNotExecuted, execution.Refusal{Code: execution.CodeQueueFull,
			Detail: "the server did not take the request", RetryAfter: e.notExecutedRetryAfter(time.Now())})
	}
	success := response.StatusCode >= 200 && response.StatusCode < 300
	if success && (!parsed.Signed || parsed.Encoded) {
		e.s.recordFailure(server)
		return e.incompleteResult(ctx, server, execution.ForwardBroken, execution.Refusal{Code: execution.CodeEngineFailed, Detail: "the answer is not the server's own"})
	}
	var result attemptResult
	if success && e.route.Streaming {
		result = e.readStream(ctx, choice, progress, response)
	} else {
		result = e.readBuffered(ctx, server, response, success)
		result.wrote = true
	}
	result.unframed = response.ContentLength < 0 && len(response.TransferEncoding) == 0
	return result
}

// minNotExecutedRetryAfter is the Retry-After of a request that a server has not executed while
// other servers take requests.
const minNotExecutedRetryAfter = 200 * time.Millisecond

// notExecutedRetryAfter returns the time after which a caller whose request was not executed should
// retry: when a server takes requests again. What one server asks of this entry does not concern
// callers while there are others.
func (e *exchange) notExecutedRetryAfter(now time.Time) time.Duration {
	e.s.mu.Lock()
	query := e.query(now, nil)
	e.s.mu.Unlock()
	earliest, _ := query.EarliestFree(now)
	return max(e.jitter(earliest), minNotExecutedRetryAfter)
}

// readBuffered buffers a response until it is complete, so that a broken one can be replaced by
// another attempt and never looks complete to the caller.
func (e *exchange) readBuffered(ctx context.Context, server string, response *http.Response, success bool) attemptResult {
	body, err := e.readResponse(response)
	unbuffered := errors.Is(err, callers.ErrMemoryFull) || len(body) > maxBufferedResponse
	if err != nil && !unbuffered {
		e.s.recordFailure(server)
		return e.connectionBroken(ctx, server, err, err.Error())
	}
	buffered := &bufferedResponse{status: response.StatusCode, header: response.Header, body: body}
	if unbuffered && !e.headersSent {
		return e.passOversized(ctx, server, buffered, response.Body, success)
	}
	if success {
		e.s.recordSuccess(server)
		buffered.deliver(e)
		return completeResult(server, true)
	}
	if e.headersSent {
		return e.incompleteResult(ctx, server, execution.ForwardBroken, execution.Refusal{Code: execution.CodeEngineFailed, Detail: response.Status})
	}
	if response.StatusCode >= http.StatusInternalServerError {
		e.s.recordFailure(server)
		result := e.incompleteResult(ctx, server, execution.ForwardFailed, execution.Refusal{Code: execution.CodeEngineFailed, Detail: response.Status})
		result.HasAnswer, result.response = true, buffered
		return result
	}
	buffered.deliver(e)
	return completeResult(server, false)
}

// responseChunkBytes is the first size of the buffer for a response of unknown length.
const responseChunkBytes = 4 << 10

// readResponse reads a response up to one byte beyond maxBufferedResponse, as far as there is memory for it. A response
// without a body may state a length too.
func (e *exchange) readResponse(response *http.Response) ([]byte, error) {
	buffer := callers.BufferSize{First: responseChunkBytes, Most: maxBufferedResponse}
	if response.ContentLength >= 0 && response.ContentLength <= maxBufferedResponse {
		buffer.First = response.ContentLength + 1
	}
	return callers.ReadGrowing(io.LimitReader(response.Body, maxBufferedResponse+1), buffer, func(from, to int64) bool { return e.connection.Reserve(to - from) })
}

// passOversized relays a response that is too large to be buffered, or for which there is no memory.
func (e *exchange) passOversized(ctx context.Context, server string, buffered *bufferedResponse, rest io.Reader, success bool) attemptResult {
	buffered.deliver(e)
	if _, err := io.Copy(e.w, rest); err != nil {
		return e.incompleteResult(ctx, server, execution.ForwardBroken, execution.Refusal{Code: execution.CodeConnectionLost, Detail: err.Error()})
	}
	e.s.recordSuccess(server)
	return completeResult(server, success)
}
