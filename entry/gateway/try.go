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

	"arbutusdeck/core/execution"
	"arbutusdeck/core/placement"
	"arbutusdeck/platform"
)

// tryResult is how one try ended.
type tryResult struct {
	execution.ForwardResult
	// over says that the caller has its whole answer, success that it tells of success.
	over, success bool
	// conclusion is set if the request itself is over: its time has passed or
	// the caller has left.
	conclusion *execution.Conclusion
	// answer is a server's own failure, which the caller may get.
	answer *heldAnswer
	// answerBegan is when this try's first event came; zero without any.
	answerBegan time.Time
	// lost is what the connection to the server broke with; nil if it didn't.
	lost error
	// brokenOffHere says that this entry ended the try, not the server.
	brokenOffHere bool
	// serverEnded says that the server's process was gone when the try had ended.
	serverEnded bool
}

// heldAnswer is a whole plain answer.
type heldAnswer struct {
	status int
	header http.Header
	body   []byte
}

func (a *heldAnswer) deliver(e *exchange) {
	platform.CopyResponseHeaders(e.w.Header(), a.header)
	e.begin(a.status)
	if _, err := e.w.Write(a.body); err != nil {
		e.s.log.WithError(err).WithField("request", e.info.ID).Debug("the caller was gone before its answer")
	}
}

// begin sends the answer's status and headers, once.
func (e *exchange) begin(status int) {
	if e.begun {
		return
	}
	e.begun = true
	e.phase.set(phaseAnswering)
	if e.firstAt.IsZero() {
		e.firstAt = time.Now()
	}
	e.writeHeader(status)
}

// writeHeader sends the status and headers. Callers of an entry that stops are to go elsewhere next.
func (e *exchange) writeHeader(status int) {
	if e.s.stopping.Load() != nil {
		e.w.Header().Set("Connection", "close")
	}
	e.w.WriteHeader(status)
}

// try sends the request to the chosen server and passes its answer on.
func (e *exchange) try(ctx context.Context, choice placement.Choice) (result tryResult) {
	server := choice.Server
	sending, cancel := context.WithCancel(ctx)
	defer cancel()
	defer func() { result.brokenOffHere = sending.Err() != nil && ctx.Err() == nil }()
	dispatch := e.dispatch(choice)
	e.phase.set(phaseReserving)
	reservation, err := e.s.reserve(ctx, dispatch.ID, choice)
	if err != nil {
		// Another zone's entry that gave the place has it in its book.
		e.s.bookEnd(booking{id: dispatch.ID, far: e.s.peers.farZones(choice)})
		return e.ended(ctx, server.IncarnationID(), execution.ForwardUnsent, execution.Refusal{Code: execution.CodeQueueFull, Detail: err.Error(), RetryAfter: time.Second})
	}
	defer func() {
		released := reservation.end()
		if !result.over {
			e.phase.set(phaseReleasing)
			waitReleased(ctx, released)
		}
	}()
	reservation.watch(cancel)
	stall := e.watchStall(sending, choice, cancel)
	defer stall.end()
	booked := e.s.bookBegin(dispatch, choice, e.service.Engine)
	defer e.s.bookEnd(booked)
	request := e.upstream(sending, choice, reservation)
	e.phase.set(phaseSent)
	response, err := e.s.transport.RoundTrip(request)
	if err != nil {
		return e.noAnswer(ctx, server.IncarnationID(), err)
	}
	defer response.Body.Close()
	return e.readAnswer(ctx, choice, &progress{reservation, stall, booked}, response)
}

// waitReleased waits until the memory of a failed try is free again. The next try may need
// it at the same servers, which would refuse.
func waitReleased(ctx context.Context, released <-chan struct{}) {
	timer := time.NewTimer(orderTimeout)
	defer timer.Stop()
	select {
	case <-released:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// noAnswer handles a try that brought no headers.
func (e *exchange) noAnswer(ctx context.Context, server string, err error) tryResult {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		if ctx.Err() == nil {
			e.s.unreachable(server)
		}
		return e.ended(ctx, server, execution.ForwardUnsent, lostConnection(err.Error()))
	}
	e.core.Sending()
	switch {
	case ctx.Err() != nil:
	case errors.Is(err, context.Canceled):
		e.s.serverFailed(server) // this entry broke the try off: the server is stalled
	default:
		// A server that went down resets connections or closes them before it answers.
		e.s.unreachable(server)
	}
	return e.broken(ctx, server, err, err.Error())
}

// lostConnection is the cause of a try whose connection could not be made, or broke.
func lostConnection(detail string) execution.Refusal {
	return execution.Refusal{Code: execution.CodeConnectionLost, Detail: detail, RetryAfter: 200 * time.Millisecond}
}

// broken is the end of a try whose connection broke before the answer was whole.
func (e *exchange) broken(ctx context.Context, server string, err error, detail string) tryResult {
	result := e.ended(ctx, server, execution.ForwardBroken, lostConnection(detail))
	result.lost = err
	return result
}

// wholeAnswer is the end of a try whose answer the caller has; success says that it tells of
// success.
func wholeAnswer(server string, success bool) tryResult {
	return tryResult{over: true, success: success, ForwardResult: execution.ForwardResult{Server: server, Kind: execution.ForwardComplete}}
}

// ended turns the end of a try into a result; a request whose time has passed or
// whose caller has left is over.
func (e *exchange) ended(ctx context.Context, server string, kind execution.ForwardKind, refusal execution.Refusal) tryResult {
	result := tryResult{ForwardResult: execution.ForwardResult{Server: server, Kind: kind, Refusal: refusal, Delivered: e.begun}}
	if ctx.Err() == nil {
		return result
	}
	result.Refusal = e.endedRefusal(ctx)
	result.conclusion = e.core.GiveUp(result.Refusal, kind != execution.ForwardUnsent && kind != execution.ForwardNotExecuted)
	return result
}

// endedRefusal says why a request's context is over.
func (e *exchange) endedRefusal(ctx context.Context) execution.Refusal {
	switch {
	case errors.Is(context.Cause(ctx), errStopLimit):
		return e.stopRefusal()
	case errors.Is(ctx.Err(), context.Canceled):
		return execution.Refusal{Code: execution.CodeCallerGone}
	}
	return execution.Refusal{Code: CodeTimeout, Detail: "the request's time has passed", RetryAfter: time.Second}
}

// upstream builds the request for a server. Method, path, query and body are the
// caller's to the letter.
func (e *exchange) upstream(ctx context.Context, choice placement.Choice, reservation *reservation) *http.Request {
	forwarding := platform.Forwarding{Instance: choice.Server.ID, Workspace: e.workspace, Remaining: e.remaining(), Urgency: -1,
		Helpers: reservation.helpers(), LastEventID: e.lastEvent}
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

// remaining is what the caller and the route still wait.
func (e *exchange) remaining() time.Duration {
	spent := time.Since(e.arrived)
	left := e.route.Timeout - spent
	if e.info.Remaining > 0 {
		left = min(left, e.info.Remaining-spent)
	}
	return max(left, time.Millisecond)
}

// urgency ranks a prompt at the engines by its length: a short one that waits
// behind a long read is late, a long one hardly notices a short read before it.
// Among prompts alike the workspace's or the route's own rank decides.
func (e *exchange) urgency() int {
	own := min(max(e.priority, 0), ranksPerLength-1)
	switch tokens := e.info.PromptTokens; {
	case tokens <= shortPrompt:
		return own
	case tokens <= longPrompt:
		return ranksPerLength + own
	}
	return 2*ranksPerLength + own
}

// Bounds of the ranks. With the users' engines 12,000 tokens are read in a fifth of
// a short request's target, 60,000 in the whole of it; the engines know ten ranks.
const (
	shortPrompt    = 12_000
	longPrompt     = 60_000
	ranksPerLength = 3
)

// dispatch is what the book and the other entries are told of a try.
func (e *exchange) dispatch(choice placement.Choice) placement.Dispatch {
	d := placement.Dispatch{ID: e.takePlaced(choice), Server: choice.Server.IncarnationID(), Reserved: choice.Reserved, Lifetime: time.Until(e.deadline)}
	if e.service.Engine != nil {
		d.PromptTokens, d.AnswerTokens, d.Gap = e.info.PromptTokens, e.answerTokens(), e.route.EventGap
		d.Target = max(e.route.Target-time.Since(e.arrived), time.Millisecond)
	}
	for _, helper := range choice.Helpers {
		d.Helpers = append(d.Helpers, helper.IncarnationID())
	}
	return d
}

// readAnswer judges the headers of an answer and passes it on.
func (e *exchange) readAnswer(ctx context.Context, choice placement.Choice, progress *progress, response *http.Response) tryResult {
	server := choice.Server.IncarnationID()
	e.core.Sending()
	answer := platform.ParseResponse(response.StatusCode, response.Header)
	if answer.ID != "" && answer.ID != e.info.ID {
		e.s.serverFailed(server)
		return e.ended(ctx, server, execution.ForwardBroken, execution.Refusal{Code: execution.CodeConnectionLost, Detail: "the answer belongs to another request"})
	}
	if answer.NotExecuted {
		fault := e.s.notExecuted(choice, answer)
		return e.ended(ctx, fault, execution.ForwardNotExecuted, execution.Refusal{Code: execution.CodeQueueFull,
			Detail: "the server did not take the request", RetryAfter: max(answer.RetryAfter, 200*time.Millisecond)})
	}
	success := response.StatusCode >= 200 && response.StatusCode < 300
	if success && (!answer.Signed || answer.Encoded) {
		e.s.serverFailed(server)
		return e.ended(ctx, server, execution.ForwardBroken, execution.Refusal{Code: execution.CodeEngineFailed, Detail: "the answer is not the server's own"})
	}
	if success && e.route.Streaming {
		return e.readStream(ctx, choice, progress, response)
	}
	return e.readPlain(ctx, server, response, success)
}

// readPlain holds an answer until it is whole. A broken one can then be replaced
// by another try, and never looks complete.
func (e *exchange) readPlain(ctx context.Context, server string, response *http.Response, success bool) tryResult {
	body, err := io.ReadAll(io.LimitReader(response.Body, bufferedAnswer+1))
	if err != nil {
		e.s.serverFailed(server)
		return e.broken(ctx, server, err, err.Error())
	}
	held := &heldAnswer{status: response.StatusCode, header: response.Header, body: body}
	if len(body) > bufferedAnswer {
		return e.passLarge(ctx, server, held, response.Body, success)
	}
	if success {
		e.s.serverSucceeded(server)
		held.deliver(e)
		return wholeAnswer(server, true)
	}
	if e.begun {
		return e.ended(ctx, server, execution.ForwardBroken, execution.Refusal{Code: execution.CodeEngineFailed, Detail: response.Status})
	}
	if response.StatusCode >= http.StatusInternalServerError {
		e.s.serverFailed(server)
		result := e.ended(ctx, server, execution.ForwardFailed, execution.Refusal{Code: execution.CodeEngineFailed, Detail: response.Status})
		result.Answer, result.answer = true, held
		return result
	}
	held.deliver(e)
	return wholeAnswer(server, false)
}

// passLarge passes on an answer that is too large to be held.
func (e *exchange) passLarge(ctx context.Context, server string, held *heldAnswer, rest io.Reader, success bool) tryResult {
	held.deliver(e)
	if _, err := io.Copy(e.w, rest); err != nil {
		return e.ended(ctx, server, execution.ForwardBroken, execution.Refusal{Code: execution.CodeConnectionLost, Detail: err.Error()})
	}
	e.s.serverSucceeded(server)
	return wholeAnswer(server, success)
}
