package quarantine

import (
	"slices"
	"time"
)

// separationTime is for how long a suspect keeps other ones away from the server it was sent to: a
// server ends under it some 0.4 s after it was sent there at the latest, where this was seen, and a
// request that nobody waits for any more is dropped within half a second (the users' bound).
const separationTime = time.Second

// Separator keeps suspects on different servers. A sound request that is sent right beside the one at
// fault, each time to the same server, is at all its ends. Nothing tells the two apart then: the one at
// fault is sent on up to EndsInAnyCase, and the sound one is refused with it. On servers of their own
// they differ at the next end. Separator is not safe for concurrent use.
type Separator struct {
	// sent is by start of a server which suspect was sent there last.
	sent map[string]send
}

type send struct {
	fingerprint Fingerprint
	at          time.Time
}

// NewSeparator returns an Apart that knows of no suspect.
func NewSeparator() *Separator { return &Separator{sent: map[string]send{}} }

// RecordSend takes in that a suspect is sent to a start of a server.
func (sep *Separator) RecordSend(now time.Time, f Fingerprint, server string) {
	sep.expire(now)
	sep.sent[server] = send{f, now}
}

// ServersOfOthers returns the starts of servers that another suspect may be about to end, in a fixed order.
func (sep *Separator) ServersOfOthers(now time.Time, f Fingerprint) []string {
	sep.expire(now)
	var servers []string
	for start, s := range sep.sent {
		if s.fingerprint != f {
			servers = append(servers, start)
		}
	}
	slices.Sort(servers)
	return servers
}

// expire bounds what is remembered to the suspects of the last second.
func (sep *Separator) expire(now time.Time) {
	for start, s := range sep.sent {
		if now.Sub(s.at) >= separationTime {
			delete(sep.sent, start)
		}
	}
}
