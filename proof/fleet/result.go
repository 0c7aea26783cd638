package fleet

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"time"
)

// MessageKind names the purpose of a message.
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

// Traffic counts messages and their bytes. Bytes of datagrams include the headers.
type Traffic struct{ Messages, Bytes int64 }

// headerBytes is the size of a datagram's IP and UDP headers.
const headerBytes = 28

// Processor time per message on a whole core, from the benchmarks of core/peering. These count a message that is encoded
// once for all its targets.
const (
	sendCost    = 1500 * time.Nanosecond
	receiveCost = 3 * time.Microsecond
)

// Result holds the measurements of a simulation.
type Result struct {
	Options Options
	// Local is the traffic within zones, Remote the traffic between zones.
	Local, Remote map[MessageKind]*Traffic
	// StoreCalls counts the calls to the store, InitialReads the complete reads of it at starts of entries.
	StoreCalls, InitialReads int
	// ServingDelays are the times from an entry's start until it accepts requests, sorted.
	ServingDelays []time.Duration
	// PropagationDelays are the times from a change of the store until an entry had it, of all changes and entries, sorted.
	PropagationDelays []time.Duration
	// Outdated is the number of running entries that lack the last revision at the end, NotServing the number of those that
	// don't serve. Unheard counts the pairs of running entries of a zone of which one doesn't hear the other.
	Outdated, NotServing, Unheard int
	// MaxKnown is the largest number of entries that an entry knows by address. MinSize and MaxSize are the smallest and
	// the largest size of the fleet that an entry assumes.
	MaxKnown         int
	MinSize, MaxSize int

	processor []time.Duration
	bytes     []int64
	changedAt map[uint64]time.Time
	delays    map[uint64][]time.Duration
}

func newResult(options Options) *Result {
	return &Result{Options: options, Local: map[MessageKind]*Traffic{}, Remote: map[MessageKind]*Traffic{}, processor: make([]time.Duration, options.Entries),
		bytes: make([]int64, options.Entries), changedAt: map[uint64]time.Time{}, delays: map[uint64][]time.Duration{}}
}

func trafficOf(traffic map[MessageKind]*Traffic, kind MessageKind) *Traffic {
	if traffic[kind] == nil {
		traffic[kind] = &Traffic{}
	}
	return traffic[kind]
}

func (r *Result) side(remote bool) map[MessageKind]*Traffic {
	if remote {
		return r.Remote
	}
	return r.Local
}

func (r *Result) sent(from *entry, kind MessageKind, remote bool, bytes int) {
	total := trafficOf(r.side(remote), kind)
	total.Messages++
	total.Bytes += int64(bytes + headerBytes)
	r.processor[from.index] += sendCost
	r.bytes[from.index] += int64(bytes + headerBytes)
}

func (r *Result) received(e *entry) { r.processor[e.index] += receiveCost }

func (r *Result) view(bytes int, remote bool) {
	total := trafficOf(r.side(remote), View)
	total.Messages++
	total.Bytes += int64(bytes)
}

func (r *Result) served(e *entry) {
	r.ServingDelays = append(r.ServingDelays, e.now().Sub(e.startedAt))
}

func (r *Result) changed(revision uint64, at time.Time) { r.changedAt[revision] = at }

func (r *Result) learned(e *entry, revision uint64) {
	if at, ok := r.changedAt[revision]; ok {
		r.delays[revision] = append(r.delays[revision], e.now().Sub(at))
	}
}

func (r *Result) finish(f *fleet) {
	slices.Sort(r.ServingDelays)
	for _, times := range r.delays {
		r.PropagationDelays = append(r.PropagationDelays, times...)
	}
	slices.Sort(r.PropagationDelays)
	zones := map[string]int{}
	for _, e := range f.entries {
		if e.running {
			zones[e.zone]++
		}
	}
	r.MinSize = math.MaxInt
	for _, e := range f.entries {
		if !e.running {
			continue
		}
		if e.revision < f.store.revision {
			r.Outdated++
		}
		if !e.serving {
			r.NotServing++
		}
		r.Unheard += max(zones[e.zone]-1-len(e.group.RunningIn(f.clock.Now, e.zone)), 0)
		r.MaxKnown = max(r.MaxKnown, len(e.group.Addresses()))
		r.MinSize, r.MaxSize = min(r.MinSize, e.group.Size()), max(r.MaxSize, e.group.Size())
	}
}

// RemoteBytes returns the bytes sent between zones.
func (r *Result) RemoteBytes() int64 { return sum(r.Remote) }

// LocalBytes returns the bytes sent within zones.
func (r *Result) LocalBytes() int64 { return sum(r.Local) }

func sum(traffic map[MessageKind]*Traffic) int64 {
	bytes := int64(0)
	for _, total := range traffic {
		bytes += total.Bytes
	}
	return bytes
}

// MaxProcessorShare returns the processor time of the busiest entry for messages, as a fraction of a whole core.
func (r *Result) MaxProcessorShare() float64 {
	return slices.Max(r.processor).Seconds() / r.Options.Duration.Seconds()
}

// MaxSendRate returns the bytes per second that the busiest entry sends.
func (r *Result) MaxSendRate() float64 {
	return float64(slices.Max(r.bytes)) / r.Options.Duration.Seconds()
}

// Longest returns the last of the sorted times, 0 if there are none.
func Longest(times []time.Duration) time.Duration {
	if len(times) == 0 {
		return 0
	}
	return times[len(times)-1]
}

// GrowthExponent returns the exponent k with which a figure grows between two simulations, as entries to the power k.
func GrowthExponent(small, large *Result, of func(*Result) float64) float64 {
	return math.Log(of(large)/of(small)) / math.Log(float64(large.Options.Entries)/float64(small.Options.Entries))
}

// Print writes a summary and a table of the traffic by kind of message.
func (r *Result) Print(w io.Writer) error {
	o := r.Options
	_, err := fmt.Fprintf(w, "%d entries in %d zones, %d servers, %s: %d calls of the store, %d whole readings at starts, last entry serves after %s, last one knows of a change after %s, busiest entry %.2f %% of a core and %.0f KB/s\n",
		o.Entries, o.Zones, o.Servers, o.Duration, r.StoreCalls, r.InitialReads, Longest(r.ServingDelays).Round(time.Millisecond), Longest(r.PropagationDelays).Round(time.Millisecond), 100*r.MaxProcessorShare(), r.MaxSendRate()/1000)
	if err != nil {
		return err
	}
	for _, side := range []struct {
		name    string
		traffic map[MessageKind]*Traffic
	}{{"within zones", r.Local}, {"between zones", r.Remote}} {
		for _, kind := range slices.Sorted(maps.Keys(side.traffic)) {
			total := side.traffic[kind]
			if _, err := fmt.Fprintf(w, "  %-13s %-13s %9d messages %9.2f MB\n", side.name, kind, total.Messages, float64(total.Bytes)/1e6); err != nil {
				return err
			}
		}
		if _, err := fmt.Fprintf(w, "  %-13s %-13s %28.2f MB\n", side.name, "all", float64(sum(side.traffic))/1e6); err != nil {
			return err
		}
	}
	return nil
}
