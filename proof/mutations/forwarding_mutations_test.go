package mutations

const (
	directoryPkg = "arbutusdeck/core/directory"
	placementPkg = "arbutusdeck/core/placement"
	peeringPkg   = "arbutusdeck/core/peering"
	enginePkg    = "arbutusdeck/core/enginemodel"
	routesPkg    = "arbutusdeck/core/routes"
	gatewayPkg   = "arbutusdeck/entry/gateway"
	platformPkg  = "arbutusdeck/platform"
)

// forwardingMutations remove the safeguards of forwarded requests.
var forwardingMutations = []mutation{
	{"what may have run is never called not run", "core/execution/forward.go", "	f.maybeRan = true\n	return f.again(now, f.mayRepeat(result)", "	return f.again(now, f.mayRepeat(result)", execution, "TestNotRunIsAlwaysTrue|TestAnOrder"},
	{"a failed run is never called not run", "core/execution/forward.go", "		f.maybeRan = true\n		may := ", "		may := ", execution, "TestNotRunIsAlwaysTrue"},
	{"only an idempotent failure is repeated", "core/execution/forward.go", "		may := f.options.Repeat == Always", "		may := true", execution, "TestNotRunIsAlwaysTrue"},
	{"a non-idempotent request is not repeated", "core/execution/forward.go", "		return true\n	}\n	return false\n", "		return true\n	}\n	return true\n", gatewayPkg, "TestAnOrderWhose"},
	{"two runs are not joined", "core/execution/forward.go", "		return !result.Delivered", "		return true", execution, "TestADeliveredPart"},
	{"the route's attempts bound the servers", "core/execution/forward.go", "		return f.again(now, f.sent < f.options.MaxAttempts && f.options.TakeRetry(now), false)\n	case ForwardFailed", "		return f.again(now, f.options.TakeRetry(now), false)\n	case ForwardFailed", execution, "TestWhatAServerSays"},
	{"nothing is tried past the deadline", "core/execution/forward.go", "	if may && now.Before(f.options.Deadline) {", "	if may {", execution, "TestNothingIsTried"},
	{"the budget refills no faster than told", "core/execution/budget.go", "b.refill*now.Sub(b.refilled).Seconds())", "b.refill)", execution, "TestTheRefilled"},
	{"a removed row stays removed", "core/directory/directory.go", "		if server.Revision <= left {", "		if left == 0 {", directoryPkg, "TestAnOldRow"},
	{"a removal does not outdo a newer row", "core/directory/directory.go", "	if known != nil && known.Revision > revision {\n		return Change{}, false\n	}\n	d.left", "	d.left", directoryPkg, "TestAnOldRemoval"},
	{"leaving sticks to a start", "core/directory/directory.go", "	server.Leaving = server.Leaving || known.Leaving\n", "", directoryPkg, "TestLeavingSticks"},
	{"rows may lapse during an outage", "core/directory/directory.go", "	lapsed := afterOutage && ", "	lapsed := false && ", directoryPkg, "TestMissingRows"},
	{"a single missing row is gone", "core/directory/directory.go", "float64(len(missing)) > massShare*float64(len(d.entries))", "len(missing) > 0", directoryPkg, "TestASingleMissing"},
	{"a row that stays missing is gone", "core/directory/directory.go", "now.Sub(known.missingSince) < d.options.ReturnGrace", "true", directoryPkg, "TestMissingRows"},
	{"the longest prefix goes first", "core/routes/table.go", "return len(b.Prefix) - len(a.Prefix)", "return 0", routesPkg, "TestTheLongest"},
	{"a restarted entry is noticed", "core/peering/group.go", "known.incarnation != \"\" && known.incarnation != m.Incarnation", "false", peeringPkg, "TestANewStart"},
	{"unheard entries keep their part of the budget", "core/peering/group.go", "return g.most + 1", "return len(g.members) + 1", peeringPkg, "TestTheSize"},
	{"seeds are kept", "core/peering/group.go", "		if slices.Contains(g.seeds, address) {\n			continue\n		}\n", "", peeringPkg, "TestTheSize"},
	{"pauses of answers count", "core/placement/choose.go", "c.loss + b.harm(c, slowed)", "c.loss", placementPkg, "TestPartsKeepAwayFromShort"},
	{"waiting reads count", "core/placement/choose.go", "			helper += b.delayLoss(now, c, slowed)", "			helper += 0 * b.delayLoss(now, c, slowed)", placementPkg, "TestPartsKeepAwayFromPrompts"},
	{"short answers are packed", "core/placement/loss.go", "	return gain * float64(others-alike)", "	return 0", placementPkg, "TestShortAnswersArePacked"},
	{"the backlog counts", "core/placement/loss.go", "	wait := c.backlogMs\n", "	wait := 0.0\n", placementPkg, "TestAShortPromptAvoids"},
	{"late prompts wait", "core/placement/admit.go", "	if best.others > share*b.value(q.PromptTokens) {", "	if best.others < -share {", placementPkg, "TestALatePrompt"},
	{"no short prompt queues beyond the slots", "core/placement/admit.go", "best.slotsTaken && best.Predicted > limit", "limit < 0", placementPkg, "TestAShortPromptBeyond"},
	{"what can't be in time is refused", "core/placement/choose.go", "	if refusal == \"\" && best.Predicted > q.Remaining {", "	if false {", placementPkg, "TestWhatCanNot"},
	{"a flapping server is left alone for longer", "core/placement/trust.go", "	t.misses++\n", "", placementPkg, "TestAServerThatFlaps"},
	{"failures are remembered", "core/placement/trust.go", "	t.failing, t.at = share+(1-share)*failureWeight, now", "	t.failing, t.at = share, now", placementPkg, "TestFailuresOutweigh"},
	{"failures are forgotten", "core/placement/trust.go", "math.Exp2(-now.Sub(t.at).Seconds()/trustHalfLife.Seconds())", "1", placementPkg, "TestFailuresOutweigh"},
	{"dispatches of a dead entry expire", "core/placement/book.go", "		if now.After(a.expires) {", "		if a == nil {", placementPkg, "TestDispatchesOfADead"},
	{"a pause forgets loads", "core/placement/trust.go", "	b.active = map[string]*active{}\n}", "}", placementPkg, "TestAPausedProcess"},
	{"the newest part is read first", "core/enginemodel/batcher.go", "			return cmp.Compare(y.admitted, x.admitted)", "			return cmp.Compare(x.admitted, y.admitted)", enginePkg, "TestTheNewestPart"},
	{"long prompts leave servers to the next ones", "core/placement/choose.go", "		best.crowding = b.crowding(candidates, q)\n", "", placementPkg, "TestALongPromptLeaves"},
	{"servers of silent entries are avoided", "core/placement/choose.go", "	if q.Avoid[listed.ID] {", "	if false {", placementPkg, "TestServersOfSilent"},
	{"only an entry's own requests are told anew", "core/placement/book.go", "a.from != \"\" || ", "", placementPkg, "TestWhatIsOpen"},
	{"an entry that missed news is noticed", "core/peering/group.go", "sender.Restarted || now.Sub(known.heard) >= SilentAfter", "false", peeringPkg, "TestAnEntryThatMissed"},
	{"a silent entry is taken for gone at last", "core/peering/group.go", "m.stopping || quiet >= SilentFor", "m.stopping", peeringPkg, "TestSilentEntries"},
	{"a stopped entry is not missed", "core/peering/group.go", "m.stopping || quiet >= SilentFor", "quiet >= SilentFor", peeringPkg, "TestSilentEntries"},
	{"servers are owned in even numbers", "core/peering/owners.go", "taken[entry] < most && ", "taken[entry] < 1000*most && ", peeringPkg, "TestServersAreOwned"},
	{"a started entry is told of what is open", "entry/gateway/peers.go", "	if sender.Missed {\n", "	if false {\n", gatewayPkg, "TestAStartedEntryIsTold"},
	{"silent entries reach the choice", "entry/gateway/run.go", "	q.Avoid = e.s.peers.unheard(now, q.Servers)\n", "", gatewayPkg, "TestEntriesThatDoNotHear"},
	{"a starting entry is told when it can book", "core/peering/group.go", "known.untold && !m.Starting", "known.untold", peeringPkg, "TestAStartingEntryIsTold"},
	{"a server's own failure is delivered", "entry/gateway/answers.go", "	if e.failure != nil && !e.begun {", "	if false {", gatewayPkg, "TestAServersOwnFailure"},
	{"an answer of another request", "entry/gateway/try.go", "	if answer.ID != \"\" && answer.ID != e.info.ID {", "	if false {", gatewayPkg, "TestAnIdempotent"},
	{"an unsigned or encoded success", "entry/gateway/try.go", "	if success && (!answer.Signed || answer.Encoded) {", "	if false {", gatewayPkg, "TestAnIdempotent"},
	{"a shortened answer", "entry/gateway/try.go", "bufferedAnswer+1))\n	if err != nil {", "bufferedAnswer+1))\n	if err != nil && len(body) == 0 {", gatewayPkg, "TestAnIdempotent"},
	{"only whole events go out", "entry/gateway/stream.go", "		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {", "		if err != nil && len(raw) > 0 {\n			return event{raw: append(raw, line...)}, nil\n		}\n		if err != nil {", gatewayPkg, "TestABrokenStream|TestAStreamThat"},
	{"a resumed stream goes on after its last event", "entry/gateway/try.go", "LastEventID: e.lastEvent}", "LastEventID: \"\"}", gatewayPkg, "TestABrokenStream"},
	{"a broken answer breaks the connection", "entry/gateway/answers.go", "	if e.begun {\n		panic(http.ErrAbortHandler)\n	}", "	if e.begun {\n		return\n	}", gatewayPkg, "TestAStreamThat"},
	{"a caller that leaves ends the work", "entry/gateway/run.go", "context.WithDeadline(e.r.Context(), e.deadline)", "context.WithDeadline(context.Background(), e.deadline)", gatewayPkg, "TestACallerThatLeaves"},
	{"refused memory is given back", "entry/gateway/reservation.go", "		r.release()\n		return nil, fmt", "		return nil, fmt", gatewayPkg, "TestRefusedMemory"},
	{"used memory is given back", "entry/gateway/try.go", "	defer reservation.end()\n", "", gatewayPkg, "TestAHugePrompt"},
	{"the configuration never goes back", "entry/gateway/platformloop.go", "current.Version() >= table.Version()", "current.Version() == table.Version()", gatewayPkg, "TestATakenKey"},
	{"a bad configuration is refused", "entry/gateway/platformloop.go", "	if err != nil {\n		s.log.WithError(err).WithFields(logrus.Fields{\"version\": definition.Version, \"source\": source}).Error(\"configuration refused; the last good one stays in force\")\n", "	if err != nil && table == nil {\n		table, _ = routes.NewTable(routes.Definition{Version: definition.Version})\n	} else if err != nil {\n", gatewayPkg, "TestARefusedConfiguration"},
	{"without a configuration nothing is denied", "entry/gateway/front.go", "	if e.table == nil {\n		e.refuse(http.StatusServiceUnavailable", "	if e.table == nil {\n		e.refuse(http.StatusNotFound", gatewayPkg, "TestWithoutAConfiguration"},
	{"a stop is not a cut", "entry/gateway/front.go", "	s.manager.Join()\n	defer s.manager.End()\n", "", gatewayPkg, "TestAPlannedStop"},
	{"entries tell of their dispatches", "entry/gateway/book.go", "	s.peers.began(d)\n", "", gatewayPkg, "TestEntriesTell"},
	{"peers stand in for the store", "entry/gateway/peers.go", "	p.catchUp(now)\n", "", gatewayPkg, "TestAStartingEntry"},
	{"callers don't speak for the system", "platform/messages.go", "	for _, name := range ownHeaders {\n		h.Del(name)\n	}\n", "", platformPkg, "TestCallers"},
	{"a bare 503 promises nothing", "platform/messages.go", "answer.Misdirected || h.Get(headerNotRun) != \"\"", "true", platformPkg, "TestAnswersAreJudged"},
	{"all pages are read", "platform/store.go", "		if !page.HasMore || len(page.Items) == 0 {", "		if true {", platformPkg, "TestAllPages"},
	{"a bad row does not hide the others", "platform/store.go", "			c.Rejected = append(c.Rejected, err)\n			return\n		}\n		c.Servers", "			panic(err)\n		}\n		c.Servers", platformPkg, "TestABadRow"},
	{"a kind that is not known is not repeated", "platform/configuration.go", "	return execution.Never\n", "	return execution.Always\n", platformPkg, "TestConfigurationIsDecoded"},
}
