package peerlink

import (
	"time"

	"arbutusdeck/core/directory"
	"arbutusdeck/core/peering"
)

// Announce notifies all local entries that this one serves: from now on it records the dispatches
// that they report, and they send it the open ones.
func (l *Link) Announce() {
	l.mu.Lock()
	l.group.SetServing(true)
	l.mu.Unlock()
	l.BroadcastState()
}

// BroadcastState sends this entry's state to all local entries at once, without waiting for the
// next heartbeat.
func (l *Link) BroadcastState() {
	l.mu.Lock()
	local := l.group.KnownLocal()
	l.mu.Unlock()
	l.send(local, peering.Message{})
}

// StopServing excludes this entry from the delegates of its zone.
func (l *Link) StopServing() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.group.SetServing(false)
}

// SetSeeds replaces the seeds.
func (l *Link) SetSeeds(seeds []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.group.SetSeeds(time.Now(), seeds)
}

// SetLocalRouting sets whether entries use only the servers of their own zone. While the list of
// servers is still growing, too few servers in a zone mean nothing yet: until its zone has enough,
// an entry of a large fleet would send heartbeats to all entries it knows.
func (l *Link) SetLocalRouting(enabled, growing bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if enabled || !growing || l.group.KnowsScope() {
		l.group.SetLocalRouting(enabled)
	}
}

// MemberCount returns the number of entries that share the retry budgets.
func (l *Link) MemberCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.group.Size()
}

// TimeToNextServing returns the time until another entry accepts requests; false if unknown.
func (l *Link) TimeToNextServing(now time.Time, limit time.Duration) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.group.TimeToNextServing(now, limit)
}

// SuspectServers returns the servers that are owned by suspect entries; nil without suspects.
func (l *Link) SuspectServers(now time.Time, servers []directory.Server) map[string]bool {
	l.mu.Lock()
	suspects, all := l.group.Suspects(now)
	l.mu.Unlock()
	if len(suspects) == 0 {
		return nil
	}
	return peering.ServersOf(suspects, peering.Owners(all, directory.IncarnationIDs(servers)))
}

// AskSeedsIfIsolated asks the seeds again for the members if no entry has been heard yet.
func (l *Link) AskSeedsIfIsolated() {
	l.mu.Lock()
	var seeds []string
	if l.group.NoPeerHeard() {
		seeds = l.group.KnownLocal()
	}
	l.mu.Unlock()
	l.send(seeds, peering.Message{WantsMembers: true})
}

// ShouldReadAtStart reports whether this entry, which started some time ago, reads the store
// itself.
func (l *Link) ShouldReadAtStart(now time.Time, since time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.group.ShouldReadAtStart(now, since)
}

// ShouldRead reports whether this entry has to read the store itself.
func (l *Link) ShouldRead(now time.Time, self peering.StoreState) bool {
	version, _ := l.options.Status.Versions()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.group.RecordVersion(now, version)
	return l.group.ShouldRead(now, self)
}

// HasFreshPeer reports whether another entry of the zone is up to date with the store.
func (l *Link) HasFreshPeer(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.group.Fresh(now)
}

// ConfirmedAge returns how long ago another entry's reading of the store confirmed that a
// configuration version is no older than the store's.
func (l *Link) ConfirmedAge(now time.Time, version uint64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.group.ConfirmedAge(now, version)
}

// LatestVersion returns the highest configuration version that a live entry has advertised.
func (l *Link) LatestVersion(now time.Time) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.group.LatestVersion(now)
}

// ResetLiveness discards what was heard before the process was suspended.
func (l *Link) ResetLiveness() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.group.ResetLiveness()
}

// ListSource returns an entry of the zone from which this one can fetch the list of servers at its
// start.
func (l *Link) ListSource(now time.Time) (address string, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.group.ListSource(now)
}

// Rank returns this entry's rank among all known entries, for a server.
func (l *Link) Rank(incarnation string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.group.Rank(incarnation)
}

// SetReadOptions sets how this entry takes part in reading the store.
func (l *Link) SetReadOptions(options peering.ReadOptions) {
	l.capacity.Store(int64(options.Capacity))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.group.SetReadOptions(options)
}

// ShareOf returns the rank of this entry among those that send requests to a server, and their
// number.
func (l *Link) ShareOf(now time.Time, server, zone string) (rank, entries int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.group.ShareOf(now, server, zone)
}

// MostSpareCapacity returns an entry of the zone with the most spare capacity, and that capacity;
// false if none is known.
func (l *Link) MostSpareCapacity(now time.Time) (address string, share float64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.group.MostSpareCapacity(now)
}

// Membership is what a Link knows about the other entries.
type Membership struct {
	// LocalRouting is set if entries use only the servers of their own zone.
	LocalRouting bool
	// KnownLocal are the entries that get load updates, Local those of them that are heard, and
	// Alive all entries that are heard.
	KnownLocal, Local, Alive []string
}

// Membership returns what is known about the other entries.
func (l *Link) Membership(now time.Time) Membership {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Membership{LocalRouting: l.group.LocalRouting(), KnownLocal: l.group.KnownLocal(), Local: l.group.Local(now), Alive: l.group.Alive(now)}
}

// RunningIn returns the entries of a zone that run.
func (l *Link) RunningIn(now time.Time, zone string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.group.RunningIn(now, zone)
}

// Zones returns what is known of the other zones, without a summary where none was heard within
// peering.StateTTL, and the number of running entries of this zone.
func (l *Link) Zones(now time.Time) (others []peering.ZoneState, ownEntries int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	heard := map[string]peering.ZoneState{}
	for _, state := range l.group.ZoneStates(now) {
		heard[state.Zone] = state
	}
	for _, zone := range l.group.RemoteZones() {
		state := heard[zone]
		state.Zone = zone
		others = append(others, state)
	}
	return others, len(l.group.Local(now)) + 1
}

// EntriesToAsk returns the running entries of another zone in the order in which this entry asks
// them for a placement.
func (l *Link) EntriesToAsk(now time.Time, zone string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.group.EntriesToAsk(now, zone)
}

// ZoneOf returns the zone of an entry; empty if it isn't known.
func (l *Link) ZoneOf(address string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.group.Zone(address)
}
