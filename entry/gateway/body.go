package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

// bodyLimit returns the longest body that a caller may send, in bytes.
func (e *exchange) bodyLimit() int64 {
	if e.table != nil && e.table.Limits().BodyBytes > 0 {
		return e.table.Limits().BodyBytes
	}
	return defaultBodyBytes
}

const (
	// discardTime bounds the time in which the next discardBytes of a refused request's body have to
	// arrive. A bound on the whole rest reset callers that send megabytes over a slow connection.
	discardTime  = 2 * time.Second
	discardBytes = 64 << 10
)

// discardBody reads the rest of a refused request's body, in bounds of bytes and time, and keeps
// nothing of it. If the connection were closed before, it would be reset, and a caller that is still
// sending would lose the response.
func (e *exchange) discardBody() {
	if e.r.Header.Get("Expect") != "" {
		return // the caller sends no body after a refusal
	}
	defer e.endReadOnAbort()()
	refusedAt := time.Now()
	for left := e.bodyLimit(); left > 0; left -= discardBytes {
		e.setDeadline((*http.ResponseController).SetReadDeadline, e.discardDeadline(refusedAt))
		if e.s.manager.Aborting().Err() != nil {
			return // the deadline of endReadOnAbort may just have been replaced
		}
		_, err := io.CopyN(io.Discard, e.r.Body, min(left, discardBytes))
		if errors.Is(err, io.EOF) {
			e.clearReadDeadline()
			return
		}
		if err != nil {
			e.s.log.WithError(err).WithField("request", e.info.ID).Debug("reading the rest of a refused request failed")
			return
		}
	}
}

// discardDeadline returns the time by which the next part of a refused body has to arrive. A request
// without a deadline, which has no route or no valid key, has discardTime for the whole rest.
func (e *exchange) discardDeadline(refusedAt time.Time) time.Time {
	next, last := time.Now().Add(discardTime), refusedAt.Add(discardTime)
	if e.deadline.After(last) {
		last = e.deadline
	}
	if next.After(last) {
		return last
	}
	return next
}

// responseWriteSlack bounds the time after the request's deadline in which the rest of its response
// is written to the caller.
const responseWriteSlack = 200 * time.Millisecond

// refusalWriteTimeout bounds the writing of the response to a request that is refused before it has a deadline.
const refusalWriteTimeout = 5 * time.Second

// setIODeadlines bounds the time to read the body and to write the response. A caller that stops
// sending or reading would otherwise hold its request and its memory indefinitely.
func (e *exchange) setIODeadlines() {
	e.setDeadline((*http.ResponseController).SetReadDeadline, e.deadline)
	e.setDeadline((*http.ResponseController).SetWriteDeadline, e.deadline.Add(responseWriteSlack))
}

// clearReadDeadline removes the read deadline: the HTTP server keeps reading from the connection to
// detect that the caller disconnects.
func (e *exchange) clearReadDeadline() {
	e.setDeadline((*http.ResponseController).SetReadDeadline, time.Time{})
}

// endReadOnAbort ends a read from the caller at the shutdown timeout, until the returned function is
// called.
func (e *exchange) endReadOnAbort() (stop func() bool) {
	return context.AfterFunc(e.s.manager.Aborting(), func() { e.setDeadline((*http.ResponseController).SetReadDeadline, time.Now()) })
}

func (e *exchange) setDeadline(set func(*http.ResponseController, time.Time) error, at time.Time) {
	if err := set(http.NewResponseController(e.w), at); err != nil {
		e.s.log.WithError(err).WithField("request", e.info.ID).Warn("setting a deadline on the caller's connection failed")
	}
}
