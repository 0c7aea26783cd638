// Package account reads the log lines of entries and tells what callers got: against
// each route's target, pause and time, by length of prompt, by route and by second, with
// one cause for each request that was not served in time. Its memory is bounded, however
// long the logs are.
package account

import (
	"fmt"
	"io"
	"math/bits"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of what is kept.
const (
	// maxOpen bounds the requests that have begun and not ended. An entry that was
	// killed never ends its requests; its next start does.
	maxOpen = 200_000
	// maxSpans bounds the rows by time; beyond it rows are merged in pairs.
	maxSpans = 240
	// longestMs is the longest time that histograms tell apart.
	longestMs = 600_000
	// histogramDigits is their precision: two decimal digits.
	histogramDigits = 2
	// besideFactor is how many doublings longer a prompt is that counts as one
	// beside which others may be slowed down: at least eight times.
	besideFactor = 3
)

// GroupStats is what the requests of a group got.
type GroupStats struct {
	Requests  int
	Causes map[Cause]int
	// FirstEvent is the times to the first event in milliseconds, of answers; WithLongPrompts and
	// WithoutLongPrompts are the same of those that began while a much longer prompt was under way,
	// and of the others.
	FirstEvent, WithLongPrompts, WithoutLongPrompts *hdrhistogram.Histogram
}

func newTally() *GroupStats {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, longestMs, histogramDigits) }
	return &GroupStats{Causes: map[Cause]int{}, FirstEvent: histogram(), WithLongPrompts: histogram(), WithoutLongPrompts: histogram()}
}

func (t *GroupStats) add(cause Cause, first *float64, beside bool) error {
	t.Requests++
	t.Causes[cause]++
	if first == nil {
		return nil
	}
	ms := min(max(int64(*first), 1), longestMs)
	if err := t.FirstEvent.RecordValue(ms); err != nil {
		return err
	}
	if beside {
		return t.WithLongPrompts.RecordValue(ms)
	}
	return t.WithoutLongPrompts.RecordValue(ms)
}

// Slowdown is the median time to the first event beside much longer prompts over that
// without any; 0 where one of them is unknown.
func (t *GroupStats) Slowdown() float64 {
	if t.WithLongPrompts.TotalCount() == 0 || t.WithoutLongPrompts.TotalCount() == 0 {
		return 0
	}
	return float64(t.WithLongPrompts.ValueAtQuantile(50)) / float64(t.WithoutLongPrompts.ValueAtQuantile(50))
}

// Bucket is what callers got whose requests began in a span of time.
type Bucket struct {
	Asked  int
	Causes map[Cause]int
}

// Report is not safe for concurrent use.
type Report struct {
	All      *GroupStats
	ByRoute  map[string]*GroupStats
	ByLengthClass map[LengthClass]*GroupStats
	// ByLink is by the rate of the link of the entry's host, in Mbit/s; 0 where it is not
	// told. ByLacked is by how many requests at the first server the chooser did not know.
	ByLink   map[float64]*GroupStats
	ByUnseen map[int]*GroupStats
	Pauses   PauseStats
	// Buckets are by the number of Step since the first line.
	Buckets map[int]*Bucket
	BucketWidth  time.Duration
	Start  time.Time
	// BadLines counts the lines that could not be read.
	BadLines int
	// DroppedRequests counts the requests that were forgotten before they ended.
	DroppedRequests int

	open   map[string]*history
	under  map[LengthClass]int
	links  map[string]float64
	places places
	// endings are the requests under which servers ended.
	endings endings
	traffic traffic
	spread  spread
}

// New returns an empty account.
func New() *Report {
	return &Report{All: newTally(), ByRoute: map[string]*GroupStats{}, ByLengthClass: map[LengthClass]*GroupStats{}, Buckets: map[int]*Bucket{}, BucketWidth: time.Second,
		ByLink: map[float64]*GroupStats{}, ByUnseen: map[int]*GroupStats{}, open: map[string]*history{}, under: map[LengthClass]int{},
		links: map[string]float64{}, places: places{}, endings: endings{}, traffic: newTraffic(), spread: newSpread()}
}

// LengthClass is a class of prompts: those of up to 1,000 tokens times two to its power; -1
// for requests without a prompt.
type LengthClass int

const tokensUnit = 1000

func lengthOf(tokens int64) LengthClass {
	if tokens <= 0 {
		return -1
	}
	return LengthClass(bits.Len64(uint64((tokens - 1) / tokensUnit)))
}

// String names the class by its longest prompts.
func (l LengthClass) String() string {
	if l < 0 {
		return "no prompt"
	}
	return fmt.Sprintf("up to %dk", 1<<l)
}

// Input is one file of log lines.
type Input struct {
	Name string
	In   io.Reader
}

// progressLines is after how many lines progress is told.
const progressLines = 250_000

// Read takes in all lines of some files. Bad lines are told to report and counted;
// progress is called now and then with the number of lines read.
func (a *Report) Read(inputs []Input, report func(*BadLine), progress func(lines int)) error {
	m := &merger{report: func(bad *BadLine) {
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
		if err := a.take(&line); err != nil {
			return fmt.Errorf("line of %s at %s: %w", line.Entry, line.Time.Format(time.RFC3339Nano), err)
		}
		if lines%progressLines == 0 {
			progress(lines)
		}
	}
	return a.finish()
}

func (a *Report) take(line *Line) error {
	if err := a.spread.take(line); err != nil {
		return err
	}
	switch line.Message {
	case messageStarted:
		a.links[line.Entry] = line.LinkMbps
		a.traffic.started(line.Entry)
		return a.closeEntry(line.Entry)
	case messageChosen:
		a.chosen(line)
	case messageExchange:
		a.traffic.told(line)
	case messageTried:
		a.endings.tried(line)
	case messageEnded:
		return a.ended(line)
	}
	return nil
}

func (a *Report) chosen(line *Line) {
	if h := a.open[line.Request]; h != nil {
		a.places.left(h.line.Server)
		h.lacked = a.places.chosen(line)
		h.line.PredictedMs, h.line.WaitedMs, h.line.Server = line.PredictedMs, line.WaitedMs, line.Server
		h.choices++
		return
	}
	if len(a.open) >= maxOpen {
		a.DroppedRequests++
		return
	}
	length := lengthOf(line.Tokens)
	a.open[line.Request] = &history{line: *line, choices: 1, beside: a.longUnderWay(length), lacked: a.places.chosen(line)}
	a.under[length]++
}

// longUnderWay says whether a prompt is under way that is much longer than a class.
func (a *Report) longUnderWay(length LengthClass) bool {
	for other, count := range a.under {
		if count > 0 && length >= 0 && other >= length+besideFactor {
			return true
		}
	}
	return false
}

func (a *Report) ended(end *Line) error {
	h := a.open[end.Request]
	if h == nil {
		h = &history{line: *end}
	} else {
		a.forget(end.Request, h)
	}
	return a.count(h, causeOf(h, end), end)
}

func (a *Report) forget(request string, h *history) {
	delete(a.open, request)
	a.places.left(h.line.Server)
	a.under[lengthOf(h.line.Tokens)]--
}

// closeEntry ends what an entry had begun before it started anew.
func (a *Report) closeEntry(entry string) error {
	for request, h := range a.open {
		if h.line.Entry != entry {
			continue
		}
		a.forget(request, h)
		if err := a.count(h, EntryTerminated, &Line{}); err != nil {
			return err
		}
	}
	return nil
}

func (a *Report) finish() error {
	for request, h := range a.open {
		a.forget(request, h)
		if err := a.count(h, Unfinished, &Line{}); err != nil {
			return err
		}
	}
	return nil
}

// count books a request that is over.
func (a *Report) count(h *history, cause Cause, end *Line) error {
	route := h.line.Route
	if route == "" {
		route = "(no route)"
	}
	tallies := []*GroupStats{a.All, tallyOf(a.ByRoute, route), tallyOf(a.ByLengthClass, lengthOf(h.line.Tokens)), tallyOf(a.ByLink, a.links[h.line.Entry])}
	if h.choices > 0 {
		tallies = append(tallies, tallyOf(a.ByUnseen, min(h.lacked, lackedMost)))
	}
	if cause == Pause && end.FirstMs != nil {
		from := end.Time.Add(-millis(end.TookMs - *end.FirstMs))
		a.Pauses.add(a.places.during(h.line.Server, from, end.Time))
	}
	for _, tally := range tallies {
		if err := tally.add(cause, end.FirstMs, h.beside); err != nil {
			return fmt.Errorf("a time of %v ms: %w", *end.FirstMs, err)
		}
	}
	began := h.line.Time
	if !end.Time.IsZero() {
		began = end.Time.Add(-millis(end.TookMs))
	}
	a.countSpan(began, cause)
	return nil
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func tallyOf[K comparable](tallies map[K]*GroupStats, key K) *GroupStats {
	if tallies[key] == nil {
		tallies[key] = newTally()
	}
	return tallies[key]
}

func (a *Report) countSpan(began time.Time, cause Cause) {
	if a.Start.IsZero() {
		a.Start = began.Truncate(time.Second)
	}
	index := int(began.Sub(a.Start) / a.BucketWidth)
	if a.Buckets[index] == nil {
		a.Buckets[index] = &Bucket{Causes: map[Cause]int{}}
	}
	a.Buckets[index].Asked++
	a.Buckets[index].Causes[cause]++
	for len(a.Buckets) > maxSpans {
		a.widen()
	}
}

// widen merges the spans in pairs.
func (a *Report) widen() {
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
