package mutations

const fleetPkg = "arbutusdeck/proof/fleet"

// fleetMutations remove what keeps the exchange between entries from growing with the fleet, and what lets them find each
// other all the same.
var fleetMutations = []mutation{
	{"two entries speak for a zone", "core/peering/beats.go", "	if g.isDelegate(now) {\n", "	if true {\n", peeringPkg, "TestTwoEntriesOfAZoneSpeak"},
	{"what crosses zones does not grow", "core/peering/beats.go", "	if g.isDelegate(now) {\n", "	if true {\n", fleetPkg, "TestWhatAnEntrySends"},
	{"delegates are replaced", "core/peering/ranks.go", "!m.heard.IsZero() && now.Sub(m.heard) < SilentAfter && holds(m)", "!m.heard.IsZero() && holds(m)", peeringPkg, "TestDelegatesAreReplaced"},
	{"those that serve speak first", "core/peering/far.go", "	delegates := g.firstOf(now, g.serves, func(m *member) bool { return !m.serving.IsZero() })\n", "	var delegates []string\n", peeringPkg, "TestThoseThatServe"},
	{"few of another zone are known", "core/peering/group.go", "			if isNew && g.hasEnough(now, told.Zone) {\n				continue\n			}\n", "", peeringPkg, "TestFewEntriesOfAnotherZone"},
	{"budgets are divided among all zones", "core/peering/group.go", "max(far.entries-known[zone], 0)", "0*max(far.entries-known[zone], 0)", peeringPkg, "TestFewEntriesOfAnotherZone"},
	{"what other zones tell is handed on", "core/peering/far.go", "			g.takeSummary(now, summary)\n", "", peeringPkg, "TestWhatOtherZonesTell"},
	{"what was handed on is not handed on again", "core/peering/far.go", "far == nil || far.direct.IsZero() || now.Sub(far.direct) >= handedOnFor", "far == nil", peeringPkg, "TestWhatOtherZonesTell"},
	{"older words of a zone change nothing", "core/peering/far.go", "	if asOf.Before(f.asOf) {\n		return\n	}\n", "", peeringPkg, "TestWhatOtherZonesTell"},
	{"who speaks for a zone is told", "core/peering/far.go", "m.Zone != g.zone && !g.isDelegate(now)", "m.Zone != g.zone && false", peeringPkg, "TestWhoTakesAnEntryForADelegate"},
	{"a mistaken entry is told the zone", "core/peering/far.go", "	return g.scope != scopeWhole && m.Sum != 0 && m.Zone", "	return false && m.Zone", peeringPkg, "TestWhoTakesAnEntryForANear"},
	{"news cross zones through relays", "entry/gateway/peers.go", "	if shouldRelay {\n", "	if shouldRelay && false {\n", gatewayPkg, "TestAPlacementIsRelayedToAllEntriesOfItsZone"},
	{"relayed news are not passed round", "core/peering/far.go", "m.Relay && m.Zone != \"\" && m.Zone != g.zone", "m.Relay", peeringPkg, "TestNewsCrossZones"},
	{"a list that grows makes no zone near", "entry/gateway/peers.go", "	if enabled || !growing || p.group.KnowsScope() {", "	if true || growing {", gatewayPkg, "TestAGrowingServerListDoesNotMakeAllZonesLocal"},
	{"a joining entry asks a neighbour", "core/peering/join.go", "	if len(found) > 0 && g.Asks(now) {\n", "	if false {\n", peeringPkg, "TestAStartingEntryFinds"},
	{"lists that all know are not told", "core/peering/beats.go", "g.members[address].sum != sum {", "(true || g.members[address].sum != sum) {", peeringPkg, "TestAllAreToldOfAll"},
	{"few read the store first", "core/peering/start.go", "place < startReaders<<min(waited/readTurn, maxTurns)", "place < 1000", peeringPkg, "TestWhereAllStartAtOnce"},
	{"calls at a start do not grow", "core/peering/start.go", "place < startReaders<<min(waited/readTurn, maxTurns)", "place < 1000", fleetPkg, "TestCallsOfTheStore"},
	{"a starting entry is not held up by its neighbours", "entry/gateway/storereaders.go", "		if source != \"\" && (s.readStore(ctx) == nil || !s.sleep(storeRetryMin)) {\n			return\n		}\n", "", gatewayPkg, "TestAStartingEntryIsNotDelayedByItsPeers"},
	{"a view that many fetch is encoded once", "entry/gateway/viewcache.go", "ok && now.Sub(cached.at) < viewTTL {", "ok && now.Before(cached.at) {", gatewayPkg, "TestAViewThatMany"},
	{"no second entry of a zone reads beside the first", "core/peering/readers.go", "	readersPerZone = 1\n", "	readersPerZone = 2\n", peeringPkg, "TestOneEntryOfAZone"},
	{"more read the store with the time", "core/peering/start.go", "startReaders<<min(waited/readTurn, maxTurns)", "startReaders", peeringPkg, "TestWhereAllStartAtOnce"},
	{"ranks are believed once no more are found", "core/peering/start.go", "	quiet := now.Sub(g.foundAt) - quietTime\n", "	quiet := since\n", peeringPkg, "TestTheRanksAreBelieved"},
	{"the wait for others ends", "core/peering/start.go", "max(min(quiet, since-startWait), since-quietLimit)", "min(quiet, since-startWait)", peeringPkg, "TestTheRanksAreBelieved|TestAnEntryThatHearsNo"},
	{"few take the list from one", "core/peering/start.go", "	if source, level := sourcePlace(place); level > 0 {\n", "	if source, level := sourcePlace(place); level > 1000 {\n", peeringPkg, "TestAListIsHandedOn"},
	{"a source that has no list is not waited for", "core/peering/start.go", "now.Sub(g.listKnown) < time.Duration(level)*readTurn", "level > 0", peeringPkg, "TestAnEntryDoesNotWait"},
	{"readers need not serve to count", "core/peering/readers.go", "(!m.serving.IsZero() || m.store.Reads)", "!m.serving.IsZero()", peeringPkg, "TestReadersThatDoNotServe"},
	{"those that stop hand nothing on", "core/peering/readers.go", "!m.isHeard(now) || m.stopping {", "!m.isHeard(now) {", peeringPkg, "TestReadersThatDoNotServe"},
	{"first readers are heard at once", "entry/gateway/storeloop.go", "		s.peers.broadcastState()\n", "", gatewayPkg, "TestFewEntriesReadAnEmptyStore"},
	{"an empty store is read by few", "core/peering/readers.go", "	if m.store.Reads {\n		return m.staleness(now) <= g.reading.staleAfter()\n	}\n", "", fleetPkg, "TestFewReadAStoreThat"},
	{"a lonely entry asks again", "core/peering/start.go", "func (g *Group) Lonely() bool { return g.heardFirst.IsZero() }", "func (g *Group) Lonely() bool { return false }", peeringPkg, "TestAnEntryThatHearsNo"},
}
