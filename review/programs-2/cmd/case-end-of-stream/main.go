// Command case-end-of-stream kills one of six backend servers while each of them writes a stream, and
// checks that no caller gets a stream that looks complete before its last event. It does so for
// streams in chunks, and for streams that end with their connection.
package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"arbutusdeck/platform/standin"
	"review2/bed"
)

const (
	workers = 6
	callers = 6
	events  = 30
	gap     = 100 * time.Millisecond
	// killAfter is the number of events that the caller of the killed server has when it is killed.
	killAfter = 8
)

func main() { bed.Run(100*time.Second, play) }

func play(b *bed.Bed, trouble bool) (bool, error) {
	b.Store.Put("op/config", standin.Configuration(1))
	entry, err := b.StartEntry("entry-1")
	if err != nil {
		return false, err
	}
	broken := false
	for _, phase := range []struct {
		name      string
		arguments []string
	}{{"chunked", nil}, {"unframed", []string{"-unframed"}}} {
		phaseBroken, err := playPhase(b, entry, trouble, phase.name, phase.arguments)
		if err != nil {
			return false, err
		}
		broken = broken || phaseBroken
	}
	return broken, nil
}

// playPhase starts servers, lets each of them write a stream, kills one of them, and ends the others
// after the last answer.
func playPhase(b *bed.Bed, entry *bed.Entry, trouble bool, name string, arguments []string) (bool, error) {
	var running []*bed.Worker
	for i := range workers {
		w, err := b.StartWorker(fmt.Sprintf("i-%s-%d", name, i), "engines", append([]string{"-events", fmt.Sprint(events), "-gap", gap.String()}, arguments...)...)
		if err != nil {
			return false, err
		}
		running = append(running, w)
		b.Store.Put(w.Row("ready"))
	}
	if err := entry.AwaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(time.Second) // the rows of this phase are in force well before the limit for changes
	answers := make([]bed.Answer, callers)
	var wait sync.WaitGroup
	var kill sync.Once
	for i := range callers {
		wait.Go(func() {
			id := fmt.Sprintf("%s-%d", name, i)
			request := standin.NewRequest(entry.Listen, http.MethodPost, "/stream/x", id, 1000, "prompt "+id)
			answers[i] = bed.Do(request, func(soFar string) {
				if i != 0 || !trouble || count(soFar) < killAfter {
					return
				}
				kill.Do(func() { killRunning(b, running, id) })
			})
		})
	}
	wait.Wait()
	broken := false
	for i, a := range answers {
		early := a.Status == http.StatusOK && a.Complete && count(a.Body) < events
		b.Note("caller of %s-%d: status %d, %d of %d events, ends as complete: %v, signed %q, error: %v; ORDER broken: %v", name, i, a.Status, count(a.Body), events,
			a.Complete, signature(a), a.Err, early)
		broken = broken || early
	}
	for _, line := range append(entry.Log("a server has ended under"), entry.Log("try ended")...) {
		if strings.Contains(line, name+"-0\"") {
			b.Note("the entry's log: %s", line)
		}
	}
	for _, w := range running {
		b.Store.Remove(standin.RowKey(w.ID))
		w.Signal(syscall.SIGKILL)
	}
	time.Sleep(time.Second)
	return broken, nil
}

// killRunning kills the server that runs a request.
func killRunning(b *bed.Bed, running []*bed.Worker, id string) {
	for _, w := range running {
		for _, e := range w.Events() {
			if e.ID == id && e.Kind == "runs" && !w.Exited() {
				b.Note("worker %s is killed, 1 of %d", w.ID, workers)
				w.Signal(syscall.SIGKILL)
				return
			}
		}
	}
}

func count(body string) int { return strings.Count(body, "\n\n") }

func signature(a bed.Answer) string {
	return standin.Signature(&http.Response{Header: a.Header})
}
