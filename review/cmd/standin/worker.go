package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// worker is a stand-in for a model worker: one process, which the script may end by a signal. Its
// answers have no length and end with their connections, as the pages allow.
type worker struct {
	id     string
	events int
	gap    time.Duration
	framed bool
	// fatal are the parts of prompts on which the worker crashes as it begins to write.
	fatal []string

	mu  sync.Mutex
	log io.Writer
}

// runWorker serves until the process is ended. It prints its address, and then a line for each run
// and each event.
func runWorker(arguments []string) int {
	flags := flag.NewFlagSet("worker", flag.ExitOnError)
	w := &worker{log: os.Stdout}
	flags.StringVar(&w.id, "id", "", "the worker's Id")
	flags.IntVar(&w.events, "events", 30, "events of a stream")
	flags.DurationVar(&w.gap, "gap", 100*time.Millisecond, "pause between two events")
	flags.BoolVar(&w.framed, "framed", false, "send streams in chunks")
	fatal := flags.String("fatal", "", "parts of prompts, in a list with commas, on which the worker crashes")
	_ = flags.Parse(arguments)
	if *fatal != "" {
		w.fatal = strings.Split(*fatal, ",")
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	w.print("address %s", listener.Addr())
	for {
		connection, err := listener.Accept()
		if err != nil {
			return exitUnable
		}
		go w.serve(connection)
	}
}

func (w *worker) print(format string, arguments ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.log, format+"\n", arguments...)
}

// serve answers the one request of a connection and closes it.
func (w *worker) serve(connection net.Conn) {
	defer connection.Close()
	request, err := http.ReadRequest(bufio.NewReader(connection))
	if err != nil {
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	id := request.Header.Get(names.ID)
	if expected := request.Header.Get(names.Instance); expected != "" && expected != w.id {
		fmt.Fprintf(connection, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nAttempt-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", w.id, id)
		return
	}
	switch request.URL.Path {
	case "/health":
		fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", w.id)
		return
	case names.Order:
		w.order(connection, body)
		return
	}
	w.stream(connection, request, id)
}

// order accepts reservations: the prompts of the scripts are short, so that none should come.
func (w *worker) order(connection net.Conn, body []byte) {
	var order struct{ Operation string }
	_ = json.Unmarshal(body, &order)
	w.print("order %s", order.Operation)
	text := `{"Free":300000}`
	fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(text), text)
}

// stream writes the events after Last-Event-Id.
func (w *worker) stream(connection net.Conn, request *http.Request, id string) {
	last, _ := strconv.Atoi(request.Header.Get(names.LastEvent))
	w.print("run %s after %d", id, last)
	if w.isFatal(request.Header.Get(names.Parts)) {
		time.Sleep(w.gap)
		w.print("crash under %s", id)
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
	}
	fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: %s\r\nResponse-Signature: signed.%s\r\nConnection: close\r\n", id, w.id)
	if w.framed {
		fmt.Fprint(connection, "Transfer-Encoding: chunked\r\n")
	}
	fmt.Fprint(connection, "\r\n")
	for number := last + 1; number <= w.events; number++ {
		time.Sleep(w.gap)
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", number, eventData(id, number))
		if w.framed {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		if _, err := io.WriteString(connection, event); err != nil {
			w.print("left %s at %d", id, number)
			return
		}
	}
	if w.framed {
		fmt.Fprint(connection, "0\r\n\r\n")
	}
	w.print("end %s", id)
}

// isFatal reports whether a prompt has a part on which the worker crashes.
func (w *worker) isFatal(prefix string) bool {
	for entry := range strings.SplitSeq(prefix, ",") {
		part, _, _ := strings.Cut(entry, ":")
		if slices.Contains(w.fatal, part) {
			return true
		}
	}
	return false
}

// eventData is the data of an event, by which a client recognizes foreign and missing ones.
func eventData(id string, number int) string { return fmt.Sprintf("piece %d of %s", number, id) }
