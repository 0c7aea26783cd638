package execution

import (
	"cmp"
	"slices"
	"time"
)

// minUnreadTime is the time for which a stream may take no frame before its frames can be dropped for those of others.
const minUnreadTime = time.Second

// minSentLength is the length up to which the list of sent attempts is not cleared of removed ones.
const minSentLength = 64

// Retained bounds the frames that a host keeps of all responses, in bytes. When the limit is reached, frames are dropped of
// responses that have been sent and are kept only in case their streams broke, then of those that are not read. It is a
// pure state machine: callers pass the time, drop the frames of the attempts that a method returns, and serialize the
// calls.
type Retained struct {
	limit, total int64
	attempts     map[AttemptID]*retainedAttempt
	// sent are the attempts whose last frame has been sent, the oldest first. Some may have been removed since.
	sent []AttemptID
}

type retainedAttempt struct {
	bytes int64
	// waitingSince is the time since which the stream has taken no frame; zero while it takes them.
	waitingSince time.Time
}

// NewRetained returns an account without frames.
func NewRetained(limit int64) *Retained {
	return &Retained{limit: limit, attempts: map[AttemptID]*retainedAttempt{}}
}

// Reserve sets memory aside for a frame of an attempt. It returns the attempts whose frames are dropped for it, and false if
// that makes too little room.
func (r *Retained) Reserve(now time.Time, id AttemptID, bytes int64) (dropped []AttemptID, ok bool) {
	for r.total+bytes > r.limit && len(r.sent) > 0 {
		victim := r.sent[0]
		r.sent = r.sent[1:]
		if r.attempts[victim] != nil {
			r.Remove(victim)
			dropped = append(dropped, victim)
		}
	}
	if r.total+bytes > r.limit {
		unread, ok := r.unreadFor(now, id, r.total+bytes-r.limit)
		if !ok {
			return dropped, false
		}
		for _, victim := range unread {
			r.Remove(victim)
		}
		dropped = append(dropped, unread...)
	}
	r.Hold(id, bytes)
	return dropped, true
}

// unreadFor returns attempts that are not read and hold the missing bytes together, the largest first; false if all of them
// hold less.
func (r *Retained) unreadFor(now time.Time, except AttemptID, missing int64) ([]AttemptID, bool) {
	var ids []AttemptID
	held := int64(0)
	for id, a := range r.attempts {
		if id != except && !a.waitingSince.IsZero() && now.Sub(a.waitingSince) >= minUnreadTime {
			ids = append(ids, id)
			held += a.bytes
		}
	}
	if held < missing {
		return nil, false
	}
	slices.SortFunc(ids, func(a, b AttemptID) int { return cmp.Compare(r.attempts[b].bytes, r.attempts[a].bytes) })
	for i, id := range ids {
		if missing -= r.attempts[id].bytes; missing <= 0 {
			return ids[:i+1], true
		}
	}
	return ids, true
}

// Hold adds bytes to an attempt without regard to the limit.
func (r *Retained) Hold(id AttemptID, bytes int64) {
	a := r.attempts[id]
	if a == nil {
		a = &retainedAttempt{}
		r.attempts[id] = a
	}
	a.bytes += bytes
	r.total += bytes
}

// Release takes bytes from an attempt.
func (r *Retained) Release(id AttemptID, bytes int64) {
	if r.attempts[id] != nil {
		r.Hold(id, -bytes)
	}
}

// Waits records that a frame waits for the stream of an attempt, or for another stream if it broke.
func (r *Retained) Waits(now time.Time, id AttemptID) {
	if a := r.attempts[id]; a != nil {
		a.waitingSince = now
	}
}

// Takes records that the stream of an attempt has taken its frames.
func (r *Retained) Takes(id AttemptID) {
	if a := r.attempts[id]; a != nil {
		a.waitingSince = time.Time{}
	}
}

// Sent records that the last frame of an attempt has been sent.
func (r *Retained) Sent(id AttemptID) {
	if a := r.attempts[id]; a != nil {
		a.waitingSince = time.Time{}
		r.sent = append(r.sent, id)
	}
}

// Remove removes an attempt with its bytes.
func (r *Retained) Remove(id AttemptID) {
	if a := r.attempts[id]; a != nil {
		r.total -= a.bytes
		delete(r.attempts, id)
	}
	if len(r.sent) > 2*len(r.attempts)+minSentLength {
		r.sent = slices.DeleteFunc(r.sent, func(id AttemptID) bool { return r.attempts[id] == nil })
	}
}

// Bytes returns the bytes of all attempts.
func (r *Retained) Bytes() int64 { return r.total }
