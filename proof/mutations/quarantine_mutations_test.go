package mutations

const quarantinePkg = "arbutusdeck/core/quarantine"

// quarantineMutations remove the safeguards around requests under which servers end.
var quarantineMutations = []mutation{
	{"such a request is refused", "entry/gateway/run.go", "		if cause, is := e.quarantined(now); is {\n", "		if cause, is := e.quarantined(now); is && cause.Code == \"\" {\n", gatewayPkg, "TestARequestThatEndsServers"},
	{"it is refused within an attempt", "entry/gateway/run.go", "		if cause, is := e.quarantined(now); is {\n", "		if cause, is := e.quarantined(now); is && e.core.Sent() == 0 {\n", gatewayPkg, "TestAnAttemptIsNotSentOn"},
	{"all entries are told", "entry/gateway/quarantine.go", "	s.peers.tellRecord(record)\n}\n\n// isExpected", "	_ = record\n}\n\n// isExpected", gatewayPkg, "TestARequestThatEndsServers"},
	{"entries of other zones are told", "entry/gateway/quarantine.go", "booking{far: p.group.RemoteZones()}", "booking{}", gatewayPkg, "TestEntriesOfOtherZonesAreTold"},
	{"a restarted entry is told at once", "core/peering/group.go", "		known.recordsSentAt = time.Time{} // a restart loses all records\n", "		_ = known\n", peeringPkg, "TestARestartedEntryIsSentRecordsAtOnce"},
	{"a lost record is told again", "entry/gateway/beats.go", "	m.SetRecordsDigest(s.watch.Digest())\n", "", gatewayPkg, "TestARecordThatIsLost"},
	{"a server that lives is no end", "core/netopts/refuses.go", "			_ = connection.Close()\n			return false\n", "			_ = connection.Close()\n			return true\n", gatewayPkg, "TestARequestWhoseServersLive"},
	{"a timeout that may be its own is looked at again", "core/netopts/refuses.go", "const dialAttempts = 2\n", "const dialAttempts = 1\n", "arbutusdeck/core/netopts", "TestRefusalIsCheckedAgain"},
	{"a silent end is found out", "entry/gateway/ended.go", "		go e.s.look(context.Background(), request, choice)\n", "", gatewayPkg, "TestAnEndThatWasSilent"},
	{"an end that nobody waits for is found out", "entry/gateway/ended.go", "		e.s.lookLater(request, choice)\n", "", gatewayPkg, "TestAnEndThatNobodyWaitsFor"},
	{"suspects are kept apart", "entry/gateway/run.go", "	others := e.otherSuspects(now)\n", "	var others []string\n", gatewayPkg, "TestTwoSuspects"},
	{"another suspect's server is better than none", "entry/gateway/run.go", "	if refusal != \"\" && len(others) > 0 {", "	if false {", gatewayPkg, "TestASuspectIsNotRefused"},
	{"suspects are forgotten", "core/quarantine/separator.go", "		if now.Sub(s.at) >= separationTime {", "		if now.Sub(s.at) >= 1000*separationTime {", quarantinePkg, "TestSuspects"},
	{"a leaving server's end is its own", "entry/gateway/quarantine.go", " || ok && !known.Draining", " || ok || known.Draining", gatewayPkg, "TestALeavingServersEnd"},
	{"callers are told apart", "core/quarantine/fingerprint.go", "[]string{workspace, method, host, uri}", "[]string{method, host, uri}", quarantinePkg, "TestOnlyTheSameRequest"},
	{"fields are told apart", "core/quarantine/fingerprint.go", "uint64(len(field))", "0", quarantinePkg, "TestOnlyTheSameRequest"},
	{"who runs beside it is not refused", "core/quarantine/tracker.go", "		if tr.isExplained(crash, f, len(r.crashes)-1) {", "		if tr.isExplained(crash, f, 1000) {", quarantinePkg, "TestARequestBesideTheCulpritIsNotTakenForIt|TestInnocentRequestsAreNeverRefused"},
	{"late news are allowed for", "core/quarantine/tracker.go", "len(r.crashes)-1) {", "len(r.crashes)) {", quarantinePkg, "TestARequestBesideTheCulpritIsNotTakenForIt"},
	{"two at fault don't hide each other", "core/quarantine/tracker.go", "len(r.crashes) < CrashLimit && tr", "tr", quarantinePkg, "TestTwoCulpritsDoNotHideEachOther"},
	{"a whole answer clears", "entry/gateway/run.go", "				e.noteAnswer(time.Now())\n", "", gatewayPkg, "TestARequestThatIsAnswered"},
	{"what was answered lately is not at fault", "core/quarantine/tracker.go", "	if tr.exonerated.has(now, f) {\n", "	if false {\n", quarantinePkg, "TestARecentlyAnsweredRequestIsExonerated"},
	{"answers that are remembered are bounded", "core/quarantine/exonerated.go", "	if len(e.current) >= maxExonerated {", "	if false {", quarantinePkg, "TestExoneratedRequestsAreBounded"},
	{"late news don't undo an answer", "core/quarantine/record.go", "	if other.Cleared < r.cleared {", "	if false {", quarantinePkg, "TestACompleteAnswerClearsARequest"},
	{"what is remembered is bounded", "core/quarantine/tracker.go", "		delete(tr.records, tr.evictionCandidate())\n", "", quarantinePkg, "TestRecordsAreBounded"},
	{"what is refused stays remembered", "core/quarantine/tracker.go", "cmp.Compare(len(r.crashes), len(least.crashes)), ", "", quarantinePkg, "TestRecordsAreBounded"},
	{"entries keep the same ends", "core/quarantine/record.go", "	if found || at >= CrashLimit {", "	if found || len(r.crashes) >= CrashLimit {", quarantinePkg, "TestEntriesKeepTheSameCrashes"},
	{"a request's term ends", "core/quarantine/tracker.go", "		if now.Sub(r.changed) >= RecordTTL {", "		if now.Sub(r.changed) >= 1000*RecordTTL {", quarantinePkg, "TestARequestIsRefusedOnceItHasCrashedThreeServers"},
	{"telling keeps the age", "core/quarantine/tracker.go", "r.merge(t, now.Add(-t.Age))", "r.merge(t, now)", quarantinePkg, "TestMergingDoesNotExtendTheTTL"},
	{"only what has just begun is remembered", "core/quarantine/tracker.go", "now.Sub(firstEvent) < StartWindow", "true", quarantinePkg, "TestOnlyARecentlyStartedRequestMayHaveCrashedItsServer"},
}
