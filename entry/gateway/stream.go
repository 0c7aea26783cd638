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

// eventReader cuts a stream into whole events. A server that breaks off in the
// midst of an event must not leave half of one with the caller.
type eventReader struct {
	in *bufio.Reader
}

// event is one event as it was written, with the blank line that ends it.
type event struct {
	raw []byte
	id  string
}

// next returns the next whole event. io.EOF says that the stream has ended after a
// whole event; any other error that it broke.
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

// readStream passes events on as they come. The headers of the first server stay
// those of the whole answer, also if another one goes on with it.
func (e *exchange) readStream(ctx context.Context, choice placement.Choice, progress *progress, response *http.Response) tryResult {
	server := choice.Server.IncarnationID()
	reader := &eventReader{in: bufio.NewReader(response.Body)}
	controller := http.NewResponseController(e.w)
	began := time.Time{}
	for {
		ev, err := reader.next()
		if errors.Is(err, io.EOF) {
			e.s.serverSucceeded(server)
			e.beginStream(response)
			return wholeAnswer(server, true)
		}
		if err != nil {
			if ctx.Err() == nil {
				e.s.serverFailed(server)
			}
			result := e.broken(ctx, server, err, fmt.Sprintf("stream: %v", err))
			result.answerBegan = began
			return result
		}
		if began.IsZero() {
			began = time.Now()
			e.phase.set(phaseAnswering)
			progress.first()
			e.s.bookFirst(progress.booked)
		}
		e.beginStream(response)
		if err := e.passEvent(controller, ev); err != nil {
			return e.ended(ctx, server, execution.ForwardBroken, execution.Refusal{Code: execution.CodeCallerGone, Detail: err.Error()})
		}
	}
}

func (e *exchange) beginStream(response *http.Response) {
	if !e.begun {
		platform.CopyResponseHeaders(e.w.Header(), response.Header)
		e.begin(response.StatusCode)
	}
}

func (e *exchange) passEvent(controller *http.ResponseController, ev event) error {
	if _, err := e.w.Write(ev.raw); err != nil {
		return err
	}
	if err := controller.Flush(); err != nil {
		return err
	}
	if ev.id != "" {
		e.lastEvent = ev.id
	}
	now := time.Now()
	if e.events == 0 {
		e.firstAt = now
	} else {
		e.longestGap = max(e.longestGap, now.Sub(e.eventAt))
	}
	e.eventAt = now
	e.events++
	return nil
}
