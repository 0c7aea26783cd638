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

// SuspectRequest is what is known of one request, in all its attempts and at all entries, under which
// servers ended.
type SuspectRequest struct {
	// Fingerprint names the request in all its attempts.
	Fingerprint string
	// CrashedServers ended under it, CrashedBeforeFirstEvent of them before its first event there.
	CrashedServers, CrashedBeforeFirstEvent map[string]bool
	// RequestIDs and Entries are those in which it came.
	RequestIDs, Entries map[string]bool
	FirstCrash, LastCrash          time.Time
}

// endings are the requests under which servers ended, by fingerprint.
type endings map[string]*SuspectRequest

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
		known = &SuspectRequest{Fingerprint: line.Fingerprint, CrashedServers: map[string]bool{}, CrashedBeforeFirstEvent: map[string]bool{}, RequestIDs: map[string]bool{},
			Entries: map[string]bool{}, FirstCrash: line.Time}
		e[line.Fingerprint] = known
	}
	known.CrashedServers[line.Server] = true
	if line.AnswerMs == nil {
		known.CrashedBeforeFirstEvent[line.Server] = true
	}
	known.RequestIDs[line.Request] = true
	known.Entries[line.Entry] = true
	known.LastCrash = line.Time
}

// SuspectRequests returns the requests under which most servers ended, the worst first.
func (a *Report) SuspectRequests() []*SuspectRequest {
	worst := slices.DeleteFunc(slices.Collect(maps.Values(a.endings)), func(e *SuspectRequest) bool { return len(e.CrashedServers) < leastEnded })
	slices.SortFunc(worst, func(x, y *SuspectRequest) int {
		return cmp.Or(cmp.Compare(len(y.CrashedServers), len(x.CrashedServers)), cmp.Compare(x.Fingerprint, y.Fingerprint))
	})
	return worst[:min(len(worst), shownEndings)]
}
