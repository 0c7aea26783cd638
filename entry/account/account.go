// Package account implements the account command: it analyses the log lines of entries and
// reports how requests were served against the targets, pauses and timeouts of their routes:
// by prompt length, by route and over time, with one cause for each request that was not
// served in time. Its memory is bounded, however long the logs are.
package account

import (
	"fmt"
	"io"
	"math/bits"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the memory and precision of a report.
const (
	// maxOpenRequests bounds the requests that have begun and not ended. The requests of a
	// killed entry stay open until its next start.
	maxOpenRequests = 200_000
	// maxBuckets bounds the time buckets; beyond it they are merged in pairs.
	maxBuckets = 240
	// maxHistogramMs is the largest value of the histograms; larger ones are recorded as it.
	maxHistogramMs = 600_000
	// histogramDigits is the precision of the histograms in significant decimal digits.
	histogramDigits = 2
	// muchLongerDoublings is the distance in length classes from which an open prompt counts
	// as much longer than another one, which it may slow down: three doublings, some eight
	// times the length.
	muchLongerDoublings = 3
)

// GroupStats holds the statistics of one group of requests.
type GroupStats struct {
	Requests int
	Causes   map[Cause]int
	// FirstEvent holds the times to the first event of responses, in milliseconds.
	// WithLongPrompts holds those of requests that began while a much longer prompt was open,
	// WithoutLongPrompts those of all others.
	FirstEvent, WithLongPrompts, WithoutLongPrompts *hdrhistogram.Histogram
}

func newGroupStats() *GroupStats {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxHistogramMs, histogramDigits) }
	return &GroupStats{Causes: map[Cause]int{}, FirstEvent: histogram(), WithLongPrompts: histogram(), WithoutLongPrompts: histogram()}
}

func (t *GroupStats) add(cause Cause, first *float64, beside bool) error {
	t.Requests++
	t.Causes[cause]++
	if first == nil {
		return nil
	}
	ms := min(max(int64(*first), 1), maxHistogramMs)
	if err := t.FirstEvent.RecordValue(ms); err != nil {
		return err
	}
	if beside {
		return t.WithLongPrompts.RecordValue(ms)
	}
	return t.WithoutLongPrompts.RecordValue(ms)
}

// Slowdown returns the ratio of the median times to the first event with and without much
// longer open prompts; 0 if one of them is unknown.
func (t *GroupStats) Slowdown() float64 {
	if t.WithLongPrompts.TotalCount() == 0 || t.WithoutLongPrompts.TotalCount() == 0 {
		return 0
	}
	return float64(t.WithLongPrompts.ValueAtQuantile(50)) / float64(t.WithoutLongPrompts.ValueAtQuantile(50))
}

// Bucket counts the requests that began in one interval of time.
type Bucket struct {
	Asked  int
	Causes map[Cause]int
}

// Report holds the statistics of all log lines read. It is not safe for concurrent use.
type Report struct {
	All           *GroupStats
	ByRoute       map[string]*GroupStats
	ByLengthClass map[LengthClass]*GroupStats
	// ByLink groups by the link rate of the entry's host in Mbit/s; 0 if it is unknown.
	// ByUnseen groups by the number of unseen requests: those that ran at the chosen server
	// but were missing from the load table of the entry that chose it.
	ByLink   map[float64]*GroupStats
	ByUnseen map[int]*GroupStats
	Pauses   PauseStats
	// Buckets are keyed by the number of whole BucketWidths since Start.
	Buckets     map[int]*Bucket
	BucketWidth time.Duration
	Start       time.Time
	// BadLines counts the lines that could not be read.
	BadLines int
	// DroppedRequests counts the requests that began while maxOpenRequests were open.
	DroppedRequests int

	openRequests      map[string]*openRequest
	openByLengthClass map[LengthClass]int
	linkMbps          map[string]float64
	servers           activityByServer
	// suspects are the requests under which servers crashed.
	suspects    suspectsByFingerprint
	traffic     traffic
	propagation propagation
}

// New returns an empty report.
func New() *Report {
	return &Report{All: newGroupStats(), ByRoute: map[string]*GroupStats{}, ByLengthClass: map[LengthClass]*GroupStats{}, Buckets: map[int]*Bucket{}, BucketWidth: time.Second,
		ByLink: map[float64]*GroupStats{}, ByUnseen: map[int]*GroupStats{}, openRequests: map[string]*openRequest{}, openByLengthClass: map[LengthClass]int{},
		linkMbps: map[string]float64{}, servers: activityByServer{}, suspects: suspectsByFingerprint{}, traffic: newTraffic(), propagation: newPropagation()}
}

// LengthClass is a class of prompt lengths: class n holds prompts of up to 1,000 * 2^n tokens;
// -1 holds requests without a prompt.
type LengthClass int

const lengthClassTokens = 1000

func lengthClassOf(tokens int64) LengthClass {
	if tokens <= 0 {
		return -1
	}
	return LengthClass(bits.Len64(uint64((tokens - 1) / lengthClassTokens)))
}

// String returns the label of the class: the length of its longest prompts.
func (l LengthClass) String() string {
	if l < 0 {
		return "no prompt"
	}
	return fmt.Sprintf("up to %dk", 1<<l)
}

// Input is one file of log lines; Name identifies it in errors.
type Input struct {
	Name string
	In   io.Reader
}

// progressInterval is the number of lines between two progress reports.
const progressInterval = 250_000

// Read adds all lines of inputs to the report, in the order of their times. It counts lines
// that it can't parse, passes them to onBadLine and goes on; it calls progress every
// progressInterval lines with the number of lines read. It returns an error if an input
// can't be read.
func (a *Report) Read(inputs []Input, report func(*BadLine), progress func(lines int)) error {
	m := &merger{onBadLine: func(bad *BadLine) {
		a.BadLines++
		report(bad)
	}}
	for _, input := range inputs {
		if err := m.add(input.Name, input.In); err != nil {
			return err
		}
	}
	for lines := 1; ; lines++ {
		line, ok, err := m.next()
		if err != nil {
			return err
		}
		if !ok {
			break
		}
		if err := a.observe(&line); err != nil {
			return fmt.Errorf("line of %s at %s: %w", line.Entry, line.Time.Format(time.RFC3339Nano), err)
		}
		if lines%progressInterval == 0 {
			progress(lines)
		}
	}
	return a.finish()
}

func (a *Report) observe(line *Line) error {
	if err := a.propagation.observe(line); err != nil {
		return err
	}
	switch line.Message {
	case messageStarted:
		a.linkMbps[line.Entry] = line.LinkMbps
		a.traffic.restart(line.Entry)
		return a.closeRequestsOf(line.Entry)
	case messageServerChosen:
		a.recordChoice(line)
	case messageExchange:
		a.traffic.update(line)
	case messageAttemptEnded:
		a.suspects.recordAttempt(line)
	case messageRequestEnded:
		return a.recordEnd(line)
	}
	return nil
}

func (a *Report) recordChoice(line *Line) {
	if h := a.openRequests[line.Request]; h != nil {
		a.servers.requestEnded(h.line.Server)
		h.unseen = a.servers.requestPlaced(line)
		h.line.PredictedMs, h.line.WaitedMs, h.line.Server = line.PredictedMs, line.WaitedMs, line.Server
		h.choices++
		return
	}
	if len(a.openRequests) >= maxOpenRequests {
		a.DroppedRequests++
		return
	}
	length := lengthClassOf(line.Tokens)
	a.openRequests[line.Request] = &openRequest{line: *line, choices: 1, besideLong: a.muchLongerOpen(length), unseen: a.servers.requestPlaced(line)}
	a.openByLengthClass[length]++
}

// muchLongerOpen reports whether a prompt is open that is much longer than those of a class.
func (a *Report) muchLongerOpen(length LengthClass) bool {
	for other, count := range a.openByLengthClass {
		if count > 0 && length >= 0 && other >= length+muchLongerDoublings {
			return true
		}
	}
	return false
}

func (a *Report) recordEnd(end *Line) error {
	h := a.openRequests[end.Request]
	if h == nil {
		h = &openRequest{line: *end}
	} else {
		a.removeOpen(end.Request, h)
	}
	return a.countRequest(h, causeOf(h, end), end)
}

func (a *Report) removeOpen(request string, h *openRequest) {
	delete(a.openRequests, request)
	a.servers.requestEnded(h.line.Server)
	a.openByLengthClass[lengthClassOf(h.line.Tokens)]--
}

// closeRequestsOf ends the open requests of an entry that has restarted.
func (a *Report) closeRequestsOf(entry string) error {
	for request, h := range a.openRequests {
		if h.line.Entry != entry {
			continue
		}
		a.removeOpen(request, h)
		if err := a.countRequest(h, EntryTerminated, &Line{}); err != nil {
			return err
		}
	}
	return nil
}

func (a *Report) finish() error {
	for request, h := range a.openRequests {
		a.removeOpen(request, h)
		if err := a.countRequest(h, Unfinished, &Line{}); err != nil {
			return err
		}
	}
	return nil
}

// countRequest adds a request that has ended to all its groups.
func (a *Report) countRequest(h *openRequest, cause Cause, end *Line) error {
	route := h.line.Route
	if route == "" {
		route = "(no route)"
	}
	tallies := []*GroupStats{a.All, statsOf(a.ByRoute, route), statsOf(a.ByLengthClass, lengthClassOf(h.line.Tokens)), statsOf(a.ByLink, a.linkMbps[h.line.Entry])}
	if h.choices > 0 {
		tallies = append(tallies, statsOf(a.ByUnseen, min(h.unseen, maxUnseen)))
	}
	if cause == Pause && end.FirstMs != nil {
		from := end.Time.Add(-millis(end.TookMs - *end.FirstMs))
		a.Pauses.add(a.servers.prefillsBetween(h.line.Server, from, end.Time))
	}
	for _, tally := range tallies {
		if err := tally.add(cause, end.FirstMs, h.besideLong); err != nil {
			return fmt.Errorf("a time of %v ms: %w", *end.FirstMs, err)
		}
	}
	began := h.line.Time
	if !end.Time.IsZero() {
		began = end.Time.Add(-millis(end.TookMs))
	}
	a.countInBucket(began, cause)
	return nil
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func statsOf[K comparable](tallies map[K]*GroupStats, key K) *GroupStats {
	if tallies[key] == nil {
		tallies[key] = newGroupStats()
	}
	return tallies[key]
}

func (a *Report) countInBucket(began time.Time, cause Cause) {
	if a.Start.IsZero() {
		a.Start = began.Truncate(time.Second)
	}
	index := int(began.Sub(a.Start) / a.BucketWidth)
	if a.Buckets[index] == nil {
		a.Buckets[index] = &Bucket{Causes: map[Cause]int{}}
	}
	a.Buckets[index].Asked++
	a.Buckets[index].Causes[cause]++
	for len(a.Buckets) > maxBuckets {
		a.mergeBuckets()
	}
}

// mergeBuckets merges the buckets in pairs, which doubles their width.
func (a *Report) mergeBuckets() {
	merged := map[int]*Bucket{}
	for index, span := range a.Buckets {
		half := index >> 1
		if merged[half] == nil {
			merged[half] = span
			continue
		}
		merged[half].Asked += span.Asked
		for cause, count := range span.Causes {
			merged[half].Causes[cause] += count
		}
	}
	a.Buckets, a.BucketWidth = merged, 2*a.BucketWidth
}
