package account

import (
	"slices"
	"time"
)

// Bounds of what is kept of each server.
const (
	// maxReads is how many of the newest reads at a server are kept: more than begin there
	// while one answer is written.
	maxReads = 64
	// lackedMost is from how many requests on rows are not told apart.
	lackedMost = 3
)

// serverRead is one prompt, or a part of one, that a server was sent.
type serverRead struct {
	at     time.Time
	tokens int64
}

// place is what all entries together did at one server.
type place struct {
	// open are the requests that were sent there and have not ended.
	open int
	// reads are the newest ones, oldest first.
	reads []serverRead
}

func (p *place) add(r serverRead) {
	if len(p.reads) >= maxReads {
		p.reads = slices.Delete(p.reads, 0, 1)
	}
	p.reads = append(p.reads, r)
}

// PauseStats tells what was read at the servers of the answers that paused for too long, while
// they were written.
type PauseStats struct {
	// Answers paused for too long; ByReads divides them by how many reads of other prompts
	// began there meanwhile, up to lackedMost.
	Answers int
	ByPrefills [lackedMost + 1]int
	// LongestPrefills are those reads' tokens, the longest of each answer.
	LongestPrefills []int64
}

// maxLongest bounds Longest.
const maxLongest = 10_000

func (p *PauseStats) add(reads []serverRead) {
	p.Answers++
	p.ByPrefills[min(len(reads), lackedMost)]++
	if len(reads) == 0 || len(p.LongestPrefills) >= maxLongest {
		return
	}
	longest := slices.MaxFunc(reads, func(a, b serverRead) int { return int(a.tokens - b.tokens) })
	p.LongestPrefills = append(p.LongestPrefills, longest.tokens)
}

// MedianLongestPrefill is the median of Longest; 0 without any.
func (p *PauseStats) MedianLongestPrefill() int64 {
	if len(p.LongestPrefills) == 0 {
		return 0
	}
	ordered := slices.Sorted(slices.Values(p.LongestPrefills))
	return ordered[len(ordered)/2]
}

// places are the servers as all logs together show them. A choice is compared with them:
// what runs there that the chooser did not know of, it lacked.
type places map[string]*place

func (p places) at(server string) *place {
	if p[server] == nil {
		p[server] = &place{}
	}
	return p[server]
}

// chosen books a choice and returns how many requests the chooser lacked.
func (p places) chosen(line *Line) int {
	first := p.at(line.Server)
	lacked := max(first.open-line.ServerRequests, 0)
	first.open++
	part := line.Tokens / int64(len(line.Helpers)+1)
	for _, server := range append([]string{line.Server}, line.Helpers...) {
		p.at(server).add(serverRead{line.Time, part})
	}
	return lacked
}

// left books that a request no longer runs at a server.
func (p places) left(server string) {
	if at := p[server]; at != nil && at.open > 0 {
		at.open--
	}
}

// during returns the reads that began at a server in a span of time.
func (p places) during(server string, from, to time.Time) []serverRead {
	at := p[server]
	if at == nil {
		return nil
	}
	var found []serverRead
	for _, r := range at.reads {
		if r.at.After(from) && r.at.Before(to) {
			found = append(found, r)
		}
	}
	return found
}
