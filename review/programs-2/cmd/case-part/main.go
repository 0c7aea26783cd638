// Command case-part sends prompts with a part that crashes each server which begins to write an answer on
// it, beside sound prompts that share their other parts, and counts how many of the former reach servers
// after the fifth crash. It does so for a part near the begin of the prompt and for one behind 66 others.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"arbutusdeck/platform/standin"
	"review2/bed"
)

const (
	workers = 10
	// events and gap describe a stream.
	events = "20"
	gap    = "20ms"
	// downtime is the time after which a crashed server is back, under another identifier; its row is
	// removed after three heartbeats of 1.2 s.
	downtime, rowLifetime = 2 * time.Second, 3600 * time.Millisecond
	// shared is the number of parts that all prompts of the caller share.
	shared = 66
	// soundInterval and fatalInterval are the intervals of the two kinds of requests at the entries.
	soundInterval, fatalInterval = 100 * time.Millisecond, 1500 * time.Millisecond
	// stable is the time after the fifth crash from which the rule counts, allowed the requests it allows.
	stable, allowed = 3 * time.Second, 3
	promptTokens    = (shared + 2) * 400
	maxOutputTokens = 200
)

func main() { bed.Run(110*time.Second, play) }

// phase is one run with a fatal part at a position of the prompt.
type phase struct {
	part     string
	position int
	duration time.Duration
}

func play(b *bed.Bed, trouble bool) (bool, error) {
	b.Store.Put("op/config", standin.Configuration(1))
	broken := false
	for _, p := range []phase{{"fa7a0001", 2, 14 * time.Second}, {"fa7a0002", shared, 21 * time.Second}} {
		phaseBroken, err := (&deployment{bed: b, phase: p, trouble: trouble}).run()
		if err != nil {
			return false, err
		}
		broken = broken || phaseBroken
	}
	return broken, nil
}

// deployment is two entries and ten servers for one phase.
type deployment struct {
	bed     *bed.Bed
	phase   phase
	trouble bool

	mu      sync.Mutex
	started []*bed.Worker
	count   int
	ending  atomic.Bool
	err     error
}

func (d *deployment) run() (bool, error) {
	d.bed.Note("part %s at position %d of %d: the prompts come for %s", d.phase.part, d.phase.position+1, shared+2, d.phase.duration)
	var running sync.WaitGroup
	for range workers {
		running.Go(d.keepWorker)
	}
	var entries []*bed.Entry
	for i := range 2 {
		var seeds []string
		if i > 0 {
			seeds = []string{entries[0].Peer}
		}
		e, err := d.bed.StartEntry(fmt.Sprintf("entry-%s-%d", d.phase.part, i), seeds...)
		if err != nil {
			return false, err
		}
		entries = append(entries, e)
	}
	for _, e := range entries {
		if err := e.AwaitReady(10 * time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Second)
	served, sent := d.sendAll(entries)
	d.ending.Store(true)
	for _, e := range entries {
		e.Signal(syscall.SIGKILL)
	}
	d.mu.Lock()
	all := d.started
	d.mu.Unlock()
	for _, w := range all {
		w.Signal(syscall.SIGKILL)
	}
	running.Wait()
	if d.err != nil {
		return false, d.err
	}
	return d.judge(served, sent), nil
}

// keepWorker runs one server after the other: each is replaced a while after it has crashed.
func (d *deployment) keepWorker() {
	for !d.ending.Load() {
		d.mu.Lock()
		d.count++
		id := fmt.Sprintf("i-%s-%d", d.phase.part, d.count)
		d.mu.Unlock()
		arguments := []string{"-events", events, "-gap", gap}
		if d.trouble {
			arguments = append(arguments, "-fatal-part", d.phase.part)
		}
		w, err := d.bed.StartWorker(id, "engines", arguments...)
		if err != nil {
			d.mu.Lock()
			d.err = err
			d.mu.Unlock()
			return
		}
		d.mu.Lock()
		d.started = append(d.started, w)
		d.mu.Unlock()
		d.bed.Store.Put(w.Row("ready"))
		for !w.Wait(time.Second) {
		}
		if d.ending.Load() {
			d.bed.Store.Remove(standin.RowKey(id))
			return
		}
		time.AfterFunc(rowLifetime, func() { d.bed.Store.Remove(standin.RowKey(id)) })
		time.Sleep(downtime)
	}
}

// sendAll sends both kinds of requests and returns how many of the sound ones were served and sent.
func (d *deployment) sendAll(entries []*bed.Entry) (served, sent int64) {
	var wait sync.WaitGroup
	var whole, count atomic.Int64
	begin := time.Now()
	every := func(interval time.Duration, send func(i int)) {
		for i := 0; time.Since(begin) < d.phase.duration; i++ {
			wait.Go(func() { send(i) })
			time.Sleep(interval)
		}
	}
	wait.Go(func() {
		every(soundInterval, func(i int) {
			id := fmt.Sprintf("sound-%s-%d", d.phase.part, i)
			request := d.request(entries[i%len(entries)], id, false)
			if i%4 < 2 { // these can't be resumed at another server
				request.URL.Path = "/once/x"
			}
			a := bed.Do(request, nil)
			count.Add(1)
			if a.Status == http.StatusOK && a.Complete {
				whole.Add(1)
				return
			}
			d.bed.Note("%s on %s isn't served: status %d, error %v, %.90s", id, request.URL.Path, a.Status, a.Err, a.Body)
		})
	})
	wait.Go(func() {
		time.Sleep(time.Second)
		every(fatalInterval, func(i int) {
			id := fmt.Sprintf("fatal-%s-%d", d.phase.part, i)
			a := bed.Do(d.request(entries[i%len(entries)], id, true), nil)
			d.bed.Note("%s: status %d, error %v, %.90s", id, a.Status, a.Err, a.Body)
		})
	})
	wait.Wait()
	return whole.Load(), count.Load()
}

// request returns a prompt of the caller. All share their first parts; each ends with a part of its own.
func (d *deployment) request(entry *bed.Entry, id string, fatal bool) *http.Request {
	var parts []string
	for i := range shared {
		if fatal && i == d.phase.position {
			parts = append(parts, d.phase.part)
		}
		parts = append(parts, fmt.Sprintf("5a%06x", i))
	}
	if fatal && d.phase.position >= shared {
		parts = append(parts, d.phase.part)
	}
	parts = append(parts, fmt.Sprintf("%x", id))
	request := standin.SetTokens(standin.NewRequest(entry.Listen, http.MethodPost, "/stream/x", id, 0, id), promptTokens, maxOutputTokens)
	return standin.SetPromptParts(request, parts...)
}

// judge applies the rule: no more than three requests with the part reach servers later than the stable
// time after the fifth crash.
func (d *deployment) judge(served, sent int64) bool {
	var crashes, runs []time.Time
	for _, w := range d.started {
		for _, e := range w.Events() {
			switch {
			case e.Kind == "crashes":
				crashes = append(crashes, e.At)
			case e.Kind == "runs" && e.ID[:5] == "fatal":
				runs = append(runs, e.At)
			}
		}
	}
	late := 0
	if len(crashes) >= 5 {
		fifth := nth(crashes, 5)
		for _, at := range runs {
			if at.Sub(fifth) > stable {
				late++
			}
		}
	}
	broken := late > allowed
	d.bed.Note("part %s at position %d: %d crashes, %d sends in all, %d of them later than %s after the fifth crash (allowed %d); sound requests served %d of %d; BUDGET broken: %v",
		d.phase.part, d.phase.position+1, len(crashes), len(runs), late, stable, allowed, served, sent, broken)
	return broken
}

// nth returns the n-th of some times in their order.
func nth(times []time.Time, n int) time.Time {
	for _, candidate := range times {
		earlier := 0
		for _, other := range times {
			if other.Before(candidate) {
				earlier++
			}
		}
		if earlier == n-1 {
			return candidate
		}
	}
	return times[0]
}
