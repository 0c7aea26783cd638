package placement

// packing adapts the share of a server's slots up to which short answers are packed there. Entries that
// choose at the same moment don't know of each other's choices, and the requests that they send in excess
// of the slots wait until an answer ends. How often that happens depends on the load, the slots and the
// staleness of the load table, which differ between deployments.
type packing struct{ share float64 }

const (
	// packShareStep is the decrease of the share when a server has more requests than slots.
	packShareStep = 0.02
	// allowedOverflow is the share of the requests at packed servers that may exceed the slots.
	allowedOverflow = 0.02
	// minPackShare and maxPackShare bound the share.
	minPackShare = 0.6
	maxPackShare = 0.95
	// packedThreshold is the share of taken slots from which a server counts as packed.
	packedThreshold = 0.5
)

// observe updates the share after a dispatch to a server that has this many requests now.
func (p *packing) observe(requests, slots int) {
	switch {
	case float64(requests) < packedThreshold*float64(slots):
	case requests > slots:
		p.share = max(p.share-packShareStep, minPackShare)
	default:
		p.share = min(p.share+packShareStep*allowedOverflow, maxPackShare)
	}
}
