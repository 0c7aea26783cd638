package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

// errMemoryFull is returned if the requests of callers leave no memory for a body.
var errMemoryFull = errors.New("the bodies of open requests take all the memory that they may")

// bodyChunkBytes is the first size of the buffer for a body of unknown length.
const bodyChunkBytes = 64 << 10

// readBody reads a whole body of at most a number of bytes; a negative length means unknown. See readGrowing.
func readBody(in io.Reader, length, most int64, reserve func(from, to int64) bool) ([]byte, error) {
	if length < 0 {
		return readGrowing(in, bufferSize{bodyChunkBytes, most}, reserve)
	}
	if !reserve(0, length) {
		return nil, errMemoryFull
	}
	body := make([]byte, length)
	_, err := io.ReadFull(in, body)
	return body, err
}

// bufferSize is the size of a buffer that grows, in bytes.
type bufferSize struct {
	// first is its first size; most is the size of the data at which it is no longer needed.
	first, most int64
}

// next returns the size of the buffer after it was full at the given one: the double, or all that is allowed if that
// is less than what would follow.
func (b bufferSize) next(size int64) int64 {
	if size == 0 {
		return min(b.first, b.most+1)
	}
	if 4*size > b.most {
		return b.most + 1
	}
	return 2 * size
}

// readGrowing reads data to its end, or to more than is allowed. reserve is called before the buffer grows from one
// size to another; if it reports false, the data so far is returned with errMemoryFull.
func readGrowing(in io.Reader, buffer bufferSize, reserve func(from, to int64) bool) ([]byte, error) {
	var data []byte
	for {
		if len(data) == cap(data) {
			size := buffer.next(int64(cap(data)))
			if !reserve(int64(cap(data)), size) {
				return data, errMemoryFull
			}
			data = append(make([]byte, 0, size), data...)
		}
		n, err := in.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil || int64(len(data)) > buffer.most {
			return data, err
		}
	}
}

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
