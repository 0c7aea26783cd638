package mutations

const (
	callersPkg = "arbutusdeck/core/callers"
	processPkg = "arbutusdeck/core/process"
	netoptsPkg = "arbutusdeck/core/netopts"

	entryServerPkg = "arbutusdeck/entry/server"
)

// callersMutations remove what bounds the memory, the descriptors and the time that callers take, and the order in
// which connections are closed for others.
var callersMutations = []mutation{
	{"connections of callers are limited", "core/callers/table.go", "connections: len(t.entries) + 1 - t.limits.Connections, ", "", callersPkg, "TestConnectionsAreClosedInOrderForNewOnes"},
	{"the idle are closed before the others", "core/callers/table.go", "			return a.class - b.class\n", "			return b.class - a.class\n", callersPkg, "TestConnectionsAreClosedInOrderForNewOnes"},
	{"the slowest body is closed first", "core/callers/table.go", "			c.rate = float64(e.received) / now.Sub(e.since).Seconds()\n", "", callersPkg, "TestConnectionsAreClosedInOrderForNewOnes"},
	{"a body that has just begun is not slow", "core/callers/table.go", "now.Sub(e.since) >= minBodyTime", "true", callersPkg, "TestNothingIsSlowInItsFirstSecond"},
	{"nothing is closed in vain", "core/callers/table.go", "	if !missing.covered() {\n		return nil, false\n	}\n", "	vain := !missing.covered()\n	defer func() { ok = ok && !vain }()\n", callersPkg, "TestNothingIsClosedInVain"},
	{"an idle connection is not closed for a body without gain", "core/callers/table.go", " || onlyBodies && e.largeBody == 0", " || onlyBodies && false", callersPkg, "TestLargeBodiesHaveALimitOfTheirOwn"},
	{"the memory of connections is limited", "core/callers/table.go", ", memory: t.memory + ConnectionBytes - t.limits.Memory", "", callersPkg, "TestMemoryIsReservedAndGivenBack"},
	{"fields are charged for their memory", "core/callers/table.go", " + int64(fields)*fieldBytes", "", callersPkg, "TestShortFieldsAreChargedForTheirMemory"},
	{"fields that are read ahead are charged", "core/callers/conn.go", "	c.headerBytes, c.headerFields, c.headerCost = 0, c.unparsedFields, 0\n", "	c.headerBytes, c.headerFields, c.headerCost = 0, 0, 0\n", callersPkg, "TestFieldsThatAreReadAheadAreCharged"},
	{"a request that was read ahead is not idle", "core/callers/conn.go", "	ok := l.table.Enter(now, c, phase)\n", "	ok := l.table.Phase(c) != Closed\n", callersPkg, "TestARequestThatWasReadAheadIsNotIdle"},
	{"headers over the limit are refused", "core/callers/conn.go", "	if c.headerBytes > l.options.HeaderBytes() {\n", "	if false {\n", callersPkg, "TestLargeHeadersAreRefused"},
	{"the configuration limits headers", "entry/gateway/connections.go", "		return table.Limits().HeaderBytes + requestLineBytes\n", "		return defaultHeaderBytes\n", gatewayPkg, "TestTheConfigurationLimitsHeaders"},
	{"the configuration limits the time for headers", "entry/gateway/connections.go", "		return table.Limits().HeaderTimeout + headerTimeoutSlack\n", "		return time.Hour\n", gatewayPkg, "TestTheConfigurationLimitsHeaders"},
	{"a refused caller that stops sending is disconnected", "entry/gateway/responses.go", "		e.setDeadline((*http.ResponseController).SetReadDeadline, e.discardDeadline(time.Now()))\n", "", gatewayPkg, "TestARefusedCallerThatStopsIsDisconnected"},
	{"options for the whole server are refused as others", "core/callers/listener.go", "		DisableGeneralOptionsHandler: true}\n", "	}\n", gatewayPkg, "TestARefusedCallerThatStopsIsDisconnected"},
	{"a slow body is answered when its connection is closed", "core/callers/listener.go", "			c.answer(l.options.Unavailable(c.currentRequest()), shedTimeout)\n", "", gatewayPkg, "TestASlowBodyIsRefusedForAnother"},
	{"a body that was cut off does not run", "core/callers/body.go", "		if err != nil || int64(len(data)) > buffer.Most {\n			return data, err\n", "		if err != nil || int64(len(data)) > buffer.Most {\n			return data, nil\n", callersPkg, "TestABodyOfUnknownLengthIsReadToItsEnd"},
	{"connections to servers are limited", "core/netopts/limited.go", "	if d.open.Add(1) > d.limit.Load() {\n", "	if d.open.Add(1) < 0 {\n", gatewayPkg, "TestConnectionsToServersAreLimited"},
	{"a refused body that does not come ends", "core/callers/bounds.go", "			_ = controller.SetReadDeadline(deadline)\n", "", callersPkg, "TestARefusedBodyThatDoesNotCome"},
	{"a response that is not read ends", "core/callers/bounds.go", "		_ = controller.SetWriteDeadline(deadline.Add(bounds.Timeout))\n", "", callersPkg, "TestAResponseThatIsNotRead"},
	{"a body that a handler reads is bounded", "core/callers/bounds.go", "http.MaxBytesReader(w, r.Body, bounds.BodyBytes)", "r.Body", callersPkg, "TestABodyIsBoundedAndCharged"},
	{"a body that a handler reads is charged", "core/callers/bounds.go", "	if n > 0 && !b.connection.Reserve(int64(n)*bodyCopies) {\n", "	if false {\n", callersPkg, "TestABodyIsBoundedAndCharged"},
	{"a handler may set limits of its own", "core/callers/bounds.go", "		r.Body = b.raw\n", "		_ = b.raw\n", callersPkg, "TestUnboundLifts"},
	{"a response beside its request is kept", "core/callers/conn.go", "	c.change(Body, Duplex)\n", "", callersPkg, "TestADuplexResponseIsKept"},
	{"the lines of a body are no headers", "core/callers/conn.go", "	c.change(Body, Duplex)\n", "	c.change(Body, Answering)\n", callersPkg, "TestADuplexResponseIsKept"},
	{"unfinished headers are closed at every address", "core/process/limitedserver.go", "			listener.Expire(now, callers.Timeouts{Headers: serverHeaderTimeout, Idle: serverIdleTimeout})\n", "			_ = now\n", processPkg, "TestUnfinishedHeadersAreClosed"},
	{"an entry charges bodies to their callers", "entry/server/body.go", "		ok := connection.ReserveBody(from, to)\n", "		ok := true\n", entryServerPkg, "TestBodiesAreCharged"},
	{"an entry gives the memory of a body back", "entry/server/body.go", "connection.ReleaseBody(reserved)", "_ = reserved", entryServerPkg, "TestBodiesAreCharged"},
	{"open connections are counted until they are closed", "core/netopts/limited.go", "	defer c.closed()\n", "", netoptsPkg, "TestOpenConnectionsAreLimited"},
	{"responses that have been sent are dropped first", "core/execution/retained.go", "		r.sent = append(r.sent, id)\n", "", execution, "TestFramesAreDroppedInOrder"},
	{"a response that is read is kept", "core/execution/retained.go", "!a.waitingSince.IsZero() && now", "now", execution, "TestFramesAreDroppedInOrder"},
	{"no response is unread at once", "core/execution/retained.go", "now.Sub(a.waitingSince) >= minUnreadTime", "true", execution, "TestFramesAreDroppedInOrder"},
	{"frames that were sent are trimmed", "core/execution/frame.go", "slices.Clone(w.frames[count:]), w.trimmed+uint64(count)\n", "slices.Clone(w.frames), w.trimmed\n", execution, "TestFramesThatWereSentAreTrimmed"},
	{"a window of sent frames is kept", "core/execution/frame.go", "		if kept >= window {\n", "		if kept >= 0 {\n", execution, "TestFramesThatWereSentAreTrimmed"},
	{"kept answers are limited together", "core/execution/ledger.go", " && (l.options.MaxKeptBytes == 0 || l.keptBytes+size <= l.options.MaxKeptBytes)", "", execution, "TestKeptAnswersAreBounded"},
	{"the memory of an expired answer is given back", "core/execution/record.go", "			l.keptBytes -= int64(len(record.Answer.Body))\n", "", execution, "TestKeptAnswersAreBounded"},
	{"a stalled log does not delay the exit", "core/process/log.go", "		case <-time.After(flushTimeout):\n", "		case <-time.After(time.Hour):\n", processPkg, "TestAStalledReaderOfTheLog"},
	{"the log queue is limited in bytes", "core/process/log.go", " || w.queued.Load()+int64(len(line)) > maxQueuedBytes", "", processPkg, "TestQueuedLinesAreBoundedInBytes"},
	{"long texts are cut in the log", "core/process/log.go", "len(text) > maxFieldBytes\n", "false\n", processPkg, "TestLongTextsAreCutInTheLog"},
}
