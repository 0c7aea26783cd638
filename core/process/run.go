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

// ErrAddressInUse says that another process listens on the daemon's address. It
// may be this daemon's own predecessor, paused: two of them must never serve.
var ErrAddressInUse = errors.New("address is taken")

// Listen opens a TCP listener.
func Listen(address string) (net.Listener, error) {
	options := net.ListenConfig{KeepAliveConfig: netopts.KeepAlive, Control: netopts.Control}
	listener, err := options.Listen(context.Background(), "tcp", address)
	if errors.Is(err, syscall.EADDRINUSE) {
		return nil, fmt.Errorf("%w: %s: %v", ErrAddressInUse, address, err)
	}
	if err != nil {
		return nil, fmt.Errorf("listening on %s: %w", address, err)
	}
	return listener, nil
}

// Limits of the daemons' HTTP listeners.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 32 << 10
	// writeTime bounds the writing of answers whose handlers have returned.
	writeTime = 200 * time.Millisecond
)

// ServeHTTP serves a handler under the tomb with the limits of the daemons' listeners.
func ServeHTTP(t *tomb.Tomb, listener net.Listener, handler http.Handler) {
	Serve(t, listener, &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes})
}

// Serve runs a server under the tomb. When the tomb dies it takes no new connections, and answers whose
// handlers have returned are written to their end.
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

// closeServer closes a server once what is buffered of its answers is written, after writeTime at the
// latest. net/http writes the rest of a short answer, and the end of a stream, after the handler has
// returned, when a request is not counted as open any more.
func closeServer(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), writeTime)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("closing a server: %w", err)
	}
	return server.Close()
}

// Daemon is what Main runs.
type Daemon interface {
	// Start begins to serve under the tomb.
	Start(t *tomb.Tomb) error
	// Manager owns the daemon's state.
	Manager() *lifecycle.Manager
}

// Main runs a daemon until a signal and then stops it as planned: no new work,
// every open request finishes, then the exit. SIGINT during the stop or the limit
// ends it at once; the error then wraps lifecycle.ErrCut. SIGTERM again does not: a
// platform that repeats it, as when two rolling restarts overlap, would cut off the
// requests that the first one let finish. It has SIGKILL for ending a process at once.
func Main(ctx context.Context, daemon Daemon, stopLimit time.Duration) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	t := &tomb.Tomb{}
	// A tomb without goroutines never dies; this one lasts until the end.
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
	second, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for {
			select {
			case again := <-signals:
				if again == syscall.SIGINT {
					cancel()
				}
			case <-second.Done():
				return
			}
		}
	}()
	err := daemon.Manager().Wait(second, stopLimit)
	return errors.Join(err, shutDown(t))
}

func shutDown(t *tomb.Tomb) error {
	t.Kill(nil)
	return t.Wait()
}

// ExitCode turns a daemon's error into the documented exit code.
func ExitCode(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, lifecycle.ErrCut):
		return ExitAborted
	case errors.Is(err, ErrAddressInUse):
		return ExitAddressInUse
	case errors.Is(err, ErrSettings):
		return ExitUsage
	}
	return ExitFailed
}
