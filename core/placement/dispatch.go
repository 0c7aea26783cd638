package placement

import (
	"fmt"
	"time"
)

// Dispatch is one request that was sent to a server. Entries tell each other of
// their dispatches.
type Dispatch struct {
	ID     string `cbor:"1,keyasint,omitempty"`
	Server string `cbor:"2,keyasint,omitempty"`
	// Helpers read parts of the prompt.
	Helpers []string `cbor:"3,keyasint,omitempty"`
	// Reserved is what Server and each of Helpers keep in reservations, in tokens;
	// empty where the whole prompt stays at Server.
	Reserved []int64 `cbor:"4,keyasint,omitempty"`
	// PromptTokens is 0 for a plain service's request.
	PromptTokens int64 `cbor:"5,keyasint,omitempty"`
	// AnswerTokens is the expected length of the answer.
	AnswerTokens int64 `cbor:"6,keyasint,omitempty"`
	// Gap is the longest pause between events that the caller expects.
	Gap time.Duration `cbor:"7,keyasint,omitempty"`
	// Target is when the first event is expected, counted from now on.
	Target time.Duration `cbor:"8,keyasint,omitempty"`
	// Lifetime bounds how long the request may last from now on.
	Lifetime time.Duration `cbor:"9,keyasint,omitempty"`
}

// Bounds of what a dispatch may tell.
const (
	// maxTokens bounds its tokens, as those that callers name.
	maxTokens = 1<<31 - 1
	// maxTime bounds its times: longer than any route waits.
	maxTime = 24 * time.Hour
	// maxHelpers is more than engines take, which is sixteen.
	maxHelpers = 64
)

// Check returns an error that names the first value that makes no sense. What an entry sends
// goes to all others: a dispatch of which they can't make sense must not end them all.
func (d *Dispatch) Check() error {
	if len(d.Helpers) > maxHelpers {
		return fmt.Errorf("%d helpers: %d at the most", len(d.Helpers), maxHelpers)
	}
	if len(d.Reserved) > 0 && len(d.Reserved) != d.parts() {
		return fmt.Errorf("memory held at %d servers of %d", len(d.Reserved), d.parts())
	}
	for _, tokens := range append([]int64{d.PromptTokens, d.AnswerTokens}, d.Reserved...) {
		if tokens < 0 || tokens > maxTokens {
			return fmt.Errorf("%d tokens: 0 to %d", tokens, maxTokens)
		}
	}
	for _, length := range []time.Duration{d.Gap, d.Target, d.Lifetime} {
		if length.Abs() > maxTime { // one that has just passed is below 0
			return fmt.Errorf("a time of %s: %s at the most", length, maxTime)
		}
	}
	return nil
}

// parts is how many servers read the prompt.
func (d *Dispatch) parts() int { return len(d.Helpers) + 1 }

// memoryAt returns the memory that the dispatch takes on its server (index 0) or a
// helper, in tokens.
func (d *Dispatch) memoryAt(index int) int64 {
	if len(d.Reserved) == 0 {
		if index == 0 {
			return d.PromptTokens + d.AnswerTokens
		}
		return 0
	}
	return d.Reserved[index]
}
