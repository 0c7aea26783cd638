// Command case-path sends requests whose paths begin with an empty segment, and checks that a server
// runs each of them with the path that its caller sent. Without the disruption the same requests have
// no empty segment.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"arbutusdeck/platform/standin"
	"review2/bed"
)

func main() { bed.Run(60*time.Second, play) }

// targets are the paths and queries of the requests; one per request.
var targets = []string{"/subscriptions/cancel?id=42", "/notes/7/edit", "/subscriptions//cancel?id=43"}

func play(b *bed.Bed, trouble bool) (bool, error) {
	configuration := standin.Configuration(1)
	for _, route := range configuration["Routes"].([]map[string]any) {
		if route["Name"] == "order" {
			route["Prefix"] = "/"
		}
	}
	b.Store.Put("op/config", configuration)
	var running []*bed.Worker
	for i := range 3 {
		w, err := b.StartWorker(fmt.Sprintf("i-%d", i), "plain")
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
	sent := map[string]string{}
	for i, target := range targets {
		if trouble {
			target = "/" + target
		}
		id := fmt.Sprintf("request-%d", i)
		sent[id] = target
		status, err := send(entry.Listen, id, target)
		b.Note("caller sent %s POST %s: status %d, error: %v", id, target, status, err)
	}
	time.Sleep(200 * time.Millisecond)
	broken, runs := false, 0
	for _, w := range running {
		for _, e := range w.Events() {
			if e.Kind != "runs" {
				continue
			}
			runs++
			changed := e.URI != sent[e.ID] || e.Method != http.MethodPost
			b.Note("%s ran with %s %s and host %s, sent as POST %s; UNASKED broken: %v", e.ID, e.Method, e.URI, e.Host, sent[e.ID], changed)
			broken = broken || changed
		}
	}
	if !broken && runs != len(targets) {
		b.Note("%d of %d requests ran", runs, len(targets))
	}
	return broken, nil
}

// send writes a request with a given target on a connection of its own, and returns the status of
// its answer.
func send(address, id, target string) (int, error) {
	request := standin.NewRequest(address, http.MethodPost, "/", id, 0, "")
	connection, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer connection.Close()
	_ = connection.SetDeadline(time.Now().Add(10 * time.Second))
	var text strings.Builder
	fmt.Fprintf(&text, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: 4\r\n", target, request.Host)
	if err := request.Header.Write(&text); err != nil {
		return 0, err
	}
	if _, err := io.WriteString(connection, text.String()+"\r\nbody"); err != nil {
		return 0, err
	}
	answer, err := http.ReadResponse(bufio.NewReader(connection), request)
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close()
	_, err = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode, err
}
