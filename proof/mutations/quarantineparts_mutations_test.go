package mutations

// partMutations remove the safeguards around parts of prompts under which servers crash.
var partMutations = []mutation{
	{"a request with a quarantined part is refused", "entry/gateway/quarantine.go", "max(e.requestRefusedFor(now), e.partsRefusedFor(now))", "e.requestRefusedFor(now)", gatewayPkg, "TestAPartThatCrashes"},
	{"a request that waits is checked before it is sent", "entry/gateway/attempt.go", "	if e.quarantinedFor(time.Now()) > 0 {\n", "	if false {\n", gatewayPkg, "TestARequestThatWaits"},
	{"all entries learn of a part's crashes", "entry/gateway/quarantine.go", "	s.peers.BroadcastPartRecords(parts)\n", "	_ = parts\n", gatewayPkg, "TestAPartThatCrashes"},
	{"entries of other zones get part records", "entry/peerlink/records.go", "DispatchRef{RemoteZones: l.group.RemoteZones()}", "DispatchRef{}", gatewayPkg, "TestEntriesOfOtherZonesGetPart"},
	{"lost part records are sent again", "entry/gateway/quarantine.go", "s.tracker.Digest() + s.parts.Digest()", "s.tracker.Digest()", gatewayPkg, "TestALostPartRecord"},
	{"part records fit packets", "entry/peerlink/records.go", "size > maxPartCrashes {", "size > 10*maxPartCrashes {", peerlinkPkg, "TestPartRecordsAreSplit"},
	{"an answer clears the parts", "entry/gateway/quarantine.go", "	cleared := s.parts.Completed(now, request.parts)\n", "	cleared := s.parts.Completed(now, nil)\n", gatewayPkg, "TestOnlyAWritten"},
	{"an answer without anything written clears nothing", "entry/gateway/quarantine.go", "!result.success || !result.wrote", "!result.success", gatewayPkg, "TestOnlyAWritten"},
	{"an answer that ends with its server clears nothing", "entry/gateway/quarantine.go", "	if !result.unframed {\n", "	if true {\n", gatewayPkg, "TestOnlyAWritten"},
	{"crashes at the same time count once", "core/quarantine/parts.go", "!c.sentAt.Before(last) && ", "!c.at.Before(last) && ", quarantinePkg, "TestCrashesAtTheSameTime"},
	{"a part at more crashes explains others", "core/quarantine/parts.go", " && !tr.isExplained(c.server, part, r)", "", quarantinePkg, "TestPartsAtTheSame|TestSoundRequestsBeside"},
	{"parts at the same crashes are told apart", "core/quarantine/parts.go", " || tr.holdsCompanions(parts, part, r) {", " || true {", quarantinePkg, "TestPartsAtTheSame"},
	{"inseparable parts are refused", "core/quarantine/parts.go", "tr.unexplainedCrashes(part, r) >= inseparablePartCrashLimit || ", "", quarantinePkg, "TestPartsThatStay"},
	{"a part that was answered recently needs more crashes", "core/quarantine/parts.go", "		limit = answeredPartCrashLimit\n", "", quarantinePkg, "TestARecentlyAnsweredPart"},
	{"a part that was answered a moment ago is not blamed", "core/quarantine/parts.go", "		if tr.exonerated.has(now, part) {\n			continue\n		}\n", "", quarantinePkg, "TestAnAnswerClearsAPart"},
	{"an entry clears for others what it has seen answered", "core/quarantine/parts.go", "len(r.crashes) > 0 && tr.exonerated.has(now, t.Part)", "false", quarantinePkg, "TestAnEntryThatHasSeen"},
	{"a late crash of a part does not undo its clearing", "core/quarantine/parts.go", "	if other.Cleared < r.cleared {", "	if false {", quarantinePkg, "TestAnAnswerClearsAPart"},
	{"invalid part records are ignored", "core/quarantine/parts.go", "		if !t.valid() {\n			continue\n		}\n", "", quarantinePkg, "TestInvalidPartRecords"},
	{"the number of part records is bounded", "core/quarantine/parts.go", "		delete(tr.records, tr.evictionCandidate())\n", "", quarantinePkg, "TestPartRecordsAreBounded"},
	{"the crashes of a part record are bounded", "core/quarantine/parts.go", "	r.crashes = r.crashes[max(len(r.crashes)-maxPartCrashes, 0):]\n", "", quarantinePkg, "TestPartRecordsAreBounded"},
	{"refused parts are evicted last", "core/quarantine/parts.go", "cmp.Compare(len(r.crashes), len(least.crashes)), ", "", quarantinePkg, "TestPartRecordsAreBounded"},
	{"entries keep the same times of a crash", "core/quarantine/parts.go", "		crash.sentAt, crash.at = earliest(crash.sentAt, r.crashes[known].sentAt), earliest(crash.at, r.crashes[known].at)\n", "", quarantinePkg, "TestTheEarliestTimes"},
	{"a part's record expires", "core/quarantine/parts.go", "		if now.Sub(r.changed) >= RecordTTL {", "		if now.Sub(r.changed) >= 1000*RecordTTL {", quarantinePkg, "TestAPartIsRefusedOnce"},
	{"the parts that are read of a prompt are bounded", "platform/messages.go", " && len(ids) < maxPromptParts", "", "arbutusdeck/platform", "TestPromptParts"},
}
