package netopts

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// pair returns a connection of a Dialer and that of its peer.
func pair(t *testing.T) (dialed net.Conn, peer *net.TCPConn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, listener.Close()) }()
	dialed, err = (&Dialer{RunTimeout: time.Second}).DialContext(t.Context(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = dialed.Close() })
	accepted, err := listener.Accept()
	require.NoError(t, err)
	return dialed, accepted.(*net.TCPConn)
}

// writeUntilError writes until the connection has ended, and returns the error.
func writeUntilError(t *testing.T, c net.Conn) error {
	require.NoError(t, c.SetWriteDeadline(time.Now().Add(5*time.Second)))
	for {
		if _, err := c.Write(make([]byte, 64<<10)); err != nil {
			return err
		}
	}
}

// Guards against taking a reset for a plain end. The peer has sent a part and resets the connection while the other side
// writes: the write gets the only report of the reset, and the read gets the part and then no error from the kernel.
func TestAResetThatAWriteGotIsAnErrorOfRead(t *testing.T) {
	c, peer := pair(t)
	_, err := peer.Write([]byte("part"))
	require.NoError(t, err)
	written := make(chan error, 1)
	go func() { written <- writeUntilError(t, c) }()
	time.Sleep(50 * time.Millisecond)
	require.NoError(t, peer.SetLinger(0))
	require.NoError(t, peer.Close())
	require.ErrorIs(t, <-written, syscall.ECONNRESET)
	data, err := io.ReadAll(c)
	require.Equal(t, "part", string(data))
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

// endedSocket is the socket of a connection that was reset: its reader meets the end, and its writer is about to return the
// reset.
type endedSocket struct {
	net.Conn
	writing, release chan struct{}
}

func (s endedSocket) Read([]byte) (int, error) { return 0, io.EOF }

func (s endedSocket) Write([]byte) (int, error) {
	close(s.writing)
	<-s.release
	return 0, syscall.ECONNRESET
}

func (s endedSocket) SyscallConn() (syscall.RawConn, error) { return nil, net.ErrClosed }

// Guards against an error of a write that is recorded only after the read has met the end.
func TestReadWaitsForTheWriteThatGetsTheReset(t *testing.T) {
	socket := endedSocket{writing: make(chan struct{}), release: make(chan struct{})}
	c := &connection{Conn: socket}
	go func() { _, _ = c.Write([]byte("x")) }()
	<-socket.writing
	result := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 1))
		result <- err
	}()
	select {
	case err := <-result:
		t.Fatalf("the read has not waited: %v", err)
	case <-time.After(20 * time.Millisecond):
	}
	close(socket.release)
	require.ErrorIs(t, <-result, syscall.ECONNRESET)
}

// Guards against taking a whole response for a broken one: a peer ends its half and still reads, or it closes the
// connection after its end so that a later write fails.
func TestAPlainEndIsNoError(t *testing.T) {
	c, peer := pair(t)
	_, err := peer.Write([]byte("all"))
	require.NoError(t, err)
	require.NoError(t, peer.CloseWrite())
	blocked := make(chan error, 1)
	go func() { blocked <- writeUntilError(t, c) }()
	time.Sleep(50 * time.Millisecond)
	data, err := io.ReadAll(c)
	require.NoError(t, err, "while a write is blocked")
	require.Equal(t, "all", string(data))
	require.NoError(t, peer.SetLinger(0))
	require.NoError(t, peer.Close())
	require.ErrorIs(t, <-blocked, syscall.EPIPE)
	_, err = c.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "the reset came after the end")
}
