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
func (s suspectsByFingerprint) recordAttempt(line *Line) {
	if !line.ServerEnded || line.Fingerprint == "" {
		return
	}
	suspect := s[line.Fingerprint]
	if suspect == nil {
		if len(s) >= maxSuspects {
			return
		}
		suspect = &SuspectRequest{Fingerprint: line.Fingerprint, CrashedServers: map[string]bool{}, CrashedBeforeFirstEvent: map[string]bool{}, RequestIDs: map[string]bool{},
			Entries: map[string]bool{}, FirstCrash: line.Time}
		s[line.Fingerprint] = suspect
	}
	suspect.CrashedServers[line.Server] = true
	if line.AnswerMs == nil {
		suspect.CrashedBeforeFirstEvent[line.Server] = true
	}
	suspect.RequestIDs[line.Request] = true
	suspect.Entries[line.Entry] = true
	suspect.LastCrash = line.Time
}

// SuspectRequests returns the requests under which the most servers crashed, in descending order
// of that number.
func (r *Report) SuspectRequests() []*SuspectRequest {
	worst := slices.DeleteFunc(slices.Collect(maps.Values(r.suspects)), func(suspect *SuspectRequest) bool { return len(suspect.CrashedServers) < minCrashedServers })
	slices.SortFunc(worst, func(x, y *SuspectRequest) int {
		return cmp.Or(cmp.Compare(len(y.CrashedServers), len(x.CrashedServers)), cmp.Compare(x.Fingerprint, y.Fingerprint))
	})
	return worst[:min(len(worst), maxShownSuspects)]
}
