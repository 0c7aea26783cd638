package soak

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"arbutusdeck/platform/standin"
)

// Report summarizes a run.
type Report struct {
	Seed      uint64
	Faults    []ScheduledFault
	Calls     int
	Succeeded int
	Runs      int
	// Crashes is the number of crashes of servers under poison requests.
	Crashes  int
	Findings []Finding
}

// Failed returns whether a guarantee was violated.
func (r Report) Failed() bool { return len(r.Findings) > 0 }

// Execute runs the plan of one seed and checks its records. An error means that the run
// itself could not be carried out; violated guarantees are findings of the report.
func Execute(o Options) (Report, error) {
	report := Report{Seed: o.Seed, Faults: Plan(o)}
	if err := os.MkdirAll(o.Folder, 0o755); err != nil {
		return report, fmt.Errorf("creating the folder of the run: %w", err)
	}
	tb, err := newTestbed(o)
	if err != nil {
		tb.close()
		return report, err
	}
	err = errors.Join(tb.run(report.Faults), tb.records.Err)
	report.Findings = Check(tb.records, o.CheckTiming)
	if report.Failed() {
		err = errors.Join(err, tb.saveFindings(report.Findings))
	}
	report.Calls, report.Runs = tb.records.counts()
	report.Crashes = len(tb.records.Crashes)
	for _, c := range tb.records.Calls {
		if c.Status == 200 {
			report.Succeeded++
		}
	}
	return report, err
}

// saveFindings writes the faults and the findings to a file next to the logs of the processes.
func (tb *testbed) saveFindings(findings []Finding) error {
	text := tb.records.describeFaults()
	for _, f := range findings {
		text += fmt.Sprintf("%s: %s\n", f.Guarantee, f.Detail)
	}
	if err := os.WriteFile(filepath.Join(tb.options.Folder, "findings.txt"), []byte(text), 0o600); err != nil {
		return fmt.Errorf("writing the findings: %w", err)
	}
	return nil
}

// run starts the callers, injects the faults of the plan, lets the system recover and closes
// the testbed.
func (tb *testbed) run(plan []ScheduledFault) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var callers, faults sync.WaitGroup
	tb.startCallers(ctx, &callers)
	failures := make(chan error, len(plan)+1)
	started, nextProgress := time.Now(), time.Now().Add(progressInterval)
	for _, fault := range plan {
		time.Sleep(time.Until(started.Add(fault.At)))
		if time.Now().After(nextProgress) {
			tb.reportProgress(time.Since(started))
			nextProgress = time.Now().Add(progressInterval)
		}
		faults.Go(func() {
			if err := tb.inject(fault); err != nil {
				failures <- err
			}
		})
	}
	faults.Wait()
	if err := tb.awaitReady(); err != nil {
		failures <- err
	}
	tb.records.recordFaultsEnded()
	time.Sleep(RecoveryTime)
	cancel()
	callers.Wait()
	tb.awaitRelease()
	tb.close()
	close(failures)
	return <-failures
}

const progressInterval = 5 * time.Second

func (tb *testbed) reportProgress(since time.Duration) {
	if tb.options.Progress == nil {
		return
	}
	calls, runs := tb.records.counts()
	_, _ = fmt.Fprintf(tb.options.Progress, "seed %d: %s, %d calls, %d runs\n", tb.options.Seed, since.Round(time.Second), calls, runs)
}

// maxReleaseTime bounds how long reservations may remain after the last request: the longest
// reservation timeout and a few orders.
const maxReleaseTime = 8 * time.Second

// awaitRelease waits for the release of all reservations, and records those that remain.
func (tb *testbed) awaitRelease() {
	deadline := time.Now().Add(maxReleaseTime)
	for {
		leftover := map[string]int{}
		for _, s := range tb.slots {
			if n := len(s.current().Reserved()); n > 0 {
				leftover[s.current().ID] = n
			}
		}
		if len(leftover) == 0 || time.Now().After(deadline) {
			tb.records.recordReservations(leftover, tb.reservationSpans())
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// reservationSpans returns the reservations that were made at the servers that run at the end.
func (tb *testbed) reservationSpans() []standin.ReservationSpan {
	var spans []standin.ReservationSpan
	for _, s := range tb.slots {
		spans = append(spans, s.current().EndedReservations()...)
	}
	return spans
}
