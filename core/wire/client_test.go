package wire

import (
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
