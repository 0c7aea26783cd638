package account

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Bounds of the suspect requests.
const (
	// maxSuspects bounds the requests that are tracked; a crash of many servers breaks off
	// some thousand.
	maxSuspects = 20_000
	// maxShownSuspects bounds the requests in the table. minCrashedServers is the number of
	// crashed servers from which a request is listed: a request that merely runs beside a
	// poison request rarely does so twice.
	maxShownSuspects  = 5
	minCrashedServers = 2
)

// SuspectRequest describes one request under which servers crashed, over all its submissions at
// all entries.
type SuspectRequest struct {
	// Fingerprint identifies the request across all its submissions.
	Fingerprint string
	// CrashedServers crashed under it; CrashedBeforeFirstEvent are those of them that crashed
	// before its first event there.
	CrashedServers, CrashedBeforeFirstEvent map[string]bool
	// RequestIDs are the IDs of its submissions, Entries the entries that received them.
	RequestIDs, Entries   map[string]bool
	FirstCrash, LastCrash time.Time
}

// suspectsByFingerprint holds the requests under which servers crashed.
type suspectsByFingerprint map[string]*SuspectRequest

// recordAttempt records the end of an attempt if its server crashed.
func (e suspectsByFingerprint) recordAttempt(line *Line) {
	if !line.ServerEnded || line.Fingerprint == "" {
		return
	}
	known := e[line.Fingerprint]
	if known == nil {
		if len(e) >= maxSuspects {
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

// SuspectRequests returns the requests under which the most servers crashed, in descending order
// of that number.
func (a *Report) SuspectRequests() []*SuspectRequest {
	worst := slices.DeleteFunc(slices.Collect(maps.Values(a.suspects)), func(e *SuspectRequest) bool { return len(e.CrashedServers) < minCrashedServers })
	slices.SortFunc(worst, func(x, y *SuspectRequest) int {
		return cmp.Or(cmp.Compare(len(y.CrashedServers), len(x.CrashedServers)), cmp.Compare(x.Fingerprint, y.Fingerprint))
	})
	return worst[:min(len(worst), maxShownSuspects)]
}
