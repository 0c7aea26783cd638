package soak

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// echoServer returns the listener of a server that echoes each line.
func echoServer(t *testing.T) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				lines := bufio.NewReader(c)
				for {
					line, err := lines.ReadString('\n')
					if err != nil {
						return
					}
					if _, err := c.Write([]byte(line)); err != nil {
						return
					}
				}
			}()
		}
	}()
	return listener
}

func linkTo(t *testing.T, target string) *Link {
	l, err := NewLink("127.0.0.1:0", target)
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func dial(t *testing.T, l *Link) *bufio.ReadWriter {
	c, err := net.Dial("tcp", l.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	return bufio.NewReadWriter(bufio.NewReader(c), bufio.NewWriter(c))
}

func exchange(c *bufio.ReadWriter, text string) (string, error) {
	if _, err := c.WriteString(text + "\n"); err != nil {
		return "", err
	}
	if err := c.Flush(); err != nil {
		return "", err
	}
	return c.ReadString('\n')
}

// An open connection is reset by the fault, and a new one works after it.
func TestALinkForwardsAndResets(t *testing.T) {
	l := linkTo(t, echoServer(t).Addr().String())
	c := dial(t, l)
	line, err := exchange(c, "hello")
	require.NoError(t, err)
	require.Equal(t, "hello\n", line)
	l.Inject(LinkReset)
	_, err = exchange(c, "again")
	require.Error(t, err)
	l.Clear()
	line, err = exchange(dial(t, l), "anew")
	require.NoError(t, err)
	require.Equal(t, "anew\n", line)
}

// A connection whose traffic was dropped stays affected after the fault, while new ones work.
func TestADroppedConnectionDoesNotRecover(t *testing.T) {
	for _, fault := range []LinkFault{LinkDropsBoth, LinkDropsResponses, LinkDropsRequests} {
		l := linkTo(t, echoServer(t).Addr().String())
		old := dial(t, l)
		_, err := exchange(old, "hello")
		require.NoError(t, err)
		l.Inject(fault)
		l.Clear()
		answered := make(chan struct{})
		go func() {
			if _, err := exchange(old, "lost"); err == nil {
				close(answered)
			}
		}()
		line, err := exchange(dial(t, l), "anew")
		require.NoError(t, err, fault)
		require.Equal(t, "anew\n", line)
		select {
		case <-answered:
			t.Fatalf("%s: the old connection still works", fault)
		default:
		}
	}
}
