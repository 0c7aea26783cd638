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
	// ZoneLoss is the cost of leaving the zone.
	ZoneLoss float64
	// PackGain is the gain from an answer that is already being written on a
	// server, up to PackShare of its slots, for a short prompt. Packed short
	// answers leave whole servers to the reading of long prompts, beside which
	// they would pause for too long.
	PackGain  float64
	PackShare float64
	// ShortTokens is the longest prompt that is packed.
	ShortTokens int64
	// GapMargin is kept free of the expected pause between events, for the
	// network and for what this entry has not heard of yet.
	GapMargin time.Duration
	// TargetShare is the share of the target for the first event at which a
	// prediction counts as half late.
	TargetShare float64
	// ReserveAbove is the share of an engine's memory above which a prompt is
	// spread over reservations.
	MemoryShare float64
	// PartLoss is the cost of one more part: each is a server that can fail the
	// whole, and a read that goes before those that wait there.
	PartLoss float64
	// UsualParts bounds the servers that read one prompt, MaxParts those of a
	// prompt that would not be read in time by so few. Eight in place of sixteen
	// raised the worth served from 0.653 to 0.663 at 1.2 times the usual load
	// (virtual time, 100 days).
	UsualParts, MaxParts int
	// ShedShare is the share of the target beyond which the predicted first
	// event of a short prompt that has to wait for a slot gets it refused.
	ShedShare float64
	// WaitLateShare is how much others may lose by a prompt that is late anyway,
	// as a share of its value; while they would lose more it waits.
	WaitLateShare float64
	// NetworkTime is a connection's opening and the way there and back.
	NetworkTime time.Duration
}

// DefaultOptions returns the options of an entry in a zone.
func DefaultOptions(zone string) Options {
	return Options{Zone: zone, TokensPerValue: 8000, LateLoss: 0.75, ZoneLoss: 0.01, PackGain: 0.02, PackShare: 0.9,
		ShortTokens: 24000, GapMargin: 10 * time.Millisecond, TargetShare: 1, MemoryShare: 0.85, UsualParts: 8, MaxParts: 16, PartLoss: 0.01,
		NetworkTime: 6 * time.Millisecond, WaitLateShare: 0.02, ShedShare: 1.5}
}
