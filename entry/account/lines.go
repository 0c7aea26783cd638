package account

import (
	"bufio"
	"bytes"
	"container/heap"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"arbutusdeck/core/execution"
)

// Line is what the account reads of one log line. Times and pauses are in milliseconds.
type Line struct {
	Time    time.Time `json:"time"`
	Message string    `json:"msg"`
	// Entry is the name of the entry that wrote the line.
	Entry   string `json:"name"`
	Request string `json:"request"`
	Route   string `json:"route"`
	Tokens  int64  `json:"tokens"`
	// PredictedMs is the time to the first event as predicted when the server was
	// chosen, WaitedMs the time that had passed at the entry.
	PredictedMs float64 `json:"predictedMs"`
	WaitedMs    float64 `json:"waitedMs"`
	// Server and Helpers are the servers chosen, ServerRequests what was believed to run or
	// wait at Server.
	Server         string   `json:"server"`
	Helpers        []string `json:"helpers"`
	ServerRequests int      `json:"serverRequests"`
	// LinkMbps is the rate of the link of an entry's host, in Mbit/s, told at its start.
	LinkMbps float64 `json:"linkMbps"`
	// FirstMs is nil where nothing was delivered.
	FirstMs      *float64 `json:"firstMs"`
	LongestGapMs float64  `json:"longestGapMs"`
	TargetMs     float64  `json:"targetMs"`
	GapMs        float64  `json:"gapMs"`
	TookMs       float64  `json:"tookMs"`
	// Code is empty for an answer of a server that tells of success.
	Code    execution.Code `json:"code"`
	Outcome string         `json:"outcome"`
	// Fingerprint names a request in all its attempts, ServerEnded says that the server of a
	// try was gone, and AnswerMs for how long an answer had come from it; nil if none had.
	Fingerprint string   `json:"fingerprint"`
	ServerEnded bool     `json:"serverEnded"`
	AnswerMs    *float64 `json:"answerMs"`
	// Exchanged and StoreCalls are what an entry has counted since its start.
	Exchanged  MessageCounts        `json:"exchanged"`
	StoreCalls map[string]int64 `json:"storeCalls"`
	// To is the new state of the entry, a server or a zone, Version that of a configuration, Revision
	// that of the store.
	To       StateName   `json:"to"`
	Zone     string `json:"zone"`
	Version  uint64 `json:"version"`
	Revision uint64 `json:"revision"`
}

// StateName is a field that some lines give a word and others a list, which counts as none.
type StateName string

// UnmarshalJSON reads a word.
func (w *StateName) UnmarshalJSON(data []byte) error {
	var word string
	if err := json.Unmarshal(data, &word); err != nil {
		word = ""
	}
	*w = StateName(word)
	return nil
}

// Messages that the account reads; all others are passed over.
const (
	messageStarted = "started"
	messageChosen  = "server chosen"
	messageTried   = "try ended"
	messageEnded   = "request ended"

	messageExchange      = "exchange so far"
	messageState         = "state changed"
	messageConfiguration = "configuration in force"
	messageServer        = "server changed"
	messageZone          = "availability zone changed"
)

// stateServing is an entry's state in which it takes requests.
const stateServing = "serving"

// BadLine is a line that can't be read as a log line.
type BadLine struct {
	File  string
	Line  int
	Cause error
}

func (e *BadLine) Error() string {
	return fmt.Sprintf("%s:%d: not a log line of an entry: %v", e.File, e.Line, e.Cause)
}

var errNoObject = errors.New("no JSON object; give the entries' standard output as it was written")

// parse reads a line. Text before the object is what a collector of logs puts there.
func parse(raw []byte) (Line, error) {
	var line Line
	start := bytes.IndexByte(raw, '{')
	if start < 0 {
		return line, errNoObject
	}
	if err := json.Unmarshal(raw[start:], &line); err != nil {
		return line, err
	}
	if line.Message == "" {
		return line, errNoObject
	}
	return line, nil
}

// maxLineBytes bounds one line. An entry's longest names sixteen helpers in some 1,000
// bytes.
const maxLineBytes = 64 << 10

// source is one file of lines, read one ahead.
type source struct {
	name    string
	in      *bufio.Reader
	number  int
	current Line
}

// advance reads up to the next good line; bad ones are told to report. It returns io.EOF
// at the end.
func (s *source) advance(report func(*BadLine)) error {
	for {
		raw, err := s.next()
		if err != nil && !errors.Is(err, bufio.ErrTooLong) {
			return err
		}
		if err == nil && len(bytes.TrimSpace(raw)) == 0 {
			continue
		}
		line, parsed := parse(raw)
		if err != nil {
			parsed = fmt.Errorf("longer than %d bytes", maxLineBytes)
		}
		if parsed == nil {
			s.current = line
			return nil
		}
		report(&BadLine{s.name, s.number, parsed})
	}
}

// next returns the next line without its end; bufio.ErrTooLong after passing over one
// that is too long.
func (s *source) next() ([]byte, error) {
	var raw []byte
	long := false
	for {
		part, err := s.in.ReadSlice('\n')
		if !long {
			raw = append(raw, part...)
		}
		long = long || len(raw) > maxLineBytes
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil && (!errors.Is(err, io.EOF) || len(raw) == 0) {
			return nil, err
		}
		s.number++
		if long {
			return nil, bufio.ErrTooLong
		}
		return raw, nil
	}
}

// merger hands out the lines of several files in the order of their times, so that what
// entries did at the same moment is seen together.
type merger struct {
	sources []*source
	report  func(*BadLine)
}

func (m *merger) Len() int { return len(m.sources) }
func (m *merger) Less(i, j int) bool {
	return m.sources[i].current.Time.Before(m.sources[j].current.Time)
}
func (m *merger) Swap(i, j int) { m.sources[i], m.sources[j] = m.sources[j], m.sources[i] }
func (m *merger) Push(x any)    { m.sources = append(m.sources, x.(*source)) }
func (m *merger) Pop() any {
	last := m.sources[len(m.sources)-1]
	m.sources = m.sources[:len(m.sources)-1]
	return last
}

// add takes in one more file.
func (m *merger) add(name string, in io.Reader) error {
	s := &source{name: name, in: bufio.NewReader(in)}
	if err := s.advance(m.report); err != nil {
		return ignoreEnd(name, err)
	}
	heap.Push(m, s)
	return nil
}

// next returns the earliest line; false at the end of all files.
func (m *merger) next() (Line, bool, error) {
	if m.Len() == 0 {
		return Line{}, false, nil
	}
	s := m.sources[0]
	line := s.current
	err := s.advance(m.report)
	if err == nil {
		heap.Fix(m, 0)
		return line, true, nil
	}
	heap.Pop(m)
	return line, true, ignoreEnd(s.name, err)
}

func ignoreEnd(name string, err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return fmt.Errorf("reading %s: %w", name, err)
}
