package main

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The case: a worker whose streams have no length is killed while it writes. Its connections end, and
// the entry completes its callers' streams, although pieces are missing.

const (
	crashWorkers = 8 // one of eight is a share of 0.125; the site file goes to 0.14
	crashEntries = 3
	crashCallers = 14
	crashEvents  = 33
	crashLength  = 30 * time.Second
	crashDown    = 4500 * time.Millisecond
)

func runCrash(arguments []string) int {
	flags := flag.NewFlagSet("crash", flag.ExitOnError)
	entry := flags.String("entry", "", "the entry's program")
	record := flags.String("record", "record.txt", "the record's file")
	framed := flags.Bool("framed", false, "workers send streams in chunks, for comparison")
	_ = flags.Parse(arguments)
	t, err := newTestbed(*entry, *record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	defer t.close()
	code, err := crash(t, os.Getenv("TROUBLE") != "0", *framed)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	return code
}

func crash(t *testbed, trouble, framed bool) (int, error) {
	options := []string{"-events", fmt.Sprint(crashEvents), fmt.Sprintf("-framed=%t", framed)}
	workers := make([]*workerProcess, crashWorkers)
	for i := range workers {
		w, err := t.startWorker(fmt.Sprintf("i-%d", i), options...)
		if err != nil {
			return exitUnable, err
		}
		workers[i] = w
	}
	t.configure()
	entries, err := t.startEntries(crashEntries)
	if err != nil {
		return exitUnable, err
	}
	var broken, whole, others atomic.Int32
	until := time.Now().Add(crashLength)
	var callers sync.WaitGroup
	for i := range crashCallers {
		callers.Go(func() {
			time.Sleep(time.Duration(i) * 200 * time.Millisecond)
			for number := 0; time.Now().Before(until); number++ {
				switch t.stream(entries[i%len(entries)], fmt.Sprintf("c%d-%d", i, number)) {
				case streamWhole:
					whole.Add(1)
				case streamShort:
					broken.Add(1)
				default:
					others.Add(1)
				}
			}
		})
	}
	if trouble {
		for range 2 {
			time.Sleep(7 * time.Second)
			victim := busiest(workers)
			w := workers[victim]
			t.note("disruption: worker %s is killed", w.id)
			_ = w.command.Process.Signal(syscall.SIGKILL)
			<-w.exited
			time.Sleep(3600 * time.Millisecond) // three heartbeat intervals
			t.store.remove("servers/" + w.id)
			time.Sleep(crashDown - 3600*time.Millisecond)
			if workers[victim], err = t.startWorker(w.id+"-again", options...); err != nil {
				return exitUnable, err
			}
		}
	}
	callers.Wait()
	t.noteLogs("a server has ended under a request that had just begun there")
	summary := fmt.Sprintf("streams: %d whole, %d that ended as complete before their last piece, %d others", whole.Load(), broken.Load(), others.Load())
	t.note("%s", summary)
	fmt.Println(summary)
	switch {
	case whole.Load() == 0:
		return exitUnable, errors.New("no stream was whole")
	case broken.Load() > 0:
		return exitBroken, nil
	}
	return exitHeld, nil
}

// busiest returns the index of the worker that writes most streams.
func busiest(workers []*workerProcess) int {
	best := 0
	for i, w := range workers {
		if w.open.Load() > workers[best].open.Load() {
			best = i
		}
	}
	return best
}

// streamResult is what a caller has seen of a stream.
type streamResult int

const (
	streamWhole streamResult = iota
	streamShort              // it ended as complete and pieces are missing, foreign or doubled
	streamOther              // refused, failed, or broken off visibly
)

// stream sends one request and reads its answer as a client does.
func (t *testbed) stream(entry, id string) streamResult {
	request, err := http.NewRequest(http.MethodPost, "http://"+entry+"/gloss/x", strings.NewReader("a gloss on the poem of "+id))
	if err != nil {
		return streamOther
	}
	request.Host = "press.example"
	for name, value := range map[string]string{names.ID: id, "Model": "m", names.Tokens: "4960,1622", names.Parts: "5c1e07a2:40," + fmt.Sprintf("%x", id) + ":4920",
		names.Remaining: "10000", "Authorization": "Bearer key-1"} {
		request.Header.Set(name, value)
	}
	t.note("client sends %s", id)
	client := &http.Client{Timeout: 12 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		t.note("client %s: %v", id, err)
		return streamOther
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK || response.Header.Get(names.Signature) == "" {
		t.note("client %s: status %d", id, response.StatusCode)
		return streamOther
	}
	seen, wrong := 0, ""
	lines := bufio.NewReader(response.Body)
	for {
		line, err := lines.ReadString('\n')
		if errors.Is(err, io.EOF) && line == "" {
			break
		}
		if err != nil {
			t.note("client %s: broken off after piece %d: %v", id, seen, err)
			return streamOther
		}
		if data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: "); ok {
			seen++
			if data != eventData(id, seen) && wrong == "" {
				wrong = data
			}
		}
	}
	if seen == crashEvents && wrong == "" {
		t.note("client %s: whole, signature %s", id, response.Header.Get(names.Signature))
		return streamWhole
	}
	t.note("client %s: RULE BROKEN: 200, signature %s, the stream ended as complete with %d of %d pieces %s", id, response.Header.Get(names.Signature), seen, crashEvents, wrong)
	return streamShort
}
