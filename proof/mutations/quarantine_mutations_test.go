package mutations

const quarantinePkg = "arbutusdeck/core/quarantine"

// quarantineMutations remove the safeguards around requests under which servers crash.
var quarantineMutations = []mutation{
	{"a quarantined request is refused", "entry/gateway/run.go", "		if refusal, quarantined := e.quarantined(now); quarantined {\n", "		if refusal, quarantined := e.quarantined(now); quarantined && refusal.Code == \"\" {\n", gatewayPkg, "TestARequestThatCrashesServersIsQuarantined"},
	{"a quarantined request is refused between attempts", "entry/gateway/run.go", "		if refusal, quarantined := e.quarantined(now); quarantined {\n", "		if refusal, quarantined := e.quarantined(now); quarantined && e.forward.Sent() == 0 {\n", gatewayPkg, "TestARequestIsNotRetriedAfterTheThirdCrash"},
	{"all entries learn of a quarantine record", "entry/gateway/quarantine.go", "	s.peers.BroadcastRecord(record)\n}\n\n// isExpected", "	_ = record\n}\n\n// isExpected", gatewayPkg, "TestARequestThatCrashesServersIsQuarantined"},
	{"entries of other zones learn of a quarantine record", "entry/peerlink/records.go", "DispatchRef{RemoteZones: l.group.RemoteZones()}", "DispatchRef{}", gatewayPkg, "TestEntriesOfOtherZonesGetQuarantineRecords"},
	{"a restarted entry gets the quarantine records at once", "core/peering/group.go", "		known.recordsSentAt = time.Time{} // a restart loses all records\n", "		_ = known\n", peeringPkg, "TestARestartedEntryIsSentRecordsAtOnce"},
	{"a lost quarantine record is sent again", "entry/peerlink/heartbeats.go", "	m.SetRecordsDigest(l.options.Records.RecordsDigest())\n", "", gatewayPkg, "TestALostRecordIsSentAgain"},
	{"a running server is no crash", "core/netopts/refuses.go", "			_ = connection.Close()\n			return false\n", "			_ = connection.Close()\n			return true\n", gatewayPkg, "TestARequestWhoseServersDoNotCrashIsNotRefused"},
	{"an ambiguous timeout is probed again", "core/netopts/refuses.go", "const dialAttempts = 2\n", "const dialAttempts = 1\n", "arbutusdeck/core/netopts", "TestRefusalIsCheckedAgain"},
	{"a crash without a reset is detected", "entry/gateway/crash.go", "		go e.s.checkServerCrash(context.Background(), request, choice)\n", "", gatewayPkg, "TestACrashWithoutAResetIsDetectedConcurrently"},
	{"a crash after the caller has left is detected", "entry/gateway/crash.go", "		e.s.checkCrashLater(request, choice)\n", "", gatewayPkg, "TestACrashAfterCancellationIsDetected"},
	{"a stopping entry checks the servers of cancelled requests", "entry/gateway/crash.go", "	s.manager.Join()\n	go func() {\n		defer s.manager.End()\n", "	go func() {\n", gatewayPkg, "TestAStoppingEntryRecords"},
	{"suspect requests run on separate servers", "entry/gateway/run.go", "	suspectServers := e.otherSuspectServers(now)\n", "	var suspectServers []string\n", gatewayPkg, "TestTwoSuspects"},
	{"a suspect request may share a server if there is no other", "entry/gateway/run.go", "	if refusal != \"\" && len(suspectServers) > 0 {", "	if false {", gatewayPkg, "TestASuspectIsNotRefused"},
	{"suspect requests are forgotten after a time", "core/quarantine/separator.go", "		if now.Sub(s.at) >= separationTime {", "		if now.Sub(s.at) >= 1000*separationTime {", quarantinePkg, "TestSuspects"},
	{"the exit of a draining server is no crash", "entry/gateway/quarantine.go", " || ok && !known.Draining", " || ok || known.Draining", gatewayPkg, "TestTheExitOfADrainingServerIsNotAttributedToItsRequests"},
	{"fingerprints distinguish callers", "core/quarantine/fingerprint.go", "[]string{workspace, method, host, uri}", "[]string{method, host, uri}", quarantinePkg, "TestOnlyTheSameRequest"},
	{"fingerprints distinguish fields", "core/quarantine/fingerprint.go", "uint64(len(field))", "0", quarantinePkg, "TestOnlyTheSameRequest"},
	{"a request that ran beside a poison request is not refused", "core/quarantine/tracker.go", "		if tr.isExplained(crash, f, r) {", "		if tr.isExplained(crash, f, r) && false {", quarantinePkg, "TestARequestBesideTheCulpritIsNotTakenForIt|TestInnocentRequestsAreNeverRefused"},
	{"late crash reports are tolerated", "core/quarantine/tracker.go", "r.sharedCrashes(other) >= len(other.crashes)-1", "false", quarantinePkg, "TestARequestBesideTheCulpritIsNotTakenForIt"},
	{"a refused culprit is not released by a request that was beside it once", "core/quarantine/tracker.go", "r.sharedCrashes(other) >= len(other.crashes)-1", "len(r.crashes) >= len(other.crashes)-1", quarantinePkg, "TestARefusedCulpritIsNotReleased"},
	{"two poison requests don't hide each other", "core/quarantine/tracker.go", "len(r.crashes) < CrashLimit && tr", "tr", quarantinePkg, "TestTwoCulpritsDoNotHideEachOther"},
	{"a complete response clears a suspect request", "entry/gateway/run.go", "			e.clearSuspicion(choice, result)\n", "", gatewayPkg, "TestACompletedRequestIsCleared"},
	{"a recently completed request is not blamed", "core/quarantine/tracker.go", "	if tr.exonerated.has(now, f) {\n", "	if false {\n", quarantinePkg, "TestARecentlyAnsweredRequestIsExonerated"},
	{"the memory of completed requests is bounded", "core/quarantine/exonerated.go", "	if len(e.current) >= maxExonerated {", "	if false {", quarantinePkg, "TestExoneratedRequestsAreBounded"},
	{"a late crash report does not undo a completion", "core/quarantine/record.go", "	if other.Cleared < r.cleared {", "	if false {", quarantinePkg, "TestACompleteAnswerClearsARequest"},
	{"the number of quarantine records is bounded", "core/quarantine/tracker.go", "		delete(tr.records, evictionCandidate(tr.records))\n", "", quarantinePkg, "TestRecordsAreBounded"},
	{"records of refused requests are evicted last", "core/quarantine/tracker.go", "cmp.Compare(r.crashCount(), least.crashCount()), ", "", quarantinePkg, "TestRecordsAreBounded|TestPartRecordsAreBounded"},
	{"all entries keep the same crashes", "core/quarantine/record.go", "	if found || at >= CrashLimit {", "	if found || len(r.crashes) >= CrashLimit {", quarantinePkg, "TestEntriesKeepTheSameCrashes"},
	{"a quarantine record expires", "core/quarantine/tracker.go", "		if now.Sub(r.changed) >= RecordTTL {", "		if now.Sub(r.changed) >= 1000*RecordTTL {", quarantinePkg, "TestARequestIsRefusedOnceItHasCrashedThreeServers"},
	{"a forwarded record keeps its age", "core/quarantine/tracker.go", "r.merge(t, now.Add(-t.Age))", "r.merge(t, now)", quarantinePkg, "TestMergingDoesNotExtendTheTTL"},
	{"only recently started requests are blamed", "core/quarantine/tracker.go", "now.Sub(firstEvent) < StartWindow", "true", quarantinePkg, "TestOnlyARecentlyStartedRequestMayHaveCrashedItsServer"},
}
