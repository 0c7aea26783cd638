package responses

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// ErrMalformed is wrapped by the error of a request whose response violates the grammar of HTTP/1.1 (RFC 9112) in its head.
var ErrMalformed = errors.New("malformed response")

// ErrHeadTooLarge is wrapped by the error of a request whose response has a larger head than is accepted.
var ErrHeadTooLarge = errors.New("the head of the response is too large")

// Limits of the head of a response, together with those of the interim responses before it.
const (
	maxHeadBytes = 16 << 10
	maxHeadLines = 128
)

// head checks the head of a response, and those of the interim responses before it, as their bytes arrive. The zero value
// awaits the first byte.
type head struct {
	// line is the begin of a line whose end has not arrived.
	line []byte
	// bytes and lines are received of this head and those before it.
	bytes, lines int
	// done is set with the end of the head.
	done bool

	// status is that of the head whose lines arrive; 0 before its status line.
	status int
	// minor is its minor version, length its Content-Length; chunked is set if it has a Transfer-Encoding.
	minor   byte
	length  string
	chunked bool
}

// receive checks the next bytes of a connection, up to the end of the head.
func (h *head) receive(data []byte) error {
	for len(data) > 0 && !h.done {
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			if err := h.count(len(data), 0); err != nil {
				return err
			}
			h.line = append(h.line, data...)
			return nil
		}
		if err := h.count(end+1, 1); err != nil {
			return err
		}
		line := data[:end]
		if len(h.line) > 0 {
			line = append(h.line, line...)
			h.line = nil
		}
		data = data[end+1:]
		if err := h.receiveLine(line); err != nil {
			return err
		}
	}
	return nil
}

// count counts received bytes and lines.
func (h *head) count(bytes, lines int) error {
	h.bytes += bytes
	h.lines += lines
	if h.bytes > maxHeadBytes || h.lines > maxHeadLines {
		return fmt.Errorf("%w: more than %d bytes or %d lines", ErrHeadTooLarge, maxHeadBytes, maxHeadLines)
	}
	return nil
}

// receiveLine checks a line, given without its LF.
func (h *head) receiveLine(line []byte) error {
	text, ok := bytes.CutSuffix(line, []byte("\r"))
	if !ok {
		return malformed("line without CRLF", line)
	}
	switch {
	case h.status == 0:
		return h.receiveStatus(text)
	case len(text) > 0:
		return h.receiveField(text)
	}
	if err := h.checkFraming(); err != nil {
		return err
	}
	if isInterim(h.status) {
		*h = head{bytes: h.bytes, lines: h.lines}
	} else {
		h.done = true
	}
	return nil
}

// Status lines are `HTTP/1.x NNN reason`, where the reason may be empty.
const (
	versionPrefix = "HTTP/1."
	statusAt      = len(versionPrefix) + 2
	reasonAt      = statusAt + 4
)

func (h *head) receiveStatus(line []byte) error {
	if len(line) < reasonAt || string(line[:len(versionPrefix)]) != versionPrefix || !isDigit(line[len(versionPrefix)]) ||
		line[statusAt-1] != ' ' || line[reasonAt-1] != ' ' || !isText(line[reasonAt:]) {
		return malformed("status line", line)
	}
	h.minor = line[len(versionPrefix)] - '0'
	for _, c := range line[statusAt : reasonAt-1] {
		if !isDigit(c) {
			return malformed("status line", line)
		}
		h.status = 10*h.status + int(c-'0')
	}
	// All valid status codes are within 100 and 599. No request asks for another protocol.
	if h.status < 100 || h.status > 599 || h.status == http.StatusSwitchingProtocols {
		return malformed("status", line)
	}
	return nil
}

func (h *head) receiveField(line []byte) error {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !isToken(name) || !isText(value) {
		return malformed("field", line)
	}
	switch {
	case strings.EqualFold(string(name), "Content-Length"):
		return h.receiveLength(string(bytes.Trim(value, " \t")))
	case strings.EqualFold(string(name), "Transfer-Encoding"):
		h.chunked = true
	}
	return nil
}

// receiveLength checks a Content-Length. It may come again if it is the same.
func (h *head) receiveLength(length string) error {
	if length == "" || strings.Trim(length, "0123456789") != "" || h.length != "" && h.length != length {
		return malformed("length", []byte(length))
	}
	h.length = length
	return nil
}

// checkFraming checks what the head states of the length of its body. A reader that resolves a contradiction by guess takes
// bytes that the server did not send as its body.
func (h *head) checkFraming() error {
	noBody := isInterim(h.status) || h.status == http.StatusNoContent
	switch {
	case h.chunked && (h.minor == 0 || h.length != "" || noBody), noBody && strings.Trim(h.length, "0") != "":
		return malformed("framing", []byte(h.length))
	}
	return nil
}

func isInterim(status int) bool { return status >= 100 && status < 200 }

// maxQuoted bounds the bytes of a response that an error quotes.
const maxQuoted = 64

func malformed(part string, text []byte) error {
	return fmt.Errorf("%w: %s %q", ErrMalformed, part, text[:min(len(text), maxQuoted)])
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// isToken reports whether text is a token, as names of fields are.
func isToken(text []byte) bool {
	for _, c := range text {
		if !isDigit(c) && (c|0x20 < 'a' || c|0x20 > 'z') && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return len(text) > 0
}

// isText reports whether text has no control bytes but tabs, as the values of fields and reasons.
func isText(text []byte) bool {
	for _, c := range text {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
