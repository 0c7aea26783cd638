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
// link rate of the entry's host and by the number of unseen requests.
func (a *Report) groupRows() []groupRow {
	rows := []groupRow{{"all", "all", a.All}}
	for _, name := range slices.Sorted(maps.Keys(a.ByRoute)) {
		rows = append(rows, groupRow{"route", name, a.ByRoute[name]})
	}
	for _, length := range slices.Sorted(maps.Keys(a.ByLengthClass)) {
		rows = append(rows, groupRow{"prompt", length.String(), a.ByLengthClass[length]})
	}
	for _, link := range slices.Sorted(maps.Keys(a.ByLink)) {
		rows = append(rows, groupRow{"link", fmt.Sprintf("%g Mbit/s", link), a.ByLink[link]})
	}
	for _, lacked := range slices.Sorted(maps.Keys(a.ByUnseen)) {
		rows = append(rows, groupRow{"lacked", unseenLabel(lacked), a.ByUnseen[lacked]})
	}
	return rows
}

// unseenLabel formats a count that is capped at maxUnseen.
func unseenLabel(lacked int) string {
	if lacked == maxUnseen {
		return fmt.Sprintf("%d or more", lacked)
	}
	return strconv.Itoa(lacked)
}

// occurringCauses returns the causes of at least one request, in the order of Causes.
func (a *Report) occurringCauses() []Cause {
	return slices.DeleteFunc(slices.Clone(Causes), func(c Cause) bool { return a.All.Causes[c] == 0 })
}

// WriteTable writes the report as text tables.
func (a *Report) WriteTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	print := func(format string, values ...any) { _, _ = fmt.Fprintf(w, format, values...) }
	print("requests\t\tasked\tin time %%\tfirst p50 ms\tp95 ms\tp99 ms\tslowdown beside long\t\n")
	for _, r := range a.groupRows() {
		print("%s\t%s\t%d\t%.1f\t%s\t%s\t\n", r.group, r.name, r.stats.Requests, 100*share(r.stats.Causes[InTime], r.stats.Requests),
			formatQuantiles(r.stats), formatRatio(r.stats.Slowdown()))
	}
	print("\t\n")
	causes := a.occurringCauses()
	print("requests\t\t")
	for _, cause := range causes {
		print("%s\t", cause)
	}
	print("\n")
	for _, r := range a.groupRows() {
		print("%s\t%s\t", r.group, r.name)
		for _, cause := range causes {
			print("%d\t", r.stats.Causes[cause])
		}
		print("\n")
	}
	print("\t\npaused answers\treads of others there meanwhile\t")
	for reads := range a.Pauses.ByPrefills {
		print("%s\t", unseenLabel(reads))
	}
	print("longest, median tokens\t\n%d\t\t", a.Pauses.Answers)
	for _, count := range a.Pauses.ByPrefills {
		print("%d\t", count)
	}
	print("%d\t\n", a.Pauses.MedianLongestPrefill())
	if endings := a.SuspectRequests(); len(endings) > 0 {
		print("\t\nrequest under which servers ended\tservers\tof them before its first event\tattempts\tentries\tfrom\tto\t\n")
		for _, e := range endings {
			print("%s\t%d\t%d\t%d\t%d\t%s\t%s\t\n", e.Fingerprint, len(e.CrashedServers), len(e.CrashedBeforeFirstEvent), len(e.RequestIDs), len(e.Entries),
				e.FirstCrash.Format(time.TimeOnly), e.LastCrash.Format(time.TimeOnly))
		}
	}
	print("\t\nfrom\tasked\t")
	for _, cause := range causes {
		print("%s\t", cause)
	}
	print("\n")
	for _, index := range slices.Sorted(maps.Keys(a.Buckets)) {
		print("%s\t%d\t", a.bucketStart(index).Format("15:04:05"), a.Buckets[index].Asked)
		for _, cause := range causes {
			print("%d\t", a.Buckets[index].Causes[cause])
		}
		print("\n")
	}
	return w.Flush()
}

func (a *Report) bucketStart(index int) time.Time {
	return a.Start.Add(time.Duration(index) * a.BucketWidth)
}

func share(part, whole int) float64 { return float64(part) / float64(max(whole, 1)) }

func formatQuantiles(t *GroupStats) string {
	if t.FirstEvent.TotalCount() == 0 {
		return "-\t-\t-"
	}
	return fmt.Sprintf("%d\t%d\t%d", t.FirstEvent.ValueAtQuantile(50), t.FirstEvent.ValueAtQuantile(95), t.FirstEvent.ValueAtQuantile(99))
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
func (a *Report) WriteCSV(out io.Writer) error {
	w := csv.NewWriter(out)
	records := [][]string{{"group", "name", "cause", "requests", "first p50 ms", "first p99 ms"}}
	for _, r := range a.groupRows() {
		for _, cause := range a.occurringCauses() {
			records = append(records, []string{r.group, r.name, string(cause), strconv.Itoa(r.stats.Causes[cause]),
				strconv.FormatInt(r.stats.FirstEvent.ValueAtQuantile(50), 10), strconv.FormatInt(r.stats.FirstEvent.ValueAtQuantile(99), 10)})
		}
	}
	for _, index := range slices.Sorted(maps.Keys(a.Buckets)) {
		for _, cause := range a.occurringCauses() {
			records = append(records, []string{"time", a.bucketStart(index).Format(time.RFC3339), string(cause), strconv.Itoa(a.Buckets[index].Causes[cause]), "", ""})
		}
	}
	if err := w.WriteAll(records); err != nil {
		return fmt.Errorf("writing the CSV table: %w", err)
	}
	return nil
}

// failureCauses returns the occurring causes except InTime, the most frequent first.
func (a *Report) failureCauses() []Cause {
	causes := slices.DeleteFunc(a.occurringCauses(), func(c Cause) bool { return c == InTime })
	slices.SortStableFunc(causes, func(x, y Cause) int { return cmp.Compare(a.All.Causes[y], a.All.Causes[x]) })
	return causes
}
