package mutations

const quarantinePkg = "arbutusdeck/core/quarantine"

// quarantineMutations remove the safeguards around requests under which servers end.
var quarantineMutations = []mutation{
	{"such a request is refused", "entry/gateway/run.go", "		if refusal, quarantined := e.quarantined(now); quarantined {\n", "		if refusal, quarantined := e.quarantined(now); quarantined && refusal.Code == \"\" {\n", gatewayPkg, "TestARequestThatCrashesServersIsQuarantined"},
	{"it is refused within an attempt", "entry/gateway/run.go", "		if refusal, quarantined := e.quarantined(now); quarantined {\n", "		if refusal, quarantined := e.quarantined(now); quarantined && e.forward.Sent() == 0 {\n", gatewayPkg, "TestARequestIsNotRetriedAfterTheThirdCrash"},
	{"all entries are told", "entry/gateway/quarantine.go", "	s.peers.broadcastRecord(record)\n}\n\n// isExpected", "	_ = record\n}\n\n// isExpected", gatewayPkg, "TestARequestThatCrashesServersIsQuarantined"},
	{"entries of other zones are told", "entry/gateway/quarantine.go", "dispatchRef{remoteZones: p.group.RemoteZones()}", "dispatchRef{}", gatewayPkg, "TestEntriesOfOtherZonesGetQuarantineRecords"},
	{"a restarted entry is told at once", "core/peering/group.go", "		known.recordsSentAt = time.Time{} // a restart loses all records\n", "		_ = known\n", peeringPkg, "TestARestartedEntryIsSentRecordsAtOnce"},
	{"a lost record is told again", "entry/gateway/heartbeats.go", "	m.SetRecordsDigest(s.tracker.Digest())\n", "", gatewayPkg, "TestALostRecordIsSentAgain"},
	{"a server that lives is no end", "core/netopts/refuses.go", "			_ = connection.Close()\n			return false\n", "			_ = connection.Close()\n			return true\n", gatewayPkg, "TestARequestWhoseServersDoNotCrashIsNotRefused"},
	{"a timeout that may be its own is looked at again", "core/netopts/refuses.go", "const dialAttempts = 2\n", "const dialAttempts = 1\n", "arbutusdeck/core/netopts", "TestRefusalIsCheckedAgain"},
	{"a silent end is found out", "entry/gateway/crash.go", "		go e.s.checkServerCrash(context.Background(), request, choice)\n", "", gatewayPkg, "TestACrashWithoutAResetIsDetectedConcurrently"},
	{"an end that nobody waits for is found out", "entry/gateway/crash.go", "		e.s.checkCrashLater(request, choice)\n", "", gatewayPkg, "TestACrashAfterCancellationIsDetected"},
	{"suspects are kept apart", "entry/gateway/run.go", "	suspectServers := e.otherSuspectServers(now)\n", "	var suspectServers []string\n", gatewayPkg, "TestTwoSuspects"},
	{"another suspect's server is better than none", "entry/gateway/run.go", "	if refusal != \"\" && len(suspectServers) > 0 {", "	if false {", gatewayPkg, "TestASuspectIsNotRefused"},
	{"suspects are forgotten", "core/quarantine/separator.go", "		if now.Sub(s.at) >= separationTime {", "		if now.Sub(s.at) >= 1000*separationTime {", quarantinePkg, "TestSuspects"},
	{"a leaving server's end is its own", "entry/gateway/quarantine.go", " || ok && !known.Draining", " || ok || known.Draining", gatewayPkg, "TestTheExitOfADrainingServerIsNotAttributedToItsRequests"},
	{"callers are told apart", "core/quarantine/fingerprint.go", "[]string{workspace, method, host, uri}", "[]string{method, host, uri}", quarantinePkg, "TestOnlyTheSameRequest"},
	{"fields are told apart", "core/quarantine/fingerprint.go", "uint64(len(field))", "0", quarantinePkg, "TestOnlyTheSameRequest"},
	{"who runs beside it is not refused", "core/quarantine/tracker.go", "		if tr.isExplained(crash, f, len(r.crashes)-1) {", "		if tr.isExplained(crash, f, 1000) {", quarantinePkg, "TestARequestBesideTheCulpritIsNotTakenForIt|TestInnocentRequestsAreNeverRefused"},
	{"late news are allowed for", "core/quarantine/tracker.go", "len(r.crashes)-1) {", "len(r.crashes)) {", quarantinePkg, "TestARequestBesideTheCulpritIsNotTakenForIt"},
	{"two at fault don't hide each other", "core/quarantine/tracker.go", "len(r.crashes) < CrashLimit && tr", "tr", quarantinePkg, "TestTwoCulpritsDoNotHideEachOther"},
	{"a whole answer clears", "entry/gateway/run.go", "				e.clearSuspicion(time.Now())\n", "", gatewayPkg, "TestACompletedRequestIsCleared"},
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
