package gateway

import (
	"errors"
	"io"
	"net/http"
	"time"

	"arbutusdeck/core/admission"
)

// bodyShare is the part of the process's memory that the bodies of open requests may take. Each is held until its
// request is over, since another try may need it.
const bodyShare = 0.35

// errBodiesFull says that the bodies of open requests leave no room for another one.
var errBodiesFull = errors.New("the bodies of open requests take all the memory that they may")

// heldBody is a body under way, and what it has reserved.
type heldBody struct {
	budget *admission.ByteBudget
	taken  int64
}

// chunkBytes is how much is reserved at a time for a body whose length is not told.
const chunkBytes = 64 << 10

// read reads a whole body; its length is negative if it is not told. It returns errBodiesFull where there is no room.
func (b *heldBody) read(in io.Reader, length int64) ([]byte, error) {
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
		if !b.reserve(chunkBytes) {
			return nil, errBodiesFull
		}
		chunk, err := io.ReadAll(io.LimitReader(in, chunkBytes))
		body = append(body, chunk...)
		if err != nil || len(chunk) < chunkBytes {
			return body, err
		}
	}
}

func (b *heldBody) reserve(count int64) bool {
	if !b.budget.Reserve(count) {
		return false
	}
	b.taken += count
	return true
}

// release gives back what the body has reserved.
func (b *heldBody) release() {
	b.budget.Release(b.taken)
	b.taken = 0
}

// answerSlack is how long after the request's time the last bytes of its answer may take to go out to a caller.
const answerSlack = 200 * time.Millisecond

// limitTimes bounds the reading of the body, and the writing of the answer: a caller that stops to send or to read would
// otherwise hold its request, and what it takes of the memory, for as long as it likes.
func (e *exchange) limitTimes() {
	e.setDeadline((*http.ResponseController).SetReadDeadline, e.deadline)
	e.setDeadline((*http.ResponseController).SetWriteDeadline, e.deadline.Add(answerSlack))
}

// bodyIsRead lifts the bound on reading: the server goes on reading from the connection to notice that it ends.
func (e *exchange) bodyIsRead() {
	e.setDeadline((*http.ResponseController).SetReadDeadline, time.Time{})
}

func (e *exchange) setDeadline(set func(*http.ResponseController, time.Time) error, at time.Time) {
	if err := set(http.NewResponseController(e.w), at); err != nil {
		e.s.log.WithError(err).WithField("request", e.info.ID).Warn("the times of a caller's connection could not be bounded")
	}
}
