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

// Report is the outcome of a run.
type Report struct {
	Seed     uint64
	Steps    []Step
	Calls    int
	Answered int
	Runs     int
	// Ended is how many servers have ended under fatal requests.
	Ended    int
	Findings []Finding
}

// Failed says that a promise was broken.
func (r Report) Failed() bool { return len(r.Findings) > 0 }

// Play plays one seed. An error means that the run itself could not be carried out.
func Play(o Options) (Report, error) {
	report := Report{Seed: o.Seed, Steps: Plan(o)}
	if err := os.MkdirAll(o.Folder, 0o755); err != nil {
		return report, fmt.Errorf("the folder of a run: %w", err)
	}
	w, err := newWorld(o)
	if err != nil {
		w.close()
		return report, err
	}
	err = errors.Join(w.play(report.Steps), w.records.Failure)
	report.Findings = Check(w.records, o.Timed)
	if report.Failed() {
		err = errors.Join(err, w.keep(report.Findings))
	}
	report.Calls, report.Runs = w.records.counts()
	report.Ended = len(w.records.Ends)
	for _, c := range w.records.Calls {
		if c.Status == 200 {
			report.Answered++
		}
	}
	return report, err
}

// keep writes what struck and what was found beside the logs of the processes.
func (w *world) keep(findings []Finding) error {
	text := w.records.faultLines()
	for _, f := range findings {
		text += fmt.Sprintf("%s: %s\n", f.Promise, f.Detail)
	}
	if err := os.WriteFile(filepath.Join(w.options.Folder, "findings.txt"), []byte(text), 0o600); err != nil {
		return fmt.Errorf("the findings: %w", err)
	}
	return nil
}

// play lets callers come, faults strike and the system recover, and ends all.
func (w *world) play(steps []Step) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var callers, faults sync.WaitGroup
	w.call(ctx, &callers)
	failures := make(chan error, len(steps)+1)
	began, next := time.Now(), time.Now().Add(progressGap)
	for _, step := range steps {
		time.Sleep(time.Until(began.Add(step.At)))
		if time.Now().After(next) {
			w.progress(time.Since(began))
			next = time.Now().Add(progressGap)
		}
		faults.Go(func() {
			if err := w.strike(step); err != nil {
				failures <- err
			}
		})
	}
	faults.Wait()
	if err := w.awaitReady(); err != nil {
		failures <- err
	}
	w.records.calm()
	time.Sleep(CalmTime)
	cancel()
	callers.Wait()
	w.awaitMemory()
	w.close()
	close(failures)
	return <-failures
}

// progressGap is the time between two lines of progress.
const progressGap = 5 * time.Second

func (w *world) progress(since time.Duration) {
	if w.options.Progress == nil {
		return
	}
	calls, runs := w.records.counts()
	_, _ = fmt.Fprintf(w.options.Progress, "seed %d: %s, %d calls, %d runs\n", w.options.Seed, since.Round(time.Second), calls, runs)
}

// memoryBound is how long reservations may stand after the last request: the longest
// hold and a few orders.
const memoryBound = 8 * time.Second

// awaitMemory notes the reservations that stay after the last request.
func (w *world) awaitMemory() {
	give := time.Now().Add(memoryBound)
	for {
		left := map[string]int{}
		for _, s := range w.slots {
			if n := len(s.current().Reserved()); n > 0 {
				left[s.current().ID] = n
			}
		}
		if len(left) == 0 || time.Now().After(give) {
			w.records.reserved(left, w.heldSpans())
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// heldSpans are the reservations that there were at the servers that run at the end.
func (w *world) heldSpans() []standin.ReservationSpan {
	var held []standin.ReservationSpan
	for _, s := range w.slots {
		held = append(held, s.current().EndedReservations()...)
	}
	return held
}
