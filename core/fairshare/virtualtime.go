// Package fairshare divides capacity among workspaces by weight. VirtualTime orders the queue of one backend server;
// a Ledger accounts for what each workspace has used lately, and Decide says whose requests go first and whose are
// refused first while demand exceeds capacity. The package does no I/O; times are passed in.
//
// The load addressed is one workspace that sends many times its share, through any number of entries, beside others
// that stay within theirs.
package fairshare

import "maps"

// minWeight bounds weights from below, so that one request can't put a workspace back without limit.
const minWeight = 0.01

// VirtualTime is start-time fair queueing: a workspace's virtual time grows with what it was served divided by its
// weight, and the workspace with the least goes first. It is not safe for concurrent use.
type VirtualTime struct {
	served map[string]float64
	clock  float64
}

// NewVirtualTime returns the virtual times of workspaces that have not been served.
func NewVirtualTime() *VirtualTime { return &VirtualTime{served: map[string]float64{}} }

// Activate records that a workspace without waiting requests has one again. An idle workspace restarts at the
// current virtual time, so that it can't accumulate credit and then starve the others.
func (v *VirtualTime) Activate(workspace string) {
	v.served[workspace] = max(v.served[workspace], v.clock)
}

// Less reports whether workspace x goes before workspace y.
func (v *VirtualTime) Less(x, y string) bool {
	if v.served[x] != v.served[y] {
		return v.served[x] < v.served[y]
	}
	return x < y
}

// Charge advances the virtual time of a workspace of which a request is started. tokens is the request's work.
func (v *VirtualTime) Charge(workspace string, tokens int64, weight float64) {
	start := max(v.served[workspace], v.clock)
	v.clock = start
	v.served[workspace] = start + float64(tokens)/max(weight, minWeight)
}

// DropIdle drops virtual times that are not ahead of the clock; it is called while no request waits. An idle
// workspace restarts at the clock anyway.
func (v *VirtualTime) DropIdle() {
	maps.DeleteFunc(v.served, func(_ string, served float64) bool { return served <= v.clock })
}
