package server

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"arbutusdeck/core/callers"
)

// Errors of reading and parsing a request body. They are wrapped with the details.
var (
	errBadBody      = errors.New("the body can't be used")
	errBodyTooLarge = errors.New("the body is too large")
	errBodyBudget   = errors.New("too many bytes of requests are open")
)

// readBody reads a body into one buffer, whose memory is reserved at the caller's connection; release gives it back.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) (data []byte, release func(), err error) {
	if r.ContentLength > limit {
		return nil, nil, fmt.Errorf("%w: %d bytes, at most %d are taken", errBodyTooLarge, r.ContentLength, limit)
	}
	connection, reserved := callers.ConnOf(r), int64(0)
	reserve := func(from, to int64) bool {
		ok := connection.ReserveBody(from, to)
		if ok {
			reserved = to
		}
		return ok
	}
	release = sync.OnceFunc(func() { connection.ReleaseBody(reserved) })
	data, err = callers.ReadBody(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, limit, reserve)
	if err == nil && connection.BodyReceived() {
		return data, release, nil
	}
	release()
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil, connection.IsClosed():
		return nil, nil, fmt.Errorf("%w: the body came slowly and its connection was closed for another request", errBodyBudget)
	case errors.As(err, &tooLarge):
		return nil, nil, fmt.Errorf("%w: at most %d bytes are taken", errBodyTooLarge, limit)
	case errors.Is(err, callers.ErrMemoryFull):
		return nil, nil, errBodyBudget
	}
	return nil, nil, fmt.Errorf("%w: it broke off: %v", errBadBody, err)
}

// completion holds the fields of a completion request that the entry needs. The prompt
// is only measured in the body; it is not copied.
type completion struct {
	Model     string         `json:"model"`
	MaxTokens int64          `json:"max_tokens"`
	Stream    streamFlag     `json:"stream"`
	Prompt    *measuredValue `json:"prompt"`
	Messages  *measuredValue `json:"messages"`
}

// streamFlag is the stream field of a request. raw is its text, a part of the body's buffer.
type streamFlag struct {
	value   bool
	present bool
	raw     []byte
}

// UnmarshalJSON accepts true and false only.
func (f *streamFlag) UnmarshalJSON(raw []byte) error {
	switch string(raw) {
	case "true":
		f.value = true
	case "false":
		f.value = false
	default:
		return errors.New("stream must be true or false")
	}
	f.present = true
	f.raw = raw
	return nil
}

// prefixBytes is the length of the prompt prefix that is hashed for prefix affinity.
const prefixBytes = 2048

// measuredValue records the size in bytes of a JSON value and the hash of its first
// prefixBytes, without the value itself; the hash of a shorter value is 0.
type measuredValue struct {
	bytes  int
	prefix uint64
}

// UnmarshalJSON records the size and the prefix hash of the value.
func (m *measuredValue) UnmarshalJSON(raw []byte) error {
	m.bytes = len(raw)
	if len(raw) >= prefixBytes {
		m.prefix = xxhash.Sum64(raw[:prefixBytes])
	}
	return nil
}

// parseCompletion parses a completion request. field is the name of the field with the
// prompt: "prompt" or "messages".
func parseCompletion(data []byte, field string) (completion, *measuredValue, error) {
	var c completion
	if err := json.Unmarshal(data, &c); err != nil {
		return c, nil, fmt.Errorf("%w: %s", errBadBody, jsonErrorPosition(data, err))
	}
	prompt := c.Prompt
	if field == "messages" {
		prompt = c.Messages
	}
	if prompt == nil || prompt.bytes <= len(`""`) {
		return c, nil, fmt.Errorf("%w: give a non-empty %q", errBadBody, field)
	}
	if c.MaxTokens < 0 {
		return c, nil, fmt.Errorf("%w: max_tokens must not be negative", errBadBody)
	}
	return c, prompt, nil
}

// jsonErrorPosition formats a JSON error, a syntax error with its line and byte offset.
func jsonErrorPosition(data []byte, err error) string {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		line := 1 + bytes.Count(data[:min(int(syntax.Offset), len(data))], []byte("\n"))
		return fmt.Sprintf("line %d, byte %d: %v", line, syntax.Offset, err)
	}
	return strings.TrimPrefix(err.Error(), "json: ")
}

// enableStream returns the body with its stream field set to true. Responses between the
// engine and the daemons are always streamed, so that the time of the first token is
// known. It overwrites the field in data or, if the field is absent, appends it.
func enableStream(data []byte, flag streamFlag) []byte {
	if flag.value {
		return data
	}
	if flag.present {
		// raw is a slice of data and shares its backing array, so the difference of
		// the capacities is its offset. It reads "false", which is as long as "true "
		// with the trailing space.
		start := cap(data) - cap(flag.raw)
		copy(data[start:], "true ")
		return data
	}
	end := bytes.LastIndexByte(data, '}')
	data = append(data[:end], `,"stream":true}`...)
	return data
}
