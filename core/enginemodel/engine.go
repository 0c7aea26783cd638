// Package enginemodel computes how long a model engine takes for a prompt and for its answer. The entry
// predicts with it, the stand-in engine simulates with it, and the experiments evaluate policies with it, so
// that there is one copy of the formulas.
//
// An engine works in passes. A token step costs a fixed time plus a little for each answer being written and
// for its context. Prompts are prefilled between the steps, at most a chunk in each. A pass in which any
// answer is written makes a fixed number of steps and gives each answer one event.
package enginemodel

import (
	"fmt"
	"math"
	"time"
)

// Engine holds the speed and the size of one engine. Times are in milliseconds.
type Engine struct {
	// Slots is the number of requests that run at once.
	Slots int `json:"slots"`
	// MemoryTokens is the size of the KV memory, in tokens.
	MemoryTokens int64 `json:"memoryTokens"`
	// StepMs is the time of a token step without any answer.
	StepMs float64 `json:"stepMs"`
	// StepPerAnswerMs is added to a step for each answer being written.
	StepPerAnswerMs float64 `json:"stepPerAnswerMs"`
	// StepPerContextMs is added to a step for each 1,000 tokens of context of an answer being written.
	StepPerContextMs float64 `json:"stepPerContextMs"`
	// ReadPerMs is the number of prompt tokens prefilled in a millisecond.
	ReadPerMs float64 `json:"readPerMs"`
	// PairsMs is the attention time of a million pairs of a prompt token and an earlier one.
	PairsMs float64 `json:"pairsMs"`
	// Chunk is the maximum number of prompt tokens prefilled in a step.
	Chunk int64 `json:"chunk"`
	// Stride is the number of steps of a pass with answers; an answer gets one event a pass.
	Stride int `json:"stride"`
	// UsualAnswer is the mean length of answers in tokens.
	UsualAnswer int64 `json:"usualAnswer"`
	// HopMs is added to each step of an answer whose memory is distributed.
	HopMs float64 `json:"hopMs"`
}

// Check returns an error that names the first invalid field.
func (e *Engine) Check() error {
	switch {
	case e.Slots < 1:
		return fmt.Errorf("slots %d: give at least 1", e.Slots)
	case e.MemoryTokens < 1:
		return fmt.Errorf("memoryTokens %d: give at least 1", e.MemoryTokens)
	case e.StepMs <= 0:
		return fmt.Errorf("stepMs %g: give a positive time", e.StepMs)
	case e.ReadPerMs <= 0:
		return fmt.Errorf("readPerMs %g: give a positive rate", e.ReadPerMs)
	case e.Chunk < 1:
		return fmt.Errorf("chunk %d: give at least 1", e.Chunk)
	case e.Stride < 1:
		return fmt.Errorf("stride %d: give at least 1", e.Stride)
	}
	return nil
}

const (
	million  = 1e6
	thousand = 1e3
)

// PrefillMs returns the time in which one of several even parts of a prompt is prefilled if nothing else
// runs: its tokens and its share of the attention pairs. StepOverheadMs adds the steps of the chunks.
func (e *Engine) PrefillMs(promptTokens int64, parts int) float64 {
	tokens := float64(promptTokens) / float64(parts)
	pairs := float64(promptTokens) * float64(promptTokens) / 2 / float64(parts) / million
	return tokens/e.ReadPerMs + pairs*e.PairsMs
}

// StepOverheadMs returns the time that the steps of the chunks add to PrefillMs on an engine that writes no
// answer.
func (e *Engine) StepOverheadMs(promptTokens int64, parts int) float64 {
	tokens := promptTokens / int64(parts)
	chunks := (tokens + e.Chunk - 1) / e.Chunk
	return float64(chunks) * e.StepMs
}

// Batch summarizes the answers that an engine is writing.
type Batch struct {
	Answers       int
	ContextTokens int64
}

// PassMs returns the time of a pass in which the batch is written and nothing is prefilled.
func (e *Engine) PassMs(batch Batch) float64 {
	step := e.StepMs + float64(batch.Answers)*e.StepPerAnswerMs + float64(batch.ContextTokens)/thousand*e.StepPerContextMs
	return float64(e.Stride) * step
}

// AnswerMs returns the time in which an answer of some tokens is written as part of a batch, if nothing is
// prefilled meanwhile.
func (e *Engine) AnswerMs(tokens int64, batch Batch) float64 {
	passes := math.Ceil(float64(tokens) / float64(e.Stride))
	return passes * e.PassMs(batch)
}

// PrefillTokensPerPass returns the maximum number of prompt tokens prefilled in a pass with answers.
func (e *Engine) PrefillTokensPerPass() int64 { return e.Chunk * int64(e.Stride) }

// MillisToDuration converts milliseconds to a duration and saturates at the longest one. An overflow would
// make a prompt that no engine could prefill seem to be done in the past.
func MillisToDuration(ms float64) time.Duration {
	if ms >= float64(math.MaxInt64/time.Millisecond) {
		return math.MaxInt64
	}
	return time.Duration(ms * float64(time.Millisecond))
}
