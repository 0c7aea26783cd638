package mutations

const quarantinePkg = "arbutusdeck/core/quarantine"

// quarantineMutations remove the safeguards around requests under which servers end.
var quarantineMutations = []mutation{
	{"such a request is refused", "entry/gateway/run.go", "		if refusal, quarantined := e.quarantined(now); quarantined {\n", "		if refusal, quarantined := e.quarantined(now); quarantined && refusal.Code == \"\" {\n", gatewayPkg, "TestARequestThatCrashesServersIsQuarantined"},
	{"it is refused within an attempt", "entry/gateway/run.go", "		if refusal, quarantined := e.quarantined(now); quarantined {\n", "		if refusal, quarantined := e.quarantined(now); quarantined && e.forward.Sent() == 0 {\n", gatewayPkg, "TestARequestIsNotRetriedAfterTheThirdCrash"},
	{"all entries are told", "entry/gateway/quarantine.go", "	s.peers.broadcastRecord(record)\n}\n\n// isExpected", "	_ = record\n}\n\n// isExpected", gatewayPkg, "TestARequestThatCrashesServersIsQuarantined"},
	{"entries of other zones are told", "entry/gateway/quarantine.go", "dispatchRef{remoteZones: p.group.FarZones()}", "dispatchRef{}", gatewayPkg, "TestEntriesOfOtherZonesGetQuarantineRecords"},
	{"a restarted entry is told at once", "core/peering/group.go", "		known.recordsTold = time.Time{} // what the start before was told is lost\n", "		_ = known\n", peeringPkg, "TestARestartedEntryIsToldRecords"},
	{"a lost record is told again", "entry/gateway/heartbeats.go", "	m.SetRecordsSum(s.tracker.Sum())\n", "", gatewayPkg, "TestALostRecordIsSentAgain"},
	{"a server that lives is no end", "core/netopts/refuses.go", "			_ = connection.Close()\n			return false\n", "			_ = connection.Close()\n			return true\n", gatewayPkg, "TestARequestWhoseServersDoNotCrashIsNotRefused"},
	{"a timeout that may be its own is looked at again", "core/netopts/refuses.go", "const looks = 2\n", "const looks = 1\n", "arbutusdeck/core/netopts", "TestATimeoutThatMayBe"},
	{"a silent end is found out", "entry/gateway/crash.go", "		go e.s.checkServerCrash(context.Background(), request, choice)\n", "", gatewayPkg, "TestACrashWithoutAResetIsDetectedConcurrently"},
	{"an end that nobody waits for is found out", "entry/gateway/crash.go", "		e.s.checkCrashLater(request, choice)\n", "", gatewayPkg, "TestACrashAfterCancellationIsDetected"},
	{"suspects are kept apart", "entry/gateway/run.go", "	suspectServers := e.otherSuspectServers(now)\n", "	var suspectServers []string\n", gatewayPkg, "TestTwoSuspects"},
	{"another suspect's server is better than none", "entry/gateway/run.go", "	if refusal != \"\" && len(suspectServers) > 0 {", "	if false {", gatewayPkg, "TestASuspectIsNotRefused"},
	{"suspects are forgotten", "core/quarantine/apart.go", "		if now.Sub(s.at) >= apartTime {", "		if now.Sub(s.at) >= 1000*apartTime {", quarantinePkg, "TestSuspects"},
	{"a leaving server's end is its own", "entry/gateway/quarantine.go", " || ok && !known.Leaving", " || ok || known.Leaving", gatewayPkg, "TestTheExitOfADrainingServerIsNotAttributedToItsRequests"},
	{"callers are told apart", "core/quarantine/fingerprint.go", "[]string{workspace, method, host, uri}", "[]string{method, host, uri}", quarantinePkg, "TestOnlyTheSameRequest"},
	{"fields are told apart", "core/quarantine/fingerprint.go", "uint64(len(field))", "0", quarantinePkg, "TestOnlyTheSameRequest"},
	{"who runs beside it is not refused", "core/quarantine/watch.go", "		if w.explained(end, f, len(r.ended)-1) {", "		if w.explained(end, f, 1000) {", quarantinePkg, "TestARequestBeside|TestSoundRequests"},
	{"late news are allowed for", "core/quarantine/watch.go", "len(r.ended)-1) {", "len(r.ended)) {", quarantinePkg, "TestARequestBeside"},
	{"two at fault don't hide each other", "core/quarantine/watch.go", "len(r.ended) < EndsInAnyCase && w", "w", quarantinePkg, "TestTwoAtFault"},
	{"a whole answer clears", "entry/gateway/run.go", "				e.clearSuspicion(time.Now())\n", "", gatewayPkg, "TestACompletedRequestIsCleared"},
	{"what was answered lately is not at fault", "core/quarantine/watch.go", "	if w.answered.has(now, f) {\n", "	if false {\n", quarantinePkg, "TestARequestThatWasAnswered"},
	{"answers that are remembered are bounded", "core/quarantine/answered.go", "	if len(a.newer) >= maxAnswered {", "	if false {", quarantinePkg, "TestAnswersThatAreRemembered"},
	{"late news don't undo an answer", "core/quarantine/record.go", "	if told.Cleared < r.cleared {", "	if false {", quarantinePkg, "TestAWholeAnswerClears"},
	{"what is remembered is bounded", "core/quarantine/watch.go", "		delete(w.records, w.least())\n", "", quarantinePkg, "TestWhatIsRemembered"},
	{"what is refused stays remembered", "core/quarantine/watch.go", "cmp.Compare(len(r.ended), len(least.ended)), ", "", quarantinePkg, "TestWhatIsRemembered"},
	{"entries keep the same ends", "core/quarantine/record.go", "	if found || at >= EndsInAnyCase {", "	if found || len(r.ended) >= EndsInAnyCase {", quarantinePkg, "TestEntriesKeepTheSameEnds"},
	{"a request's term ends", "core/quarantine/watch.go", "		if now.Sub(r.changed) >= Term {", "		if now.Sub(r.changed) >= 1000*Term {", quarantinePkg, "TestARequestIsRefused"},
	{"telling keeps the age", "core/quarantine/watch.go", "r.join(t, now.Add(-t.Age))", "r.join(t, now)", quarantinePkg, "TestTelling"},
	{"only what has just begun is remembered", "core/quarantine/watch.go", "now.Sub(answerBegan) < BeginTime", "true", quarantinePkg, "TestOnlyWhatHasJustBegun"},
}
