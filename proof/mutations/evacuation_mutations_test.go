package mutations

const (
	evacuationPkg = "arbutusdeck/core/evacuation"
	coldstartPkg  = "arbutusdeck/core/coldstart"
)

// evacuationMutations remove the safeguards of zone evacuations and of cold servers.
var evacuationMutations = []mutation{
	{"an evacuated zone gets no new requests", "core/directory/directory.go", "!server.Draining && !d.evacuated[server.Zone]", "!server.Draining", gatewayPkg, "TestAnEvacuatedZone"},
	{"an older state of a zone is ignored", "core/evacuation/zones.go", "	if state.Revision <= known.Revision {\n", "	if false {\n", evacuationPkg, "TestAnOlderStateDoesNotEndAnEvacuation"},
	{"the evacuation of an unlisted zone ends", "core/evacuation/zones.go", "		if !isListed[zone] && z.Apply(ended) {\n", "		if false {\n", evacuationPkg, "TestTheEvacuationOfAZoneThatIsNotListedHasEnded"},
	{"an evacuation survives a store restored from a backup", "entry/gateway/evacuation.go", "platform.EraOf(listed.Revision) > s.era", "false", gatewayPkg, "TestAnEvacuationOutlives"},
	{"a missed evacuation is fetched from a peer", "entry/gateway/view.go", "	evacuations := s.applyViewEvacuations(v)\n", "	evacuations := s.applyEvacuations(nil)\n", gatewayPkg, "TestALostEvacuation"},
	{"a view of an earlier version ends no evacuation", "entry/gateway/evacuation.go", "v.Evacuations == nil || ", "", gatewayPkg, "TestALostEvacuation"},
	{"a placement in an evacuated zone is not used", "entry/gateway/crosszone.go", " || !s.takesRequests(now, server)", "", gatewayPkg, "TestAPlacementInAnEvacuatedZoneIsNotUsed"},
	{"an entry sends a cold server one request a second", "core/coldstart/limiter.go", "	if !known.lastSent.IsZero() && now.Sub(known.lastSent) < sendInterval {", "	if false {", coldstartPkg, "TestAnEntrySends|TestNoCold"},
	{"few entries send requests to a cold server", "core/coldstart/limiter.go", "	return known.rank < MaxSenders(perSecond)", "	return true", coldstartPkg, "TestOfMany|TestNoCold"},
	{"the cold rate allows for entries that know too few others", "core/coldstart/limiter.go", "const mutuallyKnownShare = 0.5", "const mutuallyKnownShare = 1", coldstartPkg, "TestNoCold"},
	{"cold servers are recognized by their rows", "entry/gateway/cold.go", "		if server.WarmupRemaining > 0 {", "		if false {", gatewayPkg, "TestAColdServer"},
	{"a dispatch counts against the rate of a cold server", "entry/gateway/restrictions.go", "	s.cold.RecordSend(now, choice.Server.IncarnationID())\n", "", gatewayPkg, "TestAColdServer"},
}

// memoryMutations remove the bounds on the memory that callers make an entry use.
var memoryMutations = []mutation{
	{"a caller that does not read is disconnected", "entry/gateway/body.go", "	e.setDeadline((*http.ResponseController).SetWriteDeadline, e.deadline.Add(responseWriteSlack))\n", "", gatewayPkg, "TestACallerThatDoesNotRead"},
	{"a caller that sends slowly is disconnected", "entry/gateway/body.go", "	e.setDeadline((*http.ResponseController).SetReadDeadline, e.deadline)\n", "", gatewayPkg, "TestASlowRequestBodyEndsAtTheDeadline"},
	{"the total size of bodies is bounded", "core/callers/table.go", "		missing.largeBodies = t.largeBodies + largeBody - t.limits.LargeBodies\n", "", gatewayPkg, "TestRequestBodiesStayWithinTheMemoryLimit"},
	{"a refused caller that is still sending gets its answer", "entry/gateway/responses.go", "		e.discardBody()\n", "", gatewayPkg, "TestACallerThatIsStillSending"},
	{"each part of a refused body has its time", "entry/gateway/body.go", "		e.setDeadline((*http.ResponseController).SetReadDeadline, e.discardDeadline(refusedAt))\n		if e.s.manager.Aborting()", "		_ = refusedAt\n		if e.s.manager.Aborting()", gatewayPkg, "TestACallerThatIsStillSendingGetsItsRefusal"},
	{"the memory of a body is released", "core/callers/table.go", "		t.hold(e, ConnectionBytes-e.held, -e.largeBody)\n", "", callersPkg, "TestMemoryIsReservedAndGivenBack"},
}
