package mutations

const ratelimitPkg = "arbutusdeck/core/ratelimit"

// limitMutations remove what keeps the entries together within the request limits that servers state.
var limitMutations = []mutation{
	{"a limit in a response is recorded", "entry/gateway/statements.go", "	s.recordLimit(now, server, sentAt, response)\n", "", gatewayPkg, "TestRequestsBeyondALimit"},
	{"a limited server is paused between requests", "entry/gateway/restrictions.go", "	s.pauseLimited(now, &q)\n", "", gatewayPkg, "TestRequestsBeyondALimit"},
	{"a request counts against the limit of its server", "entry/gateway/restrictions.go", "		s.limiter.RecordSend(now, choice.ServerAt(i).IncarnationID())\n", "		_ = i\n", gatewayPkg, "TestEntriesTogetherKeepToAServersRequestLimit"},
	{"a limit is divided among the entries", "core/ratelimit/limiter.go", "float64(time.Second) * float64(senders)", "float64(time.Second) * float64(min(senders, 1))", ratelimitPkg, "TestEntriesTogether"},
	{"few entries send to a limited server", "core/ratelimit/limiter.go", "return baseSenders + int(min(perSecond, maxPerSecond))", "return 10 * baseSenders", ratelimitPkg, "TestEntriesTogether"},
	{"an entry that may know too few others sends less", "core/ratelimit/limiter.go", "if settled := known.limitedSince.Add(settleTime); next.Before(settled) {", "if settled := known.limitedSince; next.Before(settled) {", ratelimitPkg, "TestEntriesTogether|TestAnEntrySends"},
	{"an older response does not end a limit", "core/ratelimit/limiter.go", " || !sentAt.After(known.statedAt)", "", ratelimitPkg, "TestALimitHoldsUntil"},
	{"a limit of zero has an end", "core/ratelimit/limiter.go", "max(s.perSecond, minPerSecond)", "s.perSecond", ratelimitPkg, "TestALimitOfZero"},
	{"an older statement of another entry is ignored", "core/ratelimit/statement.go", " || known != nil && !statedAt.After(known.statedAt)", "", ratelimitPkg, "TestStatementsOfOtherEntries"},
	{"a statement that may be outdated is ignored", "core/ratelimit/statement.go", "	if statement.Age > retention.Milliseconds() {", "	if false {", ratelimitPkg, "TestStatementsOfOtherEntries"},
	{"entries tell each other the limits", "entry/peerlink/outbox.go", "	l.sendLimits(targets, updates.Limits, updates.Relay)\n", "", gatewayPkg, "TestALimitAndItsEndReachEntries"},
	{"limits are told again", "entry/peerlink/heartbeats.go", "		l.AnnounceLimits(now, turn%remoteLimitInterval == 0)\n", "", gatewayPkg, "TestALimitAndItsEndReachEntries"},
	{"limits are told to other zones", "entry/peerlink/limits.go", "		ref.RemoteZones = l.group.RemoteZones()\n", "", gatewayPkg, "TestALimitAndItsEndReachOtherZones"},
	{"a limit of another zone's server is not shared", "core/peering/shares.go", "	if g.scope == scopeZone && zone != \"\" && zone != g.zone {", "	if false {", peeringPkg, "TestOnlyEntriesOfAServersZone"},
	{"entries that are gone leave their shares", "core/peering/shares.go", " && m.mayRun(now)", "", peeringPkg, "TestAnEntryThatIsGone"},
	{"a limit in a misdirected response counts for its sender", "entry/gateway/statements.go", "	if !response.Misdirected {", "	if true {", gatewayPkg, "TestALimitInAMisdirectedResponse"},
	{"a request waits for a paused server only if it can be in time", "core/placement/admit.go", "	case wait > min(q.Target, q.Remaining) || ", "	case ", "arbutusdeck/core/placement", "TestARequestWaitsForAPaused"},
	{"an invalid limit of another entry is rejected", "core/peering/codec.go", "		if err := statement.Check(); err != nil {", "		if err := error(nil); err != nil {", peeringPkg, "TestAnInvalidMessage"},
	{"an order names the server that it is meant for", "platform/orders.go", "	request.Header.Set(headerInstance, target.Instance)\n", "", gatewayPkg, "TestMemoryIsNotReservedAtTheNextServer"},
	{"a renewal under way ends before the release", "entry/gateway/reservation.go", "r.sendReserve(context.WithoutCancel(ctx), false)", "r.sendReserve(ctx, false)", gatewayPkg, "TestARenewalUnderWay"},
	{"statements in responses to orders are recorded", "entry/gateway/reservation.go", "	s.recordStatements(time.Now(), server, sentAt, response)\n", "	_, _ = sentAt, response\n", gatewayPkg, "TestStatementsInResponsesToOrders"},
}

// leavingMutations remove what keeps new requests from a server that states it is leaving.
var leavingMutations = []mutation{
	{"a statement of leaving is recorded", "entry/gateway/statements.go", "	if response.Leaving {\n		s.recordLeaving", "	if false {\n		s.recordLeaving", gatewayPkg, "TestAServerThatStatesItIsLeaving"},
	{"a statement of leaving outlasts later rows", "core/directory/directory.go", "		server.Draining = server.Draining || known.Draining\n", "", directoryPkg, "TestAServerThatStates"},
	{"a statement of leaving outlasts an expired row", "core/directory/directory.go", " && (r.startedAtMs != 0 || r.statedLeaving)", " && r.startedAtMs != 0", directoryPkg, "TestAServerThatStates"},
	{"a statement of a removed server holds if it returns", "core/directory/directory.go", "		removed.draining, removed.statedLeaving = true, true\n", "", directoryPkg, "TestAStatementOfARemovedServer"},
	{"a statement of leaving holds for one incarnation", "core/directory/directory.go", "	if known == nil || known.incarnationID != incarnationID {\n		return Change{}, false", "	if known == nil {\n		return Change{}, false", directoryPkg, "TestAStatementOfLeavingHolds"},
	{"a choice is checked again after the reservation", "entry/gateway/statements.go", " && !s.takesRequests(now, known) {", " && false {", gatewayPkg, "TestAChoiceIsNotUsedAfter"},
}

// pauseMutations remove what keeps requests from a server that has asked this entry for a pause.
var pauseMutations = []mutation{
	{"a pause that a server asks for is recorded", "entry/gateway/statements.go", "		s.recordPause(now, server, response.RetryAfter)\n", "", gatewayPkg, "TestAServerThatAsksForAPause"},
	{"a paused server is not chosen", "entry/gateway/restrictions.go", "	s.pauseRequested(now, &q)\n", "", gatewayPkg, "TestCallersAreTold"},
	{"the longest pause holds", "core/retryafter/pauses.go", "until.After(p.until[incarnation])", "true", "arbutusdeck/core/retryafter", "TestTheLongestPause"},
	{"a mistaken pause is bounded", "core/retryafter/pauses.go", "min(after, maxPause)", "after", "arbutusdeck/core/retryafter", "TestAMistakenPause"},
	{"one server's pause is not passed on to callers", "entry/gateway/attempt.go", "RetryAfter: e.notExecutedRetryAfter(time.Now())})", "RetryAfter: max(parsed.RetryAfter, minNotExecutedRetryAfter)})", gatewayPkg, "TestOneServersPause"},
	{"callers return when the first pause ends", "entry/gateway/attempt.go", "max(e.jitter(earliest), minNotExecutedRetryAfter)", "max(e.jitter(0*earliest), minNotExecutedRetryAfter)", gatewayPkg, "TestCallersAreTold"},
	{"an infinite delay does not overflow", "platform/messages.go", "min(seconds, maxCount/1000)", "seconds", platformPkg, "TestResponseHeaders"},
}
