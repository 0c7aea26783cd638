package mutations

const (
	evacuationPkg = "arbutusdeck/core/evacuation"
	coldstartPkg  = "arbutusdeck/core/coldstart"
)

// evacuationMutations remove the safeguards around zones that are evacuated, and around cold servers.
var evacuationMutations = []mutation{
	{"an evacuated zone gets nothing new", "core/directory/directory.go", "!server.Draining && !d.evacuated[server.Zone]", "!server.Draining", gatewayPkg, "TestAnEvacuatedZone"},
	{"an older state of a zone changes nothing", "core/evacuation/zones.go", "	if state.Revision <= known.Revision {\n", "	if false {\n", evacuationPkg, "TestAnOlderStateDoesNotEndAnEvacuation"},
	{"a zone that is not listed is taken back", "core/evacuation/zones.go", "		if !isListed[zone] && z.Apply(ended) {\n", "		if false {\n", evacuationPkg, "TestTheEvacuationOfAZoneThatIsNotListedHasEnded"},
	{"an evacuation outlives an older copy of the store", "entry/gateway/evacuation.go", "platform.EraOf(listed.Revision) > s.era", "false", gatewayPkg, "TestAnEvacuationOutlives"},
	{"a lost evacuation is fetched", "entry/gateway/view.go", "	evacuations := s.applyViewEvacuations(v)\n", "	var evacuations []evacuation.State\n", gatewayPkg, "TestALostEvacuation"},
	{"an entry of an earlier version takes no zone back", "entry/gateway/evacuation.go", "v.Evacuations == nil || ", "", gatewayPkg, "TestALostEvacuation"},
	{"a place in an evacuated zone is not used", "entry/gateway/crosszone.go", " || !s.directory.TakesWork(server)", "", gatewayPkg, "TestAPlacementInAnEvacuatedZoneIsNotUsed"},
	{"an entry sends a cold server one request a second", "core/coldstart/limiter.go", "	if !known.lastSent.IsZero() && now.Sub(known.lastSent) < sendInterval {", "	if false {", coldstartPkg, "TestAnEntrySends|TestNoCold"},
	{"few entries send to a cold server", "core/coldstart/limiter.go", "	return known.rank < MaxSenders(perSecond)", "	return true", coldstartPkg, "TestOfMany|TestNoCold"},
	{"room is left for entries that know too few", "core/coldstart/limiter.go", "const mutuallyKnownShare = 0.5", "const mutuallyKnownShare = 1", coldstartPkg, "TestNoCold"},
	{"cold servers are known by their rows", "entry/gateway/cold.go", "		if server.WarmupRemaining > 0 {", "		if false {", gatewayPkg, "TestAColdServer"},
	{"a choice counts for a cold server", "entry/gateway/cold.go", "		s.cold.RecordSend(now, choice.Server.IncarnationID())\n", "", gatewayPkg, "TestAColdServer"},
}

// memoryMutations remove the bounds on what callers make an entry hold.
var memoryMutations = []mutation{
	{"a caller that does not read is ended", "entry/gateway/body.go", "	e.setDeadline((*http.ResponseController).SetWriteDeadline, e.deadline.Add(responseWriteSlack))\n", "", gatewayPkg, "TestACallerThatDoesNotRead"},
	{"a caller that sends slowly is ended", "entry/gateway/body.go", "	e.setDeadline((*http.ResponseController).SetReadDeadline, e.deadline)\n", "", gatewayPkg, "TestASlowRequestBodyEndsAtTheDeadline"},
	{"bodies together are bounded", "core/admission/bytes.go", "	if b.reserved+count > b.limit {\n", "	if false {\n", gatewayPkg, "TestRequestBodiesStayWithinTheMemoryLimit"},
	{"the room of a body comes back", "entry/gateway/handler.go", "	defer e.bodyBuffer.release()\n", "", gatewayPkg, "TestRequestBodiesStayWithinTheMemoryLimit"},
}
