package account

import (
	"slices"
	"time"
)

// Bounds of the state per server.
const (
	// maxPrefills bounds the latest prefills that are kept per server: more than begin there
	// while one answer is written.
	maxPrefills = 64
	// maxUnseen is the count from which on requests, or prefills, share one row.
	maxUnseen = 3
)

// prefill describes a prompt, or a part of one, that a server prefills.
type prefill struct {
	at     time.Time
	tokens int64
}

// serverActivity is the work that all entries together have sent to one server.
type serverActivity struct {
	// openRequests counts the requests that were sent there and have not ended.
	openRequests int
	// prefills are the latest ones, oldest first.
	prefills []prefill
}

func (a *serverActivity) add(newest prefill) {
	if len(a.prefills) >= maxPrefills {
		a.prefills = slices.Delete(a.prefills, 0, 1)
	}
	a.prefills = append(a.prefills, newest)
}

// PauseStats counts the prefills that began at servers while these wrote answers with a pause
// beyond their bound.
type PauseStats struct {
	// Answers counts the answers with such a pause. ByPrefills divides them by the number of
	// prefills of other prompts that began there meanwhile; the last element stands for
	// maxUnseen or more.
	Answers    int
	ByPrefills [maxUnseen + 1]int
	// LongestPrefills holds the tokens of the longest such prefill for each answer.
	LongestPrefills []int64
}

// maxLongestPrefills bounds PauseStats.LongestPrefills.
const maxLongestPrefills = 10_000

func (p *PauseStats) add(prefills []prefill) {
	p.Answers++
	p.ByPrefills[min(len(prefills), maxUnseen)]++
	if len(prefills) == 0 || len(p.LongestPrefills) >= maxLongestPrefills {
		return
	}
	longest := slices.MaxFunc(prefills, func(a, b prefill) int { return int(a.tokens - b.tokens) })
	p.LongestPrefills = append(p.LongestPrefills, longest.tokens)
}

// MedianLongestPrefill returns the median of LongestPrefills in tokens; 0 if there are none.
func (p *PauseStats) MedianLongestPrefill() int64 {
	if len(p.LongestPrefills) == 0 {
		return 0
	}
	ordered := slices.Sorted(slices.Values(p.LongestPrefills))
	return ordered[len(ordered)/2]
}

// activityByServer holds the activity of each server as all logs together show it. Each choice of
// a server is compared with it to find the requests that the choosing entry did not know of.
type activityByServer map[string]*serverActivity

func (a activityByServer) at(server string) *serverActivity {
	if a[server] == nil {
		a[server] = &serverActivity{}
	}
	return a[server]
}

// requestPlaced records a choice and returns the number of unseen requests at the server.
func (a activityByServer) requestPlaced(line *Line) int {
	chosen := a.at(line.Server)
	unseen := max(chosen.openRequests-line.ServerRequests, 0)
	chosen.openRequests++
	part := line.Tokens / int64(len(line.Helpers)+1)
	for _, server := range append([]string{line.Server}, line.Helpers...) {
		a.at(server).add(prefill{line.Time, part})
	}
	return unseen
}

// requestEnded records that a request no longer runs at a server.
func (a activityByServer) requestEnded(server string) {
	if activity := a[server]; activity != nil && activity.openRequests > 0 {
		activity.openRequests--
	}
}

// prefillsBetween returns the prefills that began at a server between two times.
func (a activityByServer) prefillsBetween(server string, from, to time.Time) []prefill {
	activity := a[server]
	if activity == nil {
		return nil
	}
	var found []prefill
	for _, p := range activity.prefills {
		if p.at.After(from) && p.at.Before(to) {
			found = append(found, p)
		}
	}
	return found
}
