package netopts

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// Refuses says whether a host refuses connections to an address, as it does when the process that
// listened there has ended. A process that lives and breaks off an answer, is full or is paused, and
// a host that is cut off, don't refuse. It opens one connection and sends nothing on it.
func Refuses(ctx context.Context, address string, timeout time.Duration) bool {
	dialer := net.Dialer{Timeout: timeout, Control: Control}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return IsRefused(err)
	}
	// Nothing was sent on it.
	_ = connection.Close()
	return false
}

// IsRefused says whether an error tells that a host refused a connection.
func IsRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
