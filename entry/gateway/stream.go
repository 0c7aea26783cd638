package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"arbutusdeck/core/execution"
	"arbutusdeck/core/placement"
	"arbutusdeck/platform"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

var errEventTooLarge = errors.New("an event of the stream is too large")

// eventReader splits a stream into whole events, so that a server that fails in the middle of an
// event leaves no partial event with the caller.
type eventReader struct {
	in *bufio.Reader
}

// event is one event as received, with the blank line that ends it.
type event struct {
	raw []byte
	id  string
}

// next returns the next event. It returns io.EOF if the stream ended after a whole event, and any
// other error if it broke.
func (r *eventReader) next() (event, error) {
	var raw []byte
	id := ""
	for {
		line, err := r.in.ReadSlice('\n')
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			if errors.Is(err, io.EOF) && len(raw)+len(line) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return event{}, err
		}
		raw = append(raw, line...)
		if len(raw) > maxEventBytes {
			return event{}, errEventTooLarge
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 && err == nil {
			return event{raw: raw, id: id}, nil
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = strings.TrimSpace(string(value))
		}
	}
}

// readStream relays events as they arrive. The headers of the first server remain those of the
// response, even if another server resumes the stream.
func (e *exchange) readStream(ctx context.Context, choice placement.Choice, progress *firstEventWait, response *http.Response) attemptResult {
	server := choice.Server.IncarnationID()
	reader := &eventReader{in: bufio.NewReader(response.Body)}
	controller := http.NewResponseController(e.w)
	firstEventAt := time.Time{}
	for {
		ev, err := reader.next()
		if errors.Is(err, io.EOF) {
			e.s.recordSuccess(server)
			e.sendStreamHeaders(response)
			result := completeResult(server, true)
			result.wrote = !firstEventAt.IsZero()
			return result
		}
		if err != nil {
			if ctx.Err() == nil {
				e.s.recordFailure(server)
			}
			result := e.connectionBroken(ctx, server, err, fmt.Sprintf("stream: %v", err))
			result.firstEventAt = firstEventAt
			return result
		}
		if firstEventAt.IsZero() {
			firstEventAt = time.Now()
			e.phase.set(phaseAnswering)
			progress.arrived()
			e.s.trackFirstEvent(progress.dispatch)
		}
		e.sendStreamHeaders(response)
		if err := e.writeEvent(controller, ev); err != nil {
			return e.incompleteResult(ctx, server, execution.ForwardBroken, execution.Refusal{Code: execution.CodeCallerGone, Detail: err.Error()})
		}
	}
}

func (e *exchange) sendStreamHeaders(response *http.Response) {
	if !e.headersSent {
		platform.CopyResponseHeaders(e.w.Header(), response.Header)
		e.sendHeaders(response.StatusCode)
	}
}

func (e *exchange) writeEvent(controller *http.ResponseController, ev event) error {
	if _, err := e.w.Write(ev.raw); err != nil {
		return err
	}
	if err := controller.Flush(); err != nil {
		return err
	}
	if ev.id != "" {
		e.lastEventID = ev.id
	}
	now := time.Now()
	if e.eventCount == 0 {
		e.firstByteAt = now
	} else {
		e.longestGap = max(e.longestGap, now.Sub(e.lastEventAt))
	}
	e.lastEventAt = now
	e.eventCount++
	return nil
}
