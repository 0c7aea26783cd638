package fleet

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"time"
)

// MessageKind is what a message is for.
type MessageKind string

// Kinds of messages.
const (
	Heartbeat       MessageKind = "heartbeat"
	List            MessageKind = "list"
	Question        MessageKind = "question"
	Answer          MessageKind = "answer"
	Greeting        MessageKind = "greeting"
	Announcement    MessageKind = "announcement"
	Update          MessageKind = "update"
	RemoteHeartbeat MessageKind = "far heartbeat"
	Redirection     MessageKind = "redirection"
	View            MessageKind = "view"
)

// Traffic counts messages and their bytes, headers included.
type Traffic struct{ Messages, Bytes int64 }

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
	// Local are the messages within a zone, Remote those between zones.
	Local, Remote map[MessageKind]*Traffic
	// StoreCalls are those of the store, InitialReads the whole readings at starts.
	StoreCalls, InitialReads int
	// ServingDelays are the times from an entry's start until it takes requests, sorted.
	ServingDelays []time.Duration
	// PropagationDelays are, of each change of the store and each entry that runs at the end, the times until it knew of it, sorted.
	PropagationDelays []time.Duration
	// Outdated is how many running entries don't know the last revision at the end, NotServing how many don't serve, and
	// Unheard how many of the zones' entries that run some other one of the zone doesn't hear.
	Outdated, NotServing, Unheard int
	// MaxKnown is how many entries the entry with most knows by name, Size the smallest and largest number of entries that
	// an entry believes there are.
	MaxKnown         int
	MinSize, MaxSize int

	processor []time.Duration
	bytes     []int64
	changedAt map[uint64]time.Time
	knew      map[uint64][]time.Duration
}

func newResult(options Options) *Result {
	return &Result{Options: options, Local: map[MessageKind]*Traffic{}, Remote: map[MessageKind]*Traffic{}, processor: make([]time.Duration, options.Entries),
		bytes: make([]int64, options.Entries), changedAt: map[uint64]time.Time{}, knew: map[uint64][]time.Duration{}}
}

func tallyOf(tallies map[MessageKind]*Traffic, kind MessageKind) *Traffic {
	if tallies[kind] == nil {
		tallies[kind] = &Traffic{}
	}
	return tallies[kind]
}

func (r *Result) side(far bool) map[MessageKind]*Traffic {
	if far {
		return r.Remote
	}
	return r.Local
}

func (r *Result) sent(from *entry, kind MessageKind, far bool, bytes int) {
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

func (r *Result) served(e *entry) { r.ServingDelays = append(r.ServingDelays, e.now().Sub(e.began)) }

func (r *Result) changed(revision uint64, at time.Time) { r.changedAt[revision] = at }

func (r *Result) learned(e *entry, revision uint64) {
	if at, ok := r.changedAt[revision]; ok {
		r.knew[revision] = append(r.knew[revision], e.now().Sub(at))
	}
}

func (r *Result) finish(f *fleet) {
	slices.Sort(r.ServingDelays)
	for _, times := range r.knew {
		r.PropagationDelays = append(r.PropagationDelays, times...)
	}
	slices.Sort(r.PropagationDelays)
	zones := map[string]int{}
	for _, e := range f.entries {
		if e.runs {
			zones[e.zone]++
		}
	}
	r.MinSize = math.MaxInt
	for _, e := range f.entries {
		if !e.runs {
			continue
		}
		if e.revision < f.store.revision {
			r.Outdated++
		}
		if !e.serving {
			r.NotServing++
		}
		r.Unheard += max(zones[e.zone]-1-len(e.group.In(f.clock.Now, e.zone)), 0)
		r.MaxKnown = max(r.MaxKnown, len(e.group.Addresses()))
		r.MinSize, r.MaxSize = min(r.MinSize, e.group.Size()), max(r.MaxSize, e.group.Size())
	}
}

// RemoteBytes are all bytes between zones.
func (r *Result) RemoteBytes() int64 { return sum(r.Remote) }

// LocalBytes are all bytes within zones.
func (r *Result) LocalBytes() int64 { return sum(r.Local) }

func sum(tallies map[MessageKind]*Traffic) int64 {
	bytes := int64(0)
	for _, tally := range tallies {
		bytes += tally.Bytes
	}
	return bytes
}

// MaxProcessorShare is the processor time of the busiest entry for messages, as a share of a whole core.
func (r *Result) MaxProcessorShare() float64 {
	return slices.Max(r.processor).Seconds() / r.Options.Duration.Seconds()
}

// MaxSendRate are the bytes a second that the busiest entry sends.
func (r *Result) MaxSendRate() float64 {
	return float64(slices.Max(r.bytes)) / r.Options.Duration.Seconds()
}

// Longest is the longest of some sorted times.
func Longest(times []time.Duration) time.Duration {
	if len(times) == 0 {
		return 0
	}
	return times[len(times)-1]
}

// GrowthExponent is the power to which something grows with the entries between two plays.
func GrowthExponent(small, large *Result, of func(*Result) float64) float64 {
	return math.Log(of(large)/of(small)) / math.Log(float64(large.Options.Entries)/float64(small.Options.Entries))
}

// Print writes a table of messages by kind.
func (r *Result) Print(w io.Writer) error {
	o := r.Options
	_, err := fmt.Fprintf(w, "%d entries in %d zones, %d servers, %s: %d calls of the store, %d whole readings at starts, last entry serves after %s, last one knows of a change after %s, busiest entry %.2f %% of a core and %.0f KB/s\n",
		o.Entries, o.Zones, o.Servers, o.Duration, r.StoreCalls, r.InitialReads, Longest(r.ServingDelays).Round(time.Millisecond), Longest(r.PropagationDelays).Round(time.Millisecond), 100*r.MaxProcessorShare(), r.MaxSendRate()/1000)
	if err != nil {
		return err
	}
	for _, side := range []struct {
		name    string
		tallies map[MessageKind]*Traffic
	}{{"within zones", r.Local}, {"between zones", r.Remote}} {
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
