package mutations

const (
	zonestatePkg = "arbutusdeck/core/zonestate"
	spilloverPkg = "arbutusdeck/core/spillover"
)

// spilloverMutations remove the bounds of a zone's summary, and the rules by which an entry asks another zone for a
// placement.
var spilloverMutations = []mutation{
	{"a zone's name of a service is bounded", "core/zonestate/summary.go", "s.Service == \"\" || len(s.Service) > MaxNameBytes", "s.Service == \"\"", zonestatePkg, "TestAnInvalidValue|TestTheMerged"},
	{"a later version of a summary is not decoded", "core/zonestate/summary.go", "	if head.Version > Version {\n", "	if false {\n", zonestatePkg, "TestASummaryOfALaterVersion"},
	{"a merged state is limited to its bounds", "core/zonestate/merge.go", "merged = append(merged, part.limited())", "merged = append(merged, part)", zonestatePkg, "TestTheMerged"},
	{"an invalid summary of another zone is rejected", "core/peering/codec.go", "		if err := m.Summary.Check(); err != nil {", "		if err := error(nil); err != nil {", peeringPkg, "TestAnInvalidMessage"},
	{"an invalid forwarded summary is rejected", "core/peering/codec.go", "		if err := z.Summary.Check(); err != nil {", "		if err := error(nil); err != nil {", peeringPkg, "TestAnInvalidMessage"},
	{"a summary keeps its age", "core/peering/remote.go", "	known.updateSummary(asOf, summary.Summary)\n", "	known.updateSummary(now, summary.Summary)\n", peeringPkg, "TestASummaryIsPassedOn"},
	{"a summary is not forwarded with the age of a later heartbeat", "core/peering/remote.go", "	if !z.summaryAsOf.Equal(z.asOf) {\n		return nil\n	}\n", "", peeringPkg, "TestOtherVersions"},
	{"an older zone state is ignored", "core/peering/remote.go", "summary.Known() && !asOf.Before(z.summaryAsOf)", "summary.Known()", peeringPkg, "TestASummaryIsPassedOn"},
	{"a zone state of another version is ignored", "core/peering/remote.go", "summary.Known() && !asOf.Before(z.summaryAsOf)", "summary != nil && !asOf.Before(z.summaryAsOf)", peeringPkg, "TestOtherVersions"},
	{"a stale zone state is not used", "core/peering/remote.go", " || now.Sub(known.summaryAsOf) > StateTTL {", " {", peeringPkg, "TestASummaryIsPassedOn"},
	{"summaries are split into packets", "core/peering/remote.go", " && summaryBytes(append(slices.Clone(parts[last]), summary)) <= maxSummaryBytes {", " {", peeringPkg, "TestAHeartbeatWithSummaries"},
	{"a stopping entry is asked for no placement", "core/peering/remote.go", "	running := g.filter(func(m *member) bool { return m.zone == zone && m.isRunning(now) && !m.stopping })\n	slices", "	running := g.RunningIn(now, zone)\n	slices", peeringPkg, "TestStoppingEntries"},
	{"a zone states only servers that accept requests", "core/placement/zonestate.go", "			if s.health.inBackoff(now) {\n				continue\n			}\n", "", "arbutusdeck/core/placement", "TestAZoneStatesTheRoom"},
	{"a queue at one server hides no slots of others", "core/placement/zonestate.go", "max(q.Engine.Slots-s.requests(), 0)", "q.Engine.Slots - s.requests()", "arbutusdeck/core/placement", "TestAnExcess"},
	{"nothing is asked while the own zone serves", "core/spillover/spillover.go", "	if q.Own.inTime(q.Need) {\n", "	if false {\n", spilloverPkg, "TestNothingIsAskedWhile"},
	{"a stale zone is not asked", "core/spillover/spillover.go", "	if !other.Summary.Known() || d.Age > s.options.StateTTL {\n", "	if !other.Summary.Known() {\n", spilloverPkg, "TestNothingGoesToAZoneWithAStale"},
	{"a closed zone is not asked", "core/spillover/spillover.go", "state.Slots == 0 || other.Summary.Closed:", "state.Slots == 0:", spilloverPkg, "TestNothingGoesToAClosed"},
	{"a zone without servers is not asked", "core/spillover/spillover.go", "!ok || state.Slots == 0 ||", "!ok ||", spilloverPkg, "TestZonesThatAreNotAsked"},
	{"requests do not go back and forth", "core/spillover/spillover.go", "	case !z.receivedAt.IsZero() && now", "	case false && now", spilloverPkg, "TestRequestsDoNotGo"},
	{"a zone that is late too is not asked", "core/spillover/spillover.go", "	case !q.Own.Refused && s.firstEvent", "	case false && s.firstEvent", spilloverPkg, "TestAZoneThatWouldBeLate"},
	{"a long prompt needs memory", "core/spillover/spillover.go", "	if !need.Spread && state.LargestFree < need.Tokens {\n", "	if false {\n", spilloverPkg, "TestLongPrompts"},
	{"an entry takes its share", "core/spillover/spillover.go", "d.Room/float64(s.askers(now, q, other))", "d.Room", spilloverPkg, "TestAnEntryTakes"},
	{"a share is used up", "core/spillover/spillover.go", "	case d.UnderWay >= d.Share:\n", "	case false:\n", spilloverPkg, "TestAnEntryTakes"},
	{"a small part of the room is one request", "core/spillover/account.go", "	if part > 0 && draw < a.trust {\n", "	if false {\n", spilloverPkg, "TestUnevenDemand"},
	{"a refusal ends the requests to a zone", "core/spillover/spillover.go", "	case !a.refusedAt.Before(other.AsOf):\n", "	case false:\n", spilloverPkg, "TestAZoneThatStatesRoomInVain"},
	{"a refusal lowers the share", "core/spillover/account.go", "	a.trust = max(a.trust/trustStep, minTrust)\n", "", spilloverPkg, "TestARefusal"},
	{"a lost reply counts as used", "core/spillover/account.go", "		if asked.lost && asked.at.Before(lostSince) {", "		if asked.lost {", spilloverPkg, "TestALostReply"},
	{"a lost reply counts as used only until the next summary", "core/spillover/account.go", "			delete(s.asks, id)\n			continue\n", "			_ = id\n", spilloverPkg, "TestLostRepliesLeave|TestALostReply"},
	{"an entry that does not reply is asked last", "core/spillover/account.go", "		s.silent[asked.entry] = now\n", "", spilloverPkg, "TestAnEntryThatDoesNotReply"},
	{"a placement that is no sooner is not used", "core/spillover/spillover.go", "+predicted < own.Predicted\n", "+predicted < time.Hour\n", spilloverPkg, "TestAPlacementThatIsNoSooner"},
	{"a zone keeps a reserve", "core/spillover/spillover.go", "float64(own.FreeSlots)-s.reserve(own) >= 1", "own.FreeSlots >= 1", spilloverPkg, "TestTwoZonesThatFill"},
	{"other zones respect the reserve", "core/spillover/spillover.go", "	slots := float64(state.FreeSlots) - s.reserve(state)\n", "	slots := float64(state.FreeSlots)\n", spilloverPkg, "TestZonesThatAreNotAsked"},
	{"uneven demand is spread", "core/spillover/spillover.go", "	if best.Reason != Ask {\n		best.Zone = \"\"\n	}\n", "	best.Zone = \"\"\n", spilloverPkg, "TestUnevenDemand"},
	{"zones at capacity serve nearly what one pool serves", "core/spillover/spillover.go", "	if best.Reason != Ask {\n		best.Zone = \"\"\n	}\n", "	best.Zone = \"\"\n", spilloverPkg, "TestAtCapacity"},
	{"zones are selected by their room", "core/spillover/spillover.go", "best.Reason != Ask || q.Draw*total >= total-d.Room", "best.Reason != Ask", spilloverPkg, "TestZonesAreSelected"},
	{"an asked entry keeps the reserve", "entry/gateway/crosszone.go", "		if !s.admitsForPeer(now, service, choice, refusal) {\n", "		if false {\n", gatewayPkg, "TestTheAskedEntryKeeps"},
	{"an unused placement is cancelled", "entry/gateway/spillover.go", "	if reply.Server != \"\" && !preferred {\n		e.s.peers.CancelPlacement(address, id)\n", "	if reply.Server != \"\" && !preferred {\n", gatewayPkg, "TestAPlacementThatIsNoSoonerIsCancelled"},
	{"an evacuated zone says so", "entry/gateway/spillover.go", "s.evacuation.IsEvacuated(s.settings.Zone)", "false", gatewayPkg, "TestAClosedZone"},
	{"a request without a reply is recorded", "entry/gateway/spillover.go", "			p.zones.Lost(now, id)\n", "", gatewayPkg, "TestAfterTheAskedEntryHasEnded"},
	{"a request is recorded before it is sent", "entry/gateway/spillover.go", "	p.zones.Sent(now, request.Dispatch.ID, decision.Zone, address, need)\n", "", gatewayPkg, "TestADroppedReply"},
	{"a reported request of another zone holds the requests to it", "entry/gateway/spillover.go", "		s.spiller.observeReceived(now, d.Zone)\n", "", gatewayPkg, "TestAZoneThatReceives"},
	{"a dispatch in another zone names its own", "entry/gateway/attempt.go", "		d.Zone = e.s.settings.Zone\n", "		d.Zone = \"\"\n", gatewayPkg, "TestWithoutTheSwitch"},
	{"the state of a zone is in its heartbeats", "entry/peerlink/heartbeats.go", "	m.Summary = l.options.Loads.ZoneSummary(now)\n", "", gatewayPkg, "TestAFullZonePlaces"},
	{"an entry without spillover goes by the spare capacity", "entry/gateway/crosszone.go", "	case e.s.spills(e.service.Name):\n", "	case true:\n", gatewayPkg, "TestWithoutTheSwitch"},
}
