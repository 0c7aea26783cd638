package storeread

import (
	"cmp"
	"slices"
	"time"

	"arbutusdeck/core/directory"
	"arbutusdeck/core/peering"
	"arbutusdeck/platform"
)

// maxUpdateRows bounds the rows of an update so that it fits into one packet of a usual link (1,500
// bytes); a row takes some 120 bytes.
const maxUpdateRows = 8

// sendChanges sends the changes of a watch to the other entries of the zone. A configuration is
// fetched by the entries that see its higher version.
func (r *Reader) sendChanges(base uint64, changes platform.Changes) {
	targets := r.options.Peers.RunningIn(time.Now(), r.options.Zone)
	if len(targets) == 0 || changes.Revision <= base || !r.Options().AllowsSharedReads() {
		return
	}
	for _, update := range r.updates(base, changes) {
		r.options.Peers.SendUpdate(targets, update)
	}
}

// updates returns the changes as applied to the directory, in the order of their revisions and in
// parts that fit into a packet. Each part starts where the previous one ends, so that a lost part
// leaves a gap that the receiver detects.
func (r *Reader) updates(base uint64, changes platform.Changes) []peering.Update {
	servers, tombstones := r.target.Rows(changedServers(changes))
	slices.SortFunc(servers, func(a, b directory.Server) int { return cmp.Compare(a.Revision, b.Revision) })
	updates := []peering.Update{{BaseRevision: base, UpToRevision: changes.Revision, Tombstones: tombstones, Evacuations: changes.Evacuations}}
	for part := range slices.Chunk(servers, maxUpdateRows) {
		last := &updates[len(updates)-1]
		if len(last.Servers) > 0 {
			last.UpToRevision = last.Servers[len(last.Servers)-1].Revision
			updates = append(updates, peering.Update{BaseRevision: last.UpToRevision, UpToRevision: changes.Revision})
			last = &updates[len(updates)-1]
		}
		last.Servers = part
	}
	return updates
}

// changedServers returns the identifiers of the servers whose rows have changed.
func changedServers(changes platform.Changes) []string {
	var ids []string
	for _, server := range changes.Servers {
		ids = append(ids, server.ID)
	}
	for _, removal := range changes.Removed {
		ids = append(ids, removal.ID)
	}
	for _, rejection := range changes.Rejected {
		ids = append(ids, rejection.Server)
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}
