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

// Line holds the fields of a log line that the report uses. Fields whose names end in Ms are in
// milliseconds.
type Line struct {
	Time    time.Time `json:"time"`
	Message string    `json:"msg"`
	// Entry is the name of the entry that wrote the line.
	Entry   string `json:"name"`
	Request string `json:"request"`
	Route   string `json:"route"`
	Tokens  int64  `json:"tokens"`
	// PredictedMs is the time to the first event as predicted when the server was
	// chosen, WaitedMs the time that the request had waited at the entry until then.
	PredictedMs float64 `json:"predictedMs"`
	WaitedMs    float64 `json:"waitedMs"`
	// Server and Helpers are the chosen servers. ServerRequests is the number of requests at
	// Server, running or waiting, in the load table of the choosing entry.
	Server         string   `json:"server"`
	Helpers        []string `json:"helpers"`
	ServerRequests int      `json:"serverRequests"`
	// LinkMbps is the link rate of the entry's host in Mbit/s, logged at its start.
	LinkMbps float64 `json:"linkMbps"`
	// FirstMs is the time to the first event; nil if none was delivered.
	FirstMs      *float64 `json:"firstMs"`
	LongestGapMs float64  `json:"longestGapMs"`
	TargetMs     float64  `json:"targetMs"`
	GapMs        float64  `json:"gapMs"`
	TookMs       float64  `json:"tookMs"`
	// Code is the error code; empty for a successful response of a server.
	Code    execution.Code `json:"code"`
	Outcome string         `json:"outcome"`
	// Fingerprint identifies a request across all its submissions. ServerEnded is set if the
	// server of an attempt crashed. AnswerMs is the time from the first event of the attempt to
	// its end; nil if there was no event.
	Fingerprint string   `json:"fingerprint"`
	ServerEnded bool     `json:"serverEnded"`
	AnswerMs    *float64 `json:"answerMs"`
	// Exchanged and StoreCalls are the entry's counts since its start.
	Exchanged  MessageCounts    `json:"exchanged"`
	StoreCalls map[string]int64 `json:"storeCalls"`
	// To is the new state of the entry, a server or a zone, Version the version of a
	// configuration, Revision the revision of the store. Zone is also that of an entry at its start, and the one
	// that was asked for a placement.
	To       StateName `json:"to"`
	Zone     string    `json:"zone"`
	Version  uint64    `json:"version"`
	Revision uint64    `json:"revision"`
}

// StateName is the name of a state. Other lines have a list in the same field, which is read as
// the empty name.
type StateName string

// UnmarshalJSON accepts any JSON value; all but strings yield the empty name.
func (n *StateName) UnmarshalJSON(data []byte) error {
	var name string
	if err := json.Unmarshal(data, &name); err != nil {
		name = ""
	}
	*n = StateName(name)
	return nil
}

// Messages of the log lines that the report uses; all others are skipped.
const (
	messageStarted      = "started"
	messageServerChosen = "server chosen"
	messageAttemptEnded = "try ended"
	messageRequestEnded = "request ended"

	// messagePlacementEnded is logged for each placement request to another zone.
	messagePlacementEnded = "placement in another zone ended"

	messageExchange      = "exchange so far"
	messageState         = "state changed"
	messageConfiguration = "configuration in force"
	messageServer        = "server changed"
	messageZone          = "availability zone changed"
)

// stateServing is the state of an entry that accepts requests.
const stateServing = "serving"

// BadLine reports a line that can't be parsed as a log line.
type BadLine struct {
	File  string
	Line  int
	Cause error
}

func (e *BadLine) Error() string {
	return fmt.Sprintf("%s:%d: not a log line of an entry: %v", e.File, e.Line, e.Cause)
}

var errNotLogLine = errors.New("no JSON object with a msg field; expected the unmodified standard output of entries")

// parseLine parses a log line. It skips text before the JSON object, as log collectors add a prefix.
func parseLine(raw []byte) (Line, error) {
	var line Line
	start := bytes.IndexByte(raw, '{')
	if start < 0 {
		return line, errNotLogLine
	}
	if err := json.Unmarshal(raw[start:], &line); err != nil {
		return line, err
	}
	if line.Message == "" {
		return line, errNotLogLine
	}
	return line, nil
}

// maxLineBytes bounds the length of a line. The longest line of an entry lists sixteen helpers in
// some 1,000 bytes.
const maxLineBytes = 64 << 10

// source reads one input; current is its next line.
type source struct {
	name    string
	in      *bufio.Reader
	number  int
	current Line
}

// advance reads the next valid line into current and passes invalid ones to onBadLine. It returns
// io.EOF at the end of the input.
func (s *source) advance(onBadLine func(*BadLine)) error {
	for {
		raw, err := s.next()
		if err != nil && !errors.Is(err, bufio.ErrTooLong) {
			return err
		}
		if err == nil && len(bytes.TrimSpace(raw)) == 0 {
			continue
		}
		line, parseErr := parseLine(raw)
		if err != nil {
			parseErr = fmt.Errorf("longer than %d bytes", maxLineBytes)
		}
		if parseErr == nil {
			s.current = line
			return nil
		}
		onBadLine(&BadLine{s.name, s.number, parseErr})
	}
}

// next returns the next line; bufio.ErrTooLong after skipping a line of more than maxLineBytes;
// io.EOF at the end of the input.
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

// merger merges the lines of several inputs in the order of their times, as the report compares
// what several entries did at the same time. It implements heap.Interface.
type merger struct {
	sources   []*source
	onBadLine func(*BadLine)
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

// add adds an input.
func (m *merger) add(name string, in io.Reader) error {
	s := &source{name: name, in: bufio.NewReader(in)}
	if err := s.advance(m.onBadLine); err != nil {
		return ignoreEOF(name, err)
	}
	heap.Push(m, s)
	return nil
}

// next returns the earliest line; false at the end of all inputs.
func (m *merger) next() (Line, bool, error) {
	if m.Len() == 0 {
		return Line{}, false, nil
	}
	s := m.sources[0]
	line := s.current
	err := s.advance(m.onBadLine)
	if err == nil {
		heap.Fix(m, 0)
		return line, true, nil
	}
	heap.Pop(m)
	return line, true, ignoreEOF(s.name, err)
}

func ignoreEOF(name string, err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return fmt.Errorf("reading %s: %w", name, err)
}
