package callers

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// Options configure a Listener.
type Options struct {
	Limits Limits
	// HeaderBytes returns the limit of a request's headers, in bytes.
	HeaderBytes func() int
	// TooLarge and Unavailable are complete responses to a request whose headers exceed HeaderBytes, and to one that is
	// refused or ended for want of memory. Both state that it has not run, and that the connection closes.
	TooLarge, Unavailable []byte
}

// Stats count the connections and requests of a listener that were refused or ended by its limits.
type Stats struct {
	// Refused are connections that were closed as they came, Shed those that were closed for others.
	Refused, Shed int64
	// TooLarge are requests whose headers exceeded the limit, Unavailable those for which there was no memory.
	TooLarge, Unavailable int64
}

// Usage is what the connections of a listener hold at a moment; memory is in bytes.
type Usage struct {
	Connections         int
	Memory, LargeBodies int64
}

// Listener accepts callers' connections within limits. Its Server serves them.
type Listener struct {
	net.Listener
	options Options

	mu    sync.Mutex
	table *Table[*Conn]
	stats Stats
}

// NewListener returns a listener that accepts nothing until Listen.
func NewListener(options Options) *Listener {
	return &Listener{options: options, table: NewTable[*Conn](options.Limits)}
}

// Listen makes the listener accept from another one. It is called once, before Accept.
func (l *Listener) Listen(from net.Listener) *Listener {
	l.Listener = from
	return l
}

// maxHeaderBytes is the limit of net/http, which can't change while a server runs. Options.HeaderBytes is below it.
const maxHeaderBytes = 1 << 20

// Server returns a server for the connections of the listener. Its timeouts for reading headers and for idle
// connections are those of Expire.
func (l *Listener) Server(handler http.Handler) *http.Server {
	return &http.Server{Handler: l.handler(handler), MaxHeaderBytes: maxHeaderBytes, ConnState: l.stateChanged, ConnContext: withConn,
		DisableGeneralOptionsHandler: true}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

func withConn(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, connection)
}

// ConnOf returns the connection of a request; nil if it came over a connection that no Listener has accepted.
func ConnOf(r *http.Request) *Conn {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	return c
}

// handler begins each request at its connection. One whose connection has been closed meanwhile is not run.
func (l *Listener) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := ConnOf(r)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		if !c.begin(r) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// Accept returns the next connection that is within the limits. Others are closed unread.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: connection, listener: l}
		l.mu.Lock()
		shed, ok := l.table.Open(time.Now(), c)
		l.count(&l.stats.Refused, !ok)
		l.mu.Unlock()
		l.shed(shed)
		if ok {
			return c, nil
		}
		closeQuietly(connection)
	}
}

// count adds to a counter; the caller holds the lock.
func (l *Listener) count(counter *int64, happened bool) {
	if happened {
		*counter++
	}
}

// shed closes connections in favour of others.
func (l *Listener) shed(shed []*Conn) {
	if len(shed) == 0 {
		return
	}
	l.mu.Lock()
	l.stats.Shed += int64(len(shed))
	l.mu.Unlock()
	for _, c := range shed {
		if c.isUnanswered() {
			c.answer(l.options.Unavailable, shedTimeout)
		}
		closeQuietly(c.Conn)
	}
}

// closeQuietly closes a connection. A failed close leaves nothing to do: the connection is gone.
func closeQuietly(connection net.Conn) { _ = connection.Close() }

// SetLimits replaces the limits.
func (l *Listener) SetLimits(limits Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.SetLimits(limits)
}

// Expire closes the connections that have exceeded a timeout.
func (l *Listener) Expire(now time.Time, timeouts Timeouts) {
	l.mu.Lock()
	expired := l.table.Expire(now, timeouts)
	l.mu.Unlock()
	for _, c := range expired {
		closeQuietly(c.Conn)
	}
}

// CloseIdle closes the connections between two requests.
func (l *Listener) CloseIdle() {
	l.mu.Lock()
	idle := l.table.CloseIdle()
	l.mu.Unlock()
	for _, c := range idle {
		closeQuietly(c.Conn)
	}
}

// Active returns the number of connections whose response is not completely written.
func (l *Listener) Active() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Active()
}

// Stats returns the counts since the start.
func (l *Listener) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stats
}

// Usage returns what the connections hold now.
func (l *Listener) Usage() Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Usage{Connections: l.table.Len(), Memory: l.table.Memory(), LargeBodies: l.table.LargeBodies()}
}

// stateChanged is the ConnState hook of http.Server.
func (l *Listener) stateChanged(connection net.Conn, state http.ConnState) {
	c, ok := connection.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.becomeIdle()
	case http.StateClosed, http.StateHijacked:
		l.mu.Lock()
		l.table.Remove(c)
		l.mu.Unlock()
	}
}

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
		c.reject(c.listener.options.Unavailable)
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
	if phase == Body {
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
	c.unanswered = phase == Body
	if !ok {
		l.mu.Unlock()
		return false
	}
	shed, ok := c.setHeaderCost(now, RequestBytes+requestHeaderCost(r)+HeaderCost(0, c.unparsedFields))
	l.mu.Unlock()
	l.shed(shed)
	if !ok {
		c.answer(l.options.Unavailable, rejectTimeout)
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
	c.wide = false
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

func (c *Conn) isUnanswered() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.unanswered
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
