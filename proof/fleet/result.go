package fleet

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"time"
)

// Kind is what a message is for.
type Kind string

// Kinds of messages.
const (
	Heartbeat    Kind = "heartbeat"
	List         Kind = "list"
	Asking       Kind = "question"
	Answer       Kind = "answer"
	Greeting     Kind = "greeting"
	Announcement Kind = "announcement"
	Updating     Kind = "update"
	FarHeartbeat Kind = "far heartbeat"
	Redirection  Kind = "redirection"
	View         Kind = "view"
)

// Tally counts messages and their bytes, headers included.
type Tally struct{ Messages, Bytes int64 }

// headerBytes are those of a datagram.
const headerBytes = 28

// Processor time of a message on a whole core, by the benchmarks of core/peering: a message is written once for all its
// targets.
const (
	sendCost    = 1500 * time.Nanosecond
	receiveCost = 3 * time.Microsecond
)

// Result is what a play has counted.
type Result struct {
	Options Options
	// Near are the messages within a zone, Far those between zones.
	Near, Far map[Kind]*Tally
	// Calls are those of the store, FirstReads the whole readings at starts.
	Calls, FirstReads int
	// Serving are the times from an entry's start until it takes requests, sorted.
	Serving []time.Duration
	// Spread are, of each change of the store and each entry that runs at the end, the times until it knew of it, sorted.
	Spread []time.Duration
	// Unknown is how many running entries don't know the last revision at the end, NotServing how many don't serve, and
	// Apart how many of the zones' entries that run some other one of the zone doesn't hear.
	Unknown, NotServing, Apart int
	// Known is how many entries the entry with most knows by name, Size the smallest and largest number of entries that
	// an entry believes there are.
	Known                int
	SmallSize, LargeSize int

	processor []time.Duration
	bytes     []int64
	changedAt map[uint64]time.Time
	knew      map[uint64][]time.Duration
}

func newResult(options Options) *Result {
	return &Result{Options: options, Near: map[Kind]*Tally{}, Far: map[Kind]*Tally{}, processor: make([]time.Duration, options.Entries),
		bytes: make([]int64, options.Entries), changedAt: map[uint64]time.Time{}, knew: map[uint64][]time.Duration{}}
}

func tallyOf(tallies map[Kind]*Tally, kind Kind) *Tally {
	if tallies[kind] == nil {
		tallies[kind] = &Tally{}
	}
	return tallies[kind]
}

func (r *Result) side(far bool) map[Kind]*Tally {
	if far {
		return r.Far
	}
	return r.Near
}

func (r *Result) sent(from *entry, kind Kind, far bool, bytes int) {
	tally := tallyOf(r.side(far), kind)
	tally.Messages++
	tally.Bytes += int64(bytes + headerBytes)
	r.processor[from.index] += sendCost
	r.bytes[from.index] += int64(bytes + headerBytes)
}

func (r *Result) received(e *entry) { r.processor[e.index] += receiveCost }

func (r *Result) view(bytes int, far bool) {
	tally := tallyOf(r.side(far), View)
	tally.Messages++
	tally.Bytes += int64(bytes)
}

func (r *Result) served(e *entry) { r.Serving = append(r.Serving, e.now().Sub(e.began)) }

func (r *Result) changed(revision uint64, at time.Time) { r.changedAt[revision] = at }

func (r *Result) learned(e *entry, revision uint64) {
	if at, ok := r.changedAt[revision]; ok {
		r.knew[revision] = append(r.knew[revision], e.now().Sub(at))
	}
}

func (r *Result) finish(f *fleet) {
	slices.Sort(r.Serving)
	for _, times := range r.knew {
		r.Spread = append(r.Spread, times...)
	}
	slices.Sort(r.Spread)
	zones := map[string]int{}
	for _, e := range f.entries {
		if e.runs {
			zones[e.zone]++
		}
	}
	r.SmallSize = math.MaxInt
	for _, e := range f.entries {
		if !e.runs {
			continue
		}
		if e.revision < f.store.revision {
			r.Unknown++
		}
		if !e.serving {
			r.NotServing++
		}
		r.Apart += max(zones[e.zone]-1-len(e.group.RunningIn(f.clock.Now, e.zone)), 0)
		r.Known = max(r.Known, len(e.group.Addresses()))
		r.SmallSize, r.LargeSize = min(r.SmallSize, e.group.Size()), max(r.LargeSize, e.group.Size())
	}
}

// FarBytes are all bytes between zones.
func (r *Result) FarBytes() int64 { return sum(r.Far) }

// NearBytes are all bytes within zones.
func (r *Result) NearBytes() int64 { return sum(r.Near) }

func sum(tallies map[Kind]*Tally) int64 {
	bytes := int64(0)
	for _, tally := range tallies {
		bytes += tally.Bytes
	}
	return bytes
}

// Busiest is the processor time of the busiest entry for messages, as a share of a whole core.
func (r *Result) Busiest() float64 {
	return slices.Max(r.processor).Seconds() / r.Options.Length.Seconds()
}

// BusiestBytes are the bytes a second that the busiest entry sends.
func (r *Result) BusiestBytes() float64 {
	return float64(slices.Max(r.bytes)) / r.Options.Length.Seconds()
}

// Last is the longest of some sorted times.
func Last(times []time.Duration) time.Duration {
	if len(times) == 0 {
		return 0
	}
	return times[len(times)-1]
}

// Power is the power to which something grows with the entries between two plays.
func Power(small, large *Result, of func(*Result) float64) float64 {
	return math.Log(of(large)/of(small)) / math.Log(float64(large.Options.Entries)/float64(small.Options.Entries))
}

// Print writes a table of messages by kind.
func (r *Result) Print(w io.Writer) error {
	o := r.Options
	_, err := fmt.Fprintf(w, "%d entries in %d zones, %d servers, %s: %d calls of the store, %d whole readings at starts, last entry serves after %s, last one knows of a change after %s, busiest entry %.2f %% of a core and %.0f KB/s\n",
		o.Entries, o.Zones, o.Servers, o.Length, r.Calls, r.FirstReads, Last(r.Serving).Round(time.Millisecond), Last(r.Spread).Round(time.Millisecond), 100*r.Busiest(), r.BusiestBytes()/1000)
	if err != nil {
		return err
	}
	for _, side := range []struct {
		name    string
		tallies map[Kind]*Tally
	}{{"within zones", r.Near}, {"between zones", r.Far}} {
		for _, kind := range slices.Sorted(maps.Keys(side.tallies)) {
			tally := side.tallies[kind]
			if _, err := fmt.Fprintf(w, "  %-13s %-13s %9d messages %9.2f MB\n", side.name, kind, tally.Messages, float64(tally.Bytes)/1e6); err != nil {
				return err
			}
		}
		if _, err := fmt.Fprintf(w, "  %-13s %-13s %28.2f MB\n", side.name, "all", float64(sum(side.tallies))/1e6); err != nil {
			return err
		}
	}
	return nil
}
