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

	"arbutusdeck/core/callers"
	"arbutusdeck/core/execution"
	"arbutusdeck/core/placement"
	"arbutusdeck/platform"
)

const (
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// eventCopies is the number of copies of an event that are held while its buffer grows.
	eventCopies = 2
)

var errEventTooLarge = errors.New("an event of the stream is too large")

// eventReader splits a stream into whole events, so that a server that fails in the middle of an
// event leaves no partial event with the caller.
type eventReader struct {
	in *bufio.Reader
	// reserve reserves memory for the buffer of an event, of which reserved bytes are.
	reserve  func(bytes int64) bool
	reserved int64
}

// usualEventBytes is the size of an event without a reservation.
const usualEventBytes = 4 << 10

func newEventReader(in io.Reader, reserve func(bytes int64) bool) *eventReader {
	return &eventReader{in: bufio.NewReader(in), reserve: reserve, reserved: usualEventBytes}
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
		if err := r.makeRoom(len(raw) + len(line)); err != nil {
			return event{}, err
		}
		raw = append(raw, line...)
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 && err == nil {
			return event{raw: raw, id: id}, nil
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = strings.TrimSpace(string(value))
		}
	}
}

// makeRoom reserves the memory of an event of a size.
func (r *eventReader) makeRoom(size int) error {
	if size > maxEventBytes {
		return errEventTooLarge
	}
	if needed := int64(size) * eventCopies; needed > r.reserved {
		if !r.reserve(needed - r.reserved) {
			return callers.ErrMemoryFull
		}
		r.reserved = needed
	}
	return nil
}

// readStream relays events as they arrive. The headers of the first server remain those of the
// response, even if another server resumes the stream.
func (e *exchange) readStream(ctx context.Context, choice placement.Choice, progress *firstEventWait, response *http.Response) attemptResult {
	server := choice.Server.IncarnationID()
	reader := newEventReader(response.Body, e.connection.Reserve)
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
			if ctx.Err() == nil && !errors.Is(err, callers.ErrMemoryFull) {
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
