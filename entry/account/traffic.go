package account

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// MessageCounts holds the numbers of messages and bytes that an entry has exchanged, by direction and kind.
type MessageCounts map[string]map[string][2]int64

// traffic sums the message and call counts of all entries. An entry logs its counts since its start, so that a restart
// begins at zero.
type traffic struct {
	current      map[string]MessageCounts
	currentCalls map[string]map[string]int64
	// previous and previousCalls are the sums over the earlier runs of each entry.
	previous      map[string]MessageCounts
	previousCalls map[string]map[string]int64
}

func newTraffic() traffic {
	return traffic{current: map[string]MessageCounts{}, currentCalls: map[string]map[string]int64{}, previous: map[string]MessageCounts{}, previousCalls: map[string]map[string]int64{}}
}

func (t *traffic) update(line *Line) {
	t.current[line.Entry], t.currentCalls[line.Entry] = line.Exchanged, line.StoreCalls
}

// restart adds the counts of an entry's last run to those of its earlier runs.
func (t *traffic) restart(entry string) {
	t.previous[entry] = addMessageCounts(t.previous[entry], t.current[entry])
	t.previousCalls[entry] = addCalls(t.previousCalls[entry], t.currentCalls[entry])
	delete(t.current, entry)
	delete(t.currentCalls, entry)
}

func addMessageCounts(sum, more MessageCounts) MessageCounts {
	if sum == nil {
		sum = MessageCounts{}
	}
	for direction, kinds := range more {
		if sum[direction] == nil {
			sum[direction] = map[string][2]int64{}
		}
		for kind, counts := range kinds {
			known := sum[direction][kind]
			sum[direction][kind] = [2]int64{known[0] + counts[0], known[1] + counts[1]}
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

// TrafficRow sums the messages of one kind and direction over all entries. MaxBytes and MaxEntry are the largest share
// of one entry and its name.
type TrafficRow struct {
	Direction, Kind string
	Messages, Bytes int64
	MaxBytes        int64
	MaxEntry        string
}

// Traffic returns the rows ordered by direction and kind, and the number of calls to the store by type.
func (r *Report) Traffic() ([]TrafficRow, map[string]int64) {
	rows, calls := map[[2]string]*TrafficRow{}, map[string]int64{}
	entries := maps.Clone(r.traffic.current)
	for entry := range r.traffic.previous {
		if entries[entry] == nil {
			entries[entry] = MessageCounts{}
		}
	}
	for _, entry := range slices.Sorted(maps.Keys(entries)) {
		total := addMessageCounts(addMessageCounts(nil, r.traffic.previous[entry]), r.traffic.current[entry])
		for direction, kinds := range total {
			for kind, counts := range kinds {
				key := [2]string{direction, kind}
				if rows[key] == nil {
					rows[key] = &TrafficRow{Direction: direction, Kind: kind}
				}
				rows[key].add(entry, counts)
			}
		}
		calls = addCalls(addCalls(calls, r.traffic.previousCalls[entry]), r.traffic.currentCalls[entry])
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

// WriteTraffic writes tables of the messages between entries, the calls to the store and the propagation delays of
// changes; nothing if the logs hold no counts.
func (r *Report) WriteTraffic(out io.Writer) error {
	rows, calls := r.Traffic()
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
	for _, kind := range slices.Sorted(maps.Keys(r.propagation.byKind)) {
		s := r.propagation.byKind[kind]
		print("%s\t%d\t%d\t%d\t%d\t%d\t%s\t\n", kind, s.changes, s.delays.TotalCount(), s.delays.ValueAtQuantile(50), s.delays.ValueAtQuantile(99), s.maxMs, s.maxEntry)
	}
	return w.Flush()
}

func megabytes(bytes int64) float64 { return float64(bytes) / 1e6 }
