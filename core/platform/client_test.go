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

// Guards against a platform, or what stands at its address, that sends without end.
func TestResponsesWithoutEndAreNotThoseOfThePlatform(t *testing.T) {
	responsestest.ForEachEndless(t, func(t *testing.T, url string) {
		client := NewClient(Options{BaseURL: url})
		_, err := client.Hosts(t.Context())
		require.ErrorIs(t, err, ErrUnavailable)
	})
}
