package responses

import (
	"bufio"
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// check returns the verdict on the bytes of a connection that ends after them.
func check(bytes string) (done bool, err error) {
	h := &head{}
	err = h.receive([]byte(bytes))
	return h.done, err
}

// The grammar of heads, in the words of RFC 9112 and RFC 9110, apart from the rules of framing.
var (
	statusGrammar = regexp.MustCompile(`^HTTP/1\.[0-9] [1-5][0-9]{2} [\t\x20-\x7e\x{80}-\x{ff}]*$`)
	fieldGrammar  = regexp.MustCompile("^[!#$%&'*+\\-.^_`|~0-9A-Za-z]+:[\\t\\x20-\\x7e\\x{80}-\\x{ff}]*$")
	lengthGrammar = regexp.MustCompile(`(?i)^Content-Length:[\t ]*(.*?)[\t ]*$`)
	digits        = regexp.MustCompile(`^[0-9]+$`)
)

// latin1 returns a string whose runes are the bytes of text.
func latin1(text string) string {
	runes := make([]rune, len(text))
	for i := range len(text) {
		runes[i] = rune(text[i])
	}
	return string(runes)
}

// allowed reports whether the grammar allows a head of a status other than 1xx and 204, without transfer codings.
func allowed(text string) bool {
	text = latin1(text)
	before, _, ended := strings.Cut(text, "\r\n\r\n")
	if !ended {
		return false
	}
	lines := strings.Split(before, "\r\n")
	for i, line := range lines {
		if i == 0 && !statusGrammar.MatchString(line) || i > 0 && !fieldGrammar.MatchString(line) {
			return false
		}
		if length := lengthGrammar.FindStringSubmatch(line); length != nil && !digits.MatchString(length[1]) {
			return false
		}
	}
	return true
}

// Guards against a check by a list of known cases: every byte of a head is replaced by every other one, and what the check
// accepts is exactly what the grammar allows. What it accepts net/http reads without a change.
func TestTheGrammarDecides(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nX-Name: a value\r\nContent-Length: 17\r\nY:\r\n\r\n"
	accepted := 0
	for at := range len(whole) {
		for c := range 256 {
			text := whole[:at] + string([]byte{byte(c)}) + whole[at+1:]
			if strings.HasPrefix(text, "HTTP/1.1 1") || strings.HasPrefix(text, "HTTP/1.1 204") {
				continue // these have no body
			}
			done, err := check(text)
			require.Equal(t, allowed(text), done && err == nil, "%q", text)
			if err != nil {
				require.ErrorIs(t, err, ErrMalformed)
				continue
			}
			if !done {
				continue
			}
			accepted++
			response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
			require.NoError(t, err, "%q", text)
			for name := range response.Header {
				require.Regexp(t, fieldGrammar, name+":")
			}
		}
	}
	require.Greater(t, accepted, 1000, "legal heads too")
}

// Guards against a verdict that depends on how the bytes arrive.
func TestHeadsArriveInPieces(t *testing.T) {
	for _, text := range []string{"HTTP/1.1 200 OK\r\nA: b\r\n\r\nbody", "HTTP/1.1 100 \r\nA: b\r\n\r\nHTTP/1.0 404 \r\n\r\n", "HTTP/1.1 200 OK\r\nA b: c\r\n\r\n"} {
		done, err := check(text)
		h := &head{}
		var piecewise error
		for i := 0; i < len(text) && piecewise == nil; i++ {
			piecewise = h.receive([]byte{text[i]})
		}
		require.Equal(t, done, h.done, "%q", text)
		require.Equal(t, err, piecewise, "%q", text)
	}
}

// Guards against the statuses that net/http accepts beyond those of HTTP, and a switch of protocols that nobody asked for.
func TestStatusesAreWithinTheirRange(t *testing.T) {
	for status := range 1000 {
		done, err := check(fmt.Sprintf("HTTP/1.1 %03d \r\n\r\n", status))
		interim := status >= 100 && status < 200 && status != 101
		require.Equal(t, status >= 200 && status < 600, done, status)
		require.Equal(t, done || interim, err == nil, status)
	}
}

// Guards against a body that is framed by guess.
func TestContradictionsOfFramingAreMalformed(t *testing.T) {
	const length, chunked = "Content-Length: 5\r\n", "transfer-encoding: chunked\r\n"
	for text, ok := range map[string]bool{
		"HTTP/1.1 200 OK\r\n" + chunked:                                true,
		"HTTP/1.1 200 OK\r\n" + length + length:                        true,
		"HTTP/1.1 200 OK\r\n" + length + "content-length:6\r\n":        false,
		"HTTP/1.1 200 OK\r\n" + length + chunked:                       false,
		"HTTP/1.1 200 OK\r\n" + chunked + length:                       false,
		"HTTP/1.0 200 OK\r\n" + chunked:                                false,
		"HTTP/1.0 200 OK\r\n" + length:                                 true,
		"HTTP/1.1 204 No Content\r\n" + length:                         false,
		"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n":             true,
		"HTTP/1.1 204 No Content\r\n" + chunked:                        false,
		"HTTP/1.1 304 Not Modified\r\n" + length:                       true,
		"HTTP/1.1 103 Hints\r\n" + chunked + "\r\nHTTP/1.1 200 \r\n":   false,
		"HTTP/1.1 103 Hints\r\nA: b\r\n\r\nHTTP/1.1 200 \r\n" + length: true,
	} {
		done, err := check(text + "\r\n")
		require.Equal(t, ok, done && err == nil, "%q", text)
	}
}

// Guards against heads without end, and against limits that depend on how the bytes arrive or restart with each interim
// response. Heads of exactly the limits are accepted.
func TestHeadsAreLimited(t *testing.T) {
	const begin, end = "HTTP/1.1 200 OK\r\n", "\r\n"
	long := func(size int) string {
		return begin + "X: " + strings.Repeat("x", size-len(begin)-len("X: \r\n")-len(end)) + "\r\n" + end
	}
	many := func(lines int) string { return begin + strings.Repeat("a:\r\n", lines-2) + end }
	const interim = "HTTP/1.1 103 \r\n\r\n"
	for text, ok := range map[string]bool{
		long(maxHeadBytes): true, long(maxHeadBytes + 1): false, many(maxHeadLines): true, many(maxHeadLines + 1): false,
		strings.Repeat(interim, maxHeadLines/2-1) + begin + end: true, strings.Repeat(interim, maxHeadLines/2) + begin + end: false,
		strings.Repeat("x", maxHeadBytes+1): false,
	} {
		done, err := check(text)
		require.Equal(t, ok, done && err == nil, "%d bytes: %v", len(text), err)
		piecewise := &head{}
		var pieceErr error
		for i := 0; i < len(text) && pieceErr == nil; i++ {
			pieceErr = piecewise.receive([]byte{text[i]})
		}
		require.Equal(t, ok, piecewise.done && pieceErr == nil)
		if !ok {
			require.ErrorIs(t, err, ErrHeadTooLarge)
			require.ErrorIs(t, pieceErr, ErrHeadTooLarge)
		}
	}
}
