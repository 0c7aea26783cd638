package placement

// packing learns up to which share of a server's slots short answers are packed there. Entries that choose at the
// same moment have no news of each other, and what they send beyond the slots waits until an answer ends. How often
// that happens depends on the load, the slots and the age of news, which all differ between deployments.
type packing struct{ share float64 }

const (
	// packShareStep is by how much the share falls when a server has more requests than slots.
	packShareStep = 0.02
	// allowedOverflow is the part of the requests, at servers that are packed, that may come beyond the slots.
	allowedOverflow = 0.02
	// minPackShare and packMost bound the share.
	minPackShare = 0.6
	maxPackShare = 0.95
	// packedThreshold is from which share of its slots on a server counts as packed.
	packedThreshold = 0.5
)

// observe takes in that a request was sent to a server, which has so many requests now.
func (p *packing) observe(requests, slots int) {
	switch {
	case float64(requests) < packedThreshold*float64(slots):
	case requests > slots:
		p.share = max(p.share-packShareStep, minPackShare)
	default:
		p.share = min(p.share+packShareStep*allowedOverflow, maxPackShare)
	}
}
