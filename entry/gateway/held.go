package gateway

import (
	"errors"
	"io"
	"net/http"
	"time"

	"arbutusdeck/core/admission"
)

// bodyMemoryShare is the part of the process's memory that the bodies of open requests may take. Each is held until its
// request is over, since another try may need it.
const bodyMemoryShare = 0.35

// errBodiesFull says that the bodies of open requests leave no room for another one.
var errBodiesFull = errors.New("the bodies of open requests take all the memory that they may")

// bodyBuffer is a body under way, and what it has reserved.
type bodyBuffer struct {
	budget   *admission.ByteBudget
	reserved int64
}

// bodyChunkBytes is how much is reserved at a time for a body whose length is not told.
const bodyChunkBytes = 64 << 10

// read reads a whole body; its length is negative if it is not told. It returns errBodiesFull where there is no room.
func (b *bodyBuffer) read(in io.Reader, length int64) ([]byte, error) {
	if length >= 0 {
		if !b.reserve(length) {
			return nil, errBodiesFull
		}
		body := make([]byte, length)
		_, err := io.ReadFull(in, body)
		return body, err
	}
	var body []byte
	for {
		if !b.reserve(bodyChunkBytes) {
			return nil, errBodiesFull
		}
		chunk, err := io.ReadAll(io.LimitReader(in, bodyChunkBytes))
		body = append(body, chunk...)
		if err != nil || len(chunk) < bodyChunkBytes {
			return body, err
		}
	}
}

func (b *bodyBuffer) reserve(count int64) bool {
	if !b.budget.Take(count) {
		return false
	}
	b.reserved += count
	return true
}

// release gives back what the body has reserved.
func (b *bodyBuffer) release() {
	b.budget.Give(b.reserved)
	b.reserved = 0
}

// responseWriteSlack is how long after the request's time the last bytes of its answer may take to go out to a caller.
const responseWriteSlack = 200 * time.Millisecond

// setIODeadlines bounds the reading of the body, and the writing of the answer: a caller that stops to send or to read would
// otherwise hold its request, and what it takes of the memory, for as long as it likes.
func (e *exchange) setIODeadlines() {
	e.setDeadline((*http.ResponseController).SetReadDeadline, e.deadline)
	e.setDeadline((*http.ResponseController).SetWriteDeadline, e.deadline.Add(responseWriteSlack))
}

// clearReadDeadline lifts the bound on reading: the server goes on reading from the connection to notice that it ends.
func (e *exchange) clearReadDeadline() {
	e.setDeadline((*http.ResponseController).SetReadDeadline, time.Time{})
}

func (e *exchange) setDeadline(set func(*http.ResponseController, time.Time) error, at time.Time) {
	if err := set(http.NewResponseController(e.w), at); err != nil {
		e.s.log.WithError(err).WithField("request", e.info.ID).Warn("the times of a caller's connection could not be bounded")
	}
}
