package account

import (
	"cmp"
	"encoding/csv"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"
)

// groupRow is a table row with the statistics of one group of requests.
type groupRow struct {
	group, name string
	stats       *GroupStats
}

// groupRows returns a row for all requests, followed by the rows by route, by prompt length, by the
// link rate of the entry's host, by its zone and by the number of unseen requests.
func (r *Report) groupRows() []groupRow {
	rows := []groupRow{{"all", "all", r.All}}
	for _, name := range slices.Sorted(maps.Keys(r.ByRoute)) {
		rows = append(rows, groupRow{"route", name, r.ByRoute[name]})
	}
	for _, length := range slices.Sorted(maps.Keys(r.ByLengthClass)) {
		rows = append(rows, groupRow{"prompt", length.String(), r.ByLengthClass[length]})
	}
	for _, link := range slices.Sorted(maps.Keys(r.ByLink)) {
		rows = append(rows, groupRow{"link", fmt.Sprintf("%g Mbit/s", link), r.ByLink[link]})
	}
	for _, zone := range slices.Sorted(maps.Keys(r.ByZone)) {
		rows = append(rows, groupRow{"zone", zone, r.ByZone[zone]})
	}
	for _, unseen := range slices.Sorted(maps.Keys(r.ByUnseen)) {
		rows = append(rows, groupRow{"lacked", unseenLabel(unseen), r.ByUnseen[unseen]})
	}
	return rows
}

// unseenLabel formats a count that is capped at maxUnseen.
func unseenLabel(count int) string {
	if count == maxUnseen {
		return fmt.Sprintf("%d or more", count)
	}
	return strconv.Itoa(count)
}

// occurringCauses returns the causes of at least one request, in the order of Causes.
func (r *Report) occurringCauses() []Cause {
	return slices.DeleteFunc(slices.Clone(Causes), func(c Cause) bool { return r.All.Causes[c] == 0 })
}

// WriteTable writes the report as text tables.
func (r *Report) WriteTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	print := func(format string, values ...any) { _, _ = fmt.Fprintf(w, format, values...) }
	print("requests\t\tasked\tin time %%\tfirst p50 ms\tp95 ms\tp99 ms\tslowdown beside long\t\n")
	for _, row := range r.groupRows() {
		print("%s\t%s\t%d\t%.1f\t%s\t%s\t\n", row.group, row.name, row.stats.Requests, 100*share(row.stats.Causes[InTime], row.stats.Requests),
			formatQuantiles(row.stats), formatRatio(row.stats.Slowdown()))
	}
	print("\t\n")
	causes := r.occurringCauses()
	print("requests\t\t")
	for _, cause := range causes {
		print("%s\t", cause)
	}
	print("\n")
	for _, row := range r.groupRows() {
		print("%s\t%s\t", row.group, row.name)
		for _, cause := range causes {
			print("%d\t", row.stats.Causes[cause])
		}
		print("\n")
	}
	print("\t\npaused answers\treads of others there meanwhile\t")
	for prefills := range r.Pauses.ByPrefills {
		print("%s\t", unseenLabel(prefills))
	}
	print("longest, median tokens\t\n%d\t\t", r.Pauses.Answers)
	for _, count := range r.Pauses.ByPrefills {
		print("%d\t", count)
	}
	print("%d\t\n", r.Pauses.MedianLongestPrefill())
	r.writePlacements(print)
	if suspects := r.SuspectRequests(); len(suspects) > 0 {
		print("\t\nrequest under which servers ended\tservers\tof them before its first event\tattempts\tentries\tfrom\tto\t\n")
		for _, suspect := range suspects {
			print("%s\t%d\t%d\t%d\t%d\t%s\t%s\t\n", suspect.Fingerprint, len(suspect.CrashedServers), len(suspect.CrashedBeforeFirstEvent), len(suspect.RequestIDs), len(suspect.Entries),
				suspect.FirstCrash.Format(time.TimeOnly), suspect.LastCrash.Format(time.TimeOnly))
		}
	}
	print("\t\nfrom\tasked\t")
	for _, cause := range causes {
		print("%s\t", cause)
	}
	print("\n")
	for _, index := range slices.Sorted(maps.Keys(r.Buckets)) {
		print("%s\t%d\t", r.bucketStart(index).Format("15:04:05"), r.Buckets[index].Requests)
		for _, cause := range causes {
			print("%d\t", r.Buckets[index].Causes[cause])
		}
		print("\n")
	}
	return w.Flush()
}

func (r *Report) bucketStart(index int) time.Time {
	return r.Start.Add(time.Duration(index) * r.BucketWidth)
}

func share(part, whole int) float64 { return float64(part) / float64(max(whole, 1)) }

func formatQuantiles(g *GroupStats) string {
	if g.FirstEvent.TotalCount() == 0 {
		return "-\t-\t-"
	}
	return fmt.Sprintf("%d\t%d\t%d", g.FirstEvent.ValueAtQuantile(50), g.FirstEvent.ValueAtQuantile(95), g.FirstEvent.ValueAtQuantile(99))
}

func formatRatio(value float64) string {
	if value == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", value)
}

// WriteCSV writes the report as CSV with one record for each cause of each group and time bucket:
// group, name, cause, number of requests, and for groups the median and the 99th percentile of the
// time to the first event in milliseconds.
func (r *Report) WriteCSV(out io.Writer) error {
	w := csv.NewWriter(out)
	records := [][]string{{"group", "name", "cause", "requests", "first p50 ms", "first p99 ms"}}
	for _, row := range r.groupRows() {
		for _, cause := range r.occurringCauses() {
			records = append(records, []string{row.group, row.name, string(cause), strconv.Itoa(row.stats.Causes[cause]),
				strconv.FormatInt(row.stats.FirstEvent.ValueAtQuantile(50), 10), strconv.FormatInt(row.stats.FirstEvent.ValueAtQuantile(99), 10)})
		}
	}
	for _, index := range slices.Sorted(maps.Keys(r.Buckets)) {
		for _, cause := range r.occurringCauses() {
			records = append(records, []string{"time", r.bucketStart(index).Format(time.RFC3339), string(cause), strconv.Itoa(r.Buckets[index].Causes[cause]), "", ""})
		}
	}
	if err := w.WriteAll(records); err != nil {
		return fmt.Errorf("writing the CSV table: %w", err)
	}
	return nil
}

// failureCauses returns the occurring causes except InTime, the most frequent first.
func (r *Report) failureCauses() []Cause {
	causes := slices.DeleteFunc(r.occurringCauses(), func(c Cause) bool { return c == InTime })
	slices.SortStableFunc(causes, func(x, y Cause) int { return cmp.Compare(r.All.Causes[y], r.All.Causes[x]) })
	return causes
}
