package placement

import "time"

// Options are the weights of a choice. Losses are in units of the value of a short request: an answer of
// ordinary length to a short prompt.
type Options struct {
	// Zone is the entry's availability zone.
	Zone string
	// TokensPerValue is the number of prompt tokens that add the value of one short request. What a caller
	// loses with a request grows with the work put into it.
	TokensPerValue float64
	// LateLoss is the share of a request's value that is lost when it is late.
	LateLoss float64
	// ZoneLoss is the cost of leaving the zone, in short requests: the added latency and the transferred
	// bytes.
	ZoneLoss float64
	// PackGain is the gain from each answer at a server that accepts similar gaps, as a share of the
	// request's value, until PackShare of the server's slots is taken. PackShare is the initial value; the
	// share is learned from then on. Packing leaves whole servers to the prefill of long prompts, which would
	// make the gaps of these answers too long.
	PackGain  float64
	PackShare float64
	// OpenLoss is the cost of the first answer of its kind at a server, as a share of the request's value.
	// Long prefills avoid the server as long as the answer is written, or make it pause.
	OpenLoss float64
	// ShortTokens is the length, in tokens, of the longest prompt that never waits at the entry and that is
	// refused while all slots are taken. It is the longest prompt of the users' shortest request kinds.
	ShortTokens int64
	// GapMargin is added to the expected gap between events, for the network and for load that is not in the
	// load table yet.
	GapMargin time.Duration
	// TargetShare is the share of the target for the first event at which a prediction counts as late with
	// probability one half.
	TargetShare float64
	// MemoryShare is the share of an engine's memory that prompts may fill. The rest is for the growth of
	// answers and for what other entries dispatch at the same moment.
	MemoryShare float64
	// PartLoss is the cost of each part: its server can fail the whole request, and its prefill goes before
	// those that wait there.
	PartLoss float64
	// UsualParts bounds the servers that prefill one prompt. MaxParts bounds those of a prompt that would not
	// be prefilled in time by UsualParts.
	UsualParts, MaxParts int
	// ShedShare is the share of the target beyond which a short prompt that has to wait for a slot is
	// refused, given the predicted time to its first event.
	ShedShare float64
	// WaitLateShare is the loss that a prompt which is late anyway may cause to others, as a share of its
	// value; while the loss is larger it waits.
	WaitLateShare float64
	// CrowdShare is the loss that a late long prompt which can wait no longer may cause to others, as a share
	// of the value of its late answer; beyond it the prompt is refused. It is well below 1 because the load
	// table holds only the known losses, and those of the next requests come on top.
	CrowdShare float64
	// WorkPrice is the cost of a second of prefill to the next requests, in short requests, while all servers
	// are busy with prefill; in proportion while a part of them is. Without it, long prompts that arrive too
	// fast fill all servers, and the short ones after them are late.
	WorkPrice float64
	// UnheardLoss is the share of a request's value that is expected to be lost at a server that a suspect
	// peer may use.
	UnheardLoss float64
	// LearnedTimes predicts first events from what each server has shown, in place of the moving average of a
	// server's ratio. The zero value keeps today's predictions.
	LearnedTimes bool
	// NetworkTime is the time for opening a connection plus one round trip.
	NetworkTime time.Duration
}

// DefaultOptions returns the options of an entry in a zone.
func DefaultOptions(zone string) Options {
	return Options{Zone: zone, TokensPerValue: 8000, LateLoss: 0.75, ZoneLoss: 0.01, PackGain: 0.02, PackShare: 0.9, OpenLoss: 0.05,
		ShortTokens: 24000, CrowdShare: 0.3, GapMargin: 10 * time.Millisecond, TargetShare: 1, MemoryShare: 0.85, UsualParts: 8, MaxParts: 16, PartLoss: 0.01,
		NetworkTime: 6 * time.Millisecond, WaitLateShare: 0.02, ShedShare: 1.5, WorkPrice: 3, UnheardLoss: 0.15}
}
