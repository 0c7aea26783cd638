package experiment

import (
	"encoding/csv"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// header lists the column names of the table, in order.
var header = []string{"scenario", "class", "sent", "p50 ms", "p95 ms", "p99 ms", "max ms", "finished", "refused", "broken", "in target",
	"goodput/s", "refusal p99 ms", "attempts/request", "fairness"}

// row returns the table row of one length class.
func (r *Result) row(class string) []string {
	c := r.Classes[class]
	ms := func(q float64) string { return fmt.Sprintf("%.0f", float64(c.FirstToken.ValueAtQuantile(q))/1000) }
	return []string{r.Scenario.Name, class, fmt.Sprint(c.Sent), ms(50), ms(95), ms(99), fmt.Sprintf("%.0f", float64(c.MaxWait)/float64(time.Millisecond)),
		percent(c.Finished, c.Sent), percent(c.Refused, c.Sent), percent(c.Broken, c.Sent), percent(c.InTarget, c.Sent),
		fmt.Sprintf("%.2f", float64(c.InTarget)/r.Seconds), fmt.Sprintf("%.1f", float64(r.Refusal.ValueAtQuantile(99))/1000),
		fmt.Sprintf("%.3f", float64(r.Attempts)/math.Max(1, float64(r.Requests))), fmt.Sprintf("%.3f", r.Fairness())}
}

func percent(part, whole int) string {
	if whole == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", 100*float64(part)/float64(whole))
}

// Fairness returns Jain's fairness index of the fractions of their demand that the
// workspaces were served. 1 means equal fractions.
func (r *Result) Fairness() float64 {
	sum, squares, count := 0.0, 0.0, 0.0
	for workspace, demand := range r.Demand {
		part := r.Served[workspace] / demand
		sum += part
		squares += part * part
		count++
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (count * squares)
}

// P95 returns the 95th percentile of the time to first token.
func (r *Result) P95(class string) time.Duration {
	return time.Duration(r.Classes[class].FirstToken.ValueAtQuantile(95)) * time.Microsecond
}

// WriteTable writes results as an aligned text table. It leaves out classes without
// requests.
func WriteTable(out io.Writer, results []*Result) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, strings.Join(header, "\t")+"\t")
	for _, r := range results {
		for _, class := range Classes {
			if r.Classes[class].Sent > 0 {
				fmt.Fprintln(table, strings.Join(r.row(class), "\t")+"\t")
			}
		}
	}
	return table.Flush()
}

// WriteCSV writes results as comma-separated values, one row per class.
func WriteCSV(out io.Writer, results []*Result) error {
	w := csv.NewWriter(out)
	if err := w.Write(header); err != nil {
		return err
	}
	for _, r := range results {
		for _, class := range Classes {
			if err := w.Write(r.row(class)); err != nil {
				return err
			}
		}
	}
	w.Flush()
	return w.Error()
}

// Recovery returns the seconds after second after of the run until the fraction of
// short requests in target, over windows of 5 s, stayed at or above level. It returns
// false if the fraction did not stay there by the end.
func (r *Result) Recovery(after int, level float64) (int, bool) {
	const window = 5
	seconds := make([]int, 0, len(r.Timeline))
	for second := range r.Timeline {
		if second >= after {
			seconds = append(seconds, second)
		}
	}
	slices.Sort(seconds)
	last := after
	for i := 0; i+window <= len(seconds); i++ {
		sent, good := 0, 0
		for _, second := range seconds[i : i+window] {
			sent += r.Timeline[second].Sent
			good += r.Timeline[second].InTarget
		}
		if sent > 0 && float64(good) < level*float64(sent) {
			last = seconds[i] + window
		}
	}
	return last - after, len(seconds) == 0 || last < seconds[len(seconds)-1]
}
