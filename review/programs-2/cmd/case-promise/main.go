// Command case-promise lets one of eight backend servers fail two of five requests after it has run
// them, with a status of its own and without the statement that they were not run. It checks that no
// caller of a request that may run only once gets a status that promises that it has not run.
package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"arbutusdeck/platform/standin"
	"review2/bed"
)

const (
	workers  = 8
	requests = 60
	// failStatus is the status of the failures, failing their number in each five requests.
	failStatus, failing = http.StatusServiceUnavailable, "2"
	work                = 60 * time.Millisecond
	interval            = 40 * time.Millisecond
)

// promises are the statuses that mean that a request has not run and never will.
var promises = []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

func main() { bed.Run(60*time.Second, play) }

func play(b *bed.Bed, trouble bool) (bool, error) {
	b.Store.Put("op/config", standin.Configuration(1))
	var running []*bed.Worker
	for i := range workers {
		arguments := []string{"-gap", work.String()}
		if trouble && i == 0 {
			arguments = append(arguments, "-fail-status", fmt.Sprint(failStatus), "-fail-count", failing)
		}
		w, err := b.StartWorker(fmt.Sprintf("i-%d", i), "plain", arguments...)
		if err != nil {
			return false, err
		}
		running = append(running, w)
		b.Store.Put(w.Row("ready"))
	}
	entry, err := b.StartEntry("entry-1")
	if err != nil {
		return false, err
	}
	if err := entry.AwaitReady(10 * time.Second); err != nil {
		return false, err
	}
	var mu sync.Mutex
	answers := map[string]bed.Answer{}
	var wait sync.WaitGroup
	for i := range requests {
		wait.Go(func() {
			// A caller repeats such a request once, and only after a promise that it has not run.
			for attempt := range 2 {
				id := fmt.Sprintf("order-%d-attempt-%d", i, attempt)
				a := bed.Do(standin.NewRequest(entry.Listen, http.MethodPost, "/order/x", id, 0, fmt.Sprint("order ", i)), nil)
				mu.Lock()
				answers[id] = a
				mu.Unlock()
				if !slices.Contains(promises, a.Status) {
					return
				}
			}
		})
		time.Sleep(interval)
	}
	wait.Wait()
	time.Sleep(200 * time.Millisecond)
	runs := map[string]int{}
	for _, w := range running {
		for _, e := range w.Events() {
			if e.Kind == "runs" {
				runs[e.ID]++
			}
		}
	}
	broken := false
	for i := range requests {
		total := 0
		for attempt := range 2 {
			id := fmt.Sprintf("order-%d-attempt-%d", i, attempt)
			a, sent := answers[id]
			if !sent {
				continue
			}
			total += runs[id]
			if slices.Contains(promises, a.Status) && runs[id] > 0 {
				b.Note("%s: the caller got status %d, signed %q, which promises that it has not run; it has run %d time(s): REFUSED broken", id, a.Status,
					standin.Signature(&http.Response{Header: a.Header}), runs[id])
				broken = true
			}
		}
		if total > 1 {
			b.Note("order %d was carried out %d times", i, total)
		}
	}
	b.Note("%d orders", requests)
	return broken, nil
}
