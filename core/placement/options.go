package placement

import "time"

// Options are the weights of a choice. Losses are in units of the value of a
// short request: an answer of ordinary length to a short prompt.
type Options struct {
	// Zone is the entry's availability zone.
	Zone string
	// TokensPerValue is how many prompt tokens double a short request's value.
	// What a caller loses with a request grows with the work put into it.
	TokensPerValue float64
	// LateLoss is the share of a request's value that is lost when it is late.
	LateLoss float64
	// ZoneLoss is the cost of leaving the zone, in short requests: the longer way and
	// the bytes.
	ZoneLoss float64
	// PackGain is the gain from each answer at a server that bears pauses alike,
	// as a share of the request's value, until PackShare of the server's slots is
	// taken, at the start; the share is learned from then on. Packed answers leave whole
	// servers to the reading of long prompts, beside which they would pause for too long.
	PackGain  float64
	PackShare float64
	// OpenLoss is the cost of the first answer of its kind at a server, as a share of the request's
	// value. Long reads keep away from the server as long as it is written, or make it pause.
	OpenLoss float64
	// ShortTokens is the longest prompt, in tokens, that never waits at the entry
	// and that is refused beyond the slots. It is the longest of the users'
	// shortest kinds.
	ShortTokens int64
	// GapMargin is kept free of the expected pause between events, for the
	// network and for what this entry has not heard of yet.
	GapMargin time.Duration
	// TargetShare is the share of the target for the first event at which a
	// prediction counts as half late.
	TargetShare float64
	// MemoryShare is the share of an engine's memory that prompts may fill. The
	// rest is for the answers' growth and for what other entries send at the same
	// moment.
	MemoryShare float64
	// PartLoss is the cost of one more part: each is a server that can fail the
	// whole, and a read that goes before those that wait there.
	PartLoss float64
	// UsualParts bounds the servers that read one prompt, MaxParts those of a
	// prompt that would not be read in time by so few.
	UsualParts, MaxParts int
	// ShedShare is the share of the target beyond which the predicted first
	// event of a short prompt that has to wait for a slot gets it refused.
	ShedShare float64
	// WaitLateShare is how much others may lose by a prompt that is late anyway,
	// as a share of its value; while they would lose more it waits.
	WaitLateShare float64
	// CrowdShare is how much others may lose by a long prompt that is late and can wait no
	// longer, as a share of what its late answer is worth; beyond it the prompt is refused.
	// It is well below 1 because the loss of others is what the book knows of, and the next
	// ones come on top.
	CrowdShare float64
	// WorkPrice is what a second of reading costs the requests that come next, in
	// short requests, while all servers are busy reading; in proportion while a
	// part of them is. Without it long prompts fill all servers when they come
	// too fast, and the short ones after them are late.
	WorkPrice float64
	// UnheardLoss is the share of a request's value that is believed lost at a
	// server that an entry may use of which nothing is heard.
	UnheardLoss float64
	// NetworkTime is a connection's opening and the way there and back.
	NetworkTime time.Duration
}

// DefaultOptions returns the options of an entry in a zone.
func DefaultOptions(zone string) Options {
	return Options{Zone: zone, TokensPerValue: 8000, LateLoss: 0.75, ZoneLoss: 0.01, PackGain: 0.02, PackShare: 0.9, OpenLoss: 0.05,
		ShortTokens: 24000, CrowdShare: 0.3, GapMargin: 10 * time.Millisecond, TargetShare: 1, MemoryShare: 0.85, UsualParts: 8, MaxParts: 16, PartLoss: 0.01,
		NetworkTime: 6 * time.Millisecond, WaitLateShare: 0.02, ShedShare: 1.5, WorkPrice: 3, UnheardLoss: 0.15}
}
