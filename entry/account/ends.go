package account

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Bounds of what is kept of requests whose servers ended.
const (
	// maxEndings bounds the requests; a crash of many servers cuts some thousand.
	maxEndings = 20_000
	// shownEndings is how many of them the table names, and leastEnded under how many servers
	// must have ended for a request to be named: what runs beside another one that ends its
	// server is rarely there twice.
	shownEndings = 5
	leastEnded   = 2
)

// Ending is what is known of one request, in all its attempts and at all entries, under which
// servers ended.
type Ending struct {
	// Fingerprint names the request in all its attempts.
	Fingerprint string
	// Servers ended under it, Before of them before its first event there.
	Servers, Before map[string]bool
	// Attempts and Entries are those in which it came.
	Attempts, Entries map[string]bool
	From, To          time.Time
}

// endings are the requests under which servers ended, by fingerprint.
type endings map[string]*Ending

// tried takes in how a try ended.
func (e endings) tried(line *Line) {
	if !line.ServerEnded || line.Fingerprint == "" {
		return
	}
	known := e[line.Fingerprint]
	if known == nil {
		if len(e) >= maxEndings {
			return
		}
		known = &Ending{Fingerprint: line.Fingerprint, Servers: map[string]bool{}, Before: map[string]bool{}, Attempts: map[string]bool{},
			Entries: map[string]bool{}, From: line.Time}
		e[line.Fingerprint] = known
	}
	known.Servers[line.Server] = true
	if line.AnswerMs == nil {
		known.Before[line.Server] = true
	}
	known.Attempts[line.Request] = true
	known.Entries[line.Entry] = true
	known.To = line.Time
}

// Endings returns the requests under which most servers ended, the worst first.
func (a *Report) Endings() []*Ending {
	worst := slices.DeleteFunc(slices.Collect(maps.Values(a.endings)), func(e *Ending) bool { return len(e.Servers) < leastEnded })
	slices.SortFunc(worst, func(x, y *Ending) int {
		return cmp.Or(cmp.Compare(len(y.Servers), len(x.Servers)), cmp.Compare(x.Fingerprint, y.Fingerprint))
	})
	return worst[:min(len(worst), shownEndings)]
}
