package placement

import (
	"fmt"
	"time"
)

// Dispatch is one request that was sent to a server. Entries report their dispatches to their peers.
type Dispatch struct {
	ID     string `cbor:"1,keyasint,omitempty"`
	Server string `cbor:"2,keyasint,omitempty"`
	// Helpers prefill parts of the prompt.
	Helpers []string `cbor:"3,keyasint,omitempty"`
	// Reserved lists the reservations at Server and each of Helpers, in tokens; empty where Server holds the
	// whole prompt.
	Reserved []int64 `cbor:"4,keyasint,omitempty"`
	// PromptTokens is 0 for a plain service's request.
	PromptTokens int64 `cbor:"5,keyasint,omitempty"`
	// AnswerTokens is the expected length of the answer.
	AnswerTokens int64 `cbor:"6,keyasint,omitempty"`
	// Gap is the longest pause between events that the caller accepts.
	Gap time.Duration `cbor:"7,keyasint,omitempty"`
	// Target is the time from now within which the first event is expected.
	Target time.Duration `cbor:"8,keyasint,omitempty"`
	// Lifetime bounds how long the request may last from now on.
	Lifetime time.Duration `cbor:"9,keyasint,omitempty"`
	// Workspace is fairshare.Hash of the workspace's name; 0 if the request has none or the entry doesn't report it.
	Workspace uint32 `cbor:"10,keyasint,omitempty"`
	// Zone is the zone of the entry that sent the request, given only where the server is in another one and the
	// entry takes part in spillover.
	Zone string `cbor:"11,keyasint,omitempty"`
}

// Bounds of the values in a dispatch.
const (
	// maxTokens bounds token counts, as for those that callers send.
	maxTokens = 1<<31 - 1
	// maxTime bounds durations; it is longer than any route's timeout.
	maxTime = 24 * time.Hour
	// maxHelpers is above the limit of the engines, which is sixteen.
	maxHelpers = 64
)

// Check returns an error that names the first invalid value. A dispatch goes to all peers, so one with
// invalid values must not crash them.
func (d *Dispatch) Check() error {
	if len(d.Helpers) > maxHelpers {
		return fmt.Errorf("%d helpers exceed the limit of %d", len(d.Helpers), maxHelpers)
	}
	if len(d.Reserved) > 0 && len(d.Reserved) != d.parts() {
		return fmt.Errorf("%d reservations for %d servers", len(d.Reserved), d.parts())
	}
	for _, tokens := range append([]int64{d.PromptTokens, d.AnswerTokens}, d.Reserved...) {
		if tokens < 0 || tokens > maxTokens {
			return fmt.Errorf("%d tokens are outside 0 to %d", tokens, maxTokens)
		}
	}
	for _, length := range []time.Duration{d.Gap, d.Target, d.Lifetime} {
		if length.Abs() > maxTime { // a target that has just passed is negative
			return fmt.Errorf("duration %s exceeds the limit of %s", length, maxTime)
		}
	}
	return nil
}

// parts returns the number of servers that prefill the prompt.
func (d *Dispatch) parts() int { return len(d.Helpers) + 1 }

// serverAt returns the server of a part: 0 is Server, then the helpers.
func (d *Dispatch) serverAt(index int) string {
	if index == 0 {
		return d.Server
	}
	return d.Helpers[index-1]
}

// memoryAt returns the memory that the dispatch takes on its server (index 0) or a helper, in tokens.
func (d *Dispatch) memoryAt(index int) int64 {
	if len(d.Reserved) == 0 {
		if index == 0 {
			return d.PromptTokens + d.AnswerTokens
		}
		return 0
	}
	return d.Reserved[index]
}
