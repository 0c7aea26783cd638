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

// row is one group of requests of a table.
type row struct {
	group, name string
	tally       *GroupStats
}

// rows returns all groups: all requests, by route, by length, by the links of the entries'
// hosts, and by what the chooser lacked.
func (a *Report) rows() []row {
	rows := []row{{"all", "all", a.All}}
	for _, name := range slices.Sorted(maps.Keys(a.ByRoute)) {
		rows = append(rows, row{"route", name, a.ByRoute[name]})
	}
	for _, length := range slices.Sorted(maps.Keys(a.ByLengthClass)) {
		rows = append(rows, row{"prompt", length.String(), a.ByLengthClass[length]})
	}
	for _, link := range slices.Sorted(maps.Keys(a.ByLink)) {
		rows = append(rows, row{"link", fmt.Sprintf("%g Mbit/s", link), a.ByLink[link]})
	}
	for _, lacked := range slices.Sorted(maps.Keys(a.ByUnseen)) {
		rows = append(rows, row{"lacked", lackedName(lacked), a.ByUnseen[lacked]})
	}
	return rows
}

// lackedName names a number of requests that a chooser did not know of.
func lackedName(lacked int) string {
	if lacked == lackedMost {
		return fmt.Sprintf("%d or more", lacked)
	}
	return strconv.Itoa(lacked)
}

// seen are the causes that occur.
func (a *Report) seen() []Cause {
	return slices.DeleteFunc(slices.Clone(Causes), func(c Cause) bool { return a.All.Causes[c] == 0 })
}

// WriteTable writes the account for people to read.
func (a *Report) WriteTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	print := func(format string, values ...any) { _, _ = fmt.Fprintf(w, format, values...) }
	print("requests\t\tasked\tin time %%\tfirst p50 ms\tp95 ms\tp99 ms\tslowdown beside long\t\n")
	for _, r := range a.rows() {
		print("%s\t%s\t%d\t%.1f\t%s\t%s\t\n", r.group, r.name, r.tally.Requests, 100*share(r.tally.Causes[InTime], r.tally.Requests),
			quantiles(r.tally), ratio(r.tally.Slowdown()))
	}
	print("\t\n")
	causes := a.seen()
	print("requests\t\t")
	for _, cause := range causes {
		print("%s\t", cause)
	}
	print("\n")
	for _, r := range a.rows() {
		print("%s\t%s\t", r.group, r.name)
		for _, cause := range causes {
			print("%d\t", r.tally.Causes[cause])
		}
		print("\n")
	}
	print("\t\npaused answers\treads of others there meanwhile\t")
	for reads := range a.Pauses.ByPrefills {
		print("%s\t", lackedName(reads))
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
		print("%s\t%d\t", a.startOf(index).Format("15:04:05"), a.Buckets[index].Asked)
		for _, cause := range causes {
			print("%d\t", a.Buckets[index].Causes[cause])
		}
		print("\n")
	}
	return w.Flush()
}

func (a *Report) startOf(index int) time.Time {
	return a.Start.Add(time.Duration(index) * a.BucketWidth)
}

func share(part, whole int) float64 { return float64(part) / float64(max(whole, 1)) }

func quantiles(t *GroupStats) string {
	if t.FirstEvent.TotalCount() == 0 {
		return "-\t-\t-"
	}
	return fmt.Sprintf("%d\t%d\t%d", t.FirstEvent.ValueAtQuantile(50), t.FirstEvent.ValueAtQuantile(95), t.FirstEvent.ValueAtQuantile(99))
}

func ratio(value float64) string {
	if value == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", value)
}

// WriteCSV writes one line for each group, span and cause: group, name, cause, requests,
// and the median of the first event in milliseconds where it is known.
func (a *Report) WriteCSV(out io.Writer) error {
	w := csv.NewWriter(out)
	records := [][]string{{"group", "name", "cause", "requests", "first p50 ms", "first p99 ms"}}
	for _, r := range a.rows() {
		for _, cause := range a.seen() {
			records = append(records, []string{r.group, r.name, string(cause), strconv.Itoa(r.tally.Causes[cause]),
				strconv.FormatInt(r.tally.FirstEvent.ValueAtQuantile(50), 10), strconv.FormatInt(r.tally.FirstEvent.ValueAtQuantile(99), 10)})
		}
	}
	for _, index := range slices.Sorted(maps.Keys(a.Buckets)) {
		for _, cause := range a.seen() {
			records = append(records, []string{"time", a.startOf(index).Format(time.RFC3339), string(cause), strconv.Itoa(a.Buckets[index].Causes[cause]), "", ""})
		}
	}
	if err := w.WriteAll(records); err != nil {
		return fmt.Errorf("the table: %w", err)
	}
	return nil
}

// worst returns the causes other than in time by their number of requests.
func (a *Report) worst() []Cause {
	causes := slices.DeleteFunc(a.seen(), func(c Cause) bool { return c == InTime })
	slices.SortStableFunc(causes, func(x, y Cause) int { return cmp.Compare(a.All.Causes[y], a.All.Causes[x]) })
	return causes
}
