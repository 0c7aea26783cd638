package commands

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/urfave/cli/v3"

	"arbutusdeck/core/responses"
	"arbutusdeck/core/responses/responsestest"
)

// status runs the status command against an address and returns what it prints.
func status(t *testing.T, url string) (string, error) {
	var out bytes.Buffer
	command := &cli.Command{Name: "arbutus-entry", Writer: &out, Commands: OperatorCommands()}
	err := command.Run(t.Context(), []string{"arbutus-entry", "status", "--admin", strings.TrimPrefix(url, "http://")})
	return out.String(), err
}

// Guards against showing an operator what is no response as a daemon's status.
func TestAMalformedResponseIsNoStatus(t *testing.T) {
	printed, err := status(t, responsestest.NewServer(t, responsestest.Sending(responsestest.Malformed)))
	require.ErrorIs(t, err, responses.ErrMalformed)
	require.Empty(t, printed)
}

// Guards against a command that takes all memory.
func TestAResponseWithoutEndIsNoStatus(t *testing.T) {
	responsestest.ForEachEndless(t, func(t *testing.T, url string) {
		printed, err := status(t, url)
		require.Error(t, err)
		require.Empty(t, printed)
	})
}
