package mutations

const fleetPkg = "arbutusdeck/proof/fleet"

// fleetMutations remove the bounds on the traffic between entries, and what lets entries discover each
// other despite these bounds.
var fleetMutations = []mutation{
	{"two delegates exchange state for a zone", "core/peering/beats.go", "	if g.isDelegate(now) {\n", "	if true {\n", peeringPkg, "TestTwoEntriesOfAZoneSpeak"},
	{"traffic between zones does not grow with the fleet", "core/peering/beats.go", "	if g.isDelegate(now) {\n", "	if true {\n", fleetPkg, "TestWhatAnEntrySends"},
	{"a failed delegate is replaced", "core/peering/ranks.go", "!m.heard.IsZero() && now.Sub(m.heard) < SilentAfter && holds(m)", "!m.heard.IsZero() && holds(m)", peeringPkg, "TestDelegatesAreReplaced"},
	{"serving entries become delegates first", "core/peering/far.go", "	delegates := g.firstOf(now, g.serves, func(m *member) bool { return !m.serving.IsZero() })\n", "	var delegates []string\n", peeringPkg, "TestThoseThatServe"},
	{"few entries of another zone are known", "core/peering/group.go", "			if isNew && g.hasEnough(now, told.Zone) {\n				continue\n			}\n", "", peeringPkg, "TestFewEntriesOfAnotherZone"},
	{"budgets are divided among all zones", "core/peering/group.go", "max(far.entries-known[zone], 0)", "0*max(far.entries-known[zone], 0)", peeringPkg, "TestFewEntriesOfAnotherZone"},
	{"summaries of other zones are forwarded", "core/peering/far.go", "			g.takeSummary(now, summary)\n", "", peeringPkg, "TestWhatOtherZonesTell"},
	{"a forwarded summary is not forwarded again", "core/peering/far.go", "far == nil || far.direct.IsZero() || now.Sub(far.direct) >= handedOnFor", "far == nil", peeringPkg, "TestWhatOtherZonesTell"},
	{"an older summary of a zone is ignored", "core/peering/far.go", "	if asOf.Before(f.asOf) {\n		return\n	}\n", "", peeringPkg, "TestWhatOtherZonesTell"},
	{"an entry that is mistaken for a delegate names the delegates", "core/peering/far.go", "m.Zone != g.zone && !g.isDelegate(now)", "m.Zone != g.zone && false", peeringPkg, "TestWhoTakesAnEntryForADelegate"},
	{"an entry that is mistaken for a local member names its zone", "core/peering/far.go", "	return g.scope != scopeWhole && m.Sum != 0 && m.Zone", "	return false && m.Zone", peeringPkg, "TestWhoTakesAnEntryForANear"},
	{"events reach other zones through relays", "entry/gateway/peers.go", "	if passes {\n", "	if passes && false {\n", gatewayPkg, "TestNewsOfAPlaceReach"},
	{"a relay does not forward events of its own zone", "core/peering/far.go", "m.Relay && m.Zone != \"\" && m.Zone != g.zone", "m.Relay", peeringPkg, "TestNewsCrossZones"},
	{"a growing list makes no remote zone local", "entry/gateway/peers.go", "	if divided || !grows || p.group.KnowsScope() {", "	if true || grows {", gatewayPkg, "TestAListThatGrows"},
	{"a joining entry asks a local member", "core/peering/join.go", "	if len(found) > 0 && g.Asks(now) {\n", "	if false {\n", peeringPkg, "TestAStartingEntryFinds"},
	{"a member list that a peer knows is not sent", "core/peering/beats.go", "g.members[address].sum != sum {", "(true || g.members[address].sum != sum) {", peeringPkg, "TestAllAreToldOfAll"},
	{"few entries read the store at a start", "core/peering/start.go", "place < startReaders<<min(waited/readTurn, maxTurns)", "place < 1000", peeringPkg, "TestWhereAllStartAtOnce"},
	{"store calls at a start do not grow with the fleet", "core/peering/start.go", "place < startReaders<<min(waited/readTurn, maxTurns)", "place < 1000", fleetPkg, "TestCallsOfTheStore"},
	{"peers do not delay a starting entry", "entry/gateway/readers.go", "		if source != \"\" && (s.catchUpWithStore(ctx) == nil || !s.sleep(storeRetryMin)) {\n			return\n		}\n", "", gatewayPkg, "TestAStartingEntryIsNotHeldUp"},
	{"a view that many peers fetch is encoded once", "entry/gateway/viewcache.go", "ok && now.Sub(known.at) < viewLife {", "ok && now.Before(known.at) {", gatewayPkg, "TestAViewThatMany"},
	{"one entry of a zone reads the store", "core/peering/readers.go", "	readersPerZone = 1\n", "	readersPerZone = 2\n", peeringPkg, "TestOneEntryOfAZone"},
	{"more entries read the store over time", "core/peering/start.go", "startReaders<<min(waited/readTurn, maxTurns)", "startReaders", peeringPkg, "TestWhereAllStartAtOnce"},
	{"ranks are used once no more members are found", "core/peering/start.go", "	quiet := now.Sub(g.foundAt) - quietTime\n", "	quiet := since\n", peeringPkg, "TestTheRanksAreBelieved"},
	{"the wait for other members is bounded", "core/peering/start.go", "max(min(quiet, since-startWait), since-quietLimit)", "min(quiet, since-startWait)", peeringPkg, "TestTheRanksAreBelieved|TestAnEntryThatHearsNo"},
	{"few entries fetch the list from one source", "core/peering/start.go", "	if source, level := sourcePlace(place); level > 0 {\n", "	if source, level := sourcePlace(place); level > 1000 {\n", peeringPkg, "TestAListIsHandedOn"},
	{"the wait for a source without a list is bounded", "core/peering/start.go", "now.Sub(g.listKnown) < time.Duration(level)*readTurn", "level > 0", peeringPkg, "TestAnEntryDoesNotWait"},
	{"a store reader counts before it serves", "core/peering/readers.go", "(!m.serving.IsZero() || m.store.Reads)", "!m.serving.IsZero()", peeringPkg, "TestReadersThatDoNotServe"},
	{"a stopping entry is no list source", "core/peering/readers.go", "!m.isHeard(now) || m.stopping {", "!m.isHeard(now) {", peeringPkg, "TestReadersThatDoNotServe"},
	{"the first store readers announce themselves at once", "entry/gateway/platformloop.go", "		s.peers.tellState()\n", "", gatewayPkg, "TestFewEntriesReadAStoreThat"},
	{"an empty store is read by few entries", "core/peering/readers.go", "	if m.store.Reads {\n		return m.staleness(now) <= g.reading.staleAfter()\n	}\n", "", fleetPkg, "TestFewReadAStoreThat"},
	{"an entry that hears no peer keeps asking", "core/peering/start.go", "func (g *Group) Lonely() bool { return g.heardFirst.IsZero() }", "func (g *Group) Lonely() bool { return false }", peeringPkg, "TestAnEntryThatHearsNo"},
}
