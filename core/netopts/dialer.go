package netopts

import (
	"context"
	"errors"
	"net"
	"os"
	"time"
)

// timeoutSteps is the number of timers by which Dialer counts its timeout.
const timeoutSteps = 10

// Dialer is a net.Dialer whose timeout doesn't expire by a stall of this process. If the process is not scheduled
// for longer than the Timeout of a net.Dialer, the reply of the host waits in the kernel, but the timer is handled
// first and the dial ends with a timeout. Dialer counts RunTimeout in steps, each of which starts when the one before
// has been handled, so that a stall of any length counts as one step and the reply is handled before the next one.
type Dialer struct {
	// Dialer has no Timeout.
	net.Dialer
	// RunTimeout bounds a dial. It must be positive.
	RunTimeout time.Duration
}

// DialContext opens a connection as net.Dialer.DialContext does. A Read of the connection returns io.EOF only if the peer
// has ended it without an error.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	opened, err := dialInSteps(ctx, d.RunTimeout, afterFunc, func(ctx context.Context) (net.Conn, error) { return d.Dialer.DialContext(ctx, network, address) })
	if err != nil {
		return nil, err
	}
	return &connection{Conn: opened}, nil
}

func afterFunc(d time.Duration, f func()) { time.AfterFunc(d, f) }

func dialInSteps(ctx context.Context, timeout time.Duration, after func(time.Duration, func()), dial func(context.Context) (net.Conn, error)) (net.Conn, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stepsLeft := timeoutSteps
	var step func()
	step = func() {
		stepsLeft--
		switch {
		case ctx.Err() != nil:
		case stepsLeft == 0:
			cancel(os.ErrDeadlineExceeded)
		default:
			after(timeout/timeoutSteps, step)
		}
	}
	after(timeout/timeoutSteps, step)
	connection, err := dial(ctx)
	var op *net.OpError
	if errors.Is(context.Cause(ctx), os.ErrDeadlineExceeded) && errors.As(err, &op) {
		op.Err = os.ErrDeadlineExceeded // net.Dialer reports that the dial was cancelled
	}
	return connection, err
}
