package server

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"arbutusdeck/core/callers"
	"arbutusdeck/core/execution"
)

// sink writes the response to the caller. write and end return an error once the caller
// has disconnected.
type sink interface {
	write(frame execution.Frame) error
	end() error
	// discard drops the frames that a buffering sink has collected.
	discard()
	// fail reports an error: as an error response, or as an event if an event stream has begun. If another response has
	// begun it returns http.ErrAbortHandler.
	fail(id execution.RequestID, outcome execution.Outcome, refusal execution.Refusal) error
}

// passthroughSink writes each frame to the caller at once.
type passthroughSink struct {
	w       http.ResponseWriter
	control *http.ResponseController
	started bool
	// events is set if the response is an event stream.
	events bool
}

func newPassthroughSink(w http.ResponseWriter) *passthroughSink {
	return &passthroughSink{w: w, control: http.NewResponseController(w)}
}

func (s *passthroughSink) write(frame execution.Frame) error {
	if !s.started {
		s.started, s.events = true, isEventStream(frame)
		if frame.ContentType != "" {
			s.w.Header().Set("Content-Type", frame.ContentType)
		}
		s.w.Header().Set(headerRun, execution.Finished.String())
		if frame.Status > 0 {
			s.w.WriteHeader(frame.Status)
		}
	}
	if _, err := s.w.Write(frame.Payload); err != nil {
		return err
	}
	return s.control.Flush()
}

func (s *passthroughSink) end() error { return nil }

func (s *passthroughSink) discard() {}

// fail writes an error event if a part of an event stream was written. The caller can distinguish
// such a response from a complete one, which ends with data: [DONE]. Another response would look complete
// if it ended regularly.
func (s *passthroughSink) fail(id execution.RequestID, outcome execution.Outcome, refusal execution.Refusal) error {
	if !s.started {
		return writeProblem(s.w, id, outcome, refusal)
	}
	if !s.events {
		return http.ErrAbortHandler
	}
	encoded, err := json.Marshal(newProblem(id, outcome, refusal))
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(s.w, "event: error\ndata: %s\n\n", encoded)
	return err
}

// bufferedSink collects a streamed response into one JSON object, for callers that did
// not request a stream.
type bufferedSink struct {
	w            http.ResponseWriter
	pending      []byte
	firstEvent   map[string]json.RawMessage
	text         bytes.Buffer
	finishReason string
	chat         bool
	passthrough  *passthroughSink // set if the engine's response is not an event stream
	memory       *collectedMemory
}

// newBufferedSink returns a sink whose response takes the memory that is given.
func newBufferedSink(w http.ResponseWriter, chat bool, memory *collectedMemory) *bufferedSink {
	return &bufferedSink{w: w, chat: chat, memory: memory}
}

func (s *bufferedSink) discard() { *s = *newBufferedSink(s.w, s.chat, s.memory) }

// collectedMemory is the memory of a response that is collected.
type collectedMemory struct {
	// reserve reserves more memory, reserved is what has been.
	reserve  func(bytes int64) bool
	reserved int64
}

// collectedCopies is the number of copies of a response's text while its buffers grow.
const collectedCopies = 2

// grow reserves memory for a text of a size, or returns callers.ErrMemoryFull: an engine may send without end.
func (m *collectedMemory) grow(size int) error {
	needed := int64(size) * collectedCopies
	if needed <= m.reserved {
		return nil
	}
	if !m.reserve(needed - m.reserved) {
		return callers.ErrMemoryFull
	}
	m.reserved = needed
	return nil
}

const eventStream = "text/event-stream"

func isEventStream(frame execution.Frame) bool {
	return strings.HasPrefix(frame.ContentType, eventStream)
}

func (s *bufferedSink) write(frame execution.Frame) error {
	if s.passthrough == nil && s.firstEvent == nil && !isEventStream(frame) {
		s.passthrough = newPassthroughSink(s.w)
	}
	if s.passthrough != nil {
		return s.passthrough.write(frame)
	}
	if err := s.memory.grow(s.text.Len() + len(s.pending) + len(frame.Payload)); err != nil {
		return err
	}
	s.pending = append(s.pending, frame.Payload...)
	for {
		event, rest, found := bytes.Cut(s.pending, []byte("\n\n"))
		if !found {
			return nil
		}
		s.pending = rest
		s.appendEvent(event)
	}
}

// streamChunk holds the fields of a streamed event that bufferedSink collects.
type streamChunk struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
}

func (s *bufferedSink) appendEvent(event []byte) {
	data, ok := bytes.CutPrefix(event, []byte("data: "))
	if !ok || bytes.Equal(data, []byte("[DONE]")) {
		return
	}
	if s.firstEvent == nil && json.Unmarshal(data, &s.firstEvent) != nil {
		return
	}
	var c streamChunk
	if json.Unmarshal(data, &c) != nil || len(c.Choices) == 0 {
		return
	}
	s.text.WriteString(c.Choices[0].Text)
	s.text.WriteString(c.Choices[0].Delta.Content)
	if c.Choices[0].FinishReason != "" {
		s.finishReason = c.Choices[0].FinishReason
	}
}

type completionChoice struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	FinishReason string       `json:"finish_reason"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (s *bufferedSink) end() error {
	if s.passthrough != nil {
		return s.passthrough.end()
	}
	text := s.text.String()
	choice := completionChoice{Text: &text, FinishReason: s.finishReason}
	object := `"text_completion"`
	if s.chat {
		choice.Text, choice.Message = nil, &chatMessage{Role: "assistant", Content: text}
		object = `"chat.completion"`
	}
	if s.firstEvent == nil {
		s.firstEvent = map[string]json.RawMessage{}
	}
	choices, err := json.Marshal([]completionChoice{choice})
	if err != nil {
		return err
	}
	s.firstEvent["choices"], s.firstEvent["object"] = choices, json.RawMessage(object)
	s.w.Header().Set("Content-Type", "application/json")
	s.w.Header().Set(headerRun, execution.Finished.String())
	return json.NewEncoder(s.w).Encode(s.firstEvent)
}

func (s *bufferedSink) fail(id execution.RequestID, outcome execution.Outcome, refusal execution.Refusal) error {
	if s.passthrough != nil {
		return s.passthrough.fail(id, outcome, refusal)
	}
	return writeProblem(s.w, id, outcome, refusal)
}
