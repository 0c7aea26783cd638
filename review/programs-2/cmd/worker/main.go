// Command worker is a stand-in of a backend server in a process of its own. It prints its address,
// then a line for each request that it runs.
package main

import (
	"encoding/json"
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

	"arbutusdeck/platform/standin"
	"review2/bed"
)

var printing sync.Mutex

func report(e bed.Event) {
	line, _ := json.Marshal(e)
	printing.Lock()
	defer printing.Unlock()
	_, _ = fmt.Println(string(line))
}

func main() {
	id := flag.String("id", "", "identifier")
	service := flag.String("service", "", "service")
	events := flag.Int("events", 0, "events of a stream; 0 answers with one body")
	gap := flag.Duration("gap", 0, "time between two events, or before a body")
	size := flag.Int("size", 800, "bytes of a body")
	failStatus := flag.Int("fail-status", 0, "status of the failures")
	failCount := flag.Int("fail-count", 0, "number of requests that fail, after they have run, of each five")
	fatalPart := flag.String("fatal-part", "", "part of prompts under which the process ends as it begins to write; empty for none")
	flag.Parse()
	worker := standin.NewWorker(*id, *service)
	var runs atomic.Int64
	worker.Script = func(out http.ResponseWriter, r *http.Request) {
		run := standin.RunFromRequest(r)
		report(bed.Event{Kind: "runs", ID: run.ID, Method: run.Method, URI: run.URI, Host: run.Host, Last: run.LastEventID, Detail: fmt.Sprintf("events=%d", *events)})
		if number := int(runs.Add(1)-1) % 5; number < *failCount {
			time.Sleep(*gap)
			report(bed.Event{Kind: "failed", ID: run.ID, Detail: fmt.Sprintf("after its work, with status %d", *failStatus)})
			out.WriteHeader(*failStatus)
			_, _ = io.WriteString(out, "a later step of the work failed")
			return
		}
		if *fatalPart != "" && run.HasPromptPart(*fatalPart) {
			time.Sleep(*gap)
			report(bed.Event{Kind: "crashes", ID: run.ID})
			_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
			select {}
		}
		if *events == 0 {
			time.Sleep(*gap)
			body := make([]byte, *size)
			for i := range body {
				body[i] = byte('a' + i%26)
			}
			_, _ = out.Write(body)
			report(bed.Event{Kind: "ended", ID: run.ID})
			return
		}
		from := 0
		_, _ = fmt.Sscan(run.LastEventID, &from)
		out.Header().Set("Content-Type", "text/event-stream")
		for i := from + 1; i <= *events; i++ {
			standin.WriteEvents(out, i, i)
			select {
			case <-time.After(*gap):
			case <-r.Context().Done():
				report(bed.Event{Kind: "dropped", ID: run.ID, Detail: fmt.Sprintf("after event %d", i)})
				return
			}
		}
		report(bed.Event{Kind: "ended", ID: run.ID, Detail: fmt.Sprintf("after event %d", *events)})
	}
	// The stand-in's own router answers paths with empty segments with a redirect; this worker runs them.
	router := worker.Config.Handler
	worker.Config.Handler = http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.URL.Path, "//") {
			r.URL.Path = "/"
		}
		router.ServeHTTP(out, r)
	})
	fmt.Println(worker.Address())
	select {}
}
