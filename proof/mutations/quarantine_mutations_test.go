package mutations

const quarantinePkg = "arbutusdeck/core/quarantine"

// quarantineMutations remove the safeguards around requests under which servers crash.
var quarantineMutations = []mutation{
	{"a quarantined request is refused", "entry/gateway/run.go", "		if cause, is := e.quarantined(now); is {\n", "		if cause, is := e.quarantined(now); is && cause.Code == \"\" {\n", gatewayPkg, "TestARequestThatEndsServers"},
	{"a quarantined request is refused between attempts", "entry/gateway/run.go", "		if cause, is := e.quarantined(now); is {\n", "		if cause, is := e.quarantined(now); is && e.core.Sent() == 0 {\n", gatewayPkg, "TestAnAttemptIsNotSentOn"},
	{"all entries learn of a quarantine record", "entry/gateway/quarantine.go", "	s.peers.tellRecord(record)\n}\n\n// isExpected", "	_ = record\n}\n\n// isExpected", gatewayPkg, "TestARequestThatEndsServers"},
	{"entries of other zones learn of a quarantine record", "entry/gateway/quarantine.go", "booking{far: p.group.FarZones()}", "booking{}", gatewayPkg, "TestEntriesOfOtherZonesAreTold"},
	{"a restarted entry gets the quarantine records at once", "core/peering/group.go", "		known.recordsTold = time.Time{} // what the start before was told is lost\n", "		_ = known\n", peeringPkg, "TestARestartedEntryIsToldRecords"},
	{"a lost quarantine record is sent again", "entry/gateway/beats.go", "	m.SetRecordsSum(s.watch.Sum())\n", "", gatewayPkg, "TestARecordThatIsLost"},
	{"a running server is no crash", "core/netopts/refuses.go", "			_ = connection.Close()\n			return false\n", "			_ = connection.Close()\n			return true\n", gatewayPkg, "TestARequestWhoseServersLive"},
	{"an ambiguous timeout is probed again", "core/netopts/refuses.go", "const looks = 2\n", "const looks = 1\n", "arbutusdeck/core/netopts", "TestATimeoutThatMayBe"},
	{"a crash without a reset is detected", "entry/gateway/ended.go", "		go e.s.look(context.Background(), request, choice)\n", "", gatewayPkg, "TestAnEndThatWasSilent"},
	{"a crash after the caller has left is detected", "entry/gateway/ended.go", "		e.s.lookLater(request, choice)\n", "", gatewayPkg, "TestAnEndThatNobodyWaitsFor"},
	{"suspect requests run on separate servers", "entry/gateway/run.go", "	others := e.otherSuspects(now)\n", "	var others []string\n", gatewayPkg, "TestTwoSuspects"},
	{"a suspect request may share a server if there is no other", "entry/gateway/run.go", "	if refusal != \"\" && len(others) > 0 {", "	if false {", gatewayPkg, "TestASuspectIsNotRefused"},
	{"suspect requests are forgotten after a time", "core/quarantine/apart.go", "		if now.Sub(s.at) >= apartTime {", "		if now.Sub(s.at) >= 1000*apartTime {", quarantinePkg, "TestSuspects"},
	{"the exit of a draining server is no crash", "entry/gateway/quarantine.go", " || ok && !known.Draining", " || ok || known.Draining", gatewayPkg, "TestALeavingServersEnd"},
	{"fingerprints distinguish callers", "core/quarantine/fingerprint.go", "[]string{workspace, method, host, uri}", "[]string{method, host, uri}", quarantinePkg, "TestOnlyTheSameRequest"},
	{"fingerprints distinguish fields", "core/quarantine/fingerprint.go", "uint64(len(field))", "0", quarantinePkg, "TestOnlyTheSameRequest"},
	{"a request that ran beside a poison request is not refused", "core/quarantine/watch.go", "		if w.explained(end, f, len(r.ended)-1) {", "		if w.explained(end, f, 1000) {", quarantinePkg, "TestARequestBeside|TestSoundRequests"},
	{"late crash reports are tolerated", "core/quarantine/watch.go", "len(r.ended)-1) {", "len(r.ended)) {", quarantinePkg, "TestARequestBeside"},
	{"two poison requests don't hide each other", "core/quarantine/watch.go", "len(r.ended) < EndsInAnyCase && w", "w", quarantinePkg, "TestTwoAtFault"},
	{"a complete response clears a suspect request", "entry/gateway/run.go", "				e.noteAnswer(time.Now())\n", "", gatewayPkg, "TestARequestThatIsAnswered"},
	{"a recently completed request is not blamed", "core/quarantine/watch.go", "	if w.answered.has(now, f) {\n", "	if false {\n", quarantinePkg, "TestARequestThatWasAnswered"},
	{"the memory of completed requests is bounded", "core/quarantine/answered.go", "	if len(a.newer) >= maxAnswered {", "	if false {", quarantinePkg, "TestAnswersThatAreRemembered"},
	{"a late crash report does not undo a completion", "core/quarantine/record.go", "	if told.Cleared < r.cleared {", "	if false {", quarantinePkg, "TestAWholeAnswerClears"},
	{"the number of quarantine records is bounded", "core/quarantine/watch.go", "		delete(w.records, w.least())\n", "", quarantinePkg, "TestWhatIsRemembered"},
	{"records of refused requests are evicted last", "core/quarantine/watch.go", "cmp.Compare(len(r.ended), len(least.ended)), ", "", quarantinePkg, "TestWhatIsRemembered"},
	{"all entries keep the same crashes", "core/quarantine/record.go", "	if found || at >= EndsInAnyCase {", "	if found || len(r.ended) >= EndsInAnyCase {", quarantinePkg, "TestEntriesKeepTheSameEnds"},
	{"a quarantine record expires", "core/quarantine/watch.go", "		if now.Sub(r.changed) >= Term {", "		if now.Sub(r.changed) >= 1000*Term {", quarantinePkg, "TestARequestIsRefused"},
	{"a forwarded record keeps its age", "core/quarantine/watch.go", "r.join(t, now.Add(-t.Age))", "r.join(t, now)", quarantinePkg, "TestTelling"},
	{"only recently started requests are blamed", "core/quarantine/watch.go", "now.Sub(answerBegan) < BeginTime", "true", quarantinePkg, "TestOnlyWhatHasJustBegun"},
}
