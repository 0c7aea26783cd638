package server

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"arbutusdeck/core/execution"
)

// Guards against a part of a response that looks complete: a service breaks off, and its caller gets a regular end. Only an event
// stream can carry the error.
func TestAResponseThatBreaksOffDoesNotEndRegularly(t *testing.T) {
	refusal := execution.Refusal{Code: execution.CodeEngineFailed}
	for contentType, regular := range map[string]bool{"application/json": false, "": false, eventStream: true, eventStream + "; charset=utf-8": true} {
		frame := execution.Frame{Payload: []byte("half"), ContentType: contentType, Status: http.StatusOK}
		for name, sink := range map[string]sink{"passthrough": newPassthroughSink(httptest.NewRecorder()),
			"buffered": newBufferedSink(httptest.NewRecorder(), false, &collectedMemory{reserve: func(int64) bool { return true }})} {
			require.NoError(t, sink.write(frame))
			err := sink.fail("id", execution.Unknown, refusal)
			if regular {
				require.NoError(t, err, "%s %q", name, contentType)
			} else {
				require.ErrorIs(t, err, http.ErrAbortHandler, "%s %q", name, contentType)
			}
		}
	}
}
