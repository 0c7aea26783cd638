package server

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"arbutusdeck/core/callers"
	"arbutusdeck/core/execution"
)

// Guards against an engine that sends without end while its response is collected: within an event, and in events.
func TestACollectedResponseTakesReservedMemory(t *testing.T) {
	const most = 1 << 20
	for name, piece := range map[string]string{"an event": strings.Repeat("x", 1000), "events": `data: {"choices":[{"text":"` + strings.Repeat("x", 1000) + "\"}]}\n\n"} {
		t.Run(name, func(t *testing.T) {
			reserved := int64(0)
			sink := newBufferedSink(httptest.NewRecorder(), false, &collectedMemory{reserve: func(bytes int64) bool {
				reserved += bytes
				return reserved <= most
			}})
			var err error
			written := 0
			for ; err == nil && written < 2*most; written += len(piece) {
				err = sink.write(execution.Frame{Payload: []byte(piece), ContentType: eventStream})
			}
			require.ErrorIs(t, err, callers.ErrMemoryFull)
			require.Less(t, written, most)
			sink.discard()
			require.NoError(t, sink.write(execution.Frame{Payload: []byte(piece), ContentType: eventStream}), "another attempt uses the memory again")
		})
	}
	require.Equal(t, execution.ResponseTooLarge{Refusal: responseRefusal}, notDelivered(callers.ErrMemoryFull))
}
