package mutations

const fleetPkg = "arbutusdeck/proof/fleet"

// fleetMutations remove what keeps the exchange between entries from growing with the fleet, and what lets them find each
// other all the same.
var fleetMutations = []mutation{
	{"two entries speak for a zone", "core/peering/heartbeats.go", "	if g.isDelegate(now) {\n", "	if true {\n", peeringPkg, "TestTwoDelegatesOfAZoneSendRemoteHeartbeats"},
	{"what crosses zones does not grow", "core/peering/heartbeats.go", "	if g.isDelegate(now) {\n", "	if true {\n", fleetPkg, "TestWhatAnEntrySends"},
	{"delegates are replaced", "core/peering/ranks.go", "!m.lastHeard.IsZero() && now.Sub(m.lastHeard) < SuspectAfter && holds(m)", "!m.lastHeard.IsZero() && holds(m)", peeringPkg, "TestDelegatesAreReplaced"},
	{"those that serve speak first", "core/peering/remote.go", "	delegates := g.topCandidates(now, g.serving, func(m *member) bool { return !m.servingSince.IsZero() })\n", "	var delegates []string\n", peeringPkg, "TestServingEntriesAreDelegatesFirst"},
	{"few of another zone are known", "core/peering/group.go", "			if isNew && g.knowsEnough(now, listed.Zone) {\n				continue\n			}\n", "", peeringPkg, "TestFewEntriesOfAnotherZone"},
	{"budgets are divided among all zones", "core/peering/group.go", "max(reported.entryCount-known[zone], 0)", "0*max(reported.entryCount-known[zone], 0)", peeringPkg, "TestFewEntriesOfAnotherZone"},
	{"what other zones tell is handed on", "core/peering/remote.go", "			g.applySummary(now, summary)\n", "", peeringPkg, "TestSummariesOfOtherZonesArePassedOn"},
	{"what was handed on is not handed on again", "core/peering/remote.go", "known == nil || known.lastDirect.IsZero() || now.Sub(known.lastDirect) >= summaryTTL", "known == nil", peeringPkg, "TestSummariesOfOtherZonesArePassedOn"},
	{"older words of a zone change nothing", "core/peering/remote.go", "	if asOf.Before(z.asOf) {\n		return\n	}\n", "", peeringPkg, "TestSummariesOfOtherZonesArePassedOn"},
	{"who speaks for a zone is told", "core/peering/remote.go", "m.Zone != g.zone && !g.isDelegate(now)", "m.Zone != g.zone && false", peeringPkg, "TestASenderToAnEntryThatIsNoDelegateIsRedirected"},
	{"a mistaken entry is told the zone", "core/peering/remote.go", "	return g.scope != scopeAll && m.Digest != 0 && m.Zone", "	return false && m.Zone", peeringPkg, "TestASenderThatMistakesAnEntryForLocalIsSentItsZone"},
	{"news cross zones through relays", "entry/gateway/peers.go", "	if shouldRelay {\n", "	if shouldRelay && false {\n", gatewayPkg, "TestAPlacementIsRelayedToAllEntriesOfItsZone"},
	{"relayed news are not passed round", "core/peering/remote.go", "m.Relay && m.Zone != \"\" && m.Zone != g.zone", "m.Relay", peeringPkg, "TestEventsCrossZonesThroughRelays"},
	{"a list that grows makes no zone near", "entry/gateway/peers.go", "	if enabled || !growing || p.group.KnowsScope() {", "	if true || growing {", gatewayPkg, "TestAGrowingServerListDoesNotMakeAllZonesLocal"},
	{"a joining entry asks a neighbour", "core/peering/join.go", "	if len(discovered) > 0 && g.NeedsMembers(now) {\n", "	if false {\n", peeringPkg, "TestAStartingEntryFindsLocalMembersThroughAnotherZone"},
	{"lists that all know are not told", "core/peering/heartbeats.go", "g.members[address].digest != digest {", "(true || g.members[address].digest != digest) {", peeringPkg, "TestMemberListsReachAllInTurns"},
	{"few read the store first", "core/peering/start.go", "rank < startReaders<<min(waited/readRound, maxRounds)", "rank < 1000", peeringPkg, "TestWhereAllStartAtOnce"},
	{"calls at a start do not grow", "core/peering/start.go", "rank < startReaders<<min(waited/readRound, maxRounds)", "rank < 1000", fleetPkg, "TestCallsOfTheStore"},
	{"a starting entry is not held up by its neighbours", "entry/gateway/storereaders.go", "		if source != \"\" && (s.readStore(ctx) == nil || !s.sleep(storeRetryMin)) {\n			return\n		}\n", "", gatewayPkg, "TestAStartingEntryIsNotDelayedByItsPeers"},
	{"a view that many fetch is encoded once", "entry/gateway/viewcache.go", "ok && now.Sub(cached.at) < viewTTL {", "ok && now.Before(cached.at) {", gatewayPkg, "TestAViewThatMany"},
	{"no second entry of a zone reads beside the first", "core/peering/readers.go", "	readersPerZone = 1\n", "	readersPerZone = 2\n", peeringPkg, "TestOneEntryOfAZone"},
	{"more read the store with the time", "core/peering/start.go", "startReaders<<min(waited/readRound, maxRounds)", "startReaders", peeringPkg, "TestWhereAllStartAtOnce"},
	{"ranks are believed once no more are found", "core/peering/start.go", "	settled := now.Sub(g.lastLocalFound) - settleTime\n", "	settled := since\n", peeringPkg, "TestRanksAreUsedOnceMembershipHasSettled"},
	{"the wait for others ends", "core/peering/start.go", "max(min(settled, since-startWait), since-settleLimit)", "min(settled, since-startWait)", peeringPkg, "TestRanksAreUsedOnceMembershipHasSettled|TestAnEntryThatHearsNo"},
	{"few take the list from one", "core/peering/start.go", "	if source, level := sourceRank(rank); level > 0 {\n", "	if source, level := sourceRank(rank); level > 1000 {\n", peeringPkg, "TestTheListSpreadsFromFewToAll"},
	{"a source that has no list is not waited for", "core/peering/start.go", "now.Sub(g.listKnownSince) < time.Duration(level)*readRound", "level > 0", peeringPkg, "TestAnEntryDoesNotWait"},
	{"readers need not serve to count", "core/peering/readers.go", "(!m.servingSince.IsZero() || m.store.Reads)", "!m.servingSince.IsZero()", peeringPkg, "TestReadersThatDoNotServe"},
	{"those that stop hand nothing on", "core/peering/readers.go", "!m.isAlive(now) || m.stopping {", "!m.isAlive(now) {", peeringPkg, "TestReadersThatDoNotServe"},
	{"first readers are heard at once", "entry/gateway/storeloop.go", "		s.peers.broadcastState()\n", "", gatewayPkg, "TestFewEntriesReadAnEmptyStore"},
	{"an empty store is read by few", "core/peering/readers.go", "	if m.store.Reads {\n		return m.staleness(now) <= g.readOptions.staleAfter()\n	}\n", "", fleetPkg, "TestFewReadAStoreThat"},
	{"a lonely entry asks again", "core/peering/start.go", "func (g *Group) NoPeerHeard() bool { return g.firstHeard.IsZero() }", "func (g *Group) NoPeerHeard() bool { return false }", peeringPkg, "TestAnEntryThatHearsNo"},
}
