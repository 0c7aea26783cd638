package mutations

const (
	callersPkg = "arbutusdeck/core/callers"
	processPkg = "arbutusdeck/core/process"
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
	{"the log queue is limited in bytes", "core/process/log.go", " || w.queued.Load()+int64(len(line)) > maxQueuedBytes", "", processPkg, "TestQueuedLinesAreBoundedInBytes"},
	{"long texts are cut in the log", "core/process/log.go", "len(text) > maxFieldBytes\n", "false\n", processPkg, "TestLongTextsAreCutInTheLog"},
}
