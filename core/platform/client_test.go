package platform

import (
	"testing"

	"github.com/stretchr/testify/require"

	"arbutusdeck/core/responses/responsestest"
)

// Guards against taking what is no response for the platform's state.
func TestAMalformedResponseIsNotThatOfThePlatform(t *testing.T) {
	client := NewClient(Options{BaseURL: responsestest.NewServer(t, responsestest.Sending(responsestest.Malformed))})
	_, err := client.Watch(t.Context(), 0)
	require.ErrorIs(t, err, ErrUnavailable)
	_, err = client.ReadFile(t.Context(), 1, "a.yaml")
	require.ErrorIs(t, err, ErrUnavailable)
	_, err = client.Hosts(t.Context())
	require.ErrorIs(t, err, ErrUnavailable)
}
