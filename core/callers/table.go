// Package callers bounds what callers make a daemon hold: descriptors, and the memory of connections, parsed headers,
// bodies and buffered responses. When a limit is reached, connections that are idle, slow or unfinished are closed
// before new ones are refused; a request that is being answered is never ended for another one.
//
// Table decides; Listener wraps the connections of an HTTP server and carries the decisions out.
package callers

import (
	"maps"
	"slices"
	"time"
)

// Phase classifies the present use of a connection.
type Phase uint8

// Phases of a connection.
const (
	New       Phase = iota // nothing has been received
	Idle                   // between two requests
	Headers                // receiving the headers of a request
	Body                   // receiving the body of a request
	Answering              // processing a request, or writing its response
	Blocked                // as Answering, and a write waits for the caller to read
	Duplex                 // as Answering, while the body is received
	Closed                 // closed by the table
)

// Limits bound the connections of a listener.
type Limits struct {
	// Connections is the number of open connections.
	Connections int
	// Memory is what all connections and their requests hold, in bytes.
	Memory int64
	// LargeBodies is the part of Memory, in bytes, for bodies larger than SmallBodyBytes. The rest is left to other
	// requests.
	LargeBodies int64
}

// SmallBodyBytes is the size up to which a body doesn't count toward Limits.LargeBodies.
const SmallBodyBytes = 64 << 10

// Timeouts bound the phases of a connection; 0 means no limit.
type Timeouts struct {
	// Headers is the time to receive the headers of a request, Idle the time without a request.
	Headers, Idle time.Duration
}

// Memory of a connection in bytes.
const (
	// ReceiveBufferBytes and SendBufferBytes are the sizes of the kernel's buffers of a connection. With its own data
	// the kernel takes twice as much.
	ReceiveBufferBytes = 16 << 10
	SendBufferBytes    = 32 << 10
	// wideBufferBytes is the size of the receive buffer while a large body arrives.
	wideBufferBytes = 128 << 10
	// ConnectionBytes is held by every connection: the receive buffer, the stack of a goroutine and the two buffers of
	// net/http.
	ConnectionBytes = 2*ReceiveBufferBytes + 16<<10
	// ServerReceiveBytes is the size of the kernel's receive buffer of the connection to a server, which fills while the
	// caller doesn't read.
	ServerReceiveBytes = 32 << 10
	// RequestBytes is held besides by a request: the send buffer, and the connection to a server with its receive buffer,
	// two goroutines and their buffers.
	RequestBytes = 2*SendBufferBytes + 2*ServerReceiveBytes + 32<<10
	// fieldBytes is held by a parsed header field besides its text, by the request and its copy to a server: an entry
	// of a map with its key, and a slice of one value.
	fieldBytes = 320
	// textCopies is the number of copies that are held of the text of the headers.
	textCopies = 2
)

// HeaderCost returns the memory of parsed headers, in bytes.
func HeaderCost(textBytes, fields int) int64 {
	return int64(textBytes)*textCopies + int64(fields)*fieldBytes
}

// Times after which a connection counts as slow.
const (
	// minBodyTime is the time for which a body may arrive before it can be ended for another request.
	minBodyTime = time.Second
	// minBlockedTime is the same for a caller that reads nothing of its response.
	minBlockedTime = time.Second
)

// entry is the state of one connection.
type entry struct {
	phase Phase
	// since is the time at which the phase began, received the bytes of the body since then.
	since    time.Time
	received int64
	// held is the memory of the connection and its request, largeBody the part that counts toward LargeBodies.
	held, largeBody int64
}

// Table holds the connections of a listener, identified by K. It is a pure state machine: callers pass the time, close
// the connections that a method returns, and serialize the calls.
type Table[K comparable] struct {
	limits              Limits
	entries             map[K]*entry
	memory, largeBodies int64
}

// NewTable returns an empty table.
func NewTable[K comparable](limits Limits) *Table[K] {
	return &Table[K]{limits: limits, entries: map[K]*entry{}}
}

// SetLimits replaces the limits. Connections beyond them stay open.
func (t *Table[K]) SetLimits(limits Limits) { t.limits = limits }

// Open adds a new connection. It returns the connections to close in its place, and false if the new one is refused.
func (t *Table[K]) Open(now time.Time, key K) (shed []K, ok bool) {
	e := &entry{phase: New, since: now}
	missing := usage{connections: len(t.entries) + 1 - t.limits.Connections, memory: t.memory + ConnectionBytes - t.limits.Memory}
	if shed, ok = t.makeRoom(now, e, missing); !ok {
		return nil, false
	}
	t.entries[key] = e
	t.hold(e, ConnectionBytes, 0)
	return shed, true
}

// Remove removes a connection that has been closed.
func (t *Table[K]) Remove(key K) {
	if e := t.entries[key]; e != nil {
		t.drop(key, e)
	}
}

// Enter changes the phase of a connection. A connection that becomes idle gives back what its request held. It reports
// false if the connection has been closed by the table.
func (t *Table[K]) Enter(now time.Time, key K, to Phase) bool {
	e := t.entries[key]
	if e == nil {
		return false
	}
	e.phase, e.since, e.received = to, now, 0
	if to == Idle {
		t.hold(e, ConnectionBytes-e.held, -e.largeBody)
	}
	return true
}

// Phase returns the phase of a connection.
func (t *Table[K]) Phase(key K) Phase {
	if e := t.entries[key]; e != nil {
		return e.phase
	}
	return Closed
}

// Receive records that bytes have arrived, which may be the begin of a request. It reports false if the connection has
// been closed by the table.
func (t *Table[K]) Receive(now time.Time, key K, bytes int) bool {
	e := t.entries[key]
	if e == nil {
		return false
	}
	if e.phase == New || e.phase == Idle {
		e.phase, e.since = Headers, now
	}
	e.received += int64(bytes)
	return true
}

// Reserve sets memory aside for the request of a connection. It returns the connections to close for it, and false if
// there is no room.
func (t *Table[K]) Reserve(now time.Time, key K, bytes int64) (shed []K, ok bool) {
	return t.reserve(now, key, bytes, 0)
}

// ReserveBody is Reserve for the buffer of a body that grows from one size in bytes to another.
func (t *Table[K]) ReserveBody(now time.Time, key K, from, to int64) (shed []K, ok bool) {
	return t.reserve(now, key, to-from, largePart(to)-largePart(from))
}

func largePart(size int64) int64 {
	if size <= SmallBodyBytes {
		return 0
	}
	return size
}

func (t *Table[K]) reserve(now time.Time, key K, bytes, largeBody int64) (shed []K, ok bool) {
	e := t.entries[key]
	if e == nil {
		return nil, false
	}
	missing := usage{memory: t.memory + bytes - t.limits.Memory}
	if largeBody > 0 {
		missing.largeBodies = t.largeBodies + largeBody - t.limits.LargeBodies
	}
	if shed, ok = t.makeRoom(now, e, missing); ok {
		t.hold(e, bytes, largeBody)
	}
	return shed, ok
}

// ReserveSpare sets memory aside that a request can do without: only while half of all memory is free.
func (t *Table[K]) ReserveSpare(key K, bytes int64) bool {
	e := t.entries[key]
	if e == nil || t.memory+bytes > t.limits.Memory/2 {
		return false
	}
	t.hold(e, bytes, 0)
	return true
}

// Expire closes the connections that have exceeded a timeout and returns them.
func (t *Table[K]) Expire(now time.Time, timeouts Timeouts) []K {
	var expired []K
	for key, e := range t.entries {
		limit := time.Duration(0)
		switch e.phase {
		case New, Idle:
			limit = timeouts.Idle
		case Headers:
			limit = timeouts.Headers
		}
		if limit > 0 && now.Sub(e.since) >= limit {
			t.drop(key, e)
			expired = append(expired, key)
		}
	}
	return expired
}

// CloseIdle closes the connections without a request, except those that have not been used yet, and returns them.
func (t *Table[K]) CloseIdle() []K {
	var closed []K
	for key, e := range t.entries {
		if e.phase == Idle {
			t.drop(key, e)
			closed = append(closed, key)
		}
	}
	return closed
}

// Active returns the number of connections whose request is not completely answered.
func (t *Table[K]) Active() int {
	count := 0
	for e := range maps.Values(t.entries) {
		if e.phase == Body || e.phase == Answering || e.phase == Blocked || e.phase == Duplex {
			count++
		}
	}
	return count
}

// Len returns the number of connections.
func (t *Table[K]) Len() int { return len(t.entries) }

// Memory returns what the connections hold, in bytes.
func (t *Table[K]) Memory() int64 { return t.memory }

// LargeBodies returns what their large bodies hold, in bytes.
func (t *Table[K]) LargeBodies() int64 { return t.largeBodies }

func (t *Table[K]) hold(e *entry, bytes, largeBody int64) {
	e.held += bytes
	e.largeBody += largeBody
	t.memory += bytes
	t.largeBodies += largeBody
}

func (t *Table[K]) drop(key K, e *entry) {
	t.hold(e, -e.held, -e.largeBody)
	delete(t.entries, key)
}

// usage is an amount of each limited resource.
type usage struct {
	connections         int
	memory, largeBodies int64
}

func (u usage) covered() bool { return u.connections <= 0 && u.memory <= 0 && u.largeBodies <= 0 }

func (u *usage) subtract(e *entry) {
	u.connections--
	u.memory -= e.held
	u.largeBodies -= e.largeBody
}

// candidate is a connection that may be closed for another one.
type candidate[K comparable] struct {
	key K
	*entry
	class int
	// rate is the rate at which a body arrives, in bytes per second.
	rate float64
}

// makeRoom closes connections until nothing is missing. It closes none if that is not enough.
func (t *Table[K]) makeRoom(now time.Time, owner *entry, missing usage) (shed []K, ok bool) {
	if missing.covered() {
		return nil, true
	}
	for _, c := range t.candidates(now, owner, missing) {
		if missing.covered() {
			break
		}
		missing.subtract(c.entry)
		shed = append(shed, c.key)
	}
	if !missing.covered() {
		return nil, false
	}
	for _, key := range shed {
		t.drop(key, t.entries[key])
	}
	return shed, true
}

// candidates returns the connections that may be closed for another one, in order: the unused and idle, those that
// are receiving headers, slow bodies, and callers that don't read. Of a class the oldest comes first, of bodies the
// slowest.
func (t *Table[K]) candidates(now time.Time, except *entry, missing usage) []candidate[K] {
	var all []candidate[K]
	for key, e := range t.entries {
		class, eligible := e.shedClass(now)
		onlyBodies := missing.connections <= 0 && missing.memory <= 0
		if !eligible || e == except || onlyBodies && e.largeBody == 0 {
			continue
		}
		c := candidate[K]{key: key, entry: e, class: class}
		if e.phase == Body {
			c.rate = float64(e.received) / now.Sub(e.since).Seconds()
		}
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b candidate[K]) int {
		switch {
		case a.class != b.class:
			return a.class - b.class
		case a.rate < b.rate:
			return -1
		case a.rate > b.rate:
			return 1
		}
		return a.since.Compare(b.since)
	})
	return all
}

// shedClass returns the rank of a connection among those that may be closed for another one.
func (e *entry) shedClass(now time.Time) (class int, eligible bool) {
	switch e.phase {
	case New, Idle:
		return 0, true
	case Headers:
		return 1, true
	case Body:
		return 2, now.Sub(e.since) >= minBodyTime
	case Blocked:
		return 3, now.Sub(e.since) >= minBlockedTime
	}
	return 0, false
}
