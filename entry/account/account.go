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

func (g *GroupStats) add(cause Cause, firstMs *float64, besideLong bool) error {
	g.Requests++
	g.Causes[cause]++
	if firstMs == nil {
		return nil
	}
	ms := min(max(int64(*firstMs), 1), maxHistogramMs)
	if err := g.FirstEvent.RecordValue(ms); err != nil {
		return err
	}
	if besideLong {
		return g.WithLongPrompts.RecordValue(ms)
	}
	return g.WithoutLongPrompts.RecordValue(ms)
}

// Slowdown returns the ratio of the median times to the first event with and without much
// longer open prompts; 0 if one of them is unknown.
func (g *GroupStats) Slowdown() float64 {
	if g.WithLongPrompts.TotalCount() == 0 || g.WithoutLongPrompts.TotalCount() == 0 {
		return 0
	}
	return float64(g.WithLongPrompts.ValueAtQuantile(50)) / float64(g.WithoutLongPrompts.ValueAtQuantile(50))
}

// Bucket counts the requests that began in one interval of time.
type Bucket struct {
	Requests int
	Causes   map[Cause]int
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
	// ByZone groups by the availability zone of the entry, as logged at its start.
	ByZone map[string]*GroupStats
	Pauses PauseStats
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
	zones             map[string]string // by entry
	placements        placements
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
		ByZone: map[string]*GroupStats{}, zones: map[string]string{}, placements: placements{}, linkMbps: map[string]float64{}, servers: activityByServer{}, suspects: suspectsByFingerprint{}, traffic: newTraffic(), propagation: newPropagation()}
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
func (r *Report) Read(inputs []Input, onBadLine func(*BadLine), progress func(lines int)) error {
	m := &merger{onBadLine: func(bad *BadLine) {
		r.BadLines++
		onBadLine(bad)
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
		if err := r.observe(&line); err != nil {
			return fmt.Errorf("line of %s at %s: %w", line.Entry, line.Time.Format(time.RFC3339Nano), err)
		}
		if lines%progressInterval == 0 {
			progress(lines)
		}
	}
	return r.finish()
}

func (r *Report) observe(line *Line) error {
	if err := r.propagation.observe(line); err != nil {
		return err
	}
	switch line.Message {
	case messageStarted:
		r.linkMbps[line.Entry], r.zones[line.Entry] = line.LinkMbps, line.Zone
		r.traffic.restart(line.Entry)
		return r.closeRequestsOf(line.Entry)
	case messageServerChosen:
		r.recordChoice(line)
	case messagePlacementEnded:
		r.placements.add(r.zoneOf(line.Entry), line.Zone, line.Outcome)
	case messageExchange:
		r.traffic.update(line)
	case messageAttemptEnded:
		r.suspects.recordAttempt(line)
	case messageRequestEnded:
		return r.recordEnd(line)
	}
	return nil
}

func (r *Report) recordChoice(line *Line) {
	if req := r.openRequests[line.Request]; req != nil {
		r.servers.requestEnded(req.line.Server)
		req.unseen = r.servers.requestPlaced(line)
		req.line.PredictedMs, req.line.WaitedMs, req.line.Server = line.PredictedMs, line.WaitedMs, line.Server
		req.choices++
		return
	}
	if len(r.openRequests) >= maxOpenRequests {
		r.DroppedRequests++
		return
	}
	length := lengthClassOf(line.Tokens)
	r.openRequests[line.Request] = &openRequest{line: *line, choices: 1, besideLong: r.muchLongerOpen(length), unseen: r.servers.requestPlaced(line)}
	r.openByLengthClass[length]++
}

// muchLongerOpen reports whether a prompt is open that is much longer than those of a class.
func (r *Report) muchLongerOpen(length LengthClass) bool {
	for other, count := range r.openByLengthClass {
		if count > 0 && length >= 0 && other >= length+muchLongerDoublings {
			return true
		}
	}
	return false
}

func (r *Report) recordEnd(end *Line) error {
	req := r.openRequests[end.Request]
	if req == nil {
		req = &openRequest{line: *end}
	} else {
		r.removeOpen(end.Request, req)
	}
	return r.countRequest(req, causeOf(req, end), end)
}

func (r *Report) removeOpen(request string, req *openRequest) {
	delete(r.openRequests, request)
	r.servers.requestEnded(req.line.Server)
	r.openByLengthClass[lengthClassOf(req.line.Tokens)]--
}

// closeRequestsOf ends the open requests of an entry that has restarted.
func (r *Report) closeRequestsOf(entry string) error {
	for request, req := range r.openRequests {
		if req.line.Entry != entry {
			continue
		}
		r.removeOpen(request, req)
		if err := r.countRequest(req, EntryTerminated, &Line{}); err != nil {
			return err
		}
	}
	return nil
}

func (r *Report) finish() error {
	for request, req := range r.openRequests {
		r.removeOpen(request, req)
		if err := r.countRequest(req, Unfinished, &Line{}); err != nil {
			return err
		}
	}
	return nil
}

// countRequest adds a request that has ended to all its groups.
func (r *Report) countRequest(req *openRequest, cause Cause, end *Line) error {
	route := req.line.Route
	if route == "" {
		route = "(no route)"
	}
	groups := []*GroupStats{r.All, statsOf(r.ByRoute, route), statsOf(r.ByLengthClass, lengthClassOf(req.line.Tokens)), statsOf(r.ByLink, r.linkMbps[req.line.Entry]),
		statsOf(r.ByZone, r.zoneOf(req.line.Entry))}
	if req.choices > 0 {
		groups = append(groups, statsOf(r.ByUnseen, min(req.unseen, maxUnseen)))
	}
	if cause == Pause && end.FirstMs != nil {
		from := end.Time.Add(-millis(end.TookMs - *end.FirstMs))
		r.Pauses.add(r.servers.prefillsBetween(req.line.Server, from, end.Time))
	}
	for _, group := range groups {
		if err := group.add(cause, end.FirstMs, req.besideLong); err != nil {
			return fmt.Errorf("a time of %v ms: %w", *end.FirstMs, err)
		}
	}
	start := req.line.Time
	if !end.Time.IsZero() {
		start = end.Time.Add(-millis(end.TookMs))
	}
	r.countInBucket(start, cause)
	return nil
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func statsOf[K comparable](groups map[K]*GroupStats, key K) *GroupStats {
	if groups[key] == nil {
		groups[key] = newGroupStats()
	}
	return groups[key]
}

func (r *Report) countInBucket(start time.Time, cause Cause) {
	if r.Start.IsZero() {
		r.Start = start.Truncate(time.Second)
	}
	index := int(start.Sub(r.Start) / r.BucketWidth)
	if r.Buckets[index] == nil {
		r.Buckets[index] = &Bucket{Causes: map[Cause]int{}}
	}
	r.Buckets[index].Requests++
	r.Buckets[index].Causes[cause]++
	for len(r.Buckets) > maxBuckets {
		r.mergeBuckets()
	}
}

// mergeBuckets merges the buckets in pairs, which doubles their width.
func (r *Report) mergeBuckets() {
	merged := map[int]*Bucket{}
	for index, bucket := range r.Buckets {
		half := index >> 1
		if merged[half] == nil {
			merged[half] = bucket
			continue
		}
		merged[half].Requests += bucket.Requests
		for cause, count := range bucket.Causes {
			merged[half].Causes[cause] += count
		}
	}
	r.Buckets, r.BucketWidth = merged, 2*r.BucketWidth
}
