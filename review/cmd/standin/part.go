package main

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// The case: two parts of prompts, each of which crashes every worker that begins to write an answer on
// it, come in requests of one school. The school's sound requests share its first part with them, and
// are refused from then on.

const (
	partWorkers = 16
	partEntries = 5
	// partDown is the time after which a crashed worker is back.
	partDown = 3600 * time.Millisecond
	// A lesson has lessonPupils requests within lessonTime; one begins every lessonInterval.
	lessonPupils   = 12
	lessonTime     = time.Second
	lessonInterval = 7 * time.Second
	// The fatal requests come between two lessons from fatalFrom on, in turn with either part, one every
	// fatalInterval: 1 a second with each part, 3 in 100 of the sheet's 33.
	fatalFrom     = 26200 * time.Millisecond
	fatalTime     = 20 * time.Second
	fatalInterval = 500 * time.Millisecond
	partLength    = 48 * time.Second
	otherInterval = 250 * time.Millisecond
	// stableWindow is StableWindowMs of the sheet.
	stableWindow = 3 * time.Second
	// leastCounted is the number of sound requests that the rule asks for in each time.
	leastCounted = 20
)

var fatalParts = []string{"fa7a1001", "fa7a1002"}

const (
	schoolPart = "5c1e07a2"
	schoolKey  = "key-school"
	otherKey   = "key-press"
)

func runPart(arguments []string) int {
	flags := flag.NewFlagSet("part", flag.ExitOnError)
	entry := flags.String("entry", "", "the entry's program")
	record := flags.String("record", "record.txt", "the record's file")
	parts := flags.Int("parts", len(fatalParts), "number of fatal parts, for comparison")
	_ = flags.Parse(arguments)
	fatalParts = fatalParts[:min(max(*parts, 1), len(fatalParts))]
	t, err := newTestbed(*entry, *record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	defer t.close()
	code, err := part(t, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	return code
}

// soundRequest is a sound request of the school, as its client has seen it.
type soundRequest struct {
	sent  time.Time
	begun bool
}

type partCase struct {
	t       *testbed
	entries []string

	mu      sync.Mutex
	crashes []time.Time
	sound   []soundRequest
	other   int // other callers' requests that have begun
	stopped bool
}

func part(t *testbed, trouble bool) (int, error) {
	c := &partCase{t: t}
	for i := range partWorkers {
		if err := c.startWorker(fmt.Sprintf("i-%d", i), 0); err != nil {
			return exitUnable, err
		}
	}
	t.configure()
	var err error
	if c.entries, err = t.startEntries(partEntries); err != nil {
		return exitUnable, err
	}
	began := time.Now()
	var callers sync.WaitGroup
	every := func(interval, from, until time.Duration, call func(number int)) {
		callers.Go(func() {
			for number := 0; ; number++ {
				at := from + time.Duration(number)*interval
				if at >= until {
					return
				}
				time.Sleep(time.Until(began.Add(at)))
				callers.Go(func() { call(number) })
			}
		})
	}
	every(lessonInterval, time.Second, partLength-lessonTime, func(lesson int) {
		for pupil := range lessonPupils {
			time.Sleep(lessonTime / lessonPupils)
			callers.Go(func() { c.askSound(fmt.Sprintf("s%d-%d", lesson, pupil)) })
		}
	})
	every(otherInterval, 0, partLength, func(number int) { c.askOther(number) })
	if trouble {
		every(fatalInterval, fatalFrom, fatalFrom+fatalTime, func(number int) { c.askFatal(number) })
	}
	callers.Wait()
	return c.check(began)
}

// startWorker starts a worker, and the next one some seconds after it has crashed.
func (c *partCase) startWorker(id string, start int) error {
	w, err := c.t.startWorker(fmt.Sprintf("%s-%d", id, start), "-framed", "-events", "20", "-gap", "40ms", "-fatal", strings.Join(fatalParts, ","))
	if err != nil {
		return err
	}
	go func() {
		<-w.exited
		c.mu.Lock()
		c.crashes = append(c.crashes, time.Now())
		c.mu.Unlock()
		time.Sleep(partDown)
		c.t.store.remove("servers/" + w.id)
		if err := c.startWorker(id, start+1); err != nil {
			c.t.note("worker %s: %v", id, err)
		}
	}()
	return nil
}

func (c *partCase) askSound(id string) {
	sent := time.Now()
	begun := c.ask(id, schoolKey, schoolPart+":40,"+ownPart(id)+":4920")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sound = append(c.sound, soundRequest{sent, begun})
}

func (c *partCase) askOther(number int) {
	id := fmt.Sprintf("o%d", number)
	begun := c.ask(id, otherKey, fmt.Sprintf("0ddba1%02x:40,%s:4920", number%10, ownPart(id)))
	c.mu.Lock()
	defer c.mu.Unlock()
	if begun {
		c.other++
	}
}

func (c *partCase) askFatal(number int) {
	id := fmt.Sprintf("f%d", number)
	c.ask(id, schoolKey, fmt.Sprintf("%s:40,%s:400,%s:4520", schoolPart, fatalParts[number%len(fatalParts)], ownPart(id)))
}

// ownPart returns the ID of the last part of a prompt, which is the request's own.
func ownPart(id string) string { return fmt.Sprintf("%x", id) }

// ask sends a request to any entry, once, and reports whether its answer began.
func (c *partCase) ask(id, key, prefix string) bool {
	entry := rand.Intn(len(c.entries))
	request, err := http.NewRequest(http.MethodPost, "http://"+c.entries[entry]+"/gloss/x", strings.NewReader("a gloss on the poem of "+id))
	if err != nil {
		return false
	}
	request.Host = "press.example"
	for name, value := range map[string]string{names.ID: id, "Model": "m", names.Tokens: "4960,1022", names.Parts: prefix,
		names.Remaining: "10000", "Authorization": "Bearer " + key} {
		request.Header.Set(name, value)
	}
	c.t.note("client sends %s to front-%d, parts %s", id, entry, prefix)
	client := &http.Client{Timeout: 12 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		c.t.note("client %s: %v", id, err)
		return false
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		c.t.note("client %s: status %d, Retry-After %s, %s", id, response.StatusCode, response.Header.Get("Retry-After"), strings.TrimSpace(string(text)))
		return false
	}
	events := bufio.NewReader(response.Body)
	if _, err := events.ReadString('\n'); err != nil {
		c.t.note("client %s: 200 without an event: %v", id, err)
		return false
	}
	if _, err := io.Copy(io.Discard, events); err != nil {
		c.t.note("client %s: 200, broken off: %v", id, err)
		return true
	}
	c.t.note("client %s: 200, whole", id)
	return true
}

// check applies the rule to the school's sound requests.
func (c *partCase) check(began time.Time) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before, within := [2]int{}, [2]int{} // sent, begun
	var from time.Time
	if len(c.crashes) >= 5 {
		from = c.crashes[4].Add(2 * stableWindow)
	} else if len(c.crashes) > 0 {
		from = c.crashes[len(c.crashes)-1].Add(2 * stableWindow)
	}
	for _, request := range c.sound {
		counted := &before
		switch {
		case request.sent.Before(began.Add(fatalFrom)):
		case !from.IsZero() && !request.sent.Before(from) && request.sent.Before(began.Add(fatalFrom+fatalTime)):
			counted = &within
		default:
			continue
		}
		counted[0]++
		if request.begun {
			counted[1]++
		}
	}
	summary := fmt.Sprintf("%d crashes; the school's sound requests: %d of %d begin before the disruption, %d of %d while such requests come, from 2 x StableWindowMs after the fifth crash (or the last) on; %d other requests begin",
		len(c.crashes), before[1], before[0], within[1], within[0], c.other)
	c.t.note("%s", summary)
	fmt.Println(summary)
	switch {
	case before[0] < leastCounted || before[1] == 0:
		return exitUnable, errors.New("too few sound requests were served before the disruption")
	case len(c.crashes) > 0 && within[0] < leastCounted:
		return exitUnable, errors.New("too few sound requests were sent during the disruption")
	case within[0] > 0 && 2*within[1]*before[0] < before[1]*within[0]:
		return exitBroken, nil
	}
	return exitHeld, nil
}
