package mutations

const fleetPkg = "arbutusdeck/proof/fleet"

// fleetMutations remove the bounds on the traffic between entries, and what lets entries discover each
// other despite these bounds.
var fleetMutations = []mutation{
	{"two delegates exchange state for a zone", "core/peering/heartbeats.go", "	if g.isDelegate(now) {\n", "	if true {\n", peeringPkg, "TestTwoDelegatesOfAZoneSendRemoteHeartbeats"},
	{"traffic between zones does not grow with the fleet", "core/peering/heartbeats.go", "	if g.isDelegate(now) {\n", "	if true {\n", fleetPkg, "TestWhatAnEntrySends"},
	{"a failed delegate is replaced", "core/peering/ranks.go", "!m.lastHeard.IsZero() && now.Sub(m.lastHeard) < SuspectAfter && holds(m)", "!m.lastHeard.IsZero() && holds(m)", peeringPkg, "TestDelegatesAreReplaced"},
	{"serving entries become delegates first", "core/peering/remote.go", "	delegates := g.topCandidates(now, g.serving, func(m *member) bool { return !m.servingSince.IsZero() })\n", "	var delegates []string\n", peeringPkg, "TestServingEntriesAreDelegatesFirst"},
	{"few entries of another zone are known", "core/peering/group.go", "			if isNew && g.knowsEnough(now, listed.Zone) {\n				continue\n			}\n", "", peeringPkg, "TestFewEntriesOfAnotherZone"},
	{"budgets are divided among all zones", "core/peering/group.go", "max(reported.entryCount-known[zone], 0)", "0*max(reported.entryCount-known[zone], 0)", peeringPkg, "TestFewEntriesOfAnotherZone"},
	{"summaries of other zones are forwarded", "core/peering/remote.go", "			g.applySummary(now, summary)\n", "", peeringPkg, "TestSummariesOfOtherZonesArePassedOn"},
	{"a forwarded summary is not forwarded again", "core/peering/remote.go", "known == nil || known.lastDirect.IsZero() || now.Sub(known.lastDirect) >= summaryTTL", "known == nil", peeringPkg, "TestSummariesOfOtherZonesArePassedOn"},
	{"an older summary of a zone is ignored", "core/peering/remote.go", "	if asOf.Before(z.asOf) {\n		return\n	}\n", "", peeringPkg, "TestSummariesOfOtherZonesArePassedOn"},
	{"an entry that is mistaken for a delegate names the delegates", "core/peering/remote.go", "m.Zone != g.zone && !g.isDelegate(now)", "m.Zone != g.zone && false", peeringPkg, "TestASenderToAnEntryThatIsNoDelegateIsRedirected"},
	{"an entry that is mistaken for a local member names its zone", "core/peering/remote.go", "	return g.scope != scopeAll && m.Digest != 0 && m.Zone", "	return false && m.Zone", peeringPkg, "TestASenderThatMistakesAnEntryForLocalIsSentItsZone"},
	{"events reach other zones through relays", "entry/peerlink/link.go", "	if shouldRelay {\n", "	if shouldRelay && false {\n", gatewayPkg, "TestAPlacementIsRelayedToAllEntriesOfItsZone"},
	{"a relay does not forward events of its own zone", "core/peering/remote.go", "m.Relay && m.Zone != \"\" && m.Zone != g.zone", "m.Relay", peeringPkg, "TestEventsCrossZonesThroughRelays"},
	{"a growing list makes no remote zone local", "entry/peerlink/membership.go", "	if enabled || !growing || l.group.KnowsScope() {", "	if true || growing {", gatewayPkg, "TestAGrowingServerListDoesNotMakeAllZonesLocal"},
	{"a joining entry asks a local member", "core/peering/join.go", "	if len(discovered) > 0 && g.NeedsMembers(now) {\n", "	if false {\n", peeringPkg, "TestAStartingEntryFindsLocalMembersThroughAnotherZone"},
	{"a member list that a peer knows is not sent", "core/peering/heartbeats.go", "g.members[address].digest != digest {", "(true || g.members[address].digest != digest) {", peeringPkg, "TestMemberListsReachAllInTurns"},
	{"few entries read the store at a start", "core/peering/start.go", "rank < startReaders<<min(waited/readRound, maxRounds)", "rank < 1000", peeringPkg, "TestWhereAllStartAtOnce"},
	{"store calls at a start do not grow with the fleet", "core/peering/start.go", "rank < startReaders<<min(waited/readRound, maxRounds)", "rank < 1000", fleetPkg, "TestCallsOfTheStore"},
	{"peers do not delay a starting entry", "entry/storeread/bootstrap.go", "		if source != \"\" {\n", "		if false {\n", gatewayPkg, "TestAStartingEntryIsNotDelayedByItsPeers"},
	{"a view that many peers fetch is encoded once", "entry/peerlink/viewcache.go", "ok && now.Sub(cached.at) < viewTTL {", "ok && now.Before(cached.at) {", peerlinkPkg, "TestAViewThatMany"},
	{"one entry of a zone reads the store", "core/peering/readers.go", "	readersPerZone = 1\n", "	readersPerZone = 2\n", peeringPkg, "TestOneEntryOfAZone"},
	{"more entries read the store over time", "core/peering/start.go", "startReaders<<min(waited/readRound, maxRounds)", "startReaders", peeringPkg, "TestWhereAllStartAtOnce"},
	{"ranks are used once no more members are found", "core/peering/start.go", "	settled := now.Sub(g.lastLocalFound) - settleTime\n", "	settled := since\n", peeringPkg, "TestRanksAreUsedOnceMembershipHasSettled"},
	{"the wait for other members is bounded", "core/peering/start.go", "max(min(settled, since-startWait), since-settleLimit)", "min(settled, since-startWait)", peeringPkg, "TestRanksAreUsedOnceMembershipHasSettled|TestAnEntryThatHearsNo"},
	{"few entries fetch the list from one source", "core/peering/start.go", "	if source, level := sourceRank(rank); level > 0 {\n", "	if source, level := sourceRank(rank); level > 1000 {\n", peeringPkg, "TestTheListSpreadsFromFewToAll"},
	{"the wait for a source without a list is bounded", "core/peering/start.go", "now.Sub(g.listKnownSince) < time.Duration(level)*readRound", "level > 0", peeringPkg, "TestAnEntryDoesNotWait"},
	{"a store reader counts before it serves", "core/peering/readers.go", "(!m.servingSince.IsZero() || m.store.Reads)", "!m.servingSince.IsZero()", peeringPkg, "TestReadersThatDoNotServe"},
	{"a stopping entry is no list source", "core/peering/readers.go", "!m.isAlive(now) || m.stopping {", "!m.isAlive(now) {", peeringPkg, "TestReadersThatDoNotServe"},
	{"the first store readers announce themselves at once", "entry/storeread/loop.go", "		r.options.Peers.BroadcastState()\n", "", gatewayPkg, "TestFewEntriesReadAnEmptyStore"},
	{"an empty store is read by few entries", "core/peering/readers.go", "	if m.store.Reads {\n		return m.staleness(now) <= g.readOptions.staleAfter()\n	}\n", "", fleetPkg, "TestFewReadAStoreThat"},
	{"an entry that hears no peer keeps asking", "core/peering/start.go", "func (g *Group) NoPeerHeard() bool { return g.firstHeard.IsZero() }", "func (g *Group) NoPeerHeard() bool { return false }", peeringPkg, "TestAnEntryThatHearsNo"},
}
