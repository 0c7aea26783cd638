package account

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// MessageCounts is what an entry tells of its messages: by direction and kind, messages and bytes.
type MessageCounts map[string]map[string][2]int64

// traffic sums what entries tell of their exchange. Each tells what it has counted since its start; a restarted one
// begins anew.
type traffic struct {
	last  map[string]MessageCounts
	calls map[string]map[string]int64
	// over are the sums of starts that are over, by entry.
	over      map[string]MessageCounts
	callsOver map[string]map[string]int64
}

func newTraffic() traffic {
	return traffic{last: map[string]MessageCounts{}, calls: map[string]map[string]int64{}, over: map[string]MessageCounts{}, callsOver: map[string]map[string]int64{}}
}

func (t *traffic) told(line *Line) {
	t.last[line.Entry], t.calls[line.Entry] = line.Exchanged, line.StoreCalls
}

// started closes the counts of an entry's start before.
func (t *traffic) started(entry string) {
	t.over[entry] = addExchanged(t.over[entry], t.last[entry])
	t.callsOver[entry] = addCalls(t.callsOver[entry], t.calls[entry])
	delete(t.last, entry)
	delete(t.calls, entry)
}

func addExchanged(sum, more MessageCounts) MessageCounts {
	if sum == nil {
		sum = MessageCounts{}
	}
	for way, kinds := range more {
		if sum[way] == nil {
			sum[way] = map[string][2]int64{}
		}
		for kind, counts := range kinds {
			known := sum[way][kind]
			sum[way][kind] = [2]int64{known[0] + counts[0], known[1] + counts[1]}
		}
	}
	return sum
}

func addCalls(sum, more map[string]int64) map[string]int64 {
	if sum == nil {
		sum = map[string]int64{}
	}
	for call, count := range more {
		sum[call] += count
	}
	return sum
}

// TrafficRow is what all entries exchanged of a kind in a direction, and the most that one of them did.
type TrafficRow struct {
	Direction, Kind       string
	Messages, Bytes int64
	MaxBytes       int64
	MaxEntry       string
}

// Traffic returns the rows by direction and kind, and the store's calls by what they read.
func (a *Report) Traffic() ([]TrafficRow, map[string]int64) {
	rows, calls := map[[2]string]*TrafficRow{}, map[string]int64{}
	entries := maps.Clone(a.traffic.last)
	for entry := range a.traffic.over {
		if entries[entry] == nil {
			entries[entry] = MessageCounts{}
		}
	}
	for _, entry := range slices.Sorted(maps.Keys(entries)) {
		whole := addExchanged(addExchanged(nil, a.traffic.over[entry]), a.traffic.last[entry])
		for way, kinds := range whole {
			for kind, counts := range kinds {
				key := [2]string{way, kind}
				if rows[key] == nil {
					rows[key] = &TrafficRow{Direction: way, Kind: kind}
				}
				rows[key].add(entry, counts)
			}
		}
		calls = addCalls(addCalls(calls, a.traffic.callsOver[entry]), a.traffic.calls[entry])
	}
	sorted := make([]TrafficRow, 0, len(rows))
	for _, row := range rows {
		sorted = append(sorted, *row)
	}
	slices.SortFunc(sorted, func(x, y TrafficRow) int {
		return slices.Compare([]string{x.Direction, x.Kind}, []string{y.Direction, y.Kind})
	})
	return sorted, calls
}

func (r *TrafficRow) add(entry string, counts [2]int64) {
	r.Messages += counts[0]
	r.Bytes += counts[1]
	if counts[1] > r.MaxBytes {
		r.MaxBytes, r.MaxEntry = counts[1], entry
	}
}

// WriteTraffic writes what entries exchanged, the calls of the store, and how long changes took to reach them.
func (a *Report) WriteTraffic(out io.Writer) error {
	rows, calls := a.Traffic()
	if len(rows) == 0 && len(calls) == 0 {
		return nil
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	print := func(format string, values ...any) { _, _ = fmt.Fprintf(w, format, values...) }
	print("\t\nexchange\tkind\tmessages\tMB\tmost of an entry, MB\tentry\t\n")
	for _, row := range rows {
		print("%s\t%s\t%d\t%.3f\t%.3f\t%s\t\n", row.Direction, row.Kind, row.Messages, megabytes(row.Bytes), megabytes(row.MaxBytes), row.MaxEntry)
	}
	print("\t\ncalls of the store\tcalls\t\n")
	for _, call := range slices.Sorted(maps.Keys(calls)) {
		print("%s\t%d\t\n", call, calls[call])
	}
	print("\t\nchange\tchanges\tentries\tp50 ms\tp99 ms\tlast ms\tlast entry\t\n")
	for _, kind := range slices.Sorted(maps.Keys(a.spread.byKind)) {
		s := a.spread.byKind[kind]
		print("%s\t%d\t%d\t%d\t%d\t%d\t%s\t\n", kind, s.changes, s.delays.TotalCount(), s.delays.ValueAtQuantile(50), s.delays.ValueAtQuantile(99), s.last, s.lastEntry)
	}
	return w.Flush()
}

func megabytes(bytes int64) float64 { return float64(bytes) / 1e6 }
