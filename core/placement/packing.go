package placement

// packing learns up to which share of a server's slots short answers are packed there. Entries that choose at the
// same moment have no news of each other, and what they send beyond the slots waits until an answer ends. How often
// that happens depends on the load, the slots and the age of news, which all differ between deployments.
type packing struct{ share float64 }

const (
	// packStep is by how much the share falls when a server has more requests than slots.
	packStep = 0.02
	// packOverflow is the part of the requests, at servers that are packed, that may come beyond the slots.
	packOverflow = 0.02
	// packLeast and packMost bound the share.
	packLeast = 0.6
	packMost  = 0.95
	// packedFrom is from which share of its slots on a server counts as packed.
	packedFrom = 0.5
)

// begun takes in that a request was sent to a server, which has so many requests now.
func (p *packing) begun(requests, slots int) {
	switch {
	case float64(requests) < packedFrom*float64(slots):
	case requests > slots:
		p.share = max(p.share-packStep, packLeast)
	default:
		p.share = min(p.share+packStep*packOverflow, packMost)
	}
}
