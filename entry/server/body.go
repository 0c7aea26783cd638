package server

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"arbutusdeck/core/admission"
)

// Errors of a request's body; they are wrapped with the place.
var (
	errBadBody  = errors.New("the body can't be used")
	errTooLarge = errors.New("the body is too large")
	errNoRoom   = errors.New("too many bytes of requests are open")
)

// readBody reads a body into one buffer of its own size. The budget is taken
// before the read, by the announced length, or by the limit if there is none.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, budget *admission.ByteBudget) (data []byte, release func(), err error) {
	size := r.ContentLength
	if size > limit {
		return nil, nil, fmt.Errorf("%w: %d bytes, at most %d are taken", errTooLarge, size, limit)
	}
	if size < 0 {
		size = limit
	}
	if !budget.Reserve(size) {
		return nil, nil, errNoRoom
	}
	var once sync.Once
	release = func() { once.Do(func() { budget.Release(size) }) }
	data, err = readAll(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	if err == nil {
		return data, release, nil
	}
	release()
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, nil, fmt.Errorf("%w: at most %d bytes are taken", errTooLarge, limit)
	}
	return nil, nil, fmt.Errorf("%w: it broke off: %v", errBadBody, err)
}

// readAll reads a body of known length into one buffer, without the growing
// copies of a buffer of unknown size.
func readAll(r io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(r)
	}
	data := make([]byte, length)
	_, err := io.ReadFull(r, data)
	return data, err
}

// completion is what the entry needs of a completion request. The prompt itself
// is only measured where it stands; it is not copied.
type completion struct {
	Model     string     `json:"model"`
	MaxTokens int64      `json:"max_tokens"`
	Stream    streamFlag `json:"stream"`
	Prompt    *measured  `json:"prompt"`
	Messages  *measured  `json:"messages"`
}

// streamFlag is the caller's stream field and where it stands.
type streamFlag struct {
	value   bool
	present bool
	raw     []byte
}

// UnmarshalJSON takes true or false.
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

// prefixBytes is the length of the beginning that prefix affinity looks at.
const prefixBytes = 2048

// measured is a JSON value of which only the size and the hash of its beginning
// are kept.
type measured struct {
	bytes  int
	prefix uint64
}

// UnmarshalJSON measures the value.
func (m *measured) UnmarshalJSON(raw []byte) error {
	m.bytes = len(raw)
	if len(raw) >= prefixBytes {
		m.prefix = xxhash.Sum64(raw[:prefixBytes])
	}
	return nil
}

// parseCompletion reads a completion request. field is the one that holds the
// prompt: prompt or messages.
func parseCompletion(data []byte, field string) (completion, *measured, error) {
	var c completion
	if err := json.Unmarshal(data, &c); err != nil {
		return c, nil, fmt.Errorf("%w: %s", errBadBody, jsonPlace(data, err))
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

// jsonPlace names the line of a JSON error.
func jsonPlace(data []byte, err error) string {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		line := 1 + bytes.Count(data[:min(int(syntax.Offset), len(data))], []byte("\n"))
		return fmt.Sprintf("line %d, byte %d: %v", line, syntax.Offset, err)
	}
	return strings.TrimPrefix(err.Error(), "json: ")
}

// asStream returns the body with its stream field set: between the daemons and
// the engine every answer is streamed, so that the time of its first token is
// known. The field is changed in place or, if absent, added at the end.
func asStream(data []byte, flag streamFlag) []byte {
	if flag.value {
		return data
	}
	if flag.present {
		// raw is a part of data: the distance to the end of the common
		// backing array gives its place. It reads "false", which is as long
		// as "true" with a space.
		start := cap(data) - cap(flag.raw)
		copy(data[start:], "true ")
		return data
	}
	end := bytes.LastIndexByte(data, '}')
	data = append(data[:end], `,"stream":true}`...)
	return data
}
