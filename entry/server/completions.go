package server

import (
	"net/http"

	"github.com/cespare/xxhash/v2"

	"arbutusdeck/core/callers"
	"arbutusdeck/core/config"
	"arbutusdeck/core/execution"
	"arbutusdeck/core/frontend"
	"arbutusdeck/core/quarantine"
)

// answerTokenBytes is the text of a token of a response that is collected before it is sent, in bytes.
const answerTokenBytes = 16

// complete serves a completion request; field is the name of the field with the prompt.
func (s *Server) complete(c *call, field string) error {
	name, kind, err := c.requestKind(c.r.Header.Get(headerKind))
	if err != nil {
		return err
	}
	deadline, err := c.deadlineOf(kind.Deadline.D())
	if err != nil {
		return err
	}
	data, release, err := s.readBody(c)
	if err != nil {
		return err
	}
	defer release()
	parsed, prompt, err := parseCompletion(data, field)
	if err != nil {
		return refusef(codeBadRequest, "%v", err)
	}
	hall := c.snapshot.Halls[kind.Hall]
	if parsed.Model != "" && parsed.Model != hall.Model {
		return refusef(codeNotFound, "the request kind %q serves the model %q, not %q", name, hall.Model, parsed.Model)
	}
	t, err := s.completionTask(c, name, kind, parsed, prompt, xxhash.Sum64(data))
	if err != nil {
		return err
	}
	t.options.Deadline, t.offer.DeadlineUnixMs = deadline, deadline.UnixMilli()
	t.options.Buffered = !parsed.Stream.value
	t.fingerprint = quarantine.FingerprintOf(c.workspace, http.MethodPost, name, c.r.URL.Path, data)
	t.body, t.release = enableStream(data, parsed.Stream), release
	if t.sink, err = newCompletionSink(c, t, field == "messages"); err != nil {
		return err
	}
	return s.admitAndRun(c, t)
}

// newCompletionSink returns the sink of a completion request. It reserves memory for a response that is collected.
func newCompletionSink(c *call, t *task, chat bool) (sink, error) {
	if !t.options.Buffered {
		return newPassthroughSink(c.w), nil
	}
	memory := &collectedMemory{reserve: callers.ConnOf(c.r.Request).Reserve}
	if memory.grow(int(t.offer.AnswerTokens)*answerTokenBytes) != nil {
		return nil, &refusedError{memoryRefusal}
	}
	return newBufferedSink(c.w, chat, memory), nil
}

// completionTask returns the task of a completion request.
func (s *Server) completionTask(c *call, name string, kind config.Kind, parsed completion, prompt *measuredValue, hash uint64) (*task, error) {
	tokens := int64(float64(prompt.bytes)/s.options.Settings.BytesPerToken) + 1
	class, ok := c.snapshot.ClassOf(tokens)
	if !ok {
		return nil, refusef(execution.CodeTooLong, "the prompt has about %d tokens, more than every length class takes", tokens)
	}
	answer := kind.MaxAnswerTokens
	if parsed.MaxTokens > 0 {
		answer = min(answer, parsed.MaxTokens)
	}
	key, home, err := s.idempotencyKey(c, "", kind.Hall, hash)
	if err != nil {
		return nil, err
	}
	t := s.newTask(c, key, home)
	t.options.Retryable = kind.Repeatable
	t.path, t.contentType, t.method = c.r.URL.Path, "application/json", http.MethodPost
	t.offer.Kind, t.offer.Hall, t.offer.LengthClass = name, kind.Hall, class
	t.offer.PromptTokens, t.offer.AnswerTokens, t.offer.Prefix = tokens, answer, prompt.prefix
	t.query.Rank = c.snapshot.ClassRank(class)
	t.query.PromptTokens, t.query.AnswerTokens, t.query.Prefix = tokens, answer, prompt.prefix
	t.record.Kind, t.record.Class, t.record.Tokens = name, class, tokens
	placement, refusal := frontend.Place(c.snapshot, kind.Hall, tokens+answer)
	if refusal != nil {
		return nil, &refusedError{*refusal}
	}
	t.query.Pool, t.groups = placement.Pool, placement.Groups
	return t, nil
}
