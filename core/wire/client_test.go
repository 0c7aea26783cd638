package wire

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusdeck/core/config"
	"arbutusdeck/core/responses"
	"arbutusdeck/core/responses/responsestest"
)

// Guards against taking what is no response for that of another daemon: an address may belong to something else by now.
func TestAMalformedResponseIsNotThatOfADaemon(t *testing.T) {
	url := responsestest.NewServer(t, responsestest.Sending(responsestest.Malformed))
	dialer := NewDialer("", time.Second, 10)
	_, _, err := dialer.FetchSnapshot(t.Context(), config.Peer{Name: "peer", Address: strings.TrimPrefix(url, "http://")}, 0)
	require.ErrorIs(t, err, responses.ErrMalformed)
	_, err = dialer.HTTP().Get(url)
	require.ErrorIs(t, err, responses.ErrMalformed)
}

// Guards against replies without end: the generated clients read whatever comes.
func TestRepliesWithoutEndAreNotRead(t *testing.T) {
	responsestest.ForEachEndless(t, func(t *testing.T, url string) {
		dialer := NewDialer("", time.Second, 10)
		address := strings.TrimPrefix(url, "http://")
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		_, err := dialer.Host(address).Probe(ctx, &ProbeRequest{})
		require.Error(t, err)
		require.NoError(t, ctx.Err(), "it is not waited for longer")
		_, _, err = dialer.FetchSnapshot(ctx, config.Peer{Address: address}, 0)
		require.Error(t, err)
		_, err = dialer.ExchangeQuarantine(ctx, config.Peer{Address: address}, &Envelope{}, nil)
		require.Error(t, err)
		require.NoError(t, ctx.Err())
	})
}

// The largest replies and frames that daemons send are read.
func TestTheLargestFramesAreRead(t *testing.T) {
	var stream bytes.Buffer
	frame := &Frame{Request: strings.Repeat("r", 64), Attempt: strings.Repeat("a", 64), Payload: make([]byte, MaxFrame/2), ContentType: "text/event-stream"}
	require.NoError(t, WriteFrame(&stream, frame))
	read, err := NewFrameReader(&stream).Read()
	require.NoError(t, err)
	require.Len(t, read.Payload, MaxFrame/2)
	require.NoError(t, WriteFrame(&stream, &Frame{Payload: make([]byte, MaxFrame)}))
	_, err = NewFrameReader(&stream).Read()
	require.ErrorIs(t, err, ErrFrame)
}
