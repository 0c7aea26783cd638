package callers

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"time"
)

// Conn is a connection from a caller. A nil Conn has no limits.
type Conn struct {
	net.Conn
	listener *Listener

	// The listener's lock guards the rest.

	// headerBytes and headerFields are received of the headers of the current request; headerCost is what is reserved
	// for them.
	headerBytes, headerFields int
	headerCost                int64
	// wide is set while the receive buffer is enlarged.
	wide bool
	// unanswered is set while the body of a request is received and nothing of its response has been written.
	unanswered bool
	// request is the request of which unanswered tells.
	request *http.Request
	// unparsedFields bounds the fields that net/http may have in its buffer beyond the current headers.
	unparsedFields int
}

// errRejected ends the reading of a request that was answered here. net/http sends nothing after an error of a read.
var errRejected = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the request was refused")}

// Read reads from the connection. It fails if the connection was closed by the limits meanwhile: the caller can get no
// response, and the request must not run.
func (c *Conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n == 0 {
		return n, err
	}
	switch c.received(data[:n]) {
	case closed:
		return 0, net.ErrClosed
	case headersTooLarge:
		c.reject(c.listener.options.TooLarge)
		return 0, errRejected
	case noMemory:
		c.reject(c.listener.options.Unavailable(nil))
		return 0, errRejected
	}
	return n, err
}

// verdict is what becomes of a request.
type verdict uint8

const (
	proceed verdict = iota
	closed
	headersTooLarge
	noMemory
)

// bufferBytes is the size of the read buffer of net/http. A longer read doesn't go through that buffer.
const bufferBytes = 4 << 10

// received accounts for received data. While headers are received, their memory is reserved.
func (c *Conn) received(data []byte) verdict {
	l := c.listener
	l.mu.Lock()
	now := time.Now()
	if !l.table.Receive(now, c, len(data)) {
		l.mu.Unlock()
		return closed
	}
	if phase := l.table.Phase(c); phase != Headers {
		c.bufferedBeyond(phase, data)
		l.mu.Unlock()
		return proceed
	}
	head, rest := splitHeaders(data)
	c.headerBytes += len(head)
	c.headerFields += bytes.Count(head, newline)
	c.unparsedFields = bytes.Count(rest, newline) // the buffer was empty
	if c.headerBytes > l.options.HeaderBytes() {
		l.stats.TooLarge++
		l.mu.Unlock()
		return headersTooLarge
	}
	shed, ok := c.setHeaderCost(now, HeaderCost(c.headerBytes, c.headerFields+c.unparsedFields))
	l.mu.Unlock()
	l.shed(shed)
	if !ok {
		return noMemory
	}
	return proceed
}

// bufferedBeyond updates the bound on the unparsed fields for data that is no header; the caller holds the lock.
func (c *Conn) bufferedBeyond(phase Phase, data []byte) {
	if phase == Body || phase == Duplex {
		c.unparsedFields = 0 // the buffer was empty
	}
	if len(data) <= bufferBytes {
		c.unparsedFields += bytes.Count(data, newline)
	}
}

var (
	newline      = []byte("\n")
	endOfHeaders = []byte("\r\n\r\n")
)

// splitHeaders splits received data after the end of the headers, if it has one.
func splitHeaders(data []byte) (head, rest []byte) {
	if end := bytes.Index(data, endOfHeaders); end >= 0 {
		return data[:end+len(endOfHeaders)], data[end+len(endOfHeaders):]
	}
	return data, nil
}

// setHeaderCost changes the memory that is reserved for headers; the caller holds the lock.
func (c *Conn) setHeaderCost(now time.Time, cost int64) (shed []*Conn, ok bool) {
	if shed, ok = c.listener.table.Reserve(now, c, cost-c.headerCost); ok {
		c.headerCost = cost
	} else {
		c.listener.stats.Unavailable++
	}
	return shed, ok
}

// rejectTimeout bounds the writing of a response to a rejected request, and then the reading of what the caller still
// sends: a connection that is closed with unread data is reset, and its caller would lose the response.
const rejectTimeout = 200 * time.Millisecond

// reject answers a request whose headers are not read to their end.
func (c *Conn) reject(response []byte) {
	c.answer(response, rejectTimeout)
	if c.CloseWrite() != nil || c.Conn.SetReadDeadline(time.Now().Add(rejectTimeout)) != nil {
		return
	}
	for buffer := make([]byte, bufferBytes); ; {
		if _, err := c.Conn.Read(buffer); err != nil {
			return
		}
	}
}

// shedTimeout bounds the writing of a response to a request that is ended for another one, which waits meanwhile. The
// send buffer takes the response at once, unless the caller reads nothing.
const shedTimeout = 5 * time.Millisecond

// answer writes a complete response, if the caller takes it in time.
func (c *Conn) answer(response []byte, timeout time.Duration) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(timeout)); err == nil {
		_, _ = c.Conn.Write(response) // the connection is closed either way
	}
}

// CloseWrite closes the sending half of the connection.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// begin starts the processing of a request whose headers have been read. It returns false if the connection has been
// closed.
func (c *Conn) begin(r *http.Request) bool {
	l := c.listener
	phase := Answering
	if r.ContentLength != 0 {
		phase = Body
	}
	l.mu.Lock()
	now := time.Now()
	ok := l.table.Enter(now, c, phase)
	c.unanswered, c.request = phase == Body, r
	if !ok {
		l.mu.Unlock()
		return false
	}
	shed, ok := c.setHeaderCost(now, RequestBytes+requestHeaderCost(r)+HeaderCost(0, c.unparsedFields))
	l.mu.Unlock()
	l.shed(shed)
	if !ok {
		c.answer(l.options.Unavailable(r), rejectTimeout)
	}
	return ok
}

// requestHeaderCost returns the memory of a request's parsed headers, in bytes.
func requestHeaderCost(r *http.Request) int64 {
	text, fields := len(r.RequestURI)+len(r.Host), 1
	for name, values := range r.Header {
		text += len(name)
		fields += len(values)
		for _, value := range values {
			text += len(value)
		}
	}
	return HeaderCost(text, fields)
}

// becomeIdle ends a request. What net/http may have read of the next ones stays reserved.
func (c *Conn) becomeIdle() {
	l := c.listener
	l.mu.Lock()
	now := time.Now()
	var shed []*Conn
	ok := l.table.Enter(now, c, Idle)
	narrow := c.wide
	c.wide, c.request = false, nil
	c.headerBytes, c.headerFields, c.headerCost = 0, c.unparsedFields, 0
	if ok && c.headerFields > 0 {
		shed, ok = c.setHeaderCost(now, HeaderCost(0, c.headerFields))
	}
	l.mu.Unlock()
	l.shed(shed)
	if narrow {
		c.setReceiveBuffer(ReceiveBufferBytes)
	}
	if !ok {
		closeQuietly(c.Conn)
	}
}

// BodyReceived ends the receipt of a body. It returns false if the connection was closed for another one: the request
// must not run.
func (c *Conn) BodyReceived() bool {
	if c == nil {
		return true
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if !c.listener.table.Enter(time.Now(), c, Answering) {
		return false
	}
	c.unanswered = false
	return true
}

// AnswerDuplex begins the response to a request whose body is still received. The connection is not closed for another
// one until the response has ended.
func (c *Conn) AnswerDuplex() {
	if c == nil {
		return
	}
	c.change(Body, Duplex)
}

func (c *Conn) isUnanswered() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.unanswered
}

func (c *Conn) currentRequest() *http.Request {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.request
}

// IsClosed reports whether the limits have closed the connection.
func (c *Conn) IsClosed() bool {
	if c == nil {
		return false
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.listener.table.Phase(c) == Closed
}

// ReserveBody sets memory aside for a body whose buffer grows from one size in bytes to another. It is given back when
// the connection becomes idle or is closed.
func (c *Conn) ReserveBody(from, to int64) bool {
	if to > SmallBodyBytes {
		c.widen()
	}
	return c.reserve(func(now time.Time) ([]*Conn, bool) { return c.listener.table.ReserveBody(now, c, from, to) })
}

// widen enlarges the receive buffer for a large body, if there is memory to spare.
func (c *Conn) widen() {
	if c == nil {
		return
	}
	c.listener.mu.Lock()
	widen := !c.wide && c.listener.table.ReserveSpare(c, 2*(wideBufferBytes-ReceiveBufferBytes))
	c.wide = c.wide || widen
	c.listener.mu.Unlock()
	if widen {
		c.setReceiveBuffer(wideBufferBytes)
	}
}

// setReceiveBuffer changes the size of the kernel's receive buffer. If that fails the buffer keeps its size, which only
// makes the transfer slower.
func (c *Conn) setReceiveBuffer(size int) {
	if socket, ok := c.Conn.(interface{ SetReadBuffer(bytes int) error }); ok {
		_ = socket.SetReadBuffer(size)
	}
}

// ReleaseBody gives the memory of a body back before the connection becomes idle or is closed.
func (c *Conn) ReleaseBody(size int64) {
	if c == nil {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.table.ReserveBody(time.Now(), c, size, 0) // less memory needs no room
}

// Reserve sets memory aside for the request, in bytes. It is given back as that of a body.
func (c *Conn) Reserve(count int64) bool {
	return c.reserve(func(now time.Time) ([]*Conn, bool) { return c.listener.table.Reserve(now, c, count) })
}

func (c *Conn) reserve(from func(time.Time) ([]*Conn, bool)) bool {
	if c == nil {
		return true
	}
	l := c.listener
	l.mu.Lock()
	shed, ok := from(time.Now())
	l.count(&l.stats.Unavailable, !ok)
	l.mu.Unlock()
	l.shed(shed)
	return ok
}

// writeBytes is written at a time, so that a caller that reads slowly is told from one that doesn't read.
const writeBytes = 16 << 10

// Write writes to the connection. While it waits for the caller to read, the connection is Blocked.
func (c *Conn) Write(data []byte) (written int, err error) {
	for written < len(data) && err == nil {
		c.change(Answering, Blocked)
		n := 0
		n, err = c.Conn.Write(data[written:min(written+writeBytes, len(data))])
		written += n
		c.change(Blocked, Answering)
	}
	return written, err
}

// change enters a phase from another one.
func (c *Conn) change(from, to Phase) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.unanswered = false
	if c.listener.table.Phase(c) == from {
		c.listener.table.Enter(time.Now(), c, to)
	}
}
