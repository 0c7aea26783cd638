package process

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"gopkg.in/tomb.v2"

	"arbutusdeck/core/callers"
	"arbutusdeck/core/lifecycle"
	"arbutusdeck/core/netopts"
)

// Exit codes of both daemons.
const (
	ExitOK             = 0
	ExitFailed         = 1
	ExitUsage          = 2
	ExitConfigRejected = 3
	ExitAborted        = 4
	ExitAddressInUse   = 5
)

// ErrAddressInUse is returned if another process listens on the daemon's address.
// That process may be a paused instance of this daemon: two instances must never
// serve at the same time.
var ErrAddressInUse = errors.New("address already in use")

// Listen opens a TCP listener with the socket options of package netopts. The error
// wraps ErrAddressInUse if another process listens on the address.
func Listen(address string) (net.Listener, error) { return listen(address, netopts.Control) }

// ListenForCallers opens a TCP listener as Listen does, whose connections have the kernel buffers of package callers.
func ListenForCallers(address string) (net.Listener, error) {
	return listen(address, netopts.CallerControl(callers.ReceiveBufferBytes, callers.SendBufferBytes))
}

func listen(address string, control netopts.ControlFunc) (net.Listener, error) {
	options := net.ListenConfig{KeepAliveConfig: netopts.KeepAlive, Control: control}
	listener, err := options.Listen(context.Background(), "tcp", address)
	if errors.Is(err, syscall.EADDRINUSE) {
		return nil, fmt.Errorf("%w: %s: %v", ErrAddressInUse, address, err)
	}
	if err != nil {
		return nil, fmt.Errorf("listening on %s: %w", address, err)
	}
	return listener, nil
}

// flushTimeout bounds the time to write buffered responses at shutdown.
const flushTimeout = 200 * time.Millisecond

// Serve runs a server under the tomb. When the tomb is dying, it stops accepting connections and writes the
// responses whose handlers have returned.
func Serve(t *tomb.Tomb, listener net.Listener, server *http.Server) {
	t.Go(func() error {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	})
	t.Go(func() error {
		<-t.Dying()
		return closeServer(server)
	})
}

// closeServer closes a server after its buffered responses are written, but after flushTimeout at the
// latest. net/http writes the rest of a short response, and the end of a stream, after the handler has
// returned and the request no longer counts as open.
func closeServer(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("closing HTTP server: %w", err)
	}
	return server.Close()
}

// Daemon is a daemon that Main runs.
type Daemon interface {
	// Start starts the daemon's goroutines under the tomb.
	Start(t *tomb.Tomb) error
	// Manager returns the manager of the daemon's lifecycle state.
	Manager() *lifecycle.Manager
}

// Main runs a daemon until SIGTERM, SIGINT or the end of ctx, then shuts it down
// gracefully: it accepts no new work and waits for all open requests. stopLimit or a
// SIGINT during the shutdown aborts the open requests; the exit code of the error is
// then ExitAborted. A second SIGTERM is ignored: a platform that repeats it, for
// example when two rolling restarts overlap, would otherwise abort requests that the
// first one allowed to finish. It can use SIGKILL to end a process immediately.
func Main(ctx context.Context, daemon Daemon, stopLimit time.Duration) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	t := &tomb.Tomb{}
	// A tomb without goroutines never becomes dead. This one runs until the tomb is
	// dying.
	t.Go(func() error {
		<-t.Dying()
		return nil
	})
	if err := daemon.Start(t); err != nil {
		return errors.Join(err, shutDown(t))
	}
	select {
	case <-signals:
	case <-ctx.Done():
	case <-t.Dying():
		return t.Wait()
	}
	daemon.Manager().Drain()
	waitCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for {
			select {
			case again := <-signals:
				if again == syscall.SIGINT {
					cancel()
				}
			case <-waitCtx.Done():
				return
			}
		}
	}()
	err := daemon.Manager().Wait(waitCtx, stopLimit)
	return errors.Join(err, shutDown(t))
}

func shutDown(t *tomb.Tomb) error {
	t.Kill(nil)
	return t.Wait()
}

// ExitCode returns the documented exit code for a daemon's error.
func ExitCode(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, lifecycle.ErrAborted):
		return ExitAborted
	case errors.Is(err, ErrAddressInUse):
		return ExitAddressInUse
	case errors.Is(err, ErrSettings):
		return ExitUsage
	}
	return ExitFailed
}
