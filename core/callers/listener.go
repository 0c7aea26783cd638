package callers

import (
	"bytes"
	"context"
	"io"
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
	// TooLarge is the complete response to a request whose headers exceed HeaderBytes.
	TooLarge []byte
	// Unavailable returns the complete response to a request that has not run and is refused or ended for want of memory;
	// r is nil if its headers have not been read.
	Unavailable func(r *http.Request) []byte
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
			c.answer(l.options.Unavailable(c.currentRequest()), shedTimeout)
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

// ClosingResponse returns a complete response after which the connection closes.
func ClosingResponse(status int, header http.Header, content []byte) []byte {
	response := http.Response{StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Header: header, ContentLength: int64(len(content)),
		Body: io.NopCloser(bytes.NewReader(content)), Close: true}
	var out bytes.Buffer
	if err := response.Write(&out); err != nil {
		panic(err) // a buffer takes everything
	}
	return out.Bytes()
}
