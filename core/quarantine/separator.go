package quarantine

import (
	"slices"
	"time"
)

// separationTime is the time for which a suspect keeps others away from its server. Servers were seen to crash
// within some 0.4 s after such a request was sent, and a request that nobody waits for any more is dropped within
// half a second, as the users demand.
const separationTime = time.Second

// Separator keeps suspects on different servers. An innocent request that is always sent right beside the
// culprit, to the same servers, is at all its crashes, and the two can't be distinguished: the culprit is sent up
// to CrashLimit times, and the innocent one is refused with it. On separate servers they differ at the next crash.
// Separator is not safe for concurrent use.
type Separator struct {
	// sent holds the last suspect sent to each server, by the server's incarnation.
	sent map[string]send
}

type send struct {
	fingerprint Fingerprint
	at          time.Time
}

// NewSeparator returns a Separator without suspects.
func NewSeparator() *Separator { return &Separator{sent: map[string]send{}} }

// RecordSend records that a suspect is sent to a server.
func (sep *Separator) RecordSend(now time.Time, f Fingerprint, incarnation string) {
	sep.expire(now)
	sep.sent[incarnation] = send{f, now}
}

// ServersOfOthers returns the servers, sorted, that another suspect may be about to crash.
func (sep *Separator) ServersOfOthers(now time.Time, f Fingerprint) []string {
	sep.expire(now)
	var servers []string
	for incarnation, s := range sep.sent {
		if s.fingerprint != f {
			servers = append(servers, incarnation)
		}
	}
	slices.Sort(servers)
	return servers
}

// expire drops suspects sent longer than separationTime ago.
func (sep *Separator) expire(now time.Time) {
	for incarnation, s := range sep.sent {
		if now.Sub(s.at) >= separationTime {
			delete(sep.sent, incarnation)
		}
	}
}
